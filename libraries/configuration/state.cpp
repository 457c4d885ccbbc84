#include <configuration/state.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::configuration
{

namespace
{

constexpr std::size_t s_most_history = 32;
constexpr std::size_t s_most_verdicts = 1'024;
constexpr std::ptrdiff_t s_most_ended_stops = 256;

bool is_of(planned_stop const& it,
           model::endpoint_kind kind,
           std::string const& endpoint)
{
    return it.kind == kind && it.endpoint == endpoint;
}

} // namespace

void state::fold(std::int64_t offset, std::vector<change> const& changes)
{
    if (offset <= m_offset)
    {
        return;
    }
    if (complete())
    {
        fold_now(offset, changes);
        return;
    }
    // Records before this one are lost to this reader. Judging it without them
    // could let an apply win that lost everywhere else, and what this instance
    // then has in force would differ for good. It waits for a state that
    // contains the missing records.
    if (m_waiting.empty() || m_waiting.back().offset < offset)
    {
        m_waiting.push_back({offset, changes});
    }
    try_snapshots(changes);
}

void state::truncated(std::int64_t first)
{
    if (complete() && first > m_offset + 1)
    {
        m_waiting_from = first;
    }
}

std::vector<contract_version> state::contracts() const
{
    std::vector<contract_version> out;
    for (auto const& it : m_contracts)
    {
        out.push_back(it.second);
    }
    return out;
}

std::optional<contract_version> state::find(std::string const& name) const
{
    auto const it = m_contracts.find(name);
    if (it == m_contracts.end())
    {
        return std::nullopt;
    }
    return it->second;
}

std::vector<contract_history_item>
state::history_of(std::string const& name) const
{
    auto const it = m_histories.find(name);
    if (it == m_histories.end())
    {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

std::optional<apply_verdict> state::verdict_of(std::string const& id) const
{
    auto const it = m_verdicts.find(id);
    if (it == m_verdicts.end())
    {
        return std::nullopt;
    }
    return it->second;
}

std::vector<planned_stop> state::stops() const
{
    return m_stops;
}

std::optional<planned_stop> state::stop_of(model::endpoint_kind kind,
                                           std::string const& endpoint) const
{
    auto const it = std::find_if(m_stops.rbegin(), m_stops.rend(),
                                 [&](auto const& stop)
                                 { return is_of(stop, kind, endpoint); });
    if (it == m_stops.rend())
    {
        return std::nullopt;
    }
    return *it;
}

bool state::is_stopping(model::endpoint_kind kind,
                        std::string const& endpoint) const
{
    auto const it = stop_of(kind, endpoint);
    return it && !it->done;
}

bool state::adopt(state const& peer)
{
    if (!peer.complete() || peer.m_offset <= m_offset)
    {
        return false;
    }
    take_base(peer);
    return true;
}

void state::fold_now(std::int64_t offset, std::vector<change> const& changes)
{
    m_offset = offset;
    for (auto const& it : changes)
    {
        std::visit([&](auto const& one) { fold_one(offset, one); }, it);
    }
}

void state::fold_one(std::int64_t offset, apply_change const& it)
{
    // The sender repeats an append whose answer was lost. Were the second
    // record judged anew, it would lose against the first and a change that
    // is in force would be reported as lost.
    if (m_verdicts.contains(it.id))
    {
        return;
    }
    apply_verdict verdict{offset, conflicts_of(it)};
    if (verdict.won())
    {
        for (auto const& contract : it.contracts)
        {
            publish(offset, it, contract);
        }
        for (auto const& name : it.removed)
        {
            remove(offset, it, name);
        }
    }
    remember(it.id, std::move(verdict));
}

void state::fold_one(std::int64_t offset, stop_change const& it)
{
    if (is_stopping(it.kind, it.endpoint))
    {
        return;
    }
    m_stops.push_back(
        {it.kind, it.endpoint, it.operator_name, offset, it.at_us, false});
}

void state::fold_one(std::int64_t /*offset*/, stop_done_change const& it)
{
    for (auto& stop : m_stops)
    {
        if (is_of(stop, it.kind, it.endpoint) && stop.announced == it.announced)
        {
            stop.done = true;
        }
    }
    forget_ended_stops();
}

void state::fold_one(std::int64_t /*offset*/, snapshot_change const& /*it*/)
{
    // A reader that knows every record gains nothing from an older state, and
    // taking it would revert what was changed after it was written.
}

std::vector<apply_conflict> state::conflicts_of(apply_change const& it) const
{
    auto touched = it.removed;
    for (auto const& contract : it.contracts)
    {
        touched.push_back(contract.name);
    }
    std::sort(touched.begin(), touched.end());
    touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
    std::vector<apply_conflict> conflicts;
    for (auto const& name : touched)
    {
        auto const last = last_change_of(name);
        if (!last || last->version <= it.based_on)
        {
            continue;
        }
        apply_conflict found{name, {}};
        for (auto const& item : history_of(name))
        {
            if (item.version > it.based_on)
            {
                found.later.push_back(item);
            }
        }
        if (found.later.empty())
        {
            // Snapshots carry no histories.
            found.later.push_back(*last);
        }
        conflicts.push_back(std::move(found));
    }
    return conflicts;
}

std::optional<contract_history_item>
state::last_change_of(std::string const& name) const
{
    if (auto const it = m_contracts.find(name); it != m_contracts.end())
    {
        auto const& last = it->second;
        return contract_history_item{contract_event::changed,
                                     last.version,
                                     last.operator_name,
                                     last.at_us,
                                     {}};
    }
    auto const it = m_removals.find(name);
    if (it == m_removals.end())
    {
        return std::nullopt;
    }
    return it->second;
}

void state::publish(std::int64_t offset,
                    apply_change const& by,
                    model::contract const& contract)
{
    contract_history_item item{
        contract_event::added, offset, by.operator_name, by.at_us, {}};
    auto const before = m_contracts.find(contract.name);
    if (before != m_contracts.end())
    {
        item.event = contract_event::changed;
        item.members = changes_between(before->second.contract, contract);
    }
    remember(contract.name, std::move(item));
    m_removals.erase(contract.name);
    m_contracts.insert_or_assign(
        contract.name,
        contract_version{contract, offset, by.operator_name, by.at_us});
}

void state::remove(std::int64_t offset,
                   apply_change const& by,
                   std::string const& name)
{
    if (m_contracts.erase(name) == 0)
    {
        return;
    }
    contract_history_item const item{
        contract_event::removed, offset, by.operator_name, by.at_us, {}};
    m_removals.insert_or_assign(name, item);
    remember(name, item);
}

void state::remember(std::string const& name, contract_history_item item)
{
    auto& history = m_histories[name];
    history.push_back(std::move(item));
    if (history.size() > s_most_history)
    {
        history.pop_front();
    }
}

void state::remember(std::string const& id, apply_verdict verdict)
{
    m_verdicts.insert_or_assign(id, std::move(verdict));
    m_verdict_order.push_back(id);
    if (m_verdict_order.size() > s_most_verdicts)
    {
        // A repeated record of a forgotten winner changes nothing: it is based
        // on an offset below the version that it made itself.
        m_verdicts.erase(m_verdict_order.front());
        m_verdict_order.pop_front();
    }
}

void state::forget_ended_stops()
{
    auto const ended = std::count_if(m_stops.begin(), m_stops.end(),
                                     [](auto const& it) { return it.done; });
    if (ended <= s_most_ended_stops)
    {
        return;
    }
    m_stops.erase(std::find_if(m_stops.begin(), m_stops.end(),
                               [](auto const& it) { return it.done; }));
}

void state::try_snapshots(std::vector<change> const& changes)
{
    for (auto const& it : changes)
    {
        auto const* snapshot = std::get_if<snapshot_change>(&it);
        if (snapshot == nullptr || complete() || snapshot->as_of <= m_offset)
        {
            continue;
        }
        auto base =
            base::capture([&] { return essential_from(snapshot->state); });
        if (base && base.value().m_offset == snapshot->as_of)
        {
            take_base(std::move(base.value()));
        }
    }
}

void state::take_base(state base)
{
    base.m_waiting = std::move(m_waiting);
    base.m_waiting_from = m_waiting_from;
    *this = std::move(base);
    fold_waiting();
}

void state::fold_waiting()
{
    // A state that ends before the first record which waits leaves a gap.
    if (complete() || *m_waiting_from > m_offset + 1)
    {
        return;
    }
    m_waiting_from.reset();
    for (auto const& it : std::exchange(m_waiting, {}))
    {
        if (it.offset > m_offset)
        {
            fold_now(it.offset, it.changes);
        }
    }
}

} // namespace berylhill::configuration
