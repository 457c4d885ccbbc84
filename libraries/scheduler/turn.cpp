#include <scheduler/turn.hpp>

namespace berylhill::scheduler
{

char const* name_of(turn_tier it)
{
    switch (it)
    {
    case turn_tier::in_time:
        return "in_time";
    case turn_tier::late:
        return "late";
    case turn_tier::over_share:
        return "over_share";
    case turn_tier::worthless:
        return "worthless";
    }
    return "";
}

} // namespace berylhill::scheduler
