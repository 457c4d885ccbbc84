#include <placement/overuse.hpp>

#include <algorithm>
#include <tuple>

namespace berylhill::placement
{

namespace
{

// Reports lag behind, so a worker counts as full at this share of its memory.
constexpr std::int64_t s_full_percent = 95;
constexpr double s_min_share = 0.1;

bool over_plan(task_use const& it)
{
    return !it.used.fits_in(it.planned);
}

/// The share of its cores that brings a task back to its planned use.
double core_share_for(task_use const& it)
{
    if (it.used.millicores <= it.planned.millicores)
    {
        // Only memory exceeds the plan; a slower task allocates more slowly.
        return 0.5;
    }
    auto const share = static_cast<double>(it.planned.millicores) /
                       static_cast<double>(it.used.millicores);
    return std::max(share, s_min_share);
}

/// Orders tasks by the cost of a checkpoint: normal before urgent, idempotent
/// before at-most-once, over plan before within plan, youngest first.
bool cheaper_to_checkpoint(task_use const& a, task_use const& b)
{
    auto const cost = [](task_use const& it)
    {
        return std::tuple{it.urgent, it.safety, !over_plan(it),
                          -it.started_at.time_since_epoch()};
    };
    return cost(a) < cost(b);
}

ledger_action action_for(std::string const& worker, task_use const& it)
{
    // A checkpoint keeps the task's progress, so it is safe for every task.
    return {ledger_action_kind::checkpoint, worker, it.attempt, 1};
}

} // namespace

std::vector<ledger_action>
actions_against_overuse(std::string const& worker,
                        model::resources const& capacity,
                        std::vector<task_use> tasks)
{
    std::vector<ledger_action> actions;
    model::resources charged;
    model::resources used;
    for (auto const& it : tasks)
    {
        if (!it.leaving)
        {
            charged = charged + model::largest_of(it.planned, it.used);
            used = used + it.used;
        }
    }
    auto const limit = model::resources{
        capacity.millicores, capacity.memory_mb * s_full_percent / 100,
        capacity.accelerators};
    if (charged.fits_in(capacity) && used.fits_in(limit))
    {
        return actions;
    }
    for (auto const& it : tasks)
    {
        if (over_plan(it) && !it.throttled && !it.leaving)
        {
            actions.push_back({ledger_action_kind::throttle, worker, it.attempt,
                               core_share_for(it)});
        }
    }
    // Throttling is enough to share processors; memory has to be freed.
    auto memory = used.memory_mb;
    std::sort(tasks.begin(), tasks.end(), cheaper_to_checkpoint);
    for (auto const& it : tasks)
    {
        if (memory <= limit.memory_mb)
        {
            break;
        }
        if (!it.leaving && it.used.memory_mb > 0)
        {
            actions.push_back(action_for(worker, it));
            memory -= it.used.memory_mb;
        }
    }
    return actions;
}

} // namespace berylhill::placement
