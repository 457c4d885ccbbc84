#include <tests/conformance/probe.hpp>

#include <tests/api/openapi_schema.hpp>

#include <model/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::tests
{

probe::probe(std::string const& entry, Json::Value document)
    : m_client{{entry}, std::chrono::seconds{20}}
    , m_document{std::move(document)}
{
}

Json::Value probe::ask(operation const& it,
                       command::entry_request const& request,
                       int expected)
{
    m_asked.push_back(it);
    auto const answer = base::capture([&] { return m_client.send(request); });
    if (!answer)
    {
        note(it, answer.error().message);
        return {};
    }
    if (answer.value().status != expected)
    {
        note(it, "status " + std::to_string(answer.value().status) + ", not " +
                     std::to_string(expected) + ": " + answer.value().body);
    }
    compare(it, answer.value());
    auto const body =
        base::capture([&] { return model::parse_json(answer.value().body); });
    return body ? body.value() : Json::Value{};
}

std::vector<operation> probe::unasked() const
{
    std::vector<operation> out;
    for (auto const& it : operations_of(m_document))
    {
        if (std::find(m_asked.begin(), m_asked.end(), it) == m_asked.end())
        {
            out.push_back(it);
        }
    }
    return out;
}

void probe::compare(operation const& it, command::entry_answer const& answer)
{
    auto const status = std::to_string(answer.status);
    auto const known = statuses_of(m_document, it);
    if (std::find(known.begin(), known.end(), status) == known.end())
    {
        if (std::find(known.begin(), known.end(), "default") == known.end())
        {
            note(it, "status " + status + " is not described");
        }
        return;
    }
    auto const type =
        answer.content_type.substr(0, answer.content_type.find(';'));
    auto const& schema = schema_of(m_document, it, status, type);
    if (schema.isNull())
    {
        note(it, status + ": type " + type + " is not described");
        return;
    }
    if (type == "text/plain")
    {
        return;
    }
    auto const body =
        base::capture([&] { return model::parse_json(answer.body); });
    if (!body)
    {
        note(it, status + ": " + body.error().message);
        return;
    }
    for (auto const& line : mismatches(m_document, schema, body.value()))
    {
        auto what = status;
        note(it, what.append(": ").append(line));
    }
}

void probe::note(operation const& it, std::string const& what)
{
    m_found.push_back(it.method + " " + it.path + ": " + what);
}

} // namespace berylhill::tests
