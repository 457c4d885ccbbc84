#include <platform/worker_codec.hpp>

#include <model/json.hpp>

#include <string>
#include <utility>

namespace berylhill::platform
{

namespace
{

using base::result;

base::result<Json::Value> member_of(Json::Value const& it,
                                    char const* name,
                                    bool (Json::Value::*is)() const)
{
    if (!it.isObject() || !it.isMember(name) || !(it[name].*is)())
    {
        return base::fail(base::failure_code::invalid,
                          std::string{name} +
                              " is missing or has another type");
    }
    return it[name];
}

result<std::string> string_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member_of(it, name, &Json::Value::isString));
    return value.asString();
}

result<std::int64_t> integer_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member_of(it, name, &Json::Value::isInt64));
    return std::int64_t{value.asInt64()};
}

result<double> number_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member_of(it, name, &Json::Value::isNumeric));
    return value.asDouble();
}

result<model::resources> resources_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member_of(it, name, &Json::Value::isObject));
    return model::resources_from(value);
}

result<model::attempt_id> attempt_in(Json::Value const& it)
{
    BOOST_LEAF_AUTO(value, member_of(it, "attempt", &Json::Value::isObject));
    return model::attempt_id_from(value);
}

template <class T, class Write>
Json::Value list_of(std::vector<T> const& items, Write write)
{
    Json::Value list{Json::arrayValue};
    for (auto const& it : items)
    {
        list.append(write(it));
    }
    return list;
}

template <class T, class Read>
result<std::vector<T>>
list_in(Json::Value const& it, char const* name, Read read)
{
    BOOST_LEAF_AUTO(list, member_of(it, name, &Json::Value::isArray));
    std::vector<T> items;
    items.reserve(list.size());
    for (auto const& element : list)
    {
        BOOST_LEAF_AUTO(value, read(element));
        items.push_back(std::move(value));
    }
    return items;
}

Json::Value attempt_json(model::attempt_id const& it)
{
    return model::to_json(it);
}

Json::Value start_json(task_start const& it)
{
    Json::Value value;
    value["attempt"] = model::to_json(it.attempt);
    value["contract"] = it.contract;
    value["name"] = it.name;
    value["planned"] = model::to_json(it.planned);
    value["command"] = it.command;
    value["lease_until"] = Json::Int64{it.lease_until};
    return value;
}

result<task_start> start_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(attempt, attempt_in(it));
    BOOST_LEAF_AUTO(contract, string_in(it, "contract"));
    BOOST_LEAF_AUTO(name, string_in(it, "name"));
    BOOST_LEAF_AUTO(planned, resources_in(it, "planned"));
    BOOST_LEAF_AUTO(command, string_in(it, "command"));
    BOOST_LEAF_AUTO(lease_until, integer_in(it, "lease_until"));
    return task_start{attempt, contract, name, planned, command, lease_until};
}

Json::Value throttle_json(task_throttle const& it)
{
    Json::Value value;
    value["attempt"] = model::to_json(it.attempt);
    value["share"] = it.share;
    return value;
}

result<task_throttle> throttle_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(attempt, attempt_in(it));
    BOOST_LEAF_AUTO(share, number_in(it, "share"));
    return task_throttle{attempt, share};
}

Json::Value running_json(running_task const& it)
{
    Json::Value value;
    value["attempt"] = model::to_json(it.attempt);
    value["contract"] = it.contract;
    value["name"] = it.name;
    value["planned"] = model::to_json(it.planned);
    value["used"] = model::to_json(it.used);
    return value;
}

result<running_task> running_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(attempt, attempt_in(it));
    BOOST_LEAF_AUTO(contract, string_in(it, "contract"));
    BOOST_LEAF_AUTO(name, string_in(it, "name"));
    BOOST_LEAF_AUTO(planned, resources_in(it, "planned"));
    BOOST_LEAF_AUTO(used, resources_in(it, "used"));
    return running_task{attempt, contract, name, planned, used};
}

Json::Value finished_json(finished_task const& it)
{
    Json::Value value;
    value["attempt"] = model::to_json(it.attempt);
    value["contract"] = it.contract;
    value["name"] = it.name;
    value["end"] = std::string{model::name_of(it.end)};
    value["peak"] = model::to_json(it.peak);
    value["run_s"] = it.run_s;
    value["detail"] = it.detail;
    return value;
}

result<finished_task> finished_from(Json::Value const& it)
{
    BOOST_LEAF_AUTO(attempt, attempt_in(it));
    BOOST_LEAF_AUTO(contract, string_in(it, "contract"));
    BOOST_LEAF_AUTO(name, string_in(it, "name"));
    BOOST_LEAF_AUTO(end_name, string_in(it, "end"));
    BOOST_LEAF_AUTO(end, model::enum_from<model::task_end>(end_name));
    BOOST_LEAF_AUTO(peak, resources_in(it, "peak"));
    BOOST_LEAF_AUTO(run_s, number_in(it, "run_s"));
    BOOST_LEAF_AUTO(detail, string_in(it, "detail"));
    return finished_task{attempt, contract, name, end, peak, run_s, detail};
}

} // namespace

Json::Value to_json(worker_request const& it)
{
    Json::Value value;
    value["epoch"] = Json::Int64{it.epoch};
    value["renew_until"] = Json::Int64{it.renew_until};
    value["starts"] = list_of(it.starts, start_json);
    value["stops"] = list_of(it.stops, attempt_json);
    value["checkpoints"] = list_of(it.checkpoints, attempt_json);
    value["throttles"] = list_of(it.throttles, throttle_json);
    value["acknowledged"] = list_of(it.acknowledged, attempt_json);
    return value;
}

Json::Value to_json(worker_answer const& it)
{
    Json::Value value;
    value["clock"] = Json::Int64{it.clock};
    value["incarnation"] = it.incarnation;
    value["running"] = list_of(it.running, running_json);
    value["finished"] = list_of(it.finished, finished_json);
    return value;
}

result<worker_request> worker_request_from(Json::Value const& it)
{
    using model::attempt_id;
    worker_request value;
    BOOST_LEAF_ASSIGN(value.epoch, integer_in(it, "epoch"));
    BOOST_LEAF_ASSIGN(value.renew_until, integer_in(it, "renew_until"));
    BOOST_LEAF_ASSIGN(value.starts,
                      list_in<task_start>(it, "starts", start_from));
    BOOST_LEAF_ASSIGN(value.stops,
                      list_in<attempt_id>(it, "stops", model::attempt_id_from));
    BOOST_LEAF_ASSIGN(
        value.checkpoints,
        list_in<attempt_id>(it, "checkpoints", model::attempt_id_from));
    BOOST_LEAF_ASSIGN(value.throttles,
                      list_in<task_throttle>(it, "throttles", throttle_from));
    BOOST_LEAF_ASSIGN(
        value.acknowledged,
        list_in<attempt_id>(it, "acknowledged", model::attempt_id_from));
    return value;
}

result<worker_answer> worker_answer_from(Json::Value const& it)
{
    worker_answer value;
    BOOST_LEAF_ASSIGN(value.clock, integer_in(it, "clock"));
    BOOST_LEAF_ASSIGN(value.incarnation, string_in(it, "incarnation"));
    BOOST_LEAF_ASSIGN(value.running,
                      list_in<running_task>(it, "running", running_from));
    BOOST_LEAF_ASSIGN(value.finished,
                      list_in<finished_task>(it, "finished", finished_from));
    return value;
}

} // namespace berylhill::platform
