#include <ownership/message.hpp>

#include <initializer_list>

namespace berylhill::ownership
{

namespace
{

base::result<base::done>
require_strings(Json::Value const& it, std::initializer_list<char const*> names)
{
    for (auto const* name : names)
    {
        if (!it.isObject() || !it[name].isString())
        {
            return base::fail(
                base::failure_code::invalid,
                std::string{"ownership message without text field "} + name);
        }
    }
    return base::done{};
}

} // namespace

Json::Value to_json(heartbeat const& it)
{
    Json::Value value{Json::objectValue};
    value["incarnation"] = it.incarnation;
    value["instance"] = it.instance;
    value["zone"] = it.zone;
    value["leaving"] = it.leaving;
    return value;
}

Json::Value to_json(suspicion const& it)
{
    Json::Value value{Json::objectValue};
    value["from"] = it.from;
    value["silent"] = it.silent;
    return value;
}

Json::Value to_json(vouch_request const& it)
{
    Json::Value value{Json::objectValue};
    value["from"] = it.from;
    value["instance"] = it.instance;
    value["round"] = Json::UInt64{it.round};
    value["table_next"] = Json::Int64{it.table_next};
    return value;
}

Json::Value to_json(vouch_answer const& it)
{
    Json::Value value{Json::objectValue};
    value["from"] = it.from;
    value["instance"] = it.instance;
    value["round"] = Json::UInt64{it.round};
    value["doubtful"] = Json::Value{Json::arrayValue};
    for (auto const& unit : it.doubtful)
    {
        value["doubtful"].append(unit);
    }
    return value;
}

base::result<heartbeat> heartbeat_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(require_strings(it, {"incarnation", "instance", "zone"}));
    return heartbeat{it["incarnation"].asString(), it["instance"].asString(),
                     it["zone"].asString(),
                     it["leaving"].isBool() && it["leaving"].asBool()};
}

base::result<suspicion> suspicion_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(require_strings(it, {"from", "silent"}));
    return suspicion{it["from"].asString(), it["silent"].asString()};
}

base::result<vouch_request> vouch_request_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(require_strings(it, {"from", "instance"}));
    if (!it["round"].isUInt64() || !it["table_next"].isInt64())
    {
        return base::fail(base::failure_code::invalid,
                          "vouch request without round or table_next");
    }
    return vouch_request{it["from"].asString(), it["instance"].asString(),
                         it["round"].asUInt64(), it["table_next"].asInt64()};
}

base::result<vouch_answer> vouch_answer_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(require_strings(it, {"from", "instance"}));
    if (!it["round"].isUInt64() || !it["doubtful"].isArray())
    {
        return base::fail(base::failure_code::invalid,
                          "vouch answer without round or doubtful");
    }
    vouch_answer value{it["from"].asString(),
                       it["instance"].asString(),
                       it["round"].asUInt64(),
                       {}};
    for (auto const& unit : it["doubtful"])
    {
        if (!unit.isString())
        {
            return base::fail(
                base::failure_code::invalid,
                "vouch answer with a doubtful unit that is not a string");
        }
        value.doubtful.push_back(unit.asString());
    }
    return value;
}

} // namespace berylhill::ownership
