#include <scheduler/scheduler.hpp>

#include <workload/job_access.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// When all leases of former owners have expired after a takeover: a former
/// owner grants none that begins later than an ownership lease after it.
/// `lease` is the longest one that its orders can give.
base::instant
former_lease_end(base::duration lease, policy const& rules, base::instant now)
{
    return now + longest_locally(lease, rules) + rules.lapse_margin +
           rules.ownership_lease;
}

} // namespace

scheduler::scheduler(policy rules, decision_log& log, base::instant now)
    : m_rules{rules}
    , m_log{&log}
    , m_since{now}
    , m_confirmed_at{now}
    , m_instances{former_lease_end(rules.lease, rules, now),
                  former_lease_end(rules.longest_lease, rules, now)}
    , m_jobs{rules.layout}
{
}

void scheduler::set_configuration(workload::cell_configuration const& it)
{
    m_queues.configure(it);
    if (it.accounts)
    {
        m_instances.accounts().set_accounts(it.accounts->all());
        m_shares.set_accounts(it.accounts->all());
    }
}

std::optional<std::string> scheduler::account_of(workload::job_id it) const
{
    auto const* const job = m_jobs.find(it);
    return job == nullptr ? std::nullopt : std::optional{job->spec().account};
}

bool scheduler::submitted(workload::job_id it) const
{
    auto const* const job = m_jobs.find(it);
    return job != nullptr && job->submitted;
}

/// Creates an attempt of a task of the step with its resource needs.
attempt scheduler::attempt_of(job const& of, workload::step_name const& name)
{
    auto const& spec = of.spec_of(name);
    attempt out;
    out.need = spec.reserved_need();
    out.of_cap = spec.need;
    out.account = of.spec().account;
    return out;
}

/// Returns null if the job is unknown, its details were released, or the
/// occurrence is complete.
task const* scheduler::find_task(workload::task_name const& it) const
{
    auto const* const job = m_jobs.find(it.step.job);
    auto const* const in = job == nullptr ? nullptr : job->find(it.step);
    return in == nullptr || it.index >= in->tasks.size() ? nullptr
                                                         : &in->tasks[it.index];
}

/// Whether an attempt of any task of the step may be running anywhere.
bool scheduler::any_attempt(workload::step_name const& of, step const& in) const
{
    for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
    {
        if (m_instances.attempts().of({of, n}) > 0)
        {
            return true;
        }
    }
    return false;
}

/// Whether every single task, and every gang as a whole, fits the account's cap
/// while the account uses nothing else.
bool scheduler::within_cap(workload::job_spec const& it) const
{
    return std::ranges::all_of(it.steps,
                               [&](workload::step_spec const& step)
                               {
                                   return m_instances.accounts().can_hold(
                                       it.account, step.need,
                                       step.gang ? step.tasks : 1);
                               });
}

submission scheduler::submit(workload::job_spec it,
                             std::int64_t wall_ms,
                             base::instant now)
{
    if (auto* const known = m_jobs.find(it.id); known != nullptr)
    {
        try_held_again(it.id);
        auto const cancelled =
            !known->submitted &&
            workload::may_use(known->spec().account, it.account);
        if (cancelled)
        {
            m_jobs.set_submitted(*known);
            return submission::already_cancelled;
        }
        if (known->submitted)
        {
            return known->stored ? submission::already_stored
                                 : submission::already_accepted;
        }
    }
    if (!within_cap(it))
    {
        m_log->write(base::log_level::info, "job_over_cap",
                     {{"job", text_of(it.id)}, {"account", it.account}});
        return submission::over_cap;
    }
    auto const queue = m_queues.find(it.queue);
    job as_stored{it, wall_ms, now};
    as_stored.queue = queue;
    if (auto const bytes = spec_record_bytes(as_stored);
        bytes > m_rules.max_record_bytes)
    {
        m_log->write(base::log_level::info, "job_too_large",
                     {{"job", text_of(it.id)},
                      {"bytes", std::uint64_t{bytes}},
                      {"max_bytes", std::uint64_t{m_rules.max_record_bytes}}});
        return submission::too_large;
    }
    if (!room().accepts(as_stored.memory() + as_stored.memory_per_occurrence()))
    {
        ++m_counts.refused_for_room;
        return submission::no_room;
    }
    // Another account may have cancelled the id, not this job.
    m_jobs.drop(it.id);
    auto const repeats = it.repeats.count != 0;
    auto const owed = m_shares.take(it.account, now);
    auto& job = m_jobs.add(std::move(it), wall_ms, now);
    job.queue = queue;
    job.standing =
        owed ? share_standing::within_share : share_standing::over_share;
    update_expected_work(job);
    if (!repeats)
    {
        job.open_occurrence(0, now);
    }
    m_jobs.refresh_ready(job);
    return submission::accepted;
}

work_room scheduler::room() const
{
    return {m_rules.max_work_bytes, m_jobs.memory(),
            m_instances.attempts().total()};
}

/// Sets the expected work of the job's steps from the observed run times of its
/// queue.
void scheduler::update_expected_work(job& of) const
{
    std::vector<base::duration> times;
    for (auto const& it : of.spec().steps)
    {
        times.push_back(m_run_times.work(
            of.spec().queue, std::chrono::milliseconds{it.estimate_ms}));
    }
    of.set_work(times);
}

bool scheduler::withdraw(workload::job_id it)
{
    auto* const job = m_jobs.find(it);
    if (job != nullptr && job->phase == job_phase::cancelled)
    {
        // The caller of the cancellation waits until it is stored.
        return m_jobs.withdraw_submission(*job);
    }
    return forget_unsent(it);
}

/// Forgets a job of which nothing has been sent to the store, and its starts.
/// Returns false if it may be stored.
bool scheduler::forget_unsent(workload::job_id it)
{
    if (!m_jobs.withdraw(it))
    {
        return false;
    }
    std::erase_if(m_next_batch.starts,
                  [&](start_order const& entry)
                  {
                      if (entry.attempt.task.step.job != it)
                      {
                          return false;
                      }
                      m_instances.get(entry.instance).remove(entry.attempt);
                      return true;
                  });
    return true;
}

cancellation scheduler::cancel(workload::job_id it,
                               std::string const& account,
                               base::instant now)
{
    auto* const job = m_jobs.find(it);
    if (job == nullptr)
    {
        return cancel_early(it, account, now);
    }
    try_held_again(it);
    if (!job->submitted)
    {
        return cancel_again(*job, account, now);
    }
    if (finished(job->phase))
    {
        return finished(job->stored_phase) ? cancellation::already_finished
                                           : cancellation::accepted;
    }
    finish(*job, job_phase::cancelled, now);
    return cancellation::accepted;
}

/// A cancellation by another account must hold for that one too.
cancellation scheduler::cancel_again(job const& of,
                                     std::string const& account,
                                     base::instant now)
{
    auto const& kept_for = of.spec().account;
    if (kept_for.empty() || kept_for == account)
    {
        return of.stored ? cancellation::unknown_stored : cancellation::unknown;
    }
    auto const id = of.spec().id;
    m_jobs.drop(id);
    return cancel_early(id, {}, now);
}

/// Keeps the cancellation of a job that was not submitted: its submission may
/// still be under way and must not run once the cancellation is acknowledged.
cancellation scheduler::cancel_early(workload::job_id it,
                                     std::string const& account,
                                     base::instant now)
{
    if (m_jobs.early_cancellations() >= m_rules.max_early_cancellations)
    {
        return cancellation::refused;
    }
    m_jobs.add_early_cancellation(it, account, m_wall_ms, now);
    m_finished = true;
    return cancellation::unknown;
}

std::optional<job_phase> scheduler::phase_of(workload::job_id it) const
{
    auto const* const job = m_jobs.find(it);
    if (job == nullptr || !job->stored || !job->stored_submitted)
    {
        return std::nullopt;
    }
    return job->stored_phase;
}

std::size_t scheduler::pending(std::string const& queue) const
{
    return m_jobs.pending(queue);
}

std::vector<order> scheduler::take_orders()
{
    return std::exchange(m_orders, {});
}

std::vector<record> scheduler::take_batch(base::instant now)
{
    auto changes = m_jobs.take_changes();
    for (auto const id : changes.jobs)
    {
        auto const& it = *m_jobs.find(id);
        m_next_batch.jobs.push_back({id, it.phase, it.submitted});
    }
    m_next_batch.dropped = std::move(changes.dropped);
    m_in_flight = std::exchange(m_next_batch, {});
    m_finished = false;
    if (changes.records.empty())
    {
        batch_stored(now);
    }
    return std::move(changes.records);
}

void scheduler::batch_not_stored()
{
    auto batch = std::exchange(m_in_flight, std::nullopt);
    if (!batch)
    {
        return;
    }
    std::vector<workload::job_id> changed;
    for (auto const& it : batch->jobs)
    {
        changed.push_back(it.id);
    }
    m_jobs.put_back(changed, batch->dropped);
    m_next_batch.starts.insert(m_next_batch.starts.begin(),
                               batch->starts.begin(), batch->starts.end());
    m_next_batch.stops.insert(m_next_batch.stops.begin(), batch->stops.begin(),
                              batch->stops.end());
    for (auto& [id, ends] : batch->ends)
    {
        m_next_batch.ends[id].merge(ends);
    }
}

void scheduler::batch_stored(base::instant now,
                             std::vector<rejected_job> const& rejected)
{
    auto batch = std::exchange(m_in_flight, std::nullopt);
    if (!batch)
    {
        return;
    }
    hold_rejected(*batch, rejected, now);
    for (auto const& it : batch->jobs)
    {
        if (auto* const job = m_jobs.find(it.id); job != nullptr)
        {
            m_jobs.stored(*job);
            job->stored_phase = it.phase;
            job->stored_submitted = it.submitted;
            release_held(it.id);
        }
    }
    hold_ends(*batch);
    cancel_held_starts(*batch, now);
    withdraw_rejected(rejected);
    for (auto const& [id, ends] : batch->ends)
    {
        acknowledge(id, ends.rbegin()->first);
    }
    for (auto const& it : batch->starts)
    {
        release_start(it, now);
    }
    for (auto const& it : batch->stops)
    {
        m_orders.emplace_back(it);
    }
}

bool scheduler::batch_pending() const noexcept
{
    return m_jobs.anything_changed() || !m_next_batch.starts.empty() ||
           !m_next_batch.stops.empty() || !m_next_batch.ends.empty();
}

} // namespace berylhill::scheduler
