#include <scheduler/placement.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace berylhill::scheduler
{

namespace
{

double share(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

/// Free resources left after the task as a share of the instance; lower values
/// fit better.
double left_over(candidate const& it, workload::resources const& need)
{
    auto const left = it.room - need;
    return share(left.cpu_millis, it.capacity.cpu_millis) +
           share(left.memory_mb, it.capacity.memory_mb);
}

/// Score for tasks that go to the instance with most free processor time: tasks
/// that use only spare processor time find most of it there, and suspects harm
/// the fewest others.
double roomiest_score(candidate const& it)
{
    return -share(it.room.cpu_millis, it.capacity.cpu_millis);
}

double score_of(workload::step_spec const& step, candidate const& it, fit by)
{
    // Each penalty exceeds any difference in fit. The second exceeds the first,
    // since a task takes several times as long on another rack.
    constexpr double beside_penalty = 5;
    constexpr double far_penalty = 10;
    auto const far =
        !step.preferred_rack.empty() && it.rack != step.preferred_rack;
    auto const prefers_free_cpu =
        step.uses_spare_cpu || by == fit::separate_suspects;
    return (prefers_free_cpu ? roomiest_score(it) : left_over(it, step.need)) +
           (it.suspects_here > 0 ? beside_penalty : 0) +
           (far ? far_penalty : 0);
}

bool has_place(workload::step_spec const& step, candidate const& it)
{
    return workload::fits(step.reserved_need(), it.room) &&
           (step.max_per_instance == 0 ||
            it.tasks_here < step.max_per_instance);
}

std::optional<std::size_t> best_of(workload::step_spec const& step,
                                   std::vector<candidate> const& from,
                                   fit by)
{
    std::optional<std::size_t> best;
    auto best_score = std::numeric_limits<double>::max();
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        auto const& it = from[n];
        if (!has_place(step, it))
        {
            continue;
        }
        auto const score = score_of(step, it, by);
        if (score < best_score)
        {
            best_score = score;
            best = n;
        }
    }
    return best;
}

/// Of the racks with room for all tasks, the one with the fewest slots.
std::optional<std::string_view> best_rack(workload::step_spec const& step,
                                          std::vector<candidate> const& from)
{
    std::map<std::string_view, std::uint32_t> slots;
    for (auto const& it : from)
    {
        slots[it.rack] += slots_in(step, it.room, it.tasks_here);
    }
    std::optional<std::string_view> best;
    for (auto const& [rack, n] : slots)
    {
        if (n >= step.tasks && (!best || n < slots[*best]))
        {
            best = rack;
        }
    }
    return best;
}

} // namespace

std::uint32_t slots_in(workload::step_spec const& step,
                       workload::resources const& room,
                       std::uint32_t tasks_here)
{
    auto const need = step.reserved_need();
    auto out = step.tasks;
    auto const bound = [&](std::int64_t part, std::int64_t whole)
    {
        if (part > 0)
        {
            auto const n = std::max<std::int64_t>(whole, 0) / part;
            out = static_cast<std::uint32_t>(std::min<std::int64_t>(out, n));
        }
    };
    bound(need.cpu_millis, room.cpu_millis);
    bound(need.memory_mb, room.memory_mb);
    bound(need.gpus, room.gpus);
    if (step.max_per_instance != 0)
    {
        auto const most = step.max_per_instance;
        out = std::min(out, most - std::min(most, tasks_here));
    }
    return out;
}

std::vector<std::size_t> choose_for_tasks(workload::step_spec const& step,
                                          std::uint32_t count,
                                          std::vector<candidate> from,
                                          fit by)
{
    std::vector<std::size_t> out;
    while (out.size() < count)
    {
        auto const best = best_of(step, from, by);
        if (!best)
        {
            break;
        }
        out.push_back(*best);
        from[*best].room -= step.reserved_need();
        ++from[*best].tasks_here;
    }
    return out;
}

std::vector<std::size_t> choose_for_gang(workload::step_spec const& step,
                                         std::vector<candidate> const& from,
                                         bool may_spread,
                                         fit by)
{
    auto const rack = step.same_rack ? best_rack(step, from) : std::nullopt;
    if (step.same_rack && !rack && !may_spread)
    {
        return {};
    }
    auto usable = from;
    if (rack)
    {
        for (auto& it : usable)
        {
            if (it.rack != *rack)
            {
                it.room = {-1, -1, -1};
            }
        }
    }
    auto out = choose_for_tasks(step, step.tasks, std::move(usable), by);
    if (out.size() < step.tasks)
    {
        out.clear();
    }
    return out;
}

} // namespace berylhill::scheduler
