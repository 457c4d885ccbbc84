#include <configuration/change.hpp>

#include <configuration/member_reader.hpp>
#include <model/json.hpp>

#include <utility>

namespace berylhill::configuration
{

namespace
{

constexpr char const* s_apply = "apply";
constexpr char const* s_stop = "stop";
constexpr char const* s_stop_done = "stop_done";
constexpr char const* s_snapshot = "snapshot";

Json::Value object_of(char const* kind)
{
    Json::Value out{Json::objectValue};
    out["kind"] = kind;
    return out;
}

struct writer
{
    Json::Value operator()(apply_change const& it) const
    {
        auto out = object_of(s_apply);
        out["id"] = it.id;
        out["based_on"] = Json::Int64{it.based_on};
        out["operator"] = it.operator_name;
        out["at_us"] = Json::Int64{it.at_us};
        out["contracts"] = Json::Value{Json::arrayValue};
        for (auto const& contract : it.contracts)
        {
            out["contracts"].append(model::to_json(contract));
        }
        out["removed"] = Json::Value{Json::arrayValue};
        for (auto const& name : it.removed)
        {
            out["removed"].append(name);
        }
        return out;
    }

    Json::Value operator()(stop_change const& it) const
    {
        auto out = object_of(s_stop);
        out["endpoint_kind"] = std::string{model::name_of(it.kind)};
        out["id"] = it.endpoint;
        out["operator"] = it.operator_name;
        out["at_us"] = Json::Int64{it.at_us};
        return out;
    }

    Json::Value operator()(stop_done_change const& it) const
    {
        auto out = object_of(s_stop_done);
        out["endpoint_kind"] = std::string{model::name_of(it.kind)};
        out["id"] = it.endpoint;
        out["announced"] = Json::Int64{it.announced};
        out["at_us"] = Json::Int64{it.at_us};
        return out;
    }

    Json::Value operator()(snapshot_change const& it) const
    {
        auto out = object_of(s_snapshot);
        out["as_of"] = Json::Int64{it.as_of};
        out["state"] = it.state;
        return out;
    }
};

base::result<change> apply_from(Json::Value const& it)
{
    apply_change value;
    BOOST_LEAF_ASSIGN(value.id, text_in(it, "id"));
    BOOST_LEAF_ASSIGN(value.based_on, integer_in(it, "based_on"));
    BOOST_LEAF_ASSIGN(value.operator_name, text_in(it, "operator"));
    BOOST_LEAF_ASSIGN(value.at_us, integer_in(it, "at_us"));
    BOOST_LEAF_AUTO(contracts, list_in(it, "contracts"));
    for (auto const& item : contracts)
    {
        BOOST_LEAF_AUTO(contract, model::contract_from(item));
        value.contracts.push_back(std::move(contract));
    }
    BOOST_LEAF_ASSIGN(value.removed, texts_in(it, "removed"));
    return change{std::move(value)};
}

base::result<change> stop_from(Json::Value const& it)
{
    stop_change value;
    BOOST_LEAF_ASSIGN(value.kind, endpoint_kind_in(it, "endpoint_kind"));
    BOOST_LEAF_ASSIGN(value.endpoint, text_in(it, "id"));
    BOOST_LEAF_ASSIGN(value.operator_name, text_in(it, "operator"));
    BOOST_LEAF_ASSIGN(value.at_us, integer_in(it, "at_us"));
    return change{std::move(value)};
}

base::result<change> stop_done_from(Json::Value const& it)
{
    stop_done_change value;
    BOOST_LEAF_ASSIGN(value.kind, endpoint_kind_in(it, "endpoint_kind"));
    BOOST_LEAF_ASSIGN(value.endpoint, text_in(it, "id"));
    BOOST_LEAF_ASSIGN(value.announced, integer_in(it, "announced"));
    BOOST_LEAF_ASSIGN(value.at_us, integer_in(it, "at_us"));
    return change{std::move(value)};
}

base::result<change> snapshot_from(Json::Value const& it)
{
    snapshot_change value;
    BOOST_LEAF_ASSIGN(value.as_of, integer_in(it, "as_of"));
    value.state = it["state"];
    return change{std::move(value)};
}

} // namespace

Json::Value to_json(change const& it)
{
    return std::visit(writer{}, it);
}

base::result<change> change_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(kind, text_in(it, "kind"));
    if (kind == s_apply)
    {
        return apply_from(it);
    }
    if (kind == s_stop)
    {
        return stop_from(it);
    }
    if (kind == s_stop_done)
    {
        return stop_done_from(it);
    }
    if (kind == s_snapshot)
    {
        return snapshot_from(it);
    }
    return base::fail(base::failure_code::invalid,
                      "\"" + kind + "\" is no kind of configuration change");
}

} // namespace berylhill::configuration
