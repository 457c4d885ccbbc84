#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// After this time the remaining attempts of a finished job have certainly
/// ended: leases of a former owner are shorter, and the time of day may have
/// jumped by some seconds.
constexpr std::int64_t leftovers_end_ms = 20'000;

/// When a job was accepted, on the local clock. The time of day may have
/// jumped, so the result is never in the future.
base::instant
instant_of(std::int64_t accepted_ms, std::int64_t wall_ms, base::instant now)
{
    auto const ago = std::chrono::milliseconds{
        std::max<std::int64_t>(0, wall_ms - accepted_ms)};
    return now - ago;
}

} // namespace

void scheduler::restore(std::map<std::string, std::string> const& records,
                        std::int64_t wall_ms,
                        base::instant now)
{
    m_wall_ms = wall_ms;
    for (auto const& [key, value] : records)
    {
        auto const what = parse_record_key(key);
        if (what.kind == record_kind::spec)
        {
            restore_spec(what.job, {key, value}, now);
        }
    }
    for (auto const& [key, value] : records)
    {
        auto const what = parse_record_key(key);
        if (what.kind == record_kind::state)
        {
            restore_state(what.job, {key, value}, now);
        }
    }
    for (auto const& [id, job] : m_jobs.all())
    {
        update_expected_work(*job);
        if (!finished(job->phase) && job->occurrences.empty() &&
            job->spec().repeats.count == 0)
        {
            job->open_occurrence(0, job->accepted_at);
        }
        m_jobs.restored(*job);
        inherit_attempts(*job, now);
        if (!finished(job->phase))
        {
            stop_remaining(*job, now);
        }
    }
}

void scheduler::restore_spec(workload::job_id id,
                             record const& from,
                             base::instant now)
{
    auto const read =
        base::capture([&] { return parse_spec_value(id, from.value); });
    if (!read)
    {
        report_unreadable(from, read.error());
        return;
    }
    auto const accepted = read.value().accepted_ms;
    auto& job = m_jobs.add(read.value().spec, accepted,
                           instant_of(accepted, m_wall_ms, now));
    job.stored = true;
    job.standing = read.value().standing;
}

void scheduler::restore_state(workload::job_id id,
                              record const& from,
                              base::instant now)
{
    auto* job = m_jobs.find(id);
    if (job == nullptr)
    {
        job = &restore_finished(id, from, now);
    }
    auto const read = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(read_state_value(from.value, now, *job));
            return base::done{};
        });
    if (!read)
    {
        report_unreadable(from, read.error());
    }
    job->finished_at = now;
}

/// Restores a job of which only the end is known. Attempts that a former owner
/// left running are counted on their instances and stopped: without them, new
/// starts could exceed the capacity of an instance or the cap of the client
/// account.
job& scheduler::restore_finished(workload::job_id id,
                                 record const& from,
                                 base::instant now)
{
    auto const end =
        base::capture([&] { return parse_stored_status(id, from.value); });
    if (!end)
    {
        report_unreadable(from, end.error());
    }
    auto const known = end ? end.value() : stored_status{};
    workload::job_spec spec;
    spec.id = id;
    spec.account = known.account;
    auto& out = m_jobs.add(std::move(spec), m_wall_ms, now);
    out.stored = true;
    if (m_wall_ms - known.finished_ms > leftovers_end_ms)
    {
        return out;
    }
    out.remaining_attempts = known.remaining_attempts;
    out.finished_ms = known.finished_ms;
    stop_remaining(out, now);
    return out;
}

/// Counts and stops the attempts that a former owner left running beside the
/// current ones of the job's tasks.
void scheduler::stop_remaining(job const& of, base::instant now)
{
    for (auto const& it : of.remaining_attempts)
    {
        attempt left;
        left.state = attempt_state::inherited;
        left.need = it.need;
        left.of_cap = it.of_cap;
        left.account = of.spec().account;
        left.settled_at = now;
        auto& at = m_instances.get(it.instance);
        if (at.find(it.attempt) == nullptr)
        {
            want_stop(at, it.attempt, at.add(it.attempt, left), now);
        }
    }
}

/// Adds the attempts that a former owner decided. They count as possibly
/// running until the instance reports.
void scheduler::inherit_attempts(job const& of, base::instant now)
{
    auto const id = of.spec().id;
    for (auto const& [number, occurrence] : of.occurrences)
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            auto const& tasks = occurrence.steps[s].tasks;
            for (std::uint32_t n = 0; n < tasks.size(); ++n)
            {
                if (tasks[n].phase != task_phase::placed)
                {
                    continue;
                }
                auto made = attempt_of(of, {id, number, s});
                made.state = attempt_state::inherited;
                made.checkpoint = tasks[n].checkpoint;
                made.suspect = tasks[n].lost.suspect();
                made.settled_at = now;
                m_instances.get(tasks[n].instance)
                    .add({{{id, number, s}, n}, tasks[n].run}, made);
            }
        }
    }
}

void scheduler::report_unreadable(record const& it,
                                  base::failure const& why) const
{
    m_log->write(base::log_level::error, "record_unreadable",
                 {{"key", it.key}, {"error", why.message}});
}

} // namespace berylhill::scheduler
