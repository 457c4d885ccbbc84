#include <telemetry/span.hpp>

namespace berylhill::telemetry
{

namespace
{

std::string text_at(Json::Value const& it, char const* name)
{
    auto const& value = it[name];
    return value.isString() ? value.asString() : std::string{};
}

std::int64_t integer_at(Json::Value const& it, char const* name)
{
    auto const& value = it[name];
    return value.isInt64() ? value.asInt64() : 0;
}

} // namespace

Json::Value to_json(span const& it)
{
    Json::Value out{Json::objectValue};
    out["trace_id"] = it.context.trace_id;
    out["span_id"] = it.context.span_id;
    out["parent_id"] = it.parent_id;
    out["name"] = it.name;
    out["instance"] = it.instance;
    out["start_us"] = Json::Int64{it.start_us};
    out["duration_us"] = Json::Int64{it.duration_us};
    out["attributes"] = Json::Value{Json::objectValue};
    for (auto const& attribute : it.attributes)
    {
        out["attributes"][attribute.name] = attribute.value;
    }
    return out;
}

base::result<span> span_from(Json::Value const& it)
{
    if (!it.isObject() || text_at(it, "span_id").empty())
    {
        return base::fail(base::failure_code::invalid,
                          "a span is an object with a span_id");
    }
    span value;
    value.context = {text_at(it, "trace_id"), text_at(it, "span_id"), true};
    value.parent_id = text_at(it, "parent_id");
    value.name = text_at(it, "name");
    value.instance = text_at(it, "instance");
    value.start_us = integer_at(it, "start_us");
    value.duration_us = integer_at(it, "duration_us");
    auto const& attributes = it["attributes"];
    if (attributes.isObject())
    {
        for (auto const& name : attributes.getMemberNames())
        {
            value.attributes.push_back(
                {name, text_at(attributes, name.c_str())});
        }
    }
    return value;
}

} // namespace berylhill::telemetry
