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
    return it.lag > max_lag && largest >= it.millicores
               ? yield_reason::overloaded
               : yield_reason::none;
}

} // namespace berylhill::cell
