#include <placement/overuse.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace berylhill::placement
{

namespace
{

// Reports lag, so the worker counts as full a little before it is.
constexpr std::int64_t s_full_percent = 95;
constexpr double s_least_share = 0.1;
// Slower work grows its memory more slowly.
constexpr double s_share_for_memory = 0.5;
// A throttle is sent again only when it changes by more than this.
constexpr double s_share_step = 0.02;

/// What the task would use of the processors without its throttle.
std::int64_t demand_of(task_use const& it)
{
    return static_cast<std::int64_t>(static_cast<double>(it.used.millicores) /
                                     it.share);
}

bool over_plan(task_use const& it)
{
    return it.used.memory_mb > it.planned.memory_mb ||
           demand_of(it) > it.planned.millicores;
}

/// The share of its processors that brings a task back to its plan.
double share_for(task_use const& it)
{
    auto const demand = demand_of(it);
    auto const fit = demand > it.planned.millicores
                         ? static_cast<double>(it.planned.millicores) /
                               static_cast<double>(demand)
                         : 1.0;
    auto const most =
        it.used.memory_mb > it.planned.memory_mb ? s_share_for_memory : 1.0;
    return std::max(std::min(fit, most), s_least_share);
}

/// Cheapest first: normal before urgent, single tasks before gangs, what may be
/// run again before what may not, what outgrew its plan before what kept to it,
/// the youngest first.
bool cheaper(task_use const& a, task_use const& b)
{
    auto const cost = [](task_use const& it)
    {
        return std::tuple{it.urgent, it.kind == model::job_kind::gang,
                          it.safety, !over_plan(it),
                          -it.started_at.time_since_epoch()};
    };
    return cost(a) < cost(b);
}

struct sums
{
    model::resources used;
    /// By the plan, or by the unthrottled use where that is more.
    model::resources wanted;
};

sums sums_of(std::vector<task_use> const& tasks)
{
    sums all;
    for (auto const& it : tasks)
    {
        if (it.leaving)
        {
            continue;
        }
        auto demand = it.used;
        demand.millicores = demand_of(it);
        all.used = all.used + it.used;
        all.wanted = all.wanted + model::largest_of(it.planned, demand);
    }
    return all;
}

} // namespace

std::vector<ledger_action> relieve(std::string const& worker,
                                   model::resources const& capacity,
                                   std::vector<task_use> tasks)
{
    std::vector<ledger_action> actions;
    auto const all = sums_of(tasks);
    auto const full = capacity.memory_mb * s_full_percent / 100;
    auto const enough =
        all.wanted.fits_in(capacity) && all.used.memory_mb <= full;
    for (auto const& it : tasks)
    {
        auto const share = enough || !over_plan(it) ? 1.0 : share_for(it);
        if (!it.leaving && std::abs(share - it.share) > s_share_step)
        {
            actions.push_back(
                {ledger_action_kind::throttle, worker, it.attempt, share});
        }
    }
    // Processors are shared by throttling alone; memory can only be freed.
    auto memory = all.used.memory_mb;
    std::sort(tasks.begin(), tasks.end(), cheaper);
    for (auto const& it : tasks)
    {
        if (memory <= full)
        {
            break;
        }
        if (!it.leaving && it.used.memory_mb > 0)
        {
            // A checkpoint keeps the progress, so it is safe for every task.
            actions.push_back(
                {ledger_action_kind::checkpoint, worker, it.attempt, 1});
            memory -= it.used.memory_mb;
        }
    }
    return actions;
}

} // namespace berylhill::placement
