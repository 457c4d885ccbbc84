#include <cell/yield_rule.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Time after which the other processes have found this owner.
constexpr base::duration min_owned_time = std::chrono::milliseconds{1'500};

/// A change of owner is worth its cost if another instance has this many times
/// the processor time.
constexpr double larger_instance_factor = 1.5;

/// Lag above this is an overload: more than a processor that is paused for
/// tenths of a second shows under a load that it can handle.
constexpr base::duration max_lag = std::chrono::milliseconds{70};

/// Processor time to reach one instance for the first time: the request, the
/// report, and the entry of the list, beside the other work of an owner.
constexpr base::duration takeover_time_per_instance =
    std::chrono::microseconds{1'000};

/// Upper limit of the time that an overloaded owner keeps the work.
constexpr base::duration max_overloaded_time = std::chrono::seconds{60};

constexpr std::int64_t millicores_per_core = 1'000;

/// Returns how long it takes to reach all instances.
base::duration reaching_time(owner_load const& it)
{
    auto const millicores = std::max<std::int64_t>(1, it.millicores);
    return takeover_time_per_instance *
           static_cast<std::int64_t>(it.instances) * millicores_per_core /
           millicores;
}

/// Returns how long after its claim an owner may still be busy with the
/// takeover.
base::duration takeover_time(owner_load const& it)
{
    return min_owned_time + reaching_time(it);
}

/// Returns how long an overloaded owner keeps the work.
base::duration overloaded_time(owner_load const& it)
{
    constexpr std::uint32_t max_doublings = 10;
    auto const doublings = std::min(it.overloaded_owners, max_doublings);
    return std::min(takeover_time(it) * (1U << doublings), max_overloaded_time);
}

} // namespace

char const* name_of(yield_reason it)
{
    switch (it)
    {
    case yield_reason::none:
        return "none";
    case yield_reason::larger_instance:
        return "larger_instance";
    case yield_reason::overloaded:
        return "overloaded";
    }
    return "other";
}

yield_reason should_yield(owner_load const& it)
{
    if (it.owned_for < min_owned_time || it.others.empty())
    {
        return yield_reason::none;
    }
    auto const largest =
        std::ranges::max(it.others, {}, &peer::millicores).millicores;
    if (static_cast<double>(largest) >=
        larger_instance_factor * static_cast<double>(it.millicores))
    {
        return yield_reason::larger_instance;
    }
    return it.lag > max_lag && largest >= it.millicores &&
                   it.owned_for >= overloaded_time(it)
               ? yield_reason::overloaded
               : yield_reason::none;
}

bool is_taking_over(owner_load const& it)
{
    return it.owned_for < reaching_time(it);
}

bool handles_load(owner_load const& it)
{
    return it.owned_for >= takeover_time(it) && it.lag <= max_lag;
}

} // namespace berylhill::cell
