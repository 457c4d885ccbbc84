#include <scheduler/scheduler.hpp>

namespace berylhill::scheduler
{

namespace
{

char const* event_of(stop_answer it)
{
    switch (it)
    {
    case stop_answer::accepted:
        return "stop_accepted";
    case stop_answer::rejected:
        return "stop_refused";
    case stop_answer::unanswered:
        return "stop_unanswered";
    }
    return "stop_unanswered";
}

} // namespace

void scheduler::start_answered(start_reply const& reply, base::instant now)
{
    auto* const at = m_instances.find(reply.instance);
    if (at == nullptr)
    {
        return;
    }
    if (reply.clock_ms != 0)
    {
        at->heard(now, reply.clock_ms);
    }
    auto const& name = reply.attempt;
    auto* const it = at->find(name);
    if (it == nullptr)
    {
        return;
    }
    if (reply.answer == start_answer::unanswered)
    {
        it->sends.timed_out(reply.send);
        report_sends(base::log_level::info, "start_unanswered", *at, name, *it,
                     now);
        return;
    }
    it->sends.answered(reply.send);
    switch (reply.answer)
    {
    case start_answer::running:
        it->settled_at = now;
        it->began_at = now;
        it->progressed_at = now;
        it->state = attempt_state::running;
        if (!it->stop_wanted)
        {
            it->next_try.reset();
        }
        note_begun(name.task.step.job);
        return;
    case start_answer::outdated:
        it->settled_at = now;
        it->next_try.reset();
        return;
    case start_answer::other_incarnation:
        if (it->state == attempt_state::sent && it->sends.sent() == 1)
        {
            // Its only order reached another incarnation, so it has never
            // begun.
            attempt_ended(*at, name, end_reason::stopped, {}, now);
        }
        instance_replaced(reply.instance, now);
        return;
    case start_answer::no_ticket:
        if (auto* const job = m_jobs.find(name.task.step.job); job != nullptr)
        {
            if (auto* const in = job->find(name.task.step); in != nullptr)
            {
                in->advice.allowed.erase(at->number());
            }
        }
        refused(*at, reply, *it, now);
        return;
    case start_answer::turned_away:
    case start_answer::fenced:
    case start_answer::lease_passed:
    case start_answer::no_room:
    case start_answer::invalid:
        // A rejection shows that the known state of the instance is outdated;
        // the pause keeps the task from being placed there again before the
        // next report.
        at->pause(now + m_rules.turned_away_pause);
        refused(*at, reply, *it, now);
        return;
    case start_answer::unanswered:
        return;
    }
}

void scheduler::start_not_sent(start_order const& it, base::instant now)
{
    auto* const at = m_instances.find(it.instance);
    auto* const found = at == nullptr ? nullptr : at->find(it.attempt);
    if (found == nullptr)
    {
        return;
    }
    found->sends.answered(it.send);
    report_sends(base::log_level::info, "start_not_sent", *at, it.attempt,
                 *found, now);
}

/// This order was not carried out, which says nothing of the others of the
/// attempt: while any of them may be, the attempt has to be stopped before the
/// task can be placed again.
void scheduler::refused(instance& at,
                        start_reply const& reply,
                        attempt& it,
                        base::instant now)
{
    auto const& name = reply.attempt;
    m_log->write(base::log_level::info, "start_refused",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"answer", name_of(reply.answer)},
                  {"send", reply.send},
                  {"sent", it.sends.sent()},
                  {"awaited", it.sends.awaited()},
                  {"unanswered", it.sends.unanswered()}});
    if (it.state == attempt_state::running)
    {
        return;
    }
    if (it.sends.any_under_way())
    {
        if (!it.stop_wanted)
        {
            want_stop(at, name, it, now);
        }
        return;
    }
    attempt_ended(at, name, end_reason::stopped, {}, now);
}

/// Logs how many start orders of the attempt were sent and which of them may
/// still be carried out.
void scheduler::report_sends(base::log_level level,
                             char const* event,
                             instance const& at,
                             attempt_name const& name,
                             attempt const& it,
                             base::instant now) const
{
    m_log->write(level, event,
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"sent", it.sends.sent()},
                  {"awaited", it.sends.awaited()},
                  {"unanswered", it.sends.unanswered()},
                  {"stop_wanted", it.stop_wanted ? 1 : 0},
                  {"entry_age_s", logged_age(at, now)}});
}

void scheduler::stop_answered(std::string const& id,
                              attempt_name const& name,
                              stop_answer answer,
                              base::instant now)
{
    auto* const at = m_instances.find(id);
    auto* const it = at == nullptr ? nullptr : at->find(name);
    if (it == nullptr)
    {
        return;
    }
    if (answer != stop_answer::accepted || it->sends.any_under_way())
    {
        report_sends(base::log_level::info, event_of(answer), *at, name, *it,
                     now);
    }
    if (answer != stop_answer::accepted)
    {
        return;
    }
    it->settled_at = now;
    it->next_try.reset();
}

} // namespace berylhill::scheduler
