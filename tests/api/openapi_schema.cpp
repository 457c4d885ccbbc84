#include <tests/api/openapi_schema.hpp>

#include <tests/api/openapi.hpp>

#include <algorithm>

namespace berylhill::tests
{

namespace
{

using lines = std::vector<std::string>;

bool has_type(Json::Value const& value, std::string const& type)
{
    if (type == "object")
    {
        return value.isObject();
    }
    if (type == "array")
    {
        return value.isArray();
    }
    if (type == "string")
    {
        return value.isString();
    }
    if (type == "integer")
    {
        return value.isIntegral();
    }
    if (type == "number")
    {
        return value.isNumeric();
    }
    return type == "boolean" && value.isBool();
}

void add(lines& into, lines const& more)
{
    into.insert(into.end(), more.begin(), more.end());
}

lines object_mismatches(Json::Value const& document,
                        Json::Value const& schema,
                        Json::Value const& value,
                        std::string const& pointer)
{
    lines found;
    for (auto const& it : schema["required"])
    {
        if (!value.isMember(it.asString()))
        {
            found.push_back(pointer);
            found.back()
                .append("/")
                .append(it.asString())
                .append(" is missing");
        }
    }
    auto const& properties = schema["properties"];
    auto const& others = schema["additionalProperties"];
    for (auto const& it : value.getMemberNames())
    {
        auto inner = pointer;
        inner.append("/").append(it);
        if (properties.isMember(it))
        {
            add(found, mismatches(document, properties[it], value[it], inner));
        }
        else if (others.isObject())
        {
            add(found, mismatches(document, others, value[it], inner));
        }
        else if (properties.isObject())
        {
            found.push_back(inner + " is not described");
        }
    }
    return found;
}

lines array_mismatches(Json::Value const& document,
                       Json::Value const& schema,
                       Json::Value const& value,
                       std::string const& pointer)
{
    lines found;
    for (Json::ArrayIndex i = 0; i < value.size(); ++i)
    {
        add(found, mismatches(document, schema["items"], value[i],
                              pointer + "/" + std::to_string(i)));
    }
    return found;
}

/// Parts that are joined by `allOf` describe one object together.
Json::Value merged(Json::Value const& document, Json::Value const& parts)
{
    Json::Value out{Json::objectValue};
    out["type"] = "object";
    for (auto const& it : parts)
    {
        auto const& part = resolve_reference(document, it);
        for (auto const& name : part["properties"].getMemberNames())
        {
            out["properties"][name] = part["properties"][name];
        }
        for (auto const& name : part["required"])
        {
            out["required"].append(name);
        }
    }
    return out;
}

} // namespace

std::vector<std::string> mismatches(Json::Value const& document,
                                    Json::Value const& reference,
                                    Json::Value const& value,
                                    std::string const& pointer)
{
    auto const& schema = resolve_reference(document, reference);
    if (schema.isMember("allOf"))
    {
        return mismatches(document, merged(document, schema["allOf"]), value,
                          pointer);
    }
    auto const type = schema["type"].asString();
    if (!type.empty() && !has_type(value, type))
    {
        return {pointer + " is not of type " + type};
    }
    auto const& words = schema["enum"];
    if (words.isArray() &&
        std::find(words.begin(), words.end(), value) == words.end())
    {
        return {pointer + " is none of its words: " + value.asString()};
    }
    if (value.isObject())
    {
        return object_mismatches(document, schema, value, pointer);
    }
    return value.isArray() ? array_mismatches(document, schema, value, pointer)
                           : lines{};
}

} // namespace berylhill::tests
