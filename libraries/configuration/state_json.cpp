#include <configuration/contract_version_json.hpp>
#include <configuration/member_reader.hpp>
#include <configuration/state.hpp>

#include <cassert>
#include <utility>

namespace berylhill::configuration
{

snapshot_change state::to_snapshot() const
{
    assert(complete());
    return {m_offset, essential_json()};
}

Json::Value state::to_json() const
{
    auto out = essential_json();
    out["complete"] = complete();
    out["histories"] = Json::Value{Json::objectValue};
    for (auto const& [name, history] : m_histories)
    {
        auto& list = out["histories"][name] = Json::Value{Json::arrayValue};
        for (auto const& item : history)
        {
            list.append(configuration::to_json(item));
        }
    }
    out["verdicts"] = Json::Value{Json::arrayValue};
    for (auto const& id : m_verdict_order)
    {
        auto line = configuration::to_json(m_verdicts.at(id));
        line["id"] = id;
        out["verdicts"].append(line);
    }
    return out;
}

base::result<state> state::from_json(Json::Value const& it)
{
    BOOST_LEAF_AUTO(value, essential_from(it));
    BOOST_LEAF_AUTO(is_complete, flag_in(it, "complete"));
    if (!is_complete)
    {
        value.m_waiting_from = value.m_offset + 2;
    }
    auto const& histories = it["histories"];
    if (!histories.isObject())
    {
        return base::fail(base::failure_code::invalid, "histories is missing");
    }
    for (auto const& name : histories.getMemberNames())
    {
        BOOST_LEAF_AUTO(items, list_in(histories, name.c_str()));
        for (auto const& item : items)
        {
            BOOST_LEAF_AUTO(one, contract_history_item_from(item));
            value.remember(name, std::move(one));
        }
    }
    BOOST_LEAF_AUTO(verdicts, list_in(it, "verdicts"));
    for (auto const& item : verdicts)
    {
        BOOST_LEAF_AUTO(id, text_in(item, "id"));
        BOOST_LEAF_AUTO(verdict, apply_verdict_from(item));
        value.remember(id, std::move(verdict));
    }
    return value;
}

Json::Value state::essential_json() const
{
    Json::Value out{Json::objectValue};
    out["offset"] = Json::Int64{m_offset};
    out["contracts"] = Json::Value{Json::arrayValue};
    for (auto const& it : m_contracts)
    {
        out["contracts"].append(configuration::to_json(it.second));
    }
    out["removals"] = Json::Value{Json::arrayValue};
    for (auto const& [name, it] : m_removals)
    {
        auto line = configuration::to_json(it);
        line["contract"] = name;
        out["removals"].append(line);
    }
    out["stops"] = Json::Value{Json::arrayValue};
    for (auto const& it : m_stops)
    {
        out["stops"].append(configuration::to_json(it));
    }
    return out;
}

base::result<state> state::essential_from(Json::Value const& it)
{
    state value;
    BOOST_LEAF_ASSIGN(value.m_offset, integer_in(it, "offset"));
    BOOST_LEAF_AUTO(contracts, list_in(it, "contracts"));
    for (auto const& item : contracts)
    {
        BOOST_LEAF_AUTO(one, contract_version_from(item));
        auto name = one.contract.name;
        value.m_contracts.insert_or_assign(std::move(name), std::move(one));
    }
    BOOST_LEAF_AUTO(removals, list_in(it, "removals"));
    for (auto const& item : removals)
    {
        BOOST_LEAF_AUTO(name, text_in(item, "contract"));
        BOOST_LEAF_AUTO(removal, contract_history_item_from(item));
        value.m_removals.insert_or_assign(std::move(name), std::move(removal));
    }
    BOOST_LEAF_AUTO(stops, list_in(it, "stops"));
    for (auto const& item : stops)
    {
        BOOST_LEAF_AUTO(stop, planned_stop_from(item));
        value.m_stops.push_back(std::move(stop));
    }
    return value;
}

} // namespace berylhill::configuration
