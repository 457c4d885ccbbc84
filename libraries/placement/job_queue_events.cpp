#include <placement/job_queue.hpp>

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace berylhill::placement
{

namespace
{

/// A job fails when one of its tasks failed s_max_failures times and the job
/// failed on s_min_failed_workers workers, or when a task failed
/// s_max_failures_on_any_worker times wherever it ran.
constexpr std::int16_t s_max_failures = 5;
constexpr std::size_t s_min_failed_workers = 3;
constexpr std::int16_t s_max_failures_on_any_worker = 12;
/// A task that lost this many workers in a row is considered the cause. A loss
/// after a run of at least s_long_run is attributed to another cause.
constexpr std::int16_t s_max_consecutive_losses = 5;
constexpr base::duration s_long_run{60'000'000};
constexpr double s_first_back_off_s = 1;
constexpr double s_max_back_off_s = 300;
constexpr std::int32_t s_max_doublings = 9;
constexpr double s_no_token_delay_s = 10;
constexpr base::duration s_refused_delay{20'000};
constexpr base::duration s_preempting_delay{100'000};

queue_actions release_of(std::string const& group,
                         model::attempt_id const& attempt)
{
    queue_actions actions;
    actions.releases.push_back({group, attempt});
    return actions;
}

} // namespace

task_record* job_queue::find_current(job_pointer const& job,
                                     model::attempt_id const& attempt)
{
    auto const index = attempt.task.index;
    if (job == nullptr || index < 0 || index >= job->request.tasks)
    {
        return nullptr;
    }
    auto& it = job->tasks[static_cast<std::size_t>(index)];
    return it.number == attempt.number ? &it : nullptr;
}

void job_queue::stop_accounting(job_record& job, task_record& it)
{
    if (it.phase == task_phase::ordered)
    {
        m_groups.on_answered(it.group, it.planned);
    }
    if (it.phase == task_phase::running)
    {
        auto const at = job.spread.find(it.group);
        if (at != job.spread.end() && --at->second <= 0)
        {
            job.spread.erase(at);
        }
    }
    account_of(job).refund(it);
}

queue_actions job_queue::on_held(model::attempt_id const& attempt,
                                 std::string const& group,
                                 base::instant now)
{
    auto const job = find(attempt.task.job);
    auto* const it = find_current(job, attempt);
    if (it == nullptr || it->phase == task_phase::waiting ||
        it->phase == task_phase::stopping)
    {
        return release_of(group, attempt);
    }
    if (it->phase != task_phase::ordered)
    {
        return {};
    }
    m_groups.on_answered(it->group, it->planned);
    it->phase = task_phase::held;
    if (job->request.kind == model::job_kind::gang)
    {
        job->held += 1;
        return on_gang_answer(job, now);
    }
    it->phase = task_phase::committed;
    queue_actions actions;
    actions.commits.push_back({group, attempt});
    return actions;
}

queue_actions job_queue::on_started(model::attempt_id const& attempt,
                                    std::string const& group,
                                    base::instant now)
{
    auto const job = find(attempt.task.job);
    auto* const it = find_current(job, attempt);
    if (it == nullptr || it->phase == task_phase::waiting ||
        it->phase == task_phase::stopping)
    {
        // The release overtook the start order, or was lost.
        return release_of(group, attempt);
    }
    if (it->phase != task_phase::ordered && it->phase != task_phase::committed)
    {
        return {};
    }
    if (it->phase == task_phase::ordered)
    {
        m_groups.on_answered(it->group, it->planned);
    }
    it->phase = task_phase::running;
    it->since = now;
    job->state = model::job_state::running;
    job->spread[it->group] += 1;
    drop_reservation(job->id);
    return {};
}

queue_actions job_queue::on_refused(model::attempt_id const& attempt,
                                    hold_state why,
                                    base::instant now)
{
    auto const job = find(attempt.task.job);
    auto* const it = find_current(job, attempt);
    if (it == nullptr || it->phase == task_phase::running ||
        it->phase == task_phase::done || it->phase == task_phase::waiting)
    {
        return {};
    }
    auto const late_commit = it->phase == task_phase::committed;
    auto const group = it->group;
    if (why != hold_state::preempting)
    {
        m_groups.on_refused(it->group, it->planned);
    }
    stop_accounting(*job, *it);
    auto const gang = job->request.kind == model::job_kind::gang;
    if (gang && it->phase == task_phase::ordered)
    {
        job->ordered -= 1;
        make_waiting(*job, attempt.task.index);
        return on_gang_answer(job, now);
    }
    make_waiting(*job, attempt.task.index);
    if (gang)
    {
        // One hold expired while others were started. A gang runs only as a
        // whole.
        job->not_before = now + s_refused_delay;
        return late_commit || job->state == model::job_state::running
                   ? restart_gang(job, now)
                   : release_gang(job, now);
    }
    auto const is_preempting = why == hold_state::preempting;
    it->claimed_group = is_preempting ? group : -1;
    auto const delay = is_preempting ? s_preempting_delay : base::duration{0};
    schedule_wakeup(job, -1, now + delay);
    return {};
}

queue_actions job_queue::on_unanswered(model::attempt_id const& attempt)
{
    auto const job = find(attempt.task.job);
    auto* const it = find_current(job, attempt);
    queue_actions actions;
    if (it == nullptr)
    {
        return actions;
    }
    if (it->phase == task_phase::ordered)
    {
        it->unanswered = true;
        actions.holds.push_back(hold_order_for(*job, attempt.task.index));
    }
    else if (it->phase == task_phase::committed)
    {
        actions.commits.push_back({m_groups.name_of(it->group), attempt});
    }
    else if (it->phase == task_phase::stopping)
    {
        actions.releases.push_back({m_groups.name_of(it->group), attempt});
    }
    return actions;
}

/// Prevents a task from running in two places: a send that certainly failed
/// does not show whether an earlier one took effect. A hold alone starts
/// nothing and expires by itself, so only a start order is repeated.
queue_actions job_queue::on_not_taken(model::attempt_id const& attempt,
                                      base::instant now)
{
    auto const job = find(attempt.task.job);
    auto const* const it = find_current(job, attempt);
    if (it != nullptr && it->phase == task_phase::ordered && it->unanswered)
    {
        auto order = hold_order_for(*job, attempt.task.index);
        if (order.mode == hold_mode::start)
        {
            queue_actions actions;
            actions.holds.push_back(std::move(order));
            return actions;
        }
    }
    return on_refused(attempt, hold_state::full, now);
}

void job_queue::on_usage(model::attempt_id const& attempt,
                         model::resources const& use)
{
    auto const job = find(attempt.task.job);
    if (find_current(job, attempt) != nullptr)
    {
        m_estimator.record_usage(job->request, use);
    }
}

queue_actions job_queue::on_finished(attempt_end const& end, base::instant now)
{
    auto const job = find(end.attempt.task.job);
    auto* const it = find_current(job, end.attempt);
    if (it == nullptr || it->phase == task_phase::done ||
        it->phase == task_phase::waiting)
    {
        return {};
    }
    stop_accounting(*job, *it);
    auto const index = end.attempt.task.index;
    auto const once = job->request.safety == model::rerun::at_most_once;
    switch (end.end)
    {
    case model::task_end::succeeded:
        if (m_estimator.learn(job->id, job->request, end.peak, end.run_s))
        {
            mark_for_replan(job->of_class);
        }
        if (job->request.kind == model::job_kind::service)
        {
            return run_again(job, index, now, now);
        }
        return task_done(job, index, now);
    case model::task_end::failed:
        return task_failed(job, index, end, now);
    case model::task_end::checkpointed:
        return run_again(job, index, now, now);
    case model::task_end::stopped:
        if (once)
        {
            return finish_job(
                *job, model::job_state::failed,
                "stopped before it ended; an at-most-once job is not "
                "run again");
        }
        return run_again(job, index, now, now);
    case model::task_end::lapsed:
        if (!once)
        {
            return task_lapsed(job, index, now);
        }
        break;
    case model::task_end::unknown:
        break;
    }
    it->phase = task_phase::done;
    return finish_job(
        *job, model::job_state::outcome_unknown,
        "task " + std::to_string(index) +
            " may have run; an at-most-once task is not run again");
}

queue_actions job_queue::on_late_success(model::task_id const& task,
                                         base::instant now)
{
    auto const job = find(task.job);
    if (job == nullptr || task.index < 0 || task.index >= job->request.tasks ||
        job->request.kind != model::job_kind::batch)
    {
        return {};
    }
    if (job->tasks[static_cast<std::size_t>(task.index)].phase !=
        task_phase::waiting)
    {
        return {};
    }
    m_waiting_tasks -=
        static_cast<std::int64_t>(std::erase(job->waiting, task.index));
    return task_done(job, task.index, now);
}

queue_actions job_queue::task_done(job_pointer const& job,
                                   std::int32_t index,
                                   base::instant now)
{
    job->tasks[static_cast<std::size_t>(index)].phase = task_phase::done;
    job->consecutive_failures = 0;
    job->unfinished -= 1;
    if (job->unfinished > 0)
    {
        // The last task of a gang that is being stopped may succeed before the
        // stop reaches it; the remaining tasks are then started together again.
        auto const gang = job->request.kind == model::job_kind::gang;
        return gang && !job->waiting.empty() ? restart_gang(job, now)
                                             : queue_actions{};
    }
    return finish_job(*job, model::job_state::succeeded, {});
}

queue_actions job_queue::task_failed(job_pointer const& job,
                                     std::int32_t index,
                                     attempt_end const& end,
                                     base::instant now)
{
    auto& it = job->tasks[static_cast<std::size_t>(index)];
    it.failures += 1;
    job->consecutive_failures += 1;
    job->failed_workers.insert(end.worker);
    job->failed_groups.insert(it.group);
    if (job->request.safety == model::rerun::at_most_once)
    {
        return finish_job(*job, model::job_state::failed,
                          "task " + std::to_string(index) +
                              " failed: " + end.detail);
    }
    auto const failed_everywhere =
        it.failures >= s_max_failures &&
        job->failed_workers.size() >= s_min_failed_workers;
    // A service is retried without limit.
    auto const service = job->request.kind == model::job_kind::service;
    if (!service &&
        (failed_everywhere || it.failures >= s_max_failures_on_any_worker))
    {
        return finish_job(*job, model::job_state::failed,
                          "task " + std::to_string(index) + " failed " +
                              std::to_string(it.failures) + " times on " +
                              std::to_string(job->failed_workers.size()) +
                              " workers: " + end.detail);
    }
    auto const doublings =
        std::min(job->consecutive_failures - 1, s_max_doublings);
    auto back_off_s =
        std::min(s_first_back_off_s * (1 << doublings), s_max_back_off_s);
    if (!account_of(*job).take_retry_token())
    {
        back_off_s += s_no_token_delay_s;
    }
    boost::random::uniform_real_distribution<double> back_off_range{
        back_off_s / 2, back_off_s};
    return run_again(job, index,
                     now + base::from_seconds(back_off_range(m_random)), now);
}

/// Limits how many workers a task may lose in a row: a task that crashes its
/// workers would otherwise crash one after the other.
queue_actions job_queue::task_lapsed(job_pointer const& job,
                                     std::int32_t index,
                                     base::instant now)
{
    auto& it = job->tasks[static_cast<std::size_t>(index)];
    it.consecutive_losses =
        now - it.since < s_long_run
            ? static_cast<std::int16_t>(it.consecutive_losses + 1)
            : std::int16_t{0};
    if (it.consecutive_losses >= s_max_consecutive_losses)
    {
        return finish_job(*job, model::job_state::failed,
                          "task " + std::to_string(index) + " lost " +
                              std::to_string(it.consecutive_losses) +
                              " workers in a row; it may be crashing them");
    }
    return run_again(job, index, now, now);
}

queue_actions job_queue::run_again(job_pointer const& job,
                                   std::int32_t index,
                                   base::instant at,
                                   base::instant now)
{
    auto& it = job->tasks[static_cast<std::size_t>(index)];
    it.group = -1;
    if (job->request.kind == model::job_kind::gang)
    {
        job->not_before = std::max(job->not_before, at);
        make_waiting(*job, index);
        return restart_gang(job, now);
    }
    it.phase = task_phase::waiting;
    schedule_wakeup(job, index, at);
    return {};
}

queue_actions job_queue::restore_running(model::attempt_id const& attempt,
                                         std::string const& group,
                                         model::resources const& planned,
                                         base::instant now)
{
    queue_actions actions;
    auto const job = find(attempt.task.job);
    auto const index = attempt.task.index;
    if (job == nullptr || index < 0 || index >= job->request.tasks)
    {
        actions.releases.push_back({group, attempt});
        return actions;
    }
    auto& it = job->tasks[static_cast<std::size_t>(index)];
    auto const at = std::find(job->waiting.begin(), job->waiting.end(), index);
    if (at == job->waiting.end())
    {
        if (it.number != attempt.number)
        {
            actions.releases.push_back({group, attempt});
        }
        return actions;
    }
    job->waiting.erase(at);
    m_waiting_tasks -= 1;
    it.number = attempt.number;
    it.group = m_groups.index_of(group);
    it.phase = task_phase::running;
    it.planned = planned;
    it.since = now;
    account_of(*job).charge(it);
    job->spread[it.group] += 1;
    job->state = model::job_state::running;
    return actions;
}

void job_queue::restore_done(model::task_id const& task)
{
    auto const job = find(task.job);
    if (job == nullptr || task.index < 0 || task.index >= job->request.tasks)
    {
        return;
    }
    auto const at =
        std::find(job->waiting.begin(), job->waiting.end(), task.index);
    if (at != job->waiting.end())
    {
        job->waiting.erase(at);
        m_waiting_tasks -= 1;
        job->tasks[static_cast<std::size_t>(task.index)].phase =
            task_phase::done;
        job->unfinished -= 1;
    }
}

} // namespace berylhill::placement
