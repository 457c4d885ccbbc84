#include <scheduler/timing.hpp>

namespace berylhill::scheduler
{

namespace
{

/// A late job loses value and is worthless after this many times its objective.
constexpr int worthless_after = 3;

} // namespace

timing timing_of(job const& of,
                 workload::step_name const& name,
                 workload::queue_spec const& queue)
{
    auto const begin = of.spec().repeats.count == 0
                           ? of.accepted_at
                           : of.due_at(name.occurrence);
    auto const work = static_cast<double>(of.longest_chain().count());
    auto const objective =
        base::duration{static_cast<std::int64_t>(queue.stretch * work)} +
        queue.target_latency;
    auto const rest = of.chain_from(name.step_index);
    return {begin + objective - rest,
            begin + worthless_after * objective - rest};
}

} // namespace berylhill::scheduler
