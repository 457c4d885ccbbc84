#include <tests/api/openapi.hpp>

#include <json/reader.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

namespace berylhill::tests
{

namespace
{

std::string upper(std::string it)
{
    std::transform(it.begin(), it.end(), it.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::toupper(c)); });
    return it;
}

std::string lower(std::string it)
{
    std::transform(it.begin(), it.end(), it.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return it;
}

bool is_method(std::string const& it)
{
    return it == "get" || it == "post" || it == "put" || it == "delete" ||
           it == "patch";
}

/// The place that `#/a/b` names; null where there is none.
Json::Value const& resolve(Json::Value const& document,
                           std::string const& reference)
{
    auto const* it = &document;
    std::istringstream parts{
        reference.substr(std::min<std::size_t>(reference.size(), 2))};
    for (std::string name; std::getline(parts, name, '/');)
    {
        if (!it->isObject())
        {
            return Json::Value::nullSingleton();
        }
        it = &(*it)[name];
    }
    return *it;
}

void find_dangling(Json::Value const& document,
                   Json::Value const& it,
                   std::vector<std::string>& into)
{
    if (it.isObject() && it.isMember("$ref") && it["$ref"].isString() &&
        resolve(document, it["$ref"].asString()).isNull())
    {
        into.push_back(it["$ref"].asString());
    }
    for (auto const& inner : it)
    {
        if (inner.isObject() || inner.isArray())
        {
            find_dangling(document, inner, into);
        }
    }
}

} // namespace

Json::Value read_openapi(std::string const& file)
{
    std::ifstream in{file};
    Json::Value document;
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder{}, in, &document,
                               &errors))
    {
        return {};
    }
    return document;
}

Json::Value const& resolve_reference(Json::Value const& document,
                                     Json::Value const& it)
{
    return it.isObject() && it.isMember("$ref")
               ? resolve(document, it["$ref"].asString())
               : it;
}

Json::Value const& schema_of(Json::Value const& document,
                             operation const& it,
                             std::string const& status,
                             std::string const& type)
{
    auto const& answer = resolve_reference(
        document,
        document["paths"][it.path][lower(it.method)]["responses"][status]);
    return resolve_reference(document, answer["content"][type]["schema"]);
}

std::vector<operation> operations_of(Json::Value const& document)
{
    std::vector<operation> out;
    auto const& paths = document["paths"];
    for (auto const& path : paths.getMemberNames())
    {
        for (auto const& method : paths[path].getMemberNames())
        {
            if (is_method(method))
            {
                out.push_back({upper(method), path});
            }
        }
    }
    return out;
}

std::vector<std::string> statuses_of(Json::Value const& document,
                                     operation const& it)
{
    return document["paths"][it.path][lower(it.method)]["responses"]
        .getMemberNames();
}

std::vector<std::string> required_members_of(Json::Value const& document,
                                             operation const& it,
                                             std::string const& status)
{
    auto const& schema = schema_of(document, it, status, "application/json");
    std::vector<std::string> out;
    for (auto const& name : schema["required"])
    {
        out.push_back(name.asString());
    }
    return out;
}

std::vector<std::string> dangling_references_in(Json::Value const& document)
{
    std::vector<std::string> out;
    find_dangling(document, document, out);
    return out;
}

} // namespace berylhill::tests
