#include <model/json.hpp>

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <utility>

namespace berylhill::model
{

namespace
{

/// Reads the members of one object; the first wrong one is kept as the failure.
class object_reader
{
public:
    explicit object_reader(Json::Value const& value)
        : m_value{value}
    {
        if (!value.isObject())
        {
            m_wrong = "an object was expected";
        }
    }

    void read(char const* name, std::string& into)
    {
        if (auto const* it = member(name, &Json::Value::isString))
        {
            into = it->asString();
        }
    }

    void read(char const* name, double& into)
    {
        if (auto const* it = member(name, &Json::Value::isNumeric))
        {
            into = it->asDouble();
        }
    }

    void read(char const* name, std::int64_t& into)
    {
        if (auto const* it = member(name, &Json::Value::isInt64))
        {
            into = it->asInt64();
        }
    }

    void read(char const* name, std::int32_t& into)
    {
        if (auto const* it = member(name, &Json::Value::isInt))
        {
            into = it->asInt();
        }
    }

    void read(char const* name, std::vector<std::string>& into)
    {
        auto const* list = member(name, &Json::Value::isArray);
        if (list == nullptr)
        {
            return;
        }
        into.clear();
        for (auto const& it : *list)
        {
            if (!it.isString())
            {
                m_wrong = std::string{name} + " holds something not a string";
                return;
            }
            into.push_back(it.asString());
        }
    }

    void read(char const* name, resources& into)
    {
        auto const* it = member(name, &Json::Value::isObject);
        if (it == nullptr)
        {
            return;
        }
        object_reader inner{*it};
        inner.read("millicores", into.millicores);
        inner.read("memory_mb", into.memory_mb);
        inner.read("accelerators", into.accelerators);
        if (!inner.m_wrong.empty())
        {
            m_wrong = std::string{name} + "/" + inner.m_wrong;
        }
    }

    template <class Enum>
    void read_enum(char const* name, Enum& into)
    {
        auto const* it = member(name, &Json::Value::isString);
        if (it == nullptr)
        {
            return;
        }
        auto const value =
            base::capture([&] { return enum_from<Enum>(it->asString()); });
        if (!value)
        {
            m_wrong = std::string{name} + ": " + value.error().message;
            return;
        }
        into = value.value();
    }

    template <class T>
    base::result<T> finish(T value) const
    {
        if (!m_wrong.empty())
        {
            return base::fail(base::failure_code::invalid, m_wrong);
        }
        return value;
    }

private:
    Json::Value const* member(char const* name, bool (Json::Value::*is)() const)
    {
        if (!m_wrong.empty() || !m_value.isMember(name))
        {
            return nullptr;
        }
        auto const& it = m_value[name];
        if (!(it.*is)())
        {
            m_wrong = std::string{name} + " has the wrong type";
            return nullptr;
        }
        return &it;
    }

    Json::Value const& m_value;
    std::string m_wrong;
};

Json::Value text(std::string_view it)
{
    return std::string{it};
}

} // namespace

Json::Value to_json(resources const& it)
{
    Json::Value out{Json::objectValue};
    out["millicores"] = Json::Int64{it.millicores};
    out["memory_mb"] = Json::Int64{it.memory_mb};
    out["accelerators"] = Json::Int64{it.accelerators};
    return out;
}

Json::Value to_json(contract const& it)
{
    Json::Value out{Json::objectValue};
    out["name"] = it.name;
    out["side"] = it.side;
    out["weight"] = it.weight;
    out["services"] = Json::Value{Json::arrayValue};
    for (auto const& service : it.services)
    {
        out["services"].append(service);
    }
    out["calls_per_s"] = it.calls_per_s;
    out["call_burst"] = Json::Int64{it.call_burst};
    out["calls_at_once"] = Json::Int64{it.calls_at_once};
    out["longest_call_s"] = it.longest_call_s;
    out["quota"] = to_json(it.quota);
    out["jobs_at_once"] = Json::Int64{it.jobs_at_once};
    out["tasks_at_once"] = Json::Int64{it.tasks_at_once};
    out["urgent_quota"] = to_json(it.urgent_quota);
    out["preempted"] = text(name_of(it.preempted));
    out["preferred"] = text(name_of(it.preferred));
    out["retention_s"] = it.retention_s;
    return out;
}

Json::Value to_json(job_request const& it)
{
    Json::Value out{Json::objectValue};
    out["contract"] = it.contract;
    out["name"] = it.name;
    out["kind"] = text(name_of(it.kind));
    out["tasks"] = it.tasks;
    out["declared"] = to_json(it.declared);
    out["declared_run_s"] = it.declared_run_s;
    out["urgent"] = text(name_of(it.urgent));
    out["safety"] = text(name_of(it.safety));
    out["deadline_s"] = it.deadline_s;
    out["key"] = it.key;
    out["command"] = it.command;
    return out;
}

Json::Value to_json(task_id const& it)
{
    Json::Value out{Json::objectValue};
    out["job"] = it.job;
    out["index"] = it.index;
    return out;
}

Json::Value to_json(attempt_id const& it)
{
    auto out = to_json(it.task);
    out["attempt"] = it.number;
    return out;
}

Json::Value to_json(endpoint const& it)
{
    Json::Value out{Json::objectValue};
    out["id"] = it.id;
    out["kind"] = text(name_of(it.kind));
    out["state"] = text(name_of(it.state));
    out["address"] = it.address;
    out["path"] = it.path;
    out["zone"] = it.zone;
    out["rack"] = it.rack;
    out["capacity"] = to_json(it.capacity);
    out["service"] = it.service;
    out["slots"] = it.slots;
    out["connections"] = it.connections;
    return out;
}

base::result<resources> resources_from(Json::Value const& it)
{
    resources value;
    Json::Value wrapped{Json::objectValue};
    wrapped["resources"] = it;
    object_reader reader{wrapped};
    reader.read("resources", value);
    return reader.finish(value);
}

base::result<contract> contract_from(Json::Value const& it)
{
    contract value;
    object_reader reader{it};
    reader.read("name", value.name);
    reader.read("side", value.side);
    reader.read("weight", value.weight);
    reader.read("services", value.services);
    reader.read("calls_per_s", value.calls_per_s);
    reader.read("call_burst", value.call_burst);
    reader.read("calls_at_once", value.calls_at_once);
    reader.read("longest_call_s", value.longest_call_s);
    reader.read("quota", value.quota);
    reader.read("jobs_at_once", value.jobs_at_once);
    reader.read("tasks_at_once", value.tasks_at_once);
    reader.read("urgent_quota", value.urgent_quota);
    reader.read_enum("preempted", value.preempted);
    reader.read_enum("preferred", value.preferred);
    reader.read("retention_s", value.retention_s);
    return reader.finish(std::move(value));
}

base::result<job_request> job_request_from(Json::Value const& it)
{
    job_request value;
    object_reader reader{it};
    reader.read("contract", value.contract);
    reader.read("name", value.name);
    reader.read_enum("kind", value.kind);
    reader.read("tasks", value.tasks);
    reader.read("declared", value.declared);
    reader.read("declared_run_s", value.declared_run_s);
    reader.read_enum("urgent", value.urgent);
    reader.read_enum("safety", value.safety);
    reader.read("deadline_s", value.deadline_s);
    reader.read("key", value.key);
    reader.read("command", value.command);
    return reader.finish(std::move(value));
}

base::result<task_id> task_id_from(Json::Value const& it)
{
    task_id value;
    object_reader reader{it};
    reader.read("job", value.job);
    reader.read("index", value.index);
    return reader.finish(std::move(value));
}

base::result<attempt_id> attempt_id_from(Json::Value const& it)
{
    attempt_id value;
    object_reader reader{it};
    reader.read("job", value.task.job);
    reader.read("index", value.task.index);
    reader.read("attempt", value.number);
    return reader.finish(std::move(value));
}

base::result<endpoint> endpoint_from(Json::Value const& it)
{
    endpoint value;
    object_reader reader{it};
    reader.read("id", value.id);
    reader.read_enum("kind", value.kind);
    reader.read_enum("state", value.state);
    reader.read("address", value.address);
    reader.read("path", value.path);
    reader.read("zone", value.zone);
    reader.read("rack", value.rack);
    reader.read("capacity", value.capacity);
    reader.read("service", value.service);
    reader.read("slots", value.slots);
    reader.read("connections", value.connections);
    return reader.finish(std::move(value));
}

std::string text_of(Json::Value const& it)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, it);
}

base::result<Json::Value> parse_json(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    // The reader recurses; a hostile body must not exhaust the stack.
    builder["stackLimit"] = 64;
    std::unique_ptr<Json::CharReader> const reader{builder.newCharReader()};
    Json::Value value;
    std::string errors;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &value,
                          &errors))
        {
            return value;
        }
    }
    catch (Json::Exception const& it)
    {
        // The library throws for input nested deeper than the limit above.
        errors = it.what();
    }
    return base::fail(base::failure_code::invalid, "not JSON: " + errors);
}

} // namespace berylhill::model
