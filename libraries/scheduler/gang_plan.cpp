#include <scheduler/gang_plan.hpp>

#include <scheduler/placement.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// A new plan replaces an instance of the previous plan only by one that is
/// free this much sooner. Estimates change by some hundred milliseconds with
/// each report; a plan that followed every change would never have its slots
/// free together.
constexpr base::duration keep_bonus = std::chrono::milliseconds{300};

/// Slots that become free on an instance at a given time.
struct more_slots
{
    base::instant at;
    std::size_t instance{0};
    std::uint32_t slots{0};
};

void add_slots(std::vector<more_slots>& to,
               workload::step_spec const& step,
               room_forecast const& from,
               std::size_t index,
               base::instant now)
{
    auto room = from.room;
    auto known = slots_in(step, room, 0);
    auto const bonus = from.planned_before ? keep_bonus : base::duration{0};
    if (known > 0)
    {
        to.push_back({now, index, known});
    }
    auto ends = from.ends;
    std::ranges::sort(ends, std::ranges::less{},
                      [](auto const& it) { return it.first; });
    for (auto const& [at, need] : ends)
    {
        room += need;
        auto const n = slots_in(step, room, 0);
        if (n > known)
        {
            to.push_back({std::max(now, at - bonus), index, n - known});
            known = n;
        }
    }
}

} // namespace

std::optional<gang_plan> plan_gang(workload::step_spec const& step,
                                   std::uint32_t slots,
                                   std::vector<room_forecast> const& from,
                                   base::instant now)
{
    std::vector<more_slots> all;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        add_slots(all, step, from[n], n, now);
    }
    std::ranges::stable_sort(all, std::ranges::less{}, &more_slots::at);
    std::uint32_t sum = 0;
    std::vector<std::uint32_t> by_instance(from.size(), 0);
    gang_plan out;
    for (auto const& it : all)
    {
        out.start = it.at;
        sum += it.slots;
        by_instance[it.instance] += it.slots;
        if (sum >= slots)
        {
            break;
        }
    }
    if (sum < slots)
    {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        if (by_instance[n] > 0)
        {
            out.instances.push_back(n);
        }
    }
    std::ranges::stable_sort(out.instances, std::ranges::greater{},
                             [&](std::size_t n) { return by_instance[n]; });
    sum = 0;
    std::size_t used = 0;
    while (sum < slots)
    {
        sum += by_instance[out.instances[used++]];
    }
    out.instances.resize(used);
    return out;
}

} // namespace berylhill::scheduler
