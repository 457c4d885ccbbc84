#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <set>

namespace berylhill::scheduler
{

namespace
{

/// Maximum number of ends in a report; a report with this many may be
/// incomplete.
constexpr std::size_t ends_per_report = 500;

/// With this many ends that cannot be acknowledged an instance gets no start
/// until a later report has fewer: as many attempts as run there may end.
constexpr std::size_t crowded_ends = 300;
constexpr base::duration crowded_pause = std::chrono::seconds{4};

} // namespace

std::optional<std::string> scheduler::hold_answered(hold_report it)
{
    auto life = life_reported(it);
    auto* const at = life ? m_instances.find(*life) : nullptr;
    if (at == nullptr)
    {
        return std::nullopt;
    }
    if (it.instance != *life)
    {
        it.acknowledged = 0;
    }
    it.instance = *life;
    read_report(*at, it);
    return life;
}

void scheduler::read_report(instance& at, hold_report const& it)
{
    if (!at.fenced())
    {
        retire_former_lives(at, it);
    }
    if (!at.fenced() || !at.reachable())
    {
        m_log->write(base::log_level::info, "instance_reached",
                     {{"id", it.instance},
                      {"running", std::uint64_t{it.running.size()}},
                      {"ended", std::uint64_t{it.ended.size()}}});
    }
    at.reported(it.read_at, it.clock_ms);
    at.set_report_connection(it.connection);
    at.note_acknowledged(it.acknowledged);
    instance_alive(it.instance, it.sent_at, "report");
    if (it.running.empty() && it.ended.empty())
    {
        at.note_empty_report(it.sent_at);
    }
    read_running(at, it);
    read_ended(at, it);
    rest_if_crowded(at, it);
    drop_missing(at, it);
}

/// Stops reported attempts that the owner does not expect, whoever started
/// them: an order of a cancelled job or of a former owner may be carried out
/// late.
void scheduler::read_running(instance& at, hold_report const& it)
{
    for (auto const& row : it.running)
    {
        auto* const known = at.find(row.attempt);
        if (known == nullptr)
        {
            add_stray(at, row.attempt, it);
            continue;
        }
        if (known->state != attempt_state::running)
        {
            if (known->sends.sent() > 0)
            {
                report_sends(base::log_level::info, "attempt_found", at,
                             row.attempt, *known, it.read_at);
            }
            known->state = attempt_state::running;
            known->began_at = it.read_at;
            known->progressed_at = it.read_at;
            known->settled_at = it.sent_at;
            if (!known->stop_wanted)
            {
                known->next_try.reset();
            }
            note_begun(row.attempt.task.step.job);
        }
        known->seen_at = it.read_at;
        if (row.percent > known->percent)
        {
            known->percent = row.percent;
            known->progressed_at = it.read_at;
        }
        known->checkpoint = row.checkpoint;
    }
}

void scheduler::read_ended(instance& at, hold_report const& it)
{
    for (auto const& row : it.ended)
    {
        if (row.number <= std::max(at.last_read_end, at.seen_end()))
        {
            continue;
        }
        at.last_read_end = row.number;
        m_next_batch.ends[it.instance].emplace(row.number,
                                               row.attempt.task.step.job);
        note_health(at, row.reason, it.read_at);
        attempt_ended(at, row.attempt, row.reason, row.checkpoint, it.read_at);
    }
}

reported_ends scheduler::ends_of(std::string const& id) const
{
    if (m_next_batch.ends.contains(id))
    {
        return reported_ends::in_next_batch;
    }
    if (m_in_flight && m_in_flight->ends.contains(id))
    {
        return reported_ends::in_batch_in_flight;
    }
    auto const* const at = m_instances.find(id);
    return at != nullptr && at->unacknowledged_end() != 0
               ? reported_ends::stored
               : reported_ends::in_next_batch;
}

/// Ends of a held job are not acknowledged, and with them all later ones. An
/// instance that has so many that a report does not hold them all could not
/// tell how other work ends, so it gets none.
void scheduler::rest_if_crowded(instance& at, hold_report const& it)
{
    if (it.ended.size() >= crowded_ends &&
        m_held.first_unstored_end(at.info().id))
    {
        at.pause(it.read_at + crowded_pause);
    }
}

/// Ends attempts that were settled before the report was requested and are not
/// in it: they never began, or their lease expired.
void scheduler::drop_missing(instance& at, hold_report const& it)
{
    if (it.ended.size() >= ends_per_report)
    {
        return;
    }
    std::set<attempt_name> named;
    for (auto const& row : it.running)
    {
        named.insert(row.attempt);
    }
    std::vector<attempt_name> missing;
    for (auto const& [name, known] : at.attempts())
    {
        if (known.settled_at && *known.settled_at < it.sent_at &&
            !named.contains(name))
        {
            missing.push_back(name);
        }
    }
    for (auto const& name : missing)
    {
        m_log->write(base::log_level::info, "attempt_not_there",
                     {{"task", text_of(name.task)},
                      {"run", name.run},
                      {"instance", it.instance},
                      {"token", m_token},
                      {"confirmed_s", confirmed_s(it.read_at)},
                      {"asked_s", base::seconds_of(it.read_at - it.sent_at)}});
        presume_ended(at, name, end_reason::lease_lapsed, it.read_at);
    }
}

void scheduler::hold_unanswered(std::string const& id, base::instant now)
{
    auto* const it = m_instances.find(id);
    if (it == nullptr || !it->reachable())
    {
        return;
    }
    it->set_unreachable();
    m_log->write(base::log_level::warning, "instance_unreachable",
                 {{"id", id},
                  {"attempts", std::uint64_t{it->attempts().size()}},
                  {"lease_left_s", base::seconds_of(it->lease_end() - now)}});
}

/// Quarantines an instance after several failures in a row. A task that fails
/// through its own fault rarely fails several times in a row on one instance.
void scheduler::note_health(instance& at, end_reason reason, base::instant now)
{
    if (reason == end_reason::done)
    {
        at.failures_in_a_row = 0;
        return;
    }
    if (reason != end_reason::failed ||
        ++at.failures_in_a_row < m_rules.failures_to_quarantine)
    {
        return;
    }
    at.failures_in_a_row = 0;
    at.pause(now + m_rules.quarantine);
    m_log->write(base::log_level::warning, "instance_quarantined",
                 {{"id", at.info().id}});
}

} // namespace berylhill::scheduler
