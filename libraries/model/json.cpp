#include <model/json.hpp>

#include <json/reader.h>
#include <json/writer.h>

#include <array>
#include <memory>
#include <utility>

namespace berylhill::model
{

namespace
{

template <class Enum>
struct named
{
    Enum value;
    std::string_view name;
};

constexpr std::array s_job_kinds{
    named<job_kind>{job_kind::service, "service"},
    named<job_kind>{job_kind::batch, "batch"},
    named<job_kind>{job_kind::gang, "gang"},
};
constexpr std::array s_urgencies{
    named<urgency>{urgency::normal, "normal"},
    named<urgency>{urgency::urgent, "urgent"},
};
constexpr std::array s_reruns{
    named<rerun>{rerun::idempotent, "idempotent"},
    named<rerun>{rerun::at_most_once, "at_most_once"},
};
constexpr std::array s_task_ends{
    named<task_end>{task_end::succeeded, "succeeded"},
    named<task_end>{task_end::failed, "failed"},
    named<task_end>{task_end::stopped, "stopped"},
    named<task_end>{task_end::checkpointed, "checkpointed"},
    named<task_end>{task_end::lapsed, "lapsed"},
    named<task_end>{task_end::unknown, "unknown"},
};
constexpr std::array s_job_states{
    named<job_state>{job_state::queued, "queued"},
    named<job_state>{job_state::running, "running"},
    named<job_state>{job_state::succeeded, "succeeded"},
    named<job_state>{job_state::failed, "failed"},
    named<job_state>{job_state::cancelled, "cancelled"},
    named<job_state>{job_state::outcome_unknown, "outcome_unknown"},
};
constexpr std::array s_endpoint_kinds{
    named<endpoint_kind>{endpoint_kind::entry, "entry"},
    named<endpoint_kind>{endpoint_kind::worker, "worker"},
    named<endpoint_kind>{endpoint_kind::minion, "minion"},
};
constexpr std::array s_listed_states{
    named<listed_state>{listed_state::live, "live"},
    named<listed_state>{listed_state::leaving, "leaving"},
};
constexpr std::array s_preemptions{
    named<preemption>{preemption::never, "never"},
    named<preemption>{preemption::by_checkpoint, "by_checkpoint"},
};
constexpr std::array s_preferences{
    named<preference>{preference::packing, "packing"},
    named<preference>{preference::waiting, "waiting"},
};

template <class Table, class Enum>
std::string_view find_name(Table const& table, Enum value) noexcept
{
    for (auto const& it : table)
    {
        if (it.value == value)
        {
            return it.name;
        }
    }
    return "unknown";
}

template <class Enum, class Table>
base::result<Enum> find_value(Table const& table, std::string_view name)
{
    std::string known;
    for (auto const& it : table)
    {
        if (it.name == name)
        {
            return it.value;
        }
        known += (known.empty() ? "" : ", ") + std::string{it.name};
    }
    return base::fail(base::failure_code::invalid,
                      "'" + std::string{name} + "' is none of " + known);
}

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

std::string_view name_of(job_kind it) noexcept
{
    return find_name(s_job_kinds, it);
}
std::string_view name_of(urgency it) noexcept
{
    return find_name(s_urgencies, it);
}
std::string_view name_of(rerun it) noexcept
{
    return find_name(s_reruns, it);
}
std::string_view name_of(task_end it) noexcept
{
    return find_name(s_task_ends, it);
}
std::string_view name_of(job_state it) noexcept
{
    return find_name(s_job_states, it);
}
std::string_view name_of(endpoint_kind it) noexcept
{
    return find_name(s_endpoint_kinds, it);
}
std::string_view name_of(listed_state it) noexcept
{
    return find_name(s_listed_states, it);
}
std::string_view name_of(preemption it) noexcept
{
    return find_name(s_preemptions, it);
}
std::string_view name_of(preference it) noexcept
{
    return find_name(s_preferences, it);
}

template <>
base::result<job_kind> enum_from(std::string_view name)
{
    return find_value<job_kind>(s_job_kinds, name);
}
template <>
base::result<urgency> enum_from(std::string_view name)
{
    return find_value<urgency>(s_urgencies, name);
}
template <>
base::result<rerun> enum_from(std::string_view name)
{
    return find_value<rerun>(s_reruns, name);
}
template <>
base::result<task_end> enum_from(std::string_view name)
{
    return find_value<task_end>(s_task_ends, name);
}
template <>
base::result<job_state> enum_from(std::string_view name)
{
    return find_value<job_state>(s_job_states, name);
}
template <>
base::result<endpoint_kind> enum_from(std::string_view name)
{
    return find_value<endpoint_kind>(s_endpoint_kinds, name);
}
template <>
base::result<listed_state> enum_from(std::string_view name)
{
    return find_value<listed_state>(s_listed_states, name);
}
template <>
base::result<preemption> enum_from(std::string_view name)
{
    return find_value<preemption>(s_preemptions, name);
}
template <>
base::result<preference> enum_from(std::string_view name)
{
    return find_value<preference>(s_preferences, name);
}

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
