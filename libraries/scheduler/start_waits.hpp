#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace berylhill::scheduler
{

/// Tracks how long the steps of each queue recently waited to start, and
/// derives how much earlier than its deadline a step is served. A step that
/// needs several advice requests, or room for many tasks at once, has to begin
/// with these long before its latest start; how long is not known in advance
/// and differs between cells.
///
/// Under a load of gangs and single tasks that uses all capacity of the advice
/// service or of the cell, gangs that were ordered by their latest start alone
/// requested advice too late and bore all the delay.
///
/// Pure. Not thread-safe.
class start_waits
{
public:
    /// A step with this many tasks has become ready.
    void
    ready(std::string const& queue, std::uint32_t tasks, base::instant now);

    /// A step waited for `it` and has started or can no longer be in time.
    void waited(std::string const& queue, base::duration it, base::instant now);

    /// How much earlier than by its latest start a step of the queue is served.
    /// A step that is wider than usual for its queue is served earlier.
    [[nodiscard]] base::duration lead(std::string const& queue,
                                      std::uint32_t tasks) const;

private:
    /// A mean with exponentially decaying weights.
    struct decaying_mean
    {
        double sum{0};
        double weight{0};
        base::instant added_at{};

        void add(double value, base::instant now);
        [[nodiscard]] double value() const;
    };

    struct queue_means
    {
        decaying_mean wait_s;
        decaying_mean tasks;
    };

    std::map<std::string, queue_means> m_queues;
};

} // namespace berylhill::scheduler
