#include <placement/job_queue.hpp>

#include <algorithm>
#include <cassert>
#include <limits>

namespace berylhill::placement
{

namespace
{

/// A normal job gets a turn after this many urgent decisions in a row.
constexpr std::int32_t s_max_consecutive_urgent = 16;
/// Finished jobs are removed from a class's queue when there are at least this
/// many and they are at least half of it.
constexpr std::size_t s_min_finished_to_sweep = 64;
/// A job is ordered by its latest start (deadline minus run time) minus this
/// margin where that is earlier than its normal order.
constexpr double s_deadline_margin_s = 60;
/// For contracts that prefer short waiting: each second of run time orders a
/// job as if it had been accepted this many seconds later.
constexpr double s_run_time_weight = 4;
/// For contracts that prefer packing: a task as large as a worker is ordered as
/// if it had been accepted this many seconds earlier than the smallest. Small
/// tasks then fill the remaining gaps.
constexpr double s_size_weight_s = 60;

} // namespace

void job_queue::schedule_wakeup(job_pointer const& job,
                                std::int32_t task,
                                base::instant at)
{
    m_wakeups.push({at, ++m_wakeup_order, job, task});
}

base::instant job_queue::next_wakeup() const
{
    return m_wakeups.empty() ? base::instant::max() : m_wakeups.top().at;
}

void job_queue::process_wakeups(base::instant now)
{
    while (!m_wakeups.empty() && m_wakeups.top().at <= now)
    {
        auto const job = m_wakeups.top().job.lock();
        auto const index = m_wakeups.top().task;
        m_wakeups.pop();
        if (job == nullptr || model::is_final(job->state))
        {
            continue;
        }
        // A late success may have ended a task that waited after a failure.
        if (index >= 0 && job->tasks[static_cast<std::size_t>(index)].phase ==
                              task_phase::waiting)
        {
            make_waiting(*job, index);
        }
        enqueue(job);
    }
}

job_queue::turns job_queue::turns_of(bool urgent) const
{
    std::vector<turn> all;
    for (std::size_t n = 0; n < m_accounts.size(); ++n)
    {
        auto const& it = *m_accounts[n];
        auto const has_work =
            urgent ? it.active_urgent > 0 : !it.active.empty();
        if (has_work)
        {
            all.push_back({it.weighted_share(m_groups.total()),
                           static_cast<std::int32_t>(n)});
        }
    }
    return turns{std::greater<>{}, std::move(all)};
}

queue_actions job_queue::decide(base::instant now, std::int32_t max_holds)
{
    queue_actions actions;
    process_wakeups(now);
    replan(actions);
    m_round += 1;
    auto urgent = turns_of(true);
    auto normal = turns_of(false);
    auto const decided = [&]
    {
        return static_cast<std::int32_t>(actions.holds.size());
    };
    while (decided() < max_holds && !(urgent.empty() && normal.empty()))
    {
        auto const normal_is_due =
            m_consecutive_urgent >= s_max_consecutive_urgent;
        if (!urgent.empty() && !(normal_is_due && !normal.empty()))
        {
            if (decide_one(urgent, true, now, actions))
            {
                m_consecutive_urgent += 1;
            }
            continue;
        }
        m_consecutive_urgent = 0;
        if (!normal.empty())
        {
            decide_one(normal, false, now, actions);
        }
    }
    reserve_if_due(now, actions);
    return actions;
}

bool job_queue::decide_one(turns& from,
                           bool urgent,
                           base::instant now,
                           queue_actions& actions)
{
    auto const index = from.top().account;
    auto& account = *m_accounts[static_cast<std::size_t>(index)];
    from.pop();
    auto* const chosen = next_class(account, urgent, now);
    if (chosen == nullptr)
    {
        return false;
    }
    auto const placed = place(*chosen, now, actions);
    if (!placed)
    {
        chosen->failed_round = m_round;
    }
    from.push({account.weighted_share(m_groups.total()), index});
    return placed;
}

void job_queue::remove_finished_jobs(job_class& it)
{
    while (!it.jobs.empty())
    {
        auto const& front = it.jobs.front();
        auto const is_finished = model::is_final(front->state);
        if (!is_finished && !front->waiting.empty())
        {
            break;
        }
        it.finished -= is_finished ? 1 : 0;
        front->queued = false;
        it.jobs.pop_front();
    }
    if (it.finished < s_min_finished_to_sweep ||
        it.finished * 2 < it.jobs.size())
    {
        return;
    }
    std::erase_if(it.jobs,
                  [](auto const& job) { return model::is_final(job->state); });
    it.finished = 0;
}

void job_queue::update_estimate(job_class& it)
{
    if (it.planned_round == m_round)
    {
        return;
    }
    it.planned_round = m_round;
    auto const& request = it.jobs.front()->request;
    auto const found =
        m_estimator.estimate_for(request, m_groups.largest_worker());
    it.need = found.peak;
    it.run_s = found.run_s;
    // A job that was accepted without the safety margin of the estimate must
    // not wait forever because of the margin.
    if (!can_ever_fit(*it.jobs.front(), it.need))
    {
        it.need = found.peak_without_margin;
    }
}

bool job_queue::can_ever_fit(job_record const& job,
                             model::resources const& need) const
{
    auto const& account = *m_accounts[static_cast<std::size_t>(job.account)];
    auto const batch = job.request.kind == model::job_kind::batch;
    auto const concurrent_tasks = batch ? 1 : job.request.tasks;
    auto const& contract = account.contract();
    auto const urgent = job.request.urgent == model::urgency::urgent;
    return (need * concurrent_tasks).fits_in(contract.quota) &&
           (!urgent ||
            (need * concurrent_tasks).fits_in(contract.urgent_quota)) &&
           (batch || m_groups.slots_when_empty(need) >= concurrent_tasks);
}

double job_queue::order_key(contract_account const& account,
                            job_class const& it) const
{
    auto const& job = *it.jobs.front();
    auto key = base::seconds_of(job.accepted_at.time_since_epoch());
    if (account.contract().preferred == model::preference::waiting)
    {
        key += s_run_time_weight * it.run_s;
    }
    else
    {
        key -= s_size_weight_s *
               dominant_share(it.need, m_groups.largest_worker());
    }
    if (job.request.deadline_s > 0)
    {
        auto const end = base::seconds_of(job.deadline.time_since_epoch());
        key = std::min(key, end - it.run_s - s_deadline_margin_s);
    }
    return key;
}

void job_queue::remove_idle_classes(contract_account& account)
{
    std::erase_if(account.active,
                  [&](auto const& each)
                  {
                      remove_finished_jobs(*each);
                      each->active = !each->jobs.empty();
                      account.active_urgent -=
                          !each->active && each->urgent ? 1 : 0;
                      return !each->active;
                  });
}

job_class*
job_queue::next_class(contract_account& account, bool urgent, base::instant now)
{
    job_class* best = nullptr;
    auto best_key = std::numeric_limits<double>::infinity();
    remove_idle_classes(account);
    for (auto const& each : account.active)
    {
        auto& it = *each;
        if (it.failed_round == m_round || (urgent && !it.urgent) ||
            it.jobs.front()->not_before > now)
        {
            continue;
        }
        update_estimate(it);
        auto const& job = *it.jobs.front();
        auto const gang = job.request.kind == model::job_kind::gang;
        auto const tasks =
            gang ? static_cast<std::int32_t>(job.waiting.size()) : 1;
        if (!account.allows(it.need, tasks) ||
            (urgent && !account.allows_urgent(it.need, tasks)))
        {
            continue;
        }
        auto const at = order_key(account, it);
        if (at < best_key)
        {
            best_key = at;
            best = &it;
        }
    }
    return best;
}

bool job_queue::place(job_class& it, base::instant now, queue_actions& actions)
{
    auto const job = it.jobs.front();
    auto const placed = job->request.kind == model::job_kind::gang
                            ? place_gang(it, job, now, actions)
                            : place_task(it, job, now, actions);
    if (!placed)
    {
        record_blocked(job, now);
        return false;
    }
    if (job->request.kind == model::job_kind::gang)
    {
        // The gang is queued again only if it does not get all its holds.
        it.jobs.pop_front();
        job->queued = false;
    }
    else
    {
        job->blocked_since = base::instant::max();
    }
    return true;
}

bool job_queue::place_task(job_class& it,
                           job_pointer const& job,
                           base::instant now,
                           queue_actions& actions)
{
    auto const& account = account_of(*job);
    auto const& ranking =
        policy_for(job->request.kind, account.contract().preferred);
    auto& task = job->tasks[static_cast<std::size_t>(job->waiting.back())];
    auto preempt = task.claimed_group >= 0;
    auto group = preempt
                     ? task.claimed_group
                     : m_groups.choose(*job, it.need, it.run_s, now, ranking);
    task.claimed_group = -1;
    if (group < 0 && it.urgent && account.allows_urgent(it.need, 1))
    {
        group = m_groups.choose_preemptible(it.need);
        preempt = group >= 0;
    }
    if (group < 0)
    {
        return false;
    }
    auto const index = job->waiting.back();
    job->waiting.pop_back();
    m_waiting_tasks -= 1;
    // An at-most-once task is committed only after the intent to start it is in
    // the log.
    auto const mode = job->request.safety == model::rerun::at_most_once
                          ? hold_mode::hold
                          : hold_mode::start;
    request_hold(job, index, group, mode, preempt, actions);
    return true;
}

void job_queue::request_hold(job_pointer const& job,
                             std::int32_t index,
                             std::int32_t group,
                             hold_mode mode,
                             bool preempt,
                             queue_actions& actions)
{
    auto& account = account_of(*job);
    auto const& of_class = *job->of_class;
    auto& it = job->tasks[static_cast<std::size_t>(index)];
    it.number += 1;
    it.group = group;
    it.phase = task_phase::ordered;
    it.unanswered = false;
    it.planned = of_class.need;
    it.expected_run_s = static_cast<float>(of_class.run_s);
    it.urgent = of_class.urgent && account.allows_urgent(it.planned, 1);
    account.charge(it);
    if (it.number == m_first_attempt)
    {
        account.on_first_start();
    }
    m_groups.on_requested(group, it.planned);
    auto found = hold_order_for(*job, index);
    found.mode = mode;
    found.request.may_preempt = preempt;
    actions.holds.push_back(std::move(found));
}

hold_order job_queue::hold_order_for(job_record const& job,
                                     std::int32_t index) const
{
    auto const& it = job.tasks[static_cast<std::size_t>(index)];
    auto const& account = *m_accounts[static_cast<std::size_t>(job.account)];
    hold_order found;
    found.group = m_groups.name_of(it.group);
    found.mode = job.request.kind == model::job_kind::gang ||
                         job.request.safety == model::rerun::at_most_once
                     ? hold_mode::hold
                     : hold_mode::start;
    auto& request = found.request;
    request.attempt = {{job.id, index}, it.number};
    request.contract = job.request.contract;
    request.name = job.request.name;
    request.kind = job.request.kind;
    request.urgent =
        it.urgent ? model::urgency::urgent : model::urgency::normal;
    request.safety = job.request.safety;
    request.preempted = account.contract().preempted;
    request.need = it.planned;
    request.expected_run_s = it.expected_run_s;
    request.command = job.request.command;
    request.avoid.assign(job.failed_workers.begin(), job.failed_workers.end());
    return found;
}

} // namespace berylhill::placement
