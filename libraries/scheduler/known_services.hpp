#pragma once

#include <workload/cell_configuration.hpp>

#include <set>
#include <string>

namespace berylhill::scheduler
{

/// The services of this system by all configurations so far: those that the
/// queues use now, and others. Not thread-safe.
class known_services
{
public:
    /// Adds the services that the configuration names.
    void add_named(workload::cell_configuration const& it);

    /// Sets those that the queues use from now on.
    void set_used(std::set<std::string> it);

    /// Whether a queue uses the service now.
    [[nodiscard]] bool used(std::string const& service) const
    {
        return m_used.contains(service);
    }

    /// Whether the service belongs to this system: a configuration names it or
    /// a queue has used it.
    [[nodiscard]] bool known(std::string const& service) const
    {
        return m_known.contains(service);
    }

private:
    std::set<std::string> m_used;
    std::set<std::string> m_known;
};

} // namespace berylhill::scheduler
