#include "world.hpp"

#include <algorithm>
#include <utility>

namespace berylhill::scheduler_test
{

using scheduler::start_answer;

namespace
{

/// The share of delayed orders among those that are answered in a spell.
constexpr double slow_share = 0.5;

/// The share of single starts that an instance rejects for want of room or of a
/// valid ticket while it rejects other requests.
constexpr double single_share = 0.3;

/// How long a request without an answer may be under way.
constexpr base::duration shortest_delay = std::chrono::seconds{2};
constexpr base::duration longest_delay = std::chrono::seconds{12};

/// Answers with no more than this left of the timeout do not arrive in time.
constexpr base::duration answer_margin = std::chrono::milliseconds{10};

double share_between(std::mt19937_64& of, double a, double b)
{
    return std::uniform_real_distribution<>{a, b}(of);
}

base::duration
pause_between(std::mt19937_64& of, base::duration a, base::duration b)
{
    return base::duration{
        std::uniform_int_distribution<std::int64_t>{a.count(), b.count()}(of)};
}

bool rejection(start_answer it)
{
    return it == start_answer::turned_away || it == start_answer::no_room ||
           it == start_answer::no_ticket || it == start_answer::lease_passed ||
           it == start_answer::invalid;
}

} // namespace

/// Some instances, each with its own share and duration.
void world::begin_rejections()
{
    constexpr double instance_share = 0.4;
    for (auto const& [id, it] : m_instances)
    {
        if (it->up && chance(m_reject_random, instance_share))
        {
            it->reject_share = share_between(m_reject_random, 0.2, 0.9);
            it->rejects_until =
                m_now + pause_between(m_reject_random, std::chrono::seconds{1},
                                      std::chrono::seconds{6});
        }
    }
}

void world::begin_late_spell()
{
    m_spell_share = share_between(m_spell_random, 0.3, 0.7);
    m_spell_until =
        m_now + pause_between(m_spell_random, std::chrono::seconds{1},
                              std::chrono::seconds{8});
}

/// Whether the instance rejects this request; it has then done nothing.
bool world::rejects(fake_instance const& it)
{
    return m_trouble && m_now < it.rejects_until &&
           chance(m_reject_random, it.reject_share);
}

std::optional<start_answer> world::start_rejection(fake_instance const& at,
                                                   workload::job_id of)
{
    if (!m_trouble || m_now >= at.rejects_until ||
        !chance(m_reject_random, single_share))
    {
        return std::nullopt;
    }
    auto const job = m_submitted.find(of);
    auto const advised =
        job != m_submitted.end() && job->second.queue == "advised";
    return advised ? start_answer::no_ticket : start_answer::no_room;
}

/// An order is carried out seconds late, or its request and its answer take so
/// long that answers arrive in another order than the orders were sent.
world::order_delay world::next_delay(base::duration timeout)
{
    order_delay out;
    if (!m_trouble || m_now >= m_spell_until)
    {
        return out;
    }
    if (chance(m_spell_random, m_spell_share))
    {
        out.request =
            pause_between(m_spell_random, shortest_delay, longest_delay);
        out.unanswered = true;
    }
    else if (chance(m_spell_random, slow_share))
    {
        out.request = pause_between(m_spell_random, base::duration{0}, timeout);
        out.answer = pause_between(m_spell_random, base::duration{0}, timeout);
        out.unanswered = out.request + out.answer > timeout - answer_margin;
    }
    return out;
}

/// From a report until the next hold request.
base::duration world::pause_after_report()
{
    constexpr base::duration usual = std::chrono::milliseconds{60};
    if (!m_trouble || m_rough.long_rest == 0 ||
        !chance(m_hold_random, m_rough.long_rest))
    {
        return usual;
    }
    return pause_between(m_hold_random, std::chrono::milliseconds{500},
                         std::chrono::seconds{3});
}

/// How long a hold request that gets no answer is under way; empty for others.
std::optional<base::duration> world::late_hold()
{
    if (!m_trouble || !chance(m_hold_random, m_rough.late_hold))
    {
        return std::nullopt;
    }
    return pause_between(m_hold_random, shortest_delay, longest_delay);
}

/// Tells the owner the outcome of an order, or what a planted fault makes of
/// it.
void world::deliver(owner_pointer const& to, scheduler::start_reply it)
{
    if (!to->alive)
    {
        return;
    }
    if (it.answer == start_answer::fenced)
    {
        fenced(to);
        return;
    }
    note_answer(it);
    if (m_fault == planted::believe_timeouts &&
        it.answer == start_answer::unanswered)
    {
        it.answer = start_answer::turned_away;
    }
    auto& awaited = to->awaited[it.attempt];
    awaited.erase(it.send);
    to->decisions->start_answered(it, m_now);
    if (m_fault == planted::reject_all_sends && rejection(it.answer))
    {
        for (auto const send : std::exchange(awaited, {}))
        {
            it.send = send;
            to->decisions->start_answered(it, m_now);
        }
    }
    pump(to);
}

void world::note_answer(scheduler::start_reply const& it)
{
    if (rejection(it.answer))
    {
        m_rejected.insert(it.attempt);
    }
}

/// The end as it is reported to the owner.
scheduler::ended_attempt_report
world::as_told(owner const& to,
               std::string const& by,
               scheduler::ended_attempt_report it) const
{
    if (m_fault != planted::lose_unexpected_ends)
    {
        return it;
    }
    auto const& task = it.attempt.task;
    auto const* const job = to.decisions->jobs().find(task.step.job);
    if (job == nullptr || !job->occurrences.contains(task.step.occurrence))
    {
        return it;
    }
    auto const& in = job->occurrences.at(task.step.occurrence);
    if (task.step.step_index >= in.steps.size())
    {
        // The details of a finished job were released.
        return it;
    }
    auto const& known = in.steps[task.step.step_index].tasks.at(task.index);
    if (known.phase != scheduler::task_phase::placed ||
        known.run != it.attempt.run || known.instance != by)
    {
        it.reason = scheduler::end_reason::stopped;
    }
    return it;
}

} // namespace berylhill::scheduler_test
