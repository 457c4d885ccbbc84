#include <jobs/record.hpp>

#include <model/json.hpp>

namespace berylhill::jobs
{

namespace
{

using model::to_json;

Json::Value body_of(shard_opened const& it)
{
    Json::Value out{Json::objectValue};
    out["kind"] = "opened";
    out["instance"] = it.instance;
    out["term"] = it.term;
    return out;
}

Json::Value body_of(job_accepted const& it)
{
    Json::Value out{Json::objectValue};
    out["kind"] = "accepted";
    out["job"] = it.job;
    out["request"] = to_json(it.request);
    out["at_us"] = Json::Int64{it.at_us};
    return out;
}

Json::Value intent_to_json(start_intent const& it)
{
    auto out = to_json(it.attempt);
    out["group"] = it.group;
    out["group_epoch"] = Json::Int64{it.group_epoch};
    return out;
}

base::result<start_intent> intent_from_json(Json::Value const& it)
{
    BOOST_LEAF_AUTO(attempt, model::attempt_id_from(it));
    return start_intent{attempt, it["group"].asString(),
                        it["group_epoch"].asInt64()};
}

Json::Value body_of(start_intent const& it)
{
    auto out = intent_to_json(it);
    out["kind"] = "intent";
    return out;
}

Json::Value body_of(task_done const& it)
{
    auto out = to_json(it.task);
    out["kind"] = "task_done";
    return out;
}

Json::Value body_of(job_ended const& it)
{
    Json::Value out{Json::objectValue};
    out["kind"] = "ended";
    out["job"] = it.job;
    out["state"] = std::string{model::name_of(it.state)};
    out["detail"] = it.detail;
    out["at_us"] = Json::Int64{it.at_us};
    return out;
}

Json::Value body_of(job_snapshot const& it)
{
    Json::Value out{Json::objectValue};
    out["kind"] = "kept";
    out["job"] = it.job;
    out["request"] = to_json(it.request);
    out["at_us"] = Json::Int64{it.accepted_at_us};
    out["state"] = std::string{model::name_of(it.state)};
    out["detail"] = it.detail;
    out["ended_at_us"] = Json::Int64{it.ended_at_us};
    out["done"] = Json::Value{Json::arrayValue};
    for (auto const n : it.done)
    {
        out["done"].append(n);
    }
    out["intents"] = Json::Value{Json::arrayValue};
    for (auto const& one : it.intents)
    {
        out["intents"].append(intent_to_json(one));
    }
    return out;
}

base::result<record> opened_from(Json::Value const& it)
{
    return shard_opened{it["instance"].asString(), it["term"].asInt()};
}

base::result<record> accepted_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(request, model::job_request_from(it["request"]));
    return job_accepted{it["job"].asString(), request, it["at_us"].asInt64()};
}

base::result<record> intent_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(value, intent_from_json(it));
    return value;
}

base::result<record> task_done_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(task, model::task_id_from(it));
    return task_done{task};
}

base::result<record> ended_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(state,
                    model::enum_from<model::job_state>(it["state"].asString()));
    return job_ended{it["job"].asString(), state, it["detail"].asString(),
                     it["at_us"].asInt64()};
}

base::result<record> kept_from(Json::Value const& it)
{
    job_snapshot out;
    out.job = it["job"].asString();
    BOOST_LEAF_ASSIGN(out.request, model::job_request_from(it["request"]));
    BOOST_LEAF_ASSIGN(
        out.state, model::enum_from<model::job_state>(it["state"].asString()));
    out.accepted_at_us = it["at_us"].asInt64();
    out.detail = it["detail"].asString();
    out.ended_at_us = it["ended_at_us"].asInt64();
    for (auto const& n : it["done"])
    {
        out.done.push_back(n.asInt());
    }
    for (auto const& one : it["intents"])
    {
        BOOST_LEAF_AUTO(value, intent_from_json(one));
        out.intents.push_back(value);
    }
    return out;
}

base::result<record> record_from(std::string const& kind, Json::Value const& it)
{
    if (kind == "opened")
    {
        return opened_from(it);
    }
    if (kind == "accepted")
    {
        return accepted_from(it);
    }
    if (kind == "intent")
    {
        return intent_from(it);
    }
    if (kind == "task_done")
    {
        return task_done_from(it);
    }
    if (kind == "ended")
    {
        return ended_from(it);
    }
    if (kind == "kept")
    {
        return kept_from(it);
    }
    return base::fail(base::failure_code::invalid,
                      "job record of unknown kind '" + kind + "'");
}

} // namespace

std::string stream_of(std::string const& side, std::int64_t shard)
{
    return "jobs-" + side + "-" + std::to_string(shard);
}

Json::Value to_json(stamped_record const& it)
{
    auto out =
        std::visit([](auto const& value) { return body_of(value); }, it.value);
    out["epoch"] = Json::Int64{it.epoch};
    return out;
}

base::result<stamped_record> stamped_record_from(Json::Value const& it)
{
    if (!it.isObject() || !it["kind"].isString() || !it["epoch"].isInt64())
    {
        return base::fail(base::failure_code::invalid,
                          "job record without 'kind' or 'epoch'");
    }
    BOOST_LEAF_AUTO(value, record_from(it["kind"].asString(), it));
    return stamped_record{it["epoch"].asInt64(), value};
}

} // namespace berylhill::jobs
