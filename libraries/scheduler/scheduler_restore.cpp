#include <scheduler/scheduler.hpp>

#include <scheduler/part_record.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// After this time the remaining attempts of a finished job have certainly
/// ended: leases of a former owner are shorter, and the time of day may have
/// jumped by some seconds.
constexpr std::int64_t remaining_end_ms = 20'000;

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
    std::vector<std::pair<record_key, record>> states;
    std::vector<std::pair<record_key, record>> parts;
    for (auto const& [key, value] : records)
    {
        auto const what = parse_record_key(key);
        switch (what.kind)
        {
        case record_kind::spec:
        case record_kind::partitioned_spec:
            restore_spec(what, {key, value}, now);
            break;
        case record_kind::state:
            states.emplace_back(what, record{key, value});
            break;
        case record_kind::part:
            parts.emplace_back(what, record{key, value});
            break;
        case record_kind::other:
            break;
        }
    }
    for (auto const& [key, from] : states)
    {
        restore_state(key.job, from, now);
    }
    for (auto const& [key, from] : parts)
    {
        restore_part(key, from, now);
    }
    for (auto const& [id, job] : m_jobs.all())
    {
        restore_progress(*job, now);
    }
    restore_queues();
}

/// Jobs of a queue that was removed from the configuration go on under the
/// queue as it was when the newest of them was accepted.
void scheduler::restore_queues()
{
    std::map<std::string, job const*> newest;
    for (auto const& [id, it] : m_jobs.all())
    {
        if (finished(it->phase) || !it->queue ||
            m_queues.find(it->spec().queue) != nullptr)
        {
            continue;
        }
        auto& of = newest[it->spec().queue];
        if (of == nullptr || of->accepted_ms < it->accepted_ms)
        {
            of = it.get();
        }
    }
    for (auto const& [name, it] : newest)
    {
        m_queues.add_removed(it->queue);
        m_log->write(base::log_level::info, "queue_restored",
                     {{"queue", name},
                      {"service", it->queue->service},
                      {"job", text_of(it->spec().id)}});
    }
}

/// A job has two specifications if a former owner was lost while it replaced
/// the records of an older release.
void scheduler::restore_spec(record_key const& key,
                             record const& from,
                             base::instant now)
{
    auto const read =
        base::capture([&] { return parse_spec_value(key.job, from.value); });
    if (!read)
    {
        report_unreadable(from, read.error());
        return;
    }
    auto const accepted = read.value().accepted_ms;
    auto* const known = m_jobs.find(key.job);
    auto& job = known != nullptr
                    ? *known
                    : m_jobs.add(read.value().spec, accepted,
                                 instant_of(accepted, m_wall_ms, now));
    job.stored = true;
    job.standing = read.value().standing;
    job.queue = read.value().queue;
    if (!job.partitioned())
    {
        job.parts.note_spec_stored();
        return;
    }
    if (key.kind == record_kind::partitioned_spec)
    {
        job.parts.note_spec_stored();
    }
    else
    {
        job.parts.note_former_records();
    }
}

void scheduler::restore_state(workload::job_id id,
                              record const& from,
                              base::instant now)
{
    auto const status =
        base::capture([&] { return parse_stored_status(id, from.value); });
    if (!status)
    {
        report_unreadable(from, status.error());
    }
    auto const known = status ? status.value() : stored_status{};
    auto* const job = m_jobs.find(id);
    if (job == nullptr || finished(known.phase))
    {
        restore_status(job == nullptr ? add_without_spec(id, known, now) : *job,
                       known, now);
        return;
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
}

job& scheduler::add_without_spec(workload::job_id id,
                                 stored_status const& known,
                                 base::instant now)
{
    workload::job_spec spec;
    spec.id = id;
    spec.account = known.account;
    auto& out = m_jobs.add(std::move(spec), m_wall_ms, now);
    out.stored = true;
    return out;
}

/// Restores a job of which little more than the end matters. Attempts that a
/// former owner left running are counted on their instances and stopped:
/// without them, new starts could exceed the capacity of an instance or the cap
/// of the client account.
void scheduler::restore_status(job& of,
                               stored_status const& known,
                               base::instant now)
{
    of.phase = known.phase;
    of.stored_phase = known.phase;
    of.submitted = known.submitted;
    of.stored_submitted = known.submitted;
    of.finished_ms = known.finished_ms;
    of.finished_at = now;
    of.release_details();
    if (!finished(of.phase) || may_have_attempts(of))
    {
        of.remaining_attempts = known.remaining_attempts;
    }
}

/// Whether attempts of a job that finished under a former owner may still run.
bool scheduler::may_have_attempts(job const& of) const
{
    return m_wall_ms - of.finished_ms <= remaining_end_ms;
}

void scheduler::restore_part(record_key const& key,
                             record const& from,
                             base::instant now)
{
    auto* const of = m_jobs.find(key.job);
    if (of == nullptr)
    {
        report_unreadable(from, {base::failure_code::invalid,
                                 "part of a job that is not known", 0});
        return;
    }
    of->parts.note_stored(key.part);
    if (finished(of->phase))
    {
        // The specification was deleted before the parts if the former owner
        // was lost in between.
        of->assume_partitioned();
    }
    auto const read = base::capture(
        [&]() -> base::result<base::done>
        {
            if (!finished(of->phase))
            {
                BOOST_LEAF_CHECK(
                    read_part_value(from.value, key.part, now, *of));
            }
            else if (may_have_attempts(*of))
            {
                BOOST_LEAF_CHECK(
                    read_remaining_attempts(from.value, key.part, *of));
            }
            return base::done{};
        });
    if (!read)
    {
        report_unreadable(from, read.error());
    }
}

/// Resumes a job whose records have all been read.
void scheduler::restore_progress(job& of, base::instant now)
{
    auto const id = of.spec().id;
    auto const has_spec = !of.spec().steps.empty();
    update_expected_work(of);
    if (!finished(of.phase) && has_spec)
    {
        complete_gangs(of);
        open_missing_occurrences(of, now);
        of.retire_complete_occurrences();
        of.note_former_state_changed();
    }
    m_jobs.restored(of);
    inherit_attempts(of, now);
    restore_losses(of, now);
    stop_remaining(of, now);
    auto const left_behind =
        finished(of.phase) && (has_spec || !of.parts.stored().empty());
    if (left_behind || of.parts.anything_changed())
    {
        m_jobs.touch(id);
    }
    if (!finished(of.phase) && has_spec && of.complete())
    {
        finish(of, job_phase::completed, now);
    }
}

/// The members of a gang end together. If the former owner was lost before all
/// records of the end were stored, some members are done and others are not.
void scheduler::complete_gangs(job& of)
{
    for (auto& [number, in] : of.occurrences)
    {
        for (std::uint32_t n = 0; n < in.steps.size(); ++n)
        {
            auto const name = workload::step_name{of.spec().id, number, n};
            auto const& gang = in.steps[n];
            if (!of.spec_of(name).gang || gang.done == 0 || gang.complete())
            {
                continue;
            }
            for (std::uint32_t index = 0; index < gang.tasks.size(); ++index)
            {
                auto const& it = gang.tasks[index];
                if (it.phase == task_phase::placed)
                {
                    of.add_remaining({{name, index}, it.run}, it.instance);
                }
            }
            gang_done(of, name);
        }
    }
}

/// Opens the occurrences that had been opened, but of which no task has a
/// record.
void scheduler::open_missing_occurrences(job& of, base::instant now)
{
    if (of.spec().repeats.count == 0 && of.next_occurrence() == 0)
    {
        of.open_occurrence(0, of.accepted_at);
        return;
    }
    auto const end = of.next_occurrence();
    for (auto n = of.completed.all_below(); n < end; ++n)
    {
        if (!of.completed.contains(n) && !of.occurrences.contains(n))
        {
            of.open_occurrence(n, now);
        }
    }
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
