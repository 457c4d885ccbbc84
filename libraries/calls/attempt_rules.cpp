#include <calls/attempt_rules.hpp>

namespace berylhill::calls
{

bool attempt_rules::surely_not_run(attempt_end end) noexcept
{
    switch (end)
    {
    case attempt_end::not_sent:
    case attempt_end::owner_refused:
    case attempt_end::ownership_moved:
    case attempt_end::minion_refused:
        return true;
    case attempt_end::answered:
    case attempt_end::connection_lost:
    case attempt_end::answer_truncated:
    case attempt_end::timed_out:
    case attempt_end::owner_lost:
        return false;
    }
    return false;
}

next_step attempt_rules::decide(attempt_end end,
                                model::rerun safety,
                                ran earlier,
                                resend_allowance room) noexcept
{
    if (end == attempt_end::answered)
    {
        return next_step::deliver;
    }
    auto const not_run = surely_not_run(end) && earlier == ran::not_run;
    // A non-idempotent call of which any byte may have been sent could run
    // twice. It is sent again only if it certainly did not run.
    auto const may_resend = not_run || safety == model::rerun::idempotent;
    if (may_resend && room == resend_allowance::allowed)
    {
        return next_step::resend;
    }
    return not_run ? next_step::refuse_not_run : next_step::refuse_unknown;
}

bool attempt_rules::costs_budget(attempt_end end) noexcept
{
    return end != attempt_end::not_sent && end != attempt_end::ownership_moved;
}

bool attempt_rules::may_hedge(model::rerun safety,
                              resend_allowance room) noexcept
{
    return safety == model::rerun::idempotent &&
           room == resend_allowance::allowed;
}

} // namespace berylhill::calls
