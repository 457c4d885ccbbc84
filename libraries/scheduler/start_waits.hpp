#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace berylhill::scheduler
{

/// How long the steps of each queue lately waited until they started, and how
/// much earlier than its deadline a step has its turn for that. A step that
/// needs several questions for advice, or room for many tasks at once, has to
/// begin with these long before its latest start; how long is not known in
/// advance, and differs between cells.
///
/// Answers a load of gangs and single tasks that takes all of the advice or all
/// of the room there is: by their latest starts alone gangs asked too late and
/// paid for all others.
///
/// Pure. Not thread-safe.
class start_waits
{
public:
    /// A step of so many tasks could start from now on.
    void
    ready(std::string const& queue, std::uint32_t tasks, base::instant now);

    /// A step has waited so long, and has started or can't be in time.
    void waited(std::string const& queue, base::duration it, base::instant now);

    /// How much earlier than by its latest start a step of the queue has its
    /// turn; a wider one than usual sooner.
    [[nodiscard]] base::duration lead(std::string const& queue,
                                      std::uint32_t tasks) const;

private:
    /// A mean in which what is older counts less.
    struct fading_mean
    {
        double sum{0};
        double weight{0};
        base::instant added_at{};

        void add(double value, base::instant now);
        [[nodiscard]] double value() const;
    };

    struct queue_means
    {
        fading_mean wait_s;
        fading_mean tasks;
    };

    std::map<std::string, queue_means> m_queues;
};

} // namespace berylhill::scheduler
