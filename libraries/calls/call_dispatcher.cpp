#include <calls/call_dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::calls
{

namespace
{

/// Retry-After when no group is known, in seconds; a group may have been
/// announced by then.
constexpr double s_no_group_retry_s = 1;
/// An owner gives up slightly before the caller's deadline, so that its
/// statement on whether the call ran arrives in time. The margin is at most
/// this time and at most this fraction (one in s_answer_part) of the remaining
/// time.
constexpr base::duration s_answer_way{std::chrono::milliseconds{5}};
constexpr std::int32_t s_answer_part = 10;

} // namespace

attempt_end attempt_end_of(refusal const& why) noexcept
{
    if (why.execution == ran::unknown)
    {
        return attempt_end::timed_out;
    }
    if (why.code == refusal_code::stopping)
    {
        return attempt_end::ownership_moved;
    }
    return why.code == refusal_code::minion_refused
               ? attempt_end::minion_refused
               : attempt_end::owner_refused;
}

call_dispatcher::call_dispatcher(router_settings const& routes,
                                 retry_settings const& retries,
                                 generator random)
    : m_router{routes, random}
    , m_budget{retries, random}
{
}

void call_dispatcher::update_group(group_digest const& it, base::instant now)
{
    m_router.update_group(it, now);
}

void call_dispatcher::remove_group(std::string const& group)
{
    m_router.remove_group(group);
}

dispatch_actions call_dispatcher::start(call const& it,
                                        std::string const& service,
                                        base::instant now)
{
    dispatch_actions out;
    request fresh;
    fresh.original = it;
    fresh.service = service;
    auto& added =
        m_requests.emplace(it.request_id, std::move(fresh)).first->second;
    m_budget.add_first_attempt(it.contract);
    m_timers.push({it.deadline, it.request_id, timer_kind::deadline, {}});
    send(added, required_capacity::any, false, now, out);
    return out;
}

dispatch_actions call_dispatcher::attempt_ended(attempt_report const& report,
                                                base::instant now)
{
    dispatch_actions out;
    auto const id = m_attempts.extract(report.attempt_id);
    if (id.empty())
    {
        return out;
    }
    auto& it = m_requests.at(id.mapped());
    auto const ended = std::find_if(it.attempts.begin(), it.attempts.end(),
                                    [&](attempt const& each)
                                    { return each.id == report.attempt_id; });
    auto const paid = attempt_rules::costs_budget(report.end);
    ended->open = false;
    ended->uncharged = !paid;
    if (report.end == attempt_end::owner_refused)
    {
        m_router.mark_full(ended->to.group);
    }
    if (report.why)
    {
        it.last_refusal = report.why;
    }
    auto const step = attempt_rules::decide(report.end, it.original.safety,
                                            it.earlier_attempts,
                                            allowance_for(it, paid, now));
    if (!attempt_rules::surely_not_run(report.end))
    {
        it.earlier_attempts = ran::unknown;
    }
    auto const others_open =
        std::any_of(it.attempts.begin(), it.attempts.end(),
                    [](attempt const& each) { return each.open; });
    if (step == next_step::deliver)
    {
        finish(it.original.request_id, report.attempt_id, out);
        return out;
    }
    if (others_open || it.resend_scheduled)
    {
        return out;
    }
    if (step == next_step::resend && schedule_resend(it, report.end, now))
    {
        return out;
    }
    refuse(it, it.earlier_attempts, out);
    return out;
}

dispatch_actions call_dispatcher::cancel(std::string const& request_id)
{
    dispatch_actions out;
    if (m_requests.contains(request_id))
    {
        finish(request_id, {}, out);
    }
    return out;
}

dispatch_actions call_dispatcher::expire(base::instant now)
{
    dispatch_actions out;
    while (!m_timers.empty() && m_timers.top().at <= now)
    {
        auto const it = m_timers.top();
        m_timers.pop();
        run_timer(it, now, out);
    }
    m_router.expire(now);
    return out;
}

std::optional<base::instant> call_dispatcher::next_expiry() const
{
    if (m_timers.empty())
    {
        return std::nullopt;
    }
    return m_timers.top().at;
}

std::int32_t call_dispatcher::resends(std::string const& request_id) const
{
    auto const it = m_requests.find(request_id);
    if (it == m_requests.end())
    {
        return 0;
    }
    return std::max(charged_attempts(it->second) - 1, std::int32_t{0});
}

std::int32_t call_dispatcher::charged_attempts(request const& it)
{
    return static_cast<std::int32_t>(
        std::count_if(it.attempts.begin(), it.attempts.end(),
                      [](attempt const& each) { return !each.uncharged; }));
}

std::vector<std::string> call_dispatcher::tried_groups(request const& it)
{
    std::vector<std::string> groups;
    for (auto const& each : it.attempts)
    {
        if (!each.uncharged)
        {
            groups.push_back(each.to.group);
        }
    }
    return groups;
}

void call_dispatcher::send(request& it,
                           required_capacity room,
                           bool paid,
                           base::instant now,
                           dispatch_actions& out)
{
    auto const to = m_router.choose(it.service, tried_groups(it), room, now);
    auto const first = it.attempts.empty();
    if (!to || (paid && !m_budget.take_resend(it.original.contract)))
    {
        auto const waits =
            std::any_of(it.attempts.begin(), it.attempts.end(),
                        [](attempt const& each) { return each.open; });
        if (!waits)
        {
            refuse(it, it.earlier_attempts, out);
        }
        return;
    }
    auto offered = it.original;
    offered.request_id += "/" + std::to_string(it.attempts.size() + 1);
    offered.deadline -=
        std::min(s_answer_way, (offered.deadline - now) / s_answer_part);
    it.attempts.push_back({offered.request_id, *to, true});
    m_attempts.emplace(offered.request_id, it.original.request_id);
    if (first)
    {
        schedule_hedge(it, *to, now);
    }
    out.emplace_back(
        send_to_owner{it.original.request_id, std::move(offered), *to});
}

void call_dispatcher::schedule_hedge(request const& it,
                                     route const& to,
                                     base::instant now)
{
    if (!attempt_rules::may_hedge(it.original.safety,
                                  allowance_for(it, true, now)))
    {
        return;
    }
    auto const at = m_router.hedge_at(to.group, it.original, now);
    if (at)
    {
        m_timers.push({*at, it.original.request_id, timer_kind::hedge,
                       required_capacity::idle});
    }
}

void call_dispatcher::run_timer(timer const& it,
                                base::instant now,
                                dispatch_actions& out)
{
    auto const found = m_requests.find(it.request_id);
    if (found == m_requests.end())
    {
        return;
    }
    auto& planned = found->second;
    switch (it.kind)
    {
    case timer_kind::deadline:
    {
        // An attempt that an owner holds may already have been sent to a
        // minion.
        auto const open =
            std::any_of(planned.attempts.begin(), planned.attempts.end(),
                        [](attempt const& each) { return each.open; });
        refuse(planned, open ? ran::unknown : planned.earlier_attempts, out);
        return;
    }
    case timer_kind::resend:
        planned.resend_scheduled = false;
        send(planned, it.capacity, it.charged, now, out);
        return;
    case timer_kind::hedge:
        hedge(planned, now, out);
        return;
    }
}

void call_dispatcher::hedge(request& it,
                            base::instant now,
                            dispatch_actions& out)
{
    auto const one_open = it.attempts.size() == 1 && it.attempts[0].open;
    if (one_open && attempt_rules::may_hedge(it.original.safety,
                                             allowance_for(it, true, now)))
    {
        send(it, required_capacity::idle, true, now, out);
    }
}

bool call_dispatcher::schedule_resend(request& it,
                                      attempt_end end,
                                      base::instant now)
{
    // A refusal by one full owner does not tell the load of the others, but
    // most groups are usually full at the same time.
    auto const room = end == attempt_end::owner_refused
                          ? required_capacity::short_queue
                          : required_capacity::any;
    // Without a candidate group, the caller is refused now rather than after
    // the back-off.
    if (!m_router.has_candidate(it.service, tried_groups(it), room, now))
    {
        return false;
    }
    auto const number = static_cast<std::int32_t>(it.attempts.size());
    it.resend_scheduled = true;
    m_timers.push({now + m_budget.back_off(number), it.original.request_id,
                   timer_kind::resend, room, attempt_rules::costs_budget(end)});
    return true;
}

void call_dispatcher::finish(std::string const& request_id,
                             std::string const& answered,
                             dispatch_actions& out)
{
    if (!answered.empty())
    {
        out.emplace_back(deliver_attempt{request_id, answered});
    }
    auto const it = m_requests.extract(request_id);
    for (auto const& each : it.mapped().attempts)
    {
        if (each.open)
        {
            m_attempts.erase(each.id);
            out.emplace_back(cancel_attempt{each.id, each.to});
        }
    }
}

void call_dispatcher::refuse(request const& it, ran work, dispatch_actions& out)
{
    refusal why{ran::not_run, refusal_code::no_minion,
                "no minion group of service '" + it.service + "' is known",
                s_no_group_retry_s};
    if (it.last_refusal)
    {
        why = *it.last_refusal;
    }
    if (work == ran::unknown)
    {
        why = {ran::unknown, refusal_code::outcome_unknown,
               "the call was sent and no complete answer arrived", 0};
    }
    out.emplace_back(refuse_request{it.original.request_id, why});
    finish(std::string{it.original.request_id}, {}, out);
}

resend_allowance call_dispatcher::allowance_for(request const& it,
                                                bool paid,
                                                base::instant now) const
{
    if (now + m_budget.settings().first_back_off >= it.original.deadline)
    {
        return resend_allowance::exhausted;
    }
    if (!paid)
    {
        return resend_allowance::allowed;
    }
    auto const left = charged_attempts(it) < m_budget.settings().max_attempts &&
                      m_budget.has_resend(it.original.contract);
    return left ? resend_allowance::allowed : resend_allowance::exhausted;
}

} // namespace berylhill::calls
