#include <configuration/contract_version_json.hpp>

#include <configuration/member_reader.hpp>
#include <model/json.hpp>

#include <utility>

namespace berylhill::configuration
{

namespace
{

base::result<contract_event> event_from(std::string const& word)
{
    for (auto const it : {contract_event::added, contract_event::changed,
                          contract_event::removed})
    {
        if (name_of(it) == word)
        {
            return it;
        }
    }
    return base::fail(base::failure_code::invalid,
                      "\"" + word + "\" is no event of a contract");
}

Json::Value to_json(member_change const& it)
{
    Json::Value out{Json::objectValue};
    out["pointer"] = it.pointer;
    out["before"] = it.before;
    out["after"] = it.after;
    return out;
}

base::result<member_change> member_change_from(Json::Value const& it)
{
    member_change value;
    BOOST_LEAF_ASSIGN(value.pointer, text_in(it, "pointer"));
    BOOST_LEAF_ASSIGN(value.before, text_in(it, "before"));
    BOOST_LEAF_ASSIGN(value.after, text_in(it, "after"));
    return value;
}

} // namespace

Json::Value to_json(contract_version const& it)
{
    Json::Value out{Json::objectValue};
    out["version"] = Json::Int64{it.version};
    out["operator"] = it.operator_name;
    out["at_us"] = Json::Int64{it.at_us};
    out["contract"] = model::to_json(it.contract);
    return out;
}

Json::Value to_json(contract_history_item const& it)
{
    Json::Value out{Json::objectValue};
    out["event"] = std::string{name_of(it.event)};
    out["version"] = Json::Int64{it.version};
    out["operator"] = it.operator_name;
    out["at_us"] = Json::Int64{it.at_us};
    out["members"] = Json::Value{Json::arrayValue};
    for (auto const& member : it.members)
    {
        out["members"].append(to_json(member));
    }
    return out;
}

Json::Value to_json(apply_conflict const& it)
{
    Json::Value out{Json::objectValue};
    out["contract"] = it.contract;
    out["later"] = Json::Value{Json::arrayValue};
    for (auto const& item : it.later)
    {
        out["later"].append(to_json(item));
    }
    return out;
}

Json::Value to_json(apply_verdict const& it)
{
    Json::Value out{Json::objectValue};
    out["offset"] = Json::Int64{it.offset};
    out["conflicts"] = Json::Value{Json::arrayValue};
    for (auto const& conflict : it.conflicts)
    {
        out["conflicts"].append(to_json(conflict));
    }
    return out;
}

Json::Value to_json(planned_stop const& it)
{
    Json::Value out{Json::objectValue};
    out["kind"] = std::string{model::name_of(it.kind)};
    out["id"] = it.endpoint;
    out["operator"] = it.operator_name;
    out["announced"] = Json::Int64{it.announced};
    out["at_us"] = Json::Int64{it.at_us};
    out["done"] = it.done;
    return out;
}

base::result<contract_version> contract_version_from(Json::Value const& it)
{
    contract_version value;
    BOOST_LEAF_ASSIGN(value.version, integer_in(it, "version"));
    BOOST_LEAF_ASSIGN(value.operator_name, text_in(it, "operator"));
    BOOST_LEAF_ASSIGN(value.at_us, integer_in(it, "at_us"));
    BOOST_LEAF_ASSIGN(value.contract, model::contract_from(it["contract"]));
    return value;
}

base::result<contract_history_item>
contract_history_item_from(Json::Value const& it)
{
    contract_history_item value;
    BOOST_LEAF_AUTO(word, text_in(it, "event"));
    BOOST_LEAF_ASSIGN(value.event, event_from(word));
    BOOST_LEAF_ASSIGN(value.version, integer_in(it, "version"));
    BOOST_LEAF_ASSIGN(value.operator_name, text_in(it, "operator"));
    BOOST_LEAF_ASSIGN(value.at_us, integer_in(it, "at_us"));
    BOOST_LEAF_AUTO(members, list_in(it, "members"));
    for (auto const& item : members)
    {
        BOOST_LEAF_AUTO(member, member_change_from(item));
        value.members.push_back(std::move(member));
    }
    return value;
}

base::result<apply_conflict> apply_conflict_from(Json::Value const& it)
{
    apply_conflict value;
    BOOST_LEAF_ASSIGN(value.contract, text_in(it, "contract"));
    BOOST_LEAF_AUTO(later, list_in(it, "later"));
    for (auto const& item : later)
    {
        BOOST_LEAF_AUTO(one, contract_history_item_from(item));
        value.later.push_back(std::move(one));
    }
    return value;
}

base::result<apply_verdict> apply_verdict_from(Json::Value const& it)
{
    apply_verdict value;
    BOOST_LEAF_ASSIGN(value.offset, integer_in(it, "offset"));
    BOOST_LEAF_AUTO(conflicts, list_in(it, "conflicts"));
    for (auto const& item : conflicts)
    {
        BOOST_LEAF_AUTO(conflict, apply_conflict_from(item));
        value.conflicts.push_back(std::move(conflict));
    }
    return value;
}

base::result<planned_stop> planned_stop_from(Json::Value const& it)
{
    planned_stop value;
    BOOST_LEAF_ASSIGN(value.kind, endpoint_kind_in(it, "kind"));
    BOOST_LEAF_ASSIGN(value.endpoint, text_in(it, "id"));
    BOOST_LEAF_ASSIGN(value.operator_name, text_in(it, "operator"));
    BOOST_LEAF_ASSIGN(value.announced, integer_in(it, "announced"));
    BOOST_LEAF_ASSIGN(value.at_us, integer_in(it, "at_us"));
    BOOST_LEAF_ASSIGN(value.done, flag_in(it, "done"));
    return value;
}

} // namespace berylhill::configuration
