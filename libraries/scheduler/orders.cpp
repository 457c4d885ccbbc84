#include <scheduler/orders.hpp>

namespace berylhill::scheduler
{

char const* name_of(start_answer it)
{
    switch (it)
    {
    case start_answer::running:
        return "running";
    case start_answer::fenced:
        return "fenced";
    case start_answer::outdated:
        return "outdated";
    case start_answer::lease_passed:
        return "lease_passed";
    case start_answer::no_room:
        return "no_room";
    case start_answer::no_ticket:
        return "no_ticket";
    case start_answer::turned_away:
        return "turned_away";
    case start_answer::other_incarnation:
        return "other_incarnation";
    case start_answer::invalid:
        return "invalid";
    case start_answer::unanswered:
        return "unanswered";
    }
    return "unknown";
}

bool settles_earlier_orders(start_answer it)
{
    using enum start_answer;
    return it == running || it == fenced || it == outdated || it == invalid ||
           it == other_incarnation;
}

char const* name_of(end_reason it)
{
    switch (it)
    {
    case end_reason::done:
        return "done";
    case end_reason::failed:
        return "failed";
    case end_reason::stopped:
        return "stopped";
    case end_reason::lease_lapsed:
        return "lease_lapsed";
    case end_reason::gang_member_ended:
        return "broken";
    case end_reason::gang_incomplete:
        return "alone";
    case end_reason::instance_crashed:
        return "instance_crashed";
    case end_reason::instance_left:
        return "instance_left";
    case end_reason::instance_silent:
        return "instance_silent";
    }
    return "unknown";
}

} // namespace berylhill::scheduler
