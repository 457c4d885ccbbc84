#include <ownership/claim_table.hpp>

#include <base/log.hpp>
#include <model/json.hpp>

#include <algorithm>

namespace berylhill::ownership
{

claim_table::claim_table(joiner_rule rule)
    : m_joiner_rule{rule}
{
}

apply_result claim_table::apply(std::int64_t offset, record const& it)
{
    m_next = std::max(m_next, offset + 1);
    if (!m_complete && !std::holds_alternative<snapshot>(it))
    {
        m_deferred.emplace_back(offset, it);
        return {};
    }
    auto const result = std::visit(
        [&](auto const& typed) { return apply_record(offset, typed); }, it);
    m_version += result.effective ? 1 : 0;
    return result;
}

void claim_table::advance_to(std::int64_t offset)
{
    m_next = std::max(m_next, offset);
}

void claim_table::reset(std::int64_t first)
{
    m_complete = false;
    m_first_available = first;
    m_next = std::max(m_next, first);
    m_units.clear();
    m_members.clear();
    m_deferred.clear();
    ++m_version;
}

void claim_table::assume_complete()
{
    m_complete = true;
    auto const deferred = std::move(m_deferred);
    m_deferred.clear();
    for (auto const& [offset, it] : deferred)
    {
        apply(offset, it);
    }
}

owner const* claim_table::owner_of(std::string const& unit) const
{
    auto const it = m_units.find(unit);
    return it == m_units.end() ? nullptr : &it->second;
}

bool claim_table::may_claim(std::string const& unit,
                            std::string const& incarnation) const
{
    auto const claimant = m_members.find(incarnation);
    if (claimant == m_members.end())
    {
        return false;
    }
    auto const* current = owner_of(unit);
    return current == nullptr || knows_claimant(*current, claimant->second);
}

std::vector<std::string> claim_table::changed_since(std::int64_t offset) const
{
    std::vector<std::string> names;
    for (auto const& [name, it] : m_units)
    {
        if (it.last_change >= offset)
        {
            names.push_back(name);
        }
    }
    return names;
}

/// Prevents two processes from holding a lease on one unit. An owner that
/// cannot read the log extends its lease if every member it knows vouches for
/// it, and so would miss the claim of a process that it does not know. Such a
/// claim takes effect only after the owner has published that it has read the
/// claimant's `join`, has released the unit, or is no longer a member.
bool claim_table::knows_claimant(owner const& current,
                                 member const& claimant) const
{
    if (m_joiner_rule == joiner_rule::claim_at_once || current.released)
    {
        return true;
    }
    auto const holder = m_members.find(current.incarnation);
    if (holder == m_members.end())
    {
        return true;
    }
    return claimant.join_offset <
           std::max(holder->second.seen_through, current.epoch);
}

apply_result claim_table::apply_record(std::int64_t offset, join const& it)
{
    // An instance runs one process at a time, so its older process has ended.
    std::erase_if(m_members, [&](auto const& known)
                  { return known.second.instance == it.instance; });
    m_members[it.incarnation] = {it.instance, it.zone, offset, offset};
    return {true, false};
}

apply_result claim_table::apply_record(std::int64_t, leave const& it)
{
    return {m_members.erase(it.incarnation) != 0, false};
}

apply_result claim_table::apply_record(std::int64_t, removal const& it)
{
    return {m_members.erase(it.incarnation) != 0, false};
}

apply_result claim_table::apply_record(std::int64_t offset, seen const& it)
{
    auto const known = m_members.find(it.incarnation);
    if (known == m_members.end())
    {
        return {};
    }
    auto& through = known->second.seen_through;
    through = std::max(through, std::min(it.through, offset));
    return {true, false};
}

apply_result claim_table::apply_record(std::int64_t offset, claim const& it)
{
    auto const* current = owner_of(it.unit);
    auto const changed = current == nullptr ? -1 : current->last_change;
    if (it.follows != changed || !may_claim(it.unit, it.incarnation))
    {
        return {};
    }
    auto const was_free = current == nullptr || current->released;
    m_units[it.unit] = {it.incarnation, offset, offset, false};
    return {true, was_free};
}

apply_result claim_table::apply_record(std::int64_t offset, release const& it)
{
    auto const found = m_units.find(it.unit);
    if (found == m_units.end())
    {
        return {};
    }
    auto& current = found->second;
    if (current.incarnation != it.incarnation || current.epoch != it.epoch ||
        current.released)
    {
        return {};
    }
    current.last_change = offset;
    if (m_members.contains(it.successor))
    {
        current.incarnation = it.successor;
        current.epoch = offset;
        return {true, true};
    }
    current.released = true;
    return {true, true};
}

apply_result claim_table::apply_record(std::int64_t offset, snapshot const& it)
{
    if (m_complete || it.through < m_first_available)
    {
        return {};
    }
    auto const load_result = load_snapshot(it.table);
    if (!load_result.has_value())
    {
        base::log(base::log_level::warning, "snapshot_skipped",
                  {{"offset", offset}, {"why", load_result.error().message}});
        return {};
    }
    std::erase_if(m_deferred,
                  [&](auto const& entry) { return entry.first < it.through; });
    assume_complete();
    return {true, false};
}

snapshot claim_table::to_snapshot() const
{
    Json::Value table{Json::objectValue};
    for (auto const& [name, it] : m_members)
    {
        Json::Value row{Json::arrayValue};
        row.append(it.instance);
        row.append(it.zone);
        row.append(Json::Int64{it.join_offset});
        row.append(Json::Int64{it.seen_through});
        table["members"][name] = std::move(row);
    }
    for (auto const& [name, it] : m_units)
    {
        Json::Value row{Json::arrayValue};
        row.append(it.incarnation);
        row.append(Json::Int64{it.epoch});
        row.append(Json::Int64{it.last_change});
        row.append(it.released);
        table["units"][name] = std::move(row);
    }
    return {m_next, model::text_of(table)};
}

base::outcome<base::done> claim_table::load_snapshot(std::string const& text)
{
    auto const parsed = base::capture([&] { return model::parse_json(text); });
    if (!parsed.has_value())
    {
        return parsed.error();
    }
    auto const& table = parsed.value();
    std::map<std::string, owner> units;
    std::map<std::string, member> members;
    try
    {
        for (auto const& name : table["members"].getMemberNames())
        {
            auto const& row = table["members"][name];
            members[name] = {row[0].asString(), row[1].asString(),
                             row[2].asInt64(), row[3].asInt64()};
        }
        for (auto const& name : table["units"].getMemberNames())
        {
            auto const& row = table["units"][name];
            units[name] = {row[0].asString(), row[1].asInt64(),
                           row[2].asInt64(), row[3].asBool()};
        }
    }
    catch (Json::Exception const& it)
    {
        // JsonCpp throws if a value has an unexpected type.
        return base::failure{base::failure_code::invalid, it.what(), 0};
    }
    m_units = std::move(units);
    m_members = std::move(members);
    return base::done{};
}

} // namespace berylhill::ownership
