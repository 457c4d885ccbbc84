#pragma once

#include <workload/cell_configuration.hpp>
#include <workload/queue_spec.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace berylhill::scheduler
{

/// The queues and services of all configurations so far. Jobs of a queue that
/// was removed go on under what is known of it last. Not thread-safe.
class queue_table
{
public:
    using queue_pointer = std::shared_ptr<workload::queue_spec const>;

    /// Puts the configuration in force.
    void configure(workload::cell_configuration const& it);

    /// Adds a queue that the configuration in force does not have.
    /// Precondition: it is unknown.
    void add_removed(queue_pointer it);

    /// The queue as it is now; null if it is unknown. Valid until the next
    /// change.
    [[nodiscard]] queue_pointer const& find(std::string const& name) const;

    /// Whether a queue uses the service now.
    [[nodiscard]] bool uses(std::string const& service) const
    {
        return m_used.contains(service);
    }

    /// Whether the service belongs to this system: a configuration names it or
    /// a queue has used it.
    [[nodiscard]] bool knows(std::string const& service) const
    {
        return m_known.contains(service);
    }

private:
    void update_services();

    std::map<std::string, queue_pointer> m_queues;
    std::set<std::string> m_used;
    std::set<std::string> m_known;
};

} // namespace berylhill::scheduler
