#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <limits>

namespace berylhill::scheduler
{

namespace
{

/// Rate at which idle instances are polled: a cell of some hundred instances
/// polls each of them once a second.
constexpr double idle_looks_per_s = 600.0;

/// Maximum interval between two hold requests to an instance; the endpoint list
/// drops a dead instance within some seconds too.
constexpr base::duration longest_rest = std::chrono::milliseconds{4'000};

/// When an occurrence is due, in milliseconds since 1970; at the latest moment
/// there is if the sum is too large. Precondition: the interval is not
/// negative.
std::int64_t due_ms(workload::repetition const& of, std::uint32_t number)
{
    std::int64_t after = 0;
    std::int64_t out = 0;
    if (__builtin_mul_overflow(of.interval_ms, std::int64_t{number}, &after) ||
        __builtin_add_overflow(of.first_ms, after, &out))
    {
        return std::numeric_limits<std::int64_t>::max();
    }
    return out;
}

} // namespace

/// When a lease that is granted now begins. A former owner that does not know
/// that it is one may still reach instances that its successor does not: the
/// leases there must end by themselves before the successor starts their tasks
/// elsewhere.
base::instant scheduler::lease_begin(base::instant now) const
{
    return std::min(now, m_confirmed_at + m_rules.ownership_lease);
}

hold_order scheduler::next_hold(std::string const& id, base::instant now)
{
    auto* const it = m_instances.find(id);
    hold_order out;
    out.instance = id;
    if (it == nullptr)
    {
        return out;
    }
    it->note_asked(now);
    if (!it->fenced() || !it->reachable())
    {
        // An unresponsive instance gets no lease, or its leases would never be
        // known to have expired and the attempts that it had when it died would
        // wait forever. No end is acknowledged either: it may have started
        // again and count its ends anew.
        return out;
    }
    acknowledge_ends(*it, out);
    // A later life's clock is younger, so it would shorten the end of the lease
    // only to the longest that it accepts.
    auto const later_life_takes_it =
        !surely_owns(now) && parse_life(id).born_ms != 0;
    out.until_ms = it->attempts().empty() || later_life_takes_it
                       ? 0
                       : it->grant(lease_begin(now), m_rules);
    out.wait = m_rules.hold_wait;
    return out;
}

/// The instance may have started again since its last report, with the same id
/// and address, and count its ends anew: an acknowledgement would make it
/// forget ends that nobody has read. The connection that the report came over
/// ends at the life that sent it, or is broken.
void scheduler::acknowledge_ends(instance const& at, hold_order& in)
{
    auto const connection = at.report_connection();
    if (!connection)
    {
        return;
    }
    in.seen_end = at.unacknowledged_end();
    in.connection = in.seen_end == 0 ? 0 : *connection;
}

void scheduler::hold_not_sent(std::string const& id, base::instant now)
{
    auto* const it = m_instances.find(id);
    if (it == nullptr)
    {
        return;
    }
    it->set_report_connection(std::nullopt);
    m_log->write(base::log_level::info, "report_connection_lost",
                 {{"id", id},
                  {"unacknowledged_end", it->unacknowledged_end()},
                  {"reported_s", logged_ago(it->reported_at(), now)}});
}

/// In a cell of thousands most instances are idle, and polling each of them
/// every second costs the owner more than its other work. Idle instances are
/// therefore polled at a fixed total rate; one that becomes unresponsive in
/// between is detected by the next start there.
base::duration scheduler::hold_interval(std::string const& id) const
{
    auto const& all = m_instances.all();
    auto const at = all.find(id);
    if (at == all.end() || !at->second->attempts().empty())
    {
        return base::duration{0};
    }
    auto const all_looked_at =
        base::from_seconds(static_cast<double>(all.size()) / idle_looks_per_s);
    return std::clamp<base::duration>(all_looked_at - m_rules.hold_wait,
                                      base::duration{0}, longest_rest);
}

/// Whether a start that was decided may still be sent.
bool scheduler::may_start(instance const& at,
                          attempt_name const& name,
                          attempt const& it,
                          base::instant now) const
{
    return at.entry_valid(now, m_rules) && !at.info().draining &&
           !at.over_capacity() && m_instances.attempts().of(name.task) == 1 &&
           !m_instances.accounts().over_lowered_cap(it.account) &&
           place_now(at, name.task.step).allowed();
}

/// Whether the instance may run tasks of the step by what is known now. None
/// may run whose job or queue is unknown.
start_place scheduler::place_now(instance const& at,
                                 workload::step_name const& of) const
{
    auto const* const job = m_jobs.find(of.job);
    auto const* const queue = job == nullptr ? nullptr : queue_of(*job);
    if (queue == nullptr || of.step_index >= job->spec().steps.size())
    {
        return {};
    }
    return place_of(at, of, job->spec_of(of), *queue);
}

/// Logs why a start that was decided is not sent.
void scheduler::report_withheld(instance const& at,
                                attempt_name const& name,
                                attempt const& it,
                                base::instant now) const
{
    auto const place = place_now(at, name.task.step);
    m_log->write(base::log_level::info, "start_withheld",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"stop_wanted", it.stop_wanted ? 1 : 0},
                  {"confirmed_s", confirmed_s(now)},
                  {"listed", at.listed() ? 1 : 0},
                  {"draining", at.info().draining ? 1 : 0},
                  {"over_capacity", at.over_capacity() ? 1 : 0},
                  {"attempts", m_instances.attempts().of(name.task)},
                  {"over_cap",
                   m_instances.accounts().over_lowered_cap(it.account) ? 1 : 0},
                  {"serves_queue", place.serves_queue ? 1 : 0},
                  {"has_label", place.has_label ? 1 : 0},
                  {"of_step", place.of_step},
                  {"max_of_step", place.max_of_step},
                  {"entry_age_s", logged_age(at, now)}});
}

void scheduler::release_start(start_order it, base::instant now)
{
    auto* const at = m_instances.find(it.instance);
    auto* const found = at == nullptr ? nullptr : at->find(it.attempt);
    if (found == nullptr)
    {
        return;
    }
    if (found->stop_wanted || !surely_owns(now) ||
        !may_start(*at, it.attempt, *found, now))
    {
        // The attempt was cancelled before its order was sent, or another
        // process may own the work by now, or the instance began to leave, lost
        // capacity or may have lost some, or another attempt was found, or the
        // task may not run there any more, or the account's cap was lowered,
        // while the record was being stored, which takes seconds while the
        // store is unavailable. Nothing has to be stopped.
        ++m_counts.withheld;
        report_withheld(*at, it.attempt, *found, now);
        attempt_ended(*at, it.attempt, end_reason::stopped, {}, now);
        return;
    }
    found->state = attempt_state::sent;
    found->next_try = now + m_rules.order_retry;
    at->note_start_sent(now);
    it.until_ms = at->grant(lease_begin(now), m_rules);
    it.send = found->sends.add();
    ++m_counts.starts;
    m_orders.emplace_back(std::move(it));
}

void scheduler::tick(std::int64_t wall_ms, base::instant now)
{
    m_wall_ms = wall_ms;
    for (auto const& [id, at] : m_instances.all())
    {
        if (at->holds_sent() && now > at->lease_end())
        {
            m_log->write(base::log_level::warning, "leases_lapsed",
                         {{"instance", id},
                          {"attempts", std::uint64_t{at->attempts().size()}},
                          {"token", m_token},
                          {"confirmed_s", confirmed_s(now)},
                          {"reported_s", logged_ago(at->reported_at(), now)}});
            end_sent_attempts(*at, end_reason::instance_silent, now);
        }
        retry(*at, now);
    }
    leave_instances(now);
    m_instances.forget_idle(now, m_rules.max_request_delay);
    open_due_occurrences(wall_ms, now);
    try_due_held_jobs(now);
    for (auto const id : m_jobs.finished_before(now - m_rules.status_kept))
    {
        if (!m_held.contains(id))
        {
            m_jobs.drop(id);
        }
    }
}

void scheduler::retry(instance& at, base::instant now)
{
    for (auto& [name, it] : at.attempts())
    {
        if (it.next_try && now >= *it.next_try)
        {
            send_again(at, name, it, now);
        }
    }
}

/// Orders may be sent repeatedly: the run number makes them idempotent.
void scheduler::send_again(instance& at,
                           attempt_name const& name,
                           attempt& it,
                           base::instant now)
{
    ++it.tries;
    auto const pause = m_rules.order_retry * (1U << std::min(it.tries, 8U));
    it.next_try = now + std::min(pause, m_rules.order_retry_limit);
    if (it.stop_wanted)
    {
        m_orders.emplace_back(stop_order{at.info().id, name});
        return;
    }
    if (!at.reachable() || !surely_owns(now))
    {
        // As with hold requests, an order would grant a lease; and a later life
        // of the instance has seen no token of a later owner.
        return;
    }
    if (!may_start(at, name, it, now))
    {
        // An order that has not been carried out must not be carried out any
        // more. Waiting for a newer entry instead could take forever: an
        // instance that loses its way to the store stays reachable.
        want_stop(at, name, it, now);
        return;
    }
    auto const* const job = m_jobs.find(name.task.step.job);
    if (job == nullptr)
    {
        return;
    }
    auto const& spec = job->spec();
    at.note_start_sent(now);
    m_orders.emplace_back(
        start_order{at.info().id, name, spec.payload, it.checkpoint, it.ticket,
                    at.grant(lease_begin(now), m_rules), it.sends.add()});
    report_sends(base::log_level::info, "start_sent_again", at, name, it, now);
}

void scheduler::open_due_occurrences(std::int64_t wall_ms, base::instant now)
{
    std::vector<workload::job_id> all_opened;
    for (auto const id : m_jobs.repeating())
    {
        auto* const job = m_jobs.find(id);
        auto const next = job->next_occurrence();
        if (next >= job->occurrences_in_all())
        {
            all_opened.push_back(id);
            continue;
        }
        if (wall_ms < due_ms(job->spec().repeats, next) ||
            job->open_tasks() >= m_rules.max_open_tasks)
        {
            continue;
        }
        // One occurrence of each job is always opened, or it would never end.
        if (!job->occurrences.empty() &&
            !room().opens(job->memory_per_occurrence()))
        {
            continue;
        }
        job->open_occurrence(next, now);
        m_jobs.refresh_ready(*job);
    }
    for (auto const id : all_opened)
    {
        m_jobs.set_all_opened(id);
    }
}

} // namespace berylhill::scheduler
