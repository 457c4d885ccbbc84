/// Decisions of a participant: claims, rebalancing, snapshots and planned
/// stops.
#include <ownership/participant.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::ownership
{

namespace
{

/// A rebalance hands over the surplus divided by this, at least one unit.
constexpr std::size_t s_surplus_divisor = 8;

} // namespace

actions participant::tick(base::instant now)
{
    actions out;
    if (m_has_left)
    {
        return out;
    }
    if (log_is_fresh(now))
    {
        if (m_stopping)
        {
            leave_when_ready(now, out);
        }
        else
        {
            request_join(now, out);
            remove_unlisted_members(now, out);
            claim_unowned_units(now, out);
            rebalance(now, out);
            write_snapshot(now, out);
        }
        publish_seen(out);
    }
    report_silent_peers(now, out);
    request_vouches(now, out);
    return out;
}

actions participant::stop(base::instant now)
{
    if (!m_stopping)
    {
        m_stopping = true;
        m_stopping_since = now;
    }
    return tick(now);
}

void participant::append(record it, actions& out)
{
    auto const ticket = ++m_last_ticket;
    m_unresolved.emplace(ticket, it);
    out.emplace_back(append_record{ticket, std::move(it)});
}

bool participant::has_pending_claim(std::string const& unit) const
{
    return std::any_of(m_unresolved.begin(), m_unresolved.end(),
                       [&](auto const& it)
                       {
                           auto const* own = std::get_if<claim>(&it.second);
                           return own != nullptr && own->unit == unit;
                       });
}

bool participant::is_member() const
{
    return m_table.members().contains(m_options.incarnation);
}

bool participant::log_is_fresh(base::instant now) const
{
    return m_table.complete() && now < m_log_lease_until;
}

void participant::claim_unowned_units(base::instant now, actions& out)
{
    auto alive = live_members(now);
    auto const inputs_unchanged =
        m_scan_is_current && m_unowned_since.empty() &&
        m_scanned_table_version == m_table.version() &&
        m_scanned_live_members == alive;
    // If all processes start together, the first to join would claim every
    // unit.
    auto const joined_recently = now - m_joined_at < m_options.suspect_after;
    if (inputs_unchanged || joined_recently || !is_member() ||
        is_probably_partitioned(now))
    {
        return;
    }
    std::set<std::string> owners;
    for (auto const& it : alive)
    {
        owners.insert(it.incarnation);
    }
    auto const candidates = eligible_owners(now);
    auto load = count_units();
    for (auto const& unit : m_units)
    {
        auto const* current = m_table.owner_of(unit);
        auto const has_live_owner = current != nullptr && !current->released &&
                                    owners.contains(current->incarnation);
        if (has_live_owner)
        {
            m_unowned_since.erase(unit);
            continue;
        }
        claim_unit(unit, candidates, load, now, out);
    }
    std::erase_if(m_unowned_since,
                  [&](auto const& it) { return !m_units.contains(it.first); });
    m_scan_is_current = true;
    m_scanned_table_version = m_table.version();
    m_scanned_live_members = std::move(alive);
}

void participant::claim_unit(std::string const& unit,
                             std::vector<candidate> const& candidates,
                             unit_counts& load,
                             base::instant now,
                             actions& out)
{
    auto const since = m_unowned_since.try_emplace(unit, now).first->second;
    if (has_pending_claim(unit))
    {
        return;
    }
    auto const max_units = max_units_per_process(
        m_units.size(), candidates.size(), m_options.max_load_factor);
    auto order = preference_order(unit, candidates);
    std::erase_if(
        order, [&](std::string const& it)
        { return load[it] >= max_units || !m_table.may_claim(unit, it); });
    auto const own =
        std::find(order.begin(), order.end(), m_options.incarnation);
    if (own == order.end())
    {
        return;
    }
    // The most preferred process may be unable to reach the log, so the others
    // claim after a delay that grows with their rank.
    auto const rank = own - order.begin();
    if (now - since < m_options.claim_delay_step * rank)
    {
        ++load[order.front()];
        return;
    }
    ++load[m_options.incarnation];
    auto const* current = m_table.owner_of(unit);
    auto const follows = current == nullptr ? -1 : current->last_change;
    append(claim{unit, m_options.incarnation, follows}, out);
}

std::string
participant::choose_successor(std::string const& unit,
                              std::vector<candidate> const& candidates,
                              unit_counts& load,
                              std::size_t max_units) const
{
    for (auto const& it : preference_order(unit, candidates))
    {
        if (it != m_options.incarnation && load[it] < max_units)
        {
            ++load[it];
            return it;
        }
    }
    return {};
}

void participant::hand_over(std::string const& unit,
                            std::string const& successor,
                            actions& out)
{
    m_releasing.insert(unit);
    auto const epoch = m_table.owner_of(unit)->epoch;
    append(release{unit, m_options.incarnation, epoch, successor}, out);
}

std::vector<std::string> participant::surplus_units(double mean) const
{
    auto const load = count_units();
    auto const own = owned_units();
    auto const max_units = std::ceil(mean * m_options.max_load_factor);
    auto const unit_count = static_cast<double>(own.size());
    auto const has_underloaded = std::any_of(
        m_scanned_live_members.begin(), m_scanned_live_members.end(),
        [&](candidate const& it)
        {
            auto const found = load.find(it.incarnation);
            auto const size = found == load.end() ? 0 : found->second;
            return static_cast<double>(size) <
                   std::floor(mean / m_options.max_load_factor);
        });
    auto const max_kept = has_underloaded ? std::ceil(mean) : max_units;
    if (unit_count <= max_kept)
    {
        return {};
    }
    auto const surplus = static_cast<std::size_t>(unit_count - max_kept);
    auto const batch_size =
        std::max<std::size_t>(1, surplus / s_surplus_divisor);
    std::vector<std::string> names;
    for (auto const& it : own)
    {
        if (names.size() < batch_size && m_active_from.contains(it))
        {
            names.push_back(it);
        }
    }
    return names;
}

/// Hands over few units at a time, to limit moves when instances come and go.
void participant::rebalance(base::instant now, actions& out)
{
    // A unit stays idle while its release is pending, which takes long in a log
    // outage.
    auto const log_is_healthy =
        m_log_lease_until - now >= m_options.lease_duration * 3 / 4;
    if (now - m_last_rebalance < m_options.rebalance_interval ||
        !m_releasing.empty() || m_active_from.empty() || !log_is_healthy)
    {
        return;
    }
    m_last_rebalance = now;
    auto const candidates = eligible_owners(now);
    if (candidates.size() < 2)
    {
        return;
    }
    for (auto const& [unit, from] : m_active_from)
    {
        if (now >= from && !m_units.contains(unit))
        {
            hand_over(unit, {}, out);
        }
    }
    auto load = count_units();
    auto const mean = static_cast<double>(m_units.size()) /
                      static_cast<double>(candidates.size());
    auto const max_units = static_cast<std::size_t>(std::ceil(mean));
    for (auto const& unit : surplus_units(mean))
    {
        auto const to = choose_successor(unit, candidates, load, max_units);
        if (!to.empty() && now >= m_active_from.at(unit))
        {
            hand_over(unit, to, out);
        }
    }
}

void participant::write_snapshot(base::instant now, actions& out)
{
    auto const is_due =
        m_table.next() - m_snapshot_through >= m_options.snapshot_records ||
        now - m_last_snapshot >= m_options.snapshot_interval;
    if (!is_due || !is_member() || has_pending<snapshot>() ||
        !is_preferred_for("snapshot", now))
    {
        return;
    }
    append(m_table.to_snapshot(), out);
}

void participant::leave_when_ready(base::instant now, actions& out)
{
    if (!is_member())
    {
        m_has_left = !has_pending<join>();
        return;
    }
    auto const candidates = eligible_owners(now);
    auto load = count_units();
    for (auto const& [unit, from] : m_active_from)
    {
        // A unit that is not active yet is not released: the next owner would
        // act before the older lease has ended.
        if (now < from || m_releasing.contains(unit))
        {
            continue;
        }
        hand_over(unit,
                  choose_successor(unit, candidates, load, m_units.size() + 1),
                  out);
    }
    auto const has_active =
        std::any_of(m_active_from.begin(), m_active_from.end(),
                    [&](auto const& it) { return now >= it.second; });
    auto const may_leave = now - m_stopping_since >= m_options.min_leave_delay;
    if (may_leave && !has_active && m_unresolved.empty())
    {
        // Units that are not active yet are left for others to claim.
        m_active_from.clear();
        append(leave{m_options.incarnation}, out);
    }
}

} // namespace berylhill::ownership
