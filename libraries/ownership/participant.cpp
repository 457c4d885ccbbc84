#include <ownership/participant.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::ownership
{

participant::participant(participant_options options, base::instant now)
    : m_options{std::move(options)}
    , m_table{m_options.rules.joiners}
    , m_started{now}
    , m_last_rebalance{now}
    , m_last_snapshot{now}
{
}

actions participant::set_units(std::set<std::string> units, base::instant now)
{
    m_units = std::move(units);
    m_scan_is_current = false;
    return tick(now);
}

actions participant::on_log_read(
    std::vector<std::pair<std::int64_t, record>> const& records,
    std::int64_t next,
    std::optional<base::instant> fresh_as_of,
    base::instant now)
{
    for (auto const& [offset, it] : records)
    {
        apply_record(offset, it, now);
    }
    m_table.advance_to(next);
    update_watchers();
    if (!fresh_as_of)
    {
        return {};
    }
    if (!m_table.complete())
    {
        m_table.assume_complete();
        m_trust_free_units_from =
            now + m_options.lease_duration + m_options.clock_margin;
    }
    m_log_lease_until =
        std::max(m_log_lease_until, *fresh_as_of + m_options.lease_duration);
    // A record that was written before this read, but was not read, has been
    // lost in a gap or did not take effect.
    for (auto it = m_written_at.begin(); it != m_written_at.end();)
    {
        auto const [ticket, at] = *it;
        ++it;
        if (at <= *fresh_as_of)
        {
            discard_append(ticket);
        }
    }
    return tick(now);
}

void participant::on_log_gap(std::int64_t first)
{
    m_table.reset(first);
    m_active_from.clear();
    m_unowned_since.clear();
    m_log_lease_until = {};
    m_vouched_until = {};
    m_vouch_round.reset();
    m_scan_is_current = false;
}

void participant::apply_record(std::int64_t offset,
                               record const& it,
                               base::instant now)
{
    auto const was_member = is_member();
    auto const result = m_table.apply(offset, it);
    resolve_own_append(it);
    if (auto const* joined = std::get_if<join>(&it))
    {
        if (was_member && !is_member())
        {
            // A newer process runs on this instance.
            m_active_from.clear();
            m_has_left = true;
        }
        if (joined->incarnation == m_options.incarnation)
        {
            m_joined_at = now;
        }
        auto& known = m_peers[joined->incarnation];
        known.instance = joined->instance;
        known.last_heard = std::max(known.last_heard, now);
    }
    else if (auto const* claim_record = std::get_if<claim>(&it))
    {
        m_peers[claim_record->incarnation].last_claim_read = now;
        update_activation(claim_record->unit, result, now);
    }
    else if (auto const* release_record = std::get_if<release>(&it))
    {
        if (release_record->incarnation == m_options.incarnation)
        {
            m_releasing.erase(release_record->unit);
        }
        update_activation(release_record->unit, result, now);
    }
    else if (auto const* table = std::get_if<snapshot>(&it))
    {
        m_snapshot_through = std::max(m_snapshot_through, table->through);
        m_last_snapshot = now;
    }
}

void participant::update_activation(std::string const& unit,
                                    apply_result const& result,
                                    base::instant now)
{
    if (!result.effective)
    {
        return;
    }
    auto const* current = m_table.owner_of(unit);
    if (current->released || current->incarnation != m_options.incarnation)
    {
        m_active_from.erase(unit);
        m_releasing.erase(unit);
        return;
    }
    // An older lease ends at most `lease_duration` after the claim took effect,
    // which was before now; `clock_margin` allows for clocks of different
    // rates.
    auto const was_free =
        result.unit_was_free && now >= m_trust_free_units_from;
    m_active_from[unit] =
        was_free ? now
                 : now + m_options.lease_duration + m_options.clock_margin;
}

void participant::resolve_own_append(record const& it)
{
    for (auto const& [ticket, own] : m_unresolved)
    {
        if (own == it)
        {
            discard_append(ticket);
            return;
        }
    }
}

void participant::discard_append(std::uint64_t ticket)
{
    m_unresolved.erase(ticket);
    m_written_at.erase(ticket);
}

actions participant::on_append_settled(std::uint64_t ticket,
                                       append_outcome outcome,
                                       base::instant now)
{
    auto const found = m_unresolved.find(ticket);
    if (found == m_unresolved.end())
    {
        return {};
    }
    if (outcome == append_outcome::written)
    {
        m_written_at.emplace(ticket, now);
        return {};
    }
    if (auto const* it = std::get_if<release>(&found->second))
    {
        m_releasing.erase(it->unit);
    }
    discard_append(ticket);
    return {};
}

actions participant::on_heartbeat(heartbeat const& it, base::instant now)
{
    auto& known = m_peers[it.incarnation];
    known.instance = it.instance;
    known.last_heard = std::max(known.last_heard, now);
    known.leaving = it.leaving;
    return {};
}

actions participant::on_suspicion(suspicion const& it, base::instant now)
{
    m_suspected[it.silent][it.from] = now;
    return {};
}

actions participant::on_vouch_request(vouch_request const& it, base::instant)
{
    vouch_answer answer{m_options.incarnation, m_options.instance, it.round,
                        m_table.changed_since(it.table_next)};
    if (m_options.rules.unresolved == unresolved_rule::is_doubtful)
    {
        for (auto const& [ticket, own] : m_unresolved)
        {
            if (auto const* claim_record = std::get_if<claim>(&own))
            {
                answer.doubtful.push_back(claim_record->unit);
            }
        }
    }
    return {send_vouch_answer{it.instance, std::move(answer)}};
}

actions participant::on_vouch_answer(vouch_answer const& it, base::instant)
{
    if (!m_vouch_round || it.round != m_vouch_round->number)
    {
        return {};
    }
    m_vouch_round->incarnations.insert(it.from);
    m_vouch_round->instances.insert(it.instance);
    m_vouch_round->doubtful.insert(it.doubtful.begin(), it.doubtful.end());
    finish_round();
    return {};
}

actions participant::on_entry_list(std::set<std::string> instances,
                                   base::instant as_of)
{
    if (m_listed_as_of && as_of < *m_listed_as_of)
    {
        return {};
    }
    m_listed = std::move(instances);
    m_ever_listed.insert(m_listed.begin(), m_listed.end());
    m_listed_as_of = as_of;
    finish_round();
    return {};
}

void participant::request_vouches(base::instant now, actions& out)
{
    auto const log_lease_is_short =
        m_log_lease_until - now < m_options.lease_duration / 2;
    auto const round_is_recent =
        m_vouch_round &&
        now - m_vouch_round->started < m_options.lease_duration / 4;
    auto const vouched_lease_is_long =
        m_vouched_until - now > m_options.lease_duration / 2;
    if (!log_lease_is_short || round_is_recent || vouched_lease_is_long ||
        m_active_from.empty() || !is_member())
    {
        return;
    }
    m_vouch_round = vouch_round{};
    m_vouch_round->number = ++m_last_round;
    m_vouch_round->started = now;
    std::set<std::string> recipients = m_listed;
    for (auto const& [incarnation, it] : m_table.members())
    {
        recipients.insert(it.instance);
    }
    recipients.erase(m_options.instance);
    vouch_request const request{m_options.incarnation, m_options.instance,
                                m_vouch_round->number, m_table.next()};
    for (auto const& it : recipients)
    {
        out.emplace_back(send_vouch_request{it, request});
    }
    out.emplace_back(fetch_entry_list{});
    finish_round();
}

/// Detects claims that took effect while this owner could not read the log;
/// missing one would let two processes act for one unit. Only a member that
/// this owner knows can have made the first such claim (see `claim_table`); it
/// reports the unit as doubtful when it answers.
bool participant::all_members_answered() const
{
    for (auto const& [incarnation, it] : m_table.members())
    {
        auto const is_self = incarnation == m_options.incarnation;
        if (!is_self && !m_vouch_round->incarnations.contains(incarnation))
        {
            return false;
        }
    }
    return true;
}

/// Detects the same claims if some members cannot answer because their
/// instances are no longer listed. A unit claimed by such a member may have
/// been handed on to a process that this owner does not know. But a process
/// that acts for a unit was listed before its claim, so it is on any list
/// fetched after the round began, and answers for itself.
bool participant::all_listed_answered() const
{
    if (!m_listed_as_of || *m_listed_as_of < m_vouch_round->started)
    {
        return false;
    }
    auto const has_answered = [&](std::string const& instance)
    {
        return instance == m_options.instance ||
               m_vouch_round->instances.contains(instance);
    };
    for (auto const& [incarnation, it] : m_table.members())
    {
        auto const was_unlisted = m_ever_listed.contains(it.instance) &&
                                  !m_listed.contains(it.instance);
        if (!was_unlisted && !has_answered(it.instance))
        {
            return false;
        }
    }
    return m_options.rules.removed_members == removed_member_rule::exempt ||
           std::all_of(m_listed.begin(), m_listed.end(), has_answered);
}

void participant::finish_round()
{
    if (!m_vouch_round)
    {
        return;
    }
    auto const is_complete = m_options.rules.vouch == vouch_rule::any_member ||
                             all_members_answered() || all_listed_answered();
    if (!is_complete)
    {
        return;
    }
    m_vouched_until = std::max(m_vouched_until, m_vouch_round->started +
                                                    m_options.lease_duration);
    m_doubtful_units = std::move(m_vouch_round->doubtful);
    m_vouch_round.reset();
}

std::optional<std::int64_t> participant::active_epoch(std::string const& unit,
                                                      base::instant now) const
{
    auto const active = m_active_from.find(unit);
    if (active == m_active_from.end() || now < active->second ||
        m_releasing.contains(unit) || m_has_left)
    {
        return std::nullopt;
    }
    auto const lease_is_valid =
        now < m_log_lease_until ||
        (now < m_vouched_until && !m_doubtful_units.contains(unit));
    if (!lease_is_valid)
    {
        return std::nullopt;
    }
    auto const* current = m_table.owner_of(unit);
    if (current == nullptr || current->released ||
        current->incarnation != m_options.incarnation)
    {
        return std::nullopt;
    }
    return current->epoch;
}

std::vector<std::string> participant::owned_units() const
{
    std::vector<std::string> names;
    for (auto const& [name, it] : m_table.units())
    {
        if (!it.released && it.incarnation == m_options.incarnation)
        {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<std::string> participant::owner_of(std::string const& unit) const
{
    auto const* it = m_table.owner_of(unit);
    if (it == nullptr || it->released)
    {
        return std::nullopt;
    }
    return it->incarnation;
}

heartbeat participant::own_heartbeat() const
{
    return {m_options.incarnation, m_options.instance, m_options.zone,
            m_stopping};
}

} // namespace berylhill::ownership
