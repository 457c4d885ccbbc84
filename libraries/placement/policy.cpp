#include <placement/policy.hpp>

#include <algorithm>

namespace berylhill::placement
{

namespace
{

// An accelerator left idle because a task without need of one takes its worker
// costs more than any amount of unused cores or memory.
constexpr double s_idle_accelerator_cost = 10;

double share(std::int64_t part, std::int64_t whole) noexcept
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0.0;
}

double free_share_after(candidate const& it,
                        model::resources const& need) noexcept
{
    auto const remaining = it.free - need;
    return share(remaining.millicores, it.total.millicores) +
           share(remaining.memory_mb, it.total.memory_mb);
}

} // namespace

double dominant_share(model::resources const& used,
                      model::resources const& total) noexcept
{
    return std::max({share(used.millicores, total.millicores),
                     share(used.memory_mb, total.memory_mb),
                     share(used.accelerators, total.accelerators)});
}

rank service_policy::rank_of(candidate const& it,
                             model::resources const& need) const
{
    constexpr double zone_weight = 1e6;
    constexpr double rack_weight = 1e3;
    auto const spread = it.same_in_zone * zone_weight +
                        it.same_in_rack * rack_weight + it.same_here;
    return {it.failed_here, spread, -free_share_after(it, need)};
}

rank batch_policy::rank_of(candidate const& it,
                           model::resources const& need) const
{
    auto const wastes_accelerators =
        need.accelerators == 0 && it.total.accelerators > 0;
    return {it.failed_here, wastes_accelerators ? s_idle_accelerator_cost : 0,
            free_share_after(it, need)};
}

rank gang_policy::rank_of(candidate const& it,
                          model::resources const& need) const
{
    auto const wastes_accelerators =
        need.accelerators == 0 && it.total.accelerators > 0;
    return {it.failed_here, wastes_accelerators ? s_idle_accelerator_cost : 0,
            -free_share_after(it, need)};
}

policy const& policy_for(model::job_kind kind,
                         model::preference /*preferred*/) noexcept
{
    static service_policy const s_service;
    static batch_policy const s_batch;
    static gang_policy const s_gang;
    switch (kind)
    {
    case model::job_kind::service:
        return s_service;
    case model::job_kind::gang:
        return s_gang;
    case model::job_kind::batch:
        break;
    }
    return s_batch;
}

} // namespace berylhill::placement
