#include <scheduler/turn_order.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

turn_tier tier_of(ready_step const& it, base::instant now)
{
    return now > it.limits.last_start                  ? turn_tier::worthless
           : it.standing == share_standing::over_share ? turn_tier::over_share
           : now > it.limits.latest_start              ? turn_tier::late
                                                       : turn_tier::in_time;
}

} // namespace

std::vector<turn> order_turns(std::vector<ready_step> const& from,
                              base::instant now)
{
    std::vector<turn> out;
    out.reserve(from.size());
    for (auto const& it : from)
    {
        out.push_back({tier_of(it, now), it.limits.latest_start - it.lead,
                       it.limits.latest_start, it.name});
    }
    std::ranges::sort(out);
    return out;
}

} // namespace berylhill::scheduler
