#pragma once

#include <command/entry_client.hpp>
#include <tests/api/openapi.hpp>

#include <string>
#include <vector>

namespace berylhill::tests
{

/// Asks a running entry and compares its answers with docs/openapi.json.
class probe
{
public:
    probe(std::string const& entry, Json::Value document);

    /// Sends the request, and returns the answer's body where it is JSON.
    /// Notes a status or a body which the document does not have, and a status
    /// other than `expected`.
    Json::Value ask(operation const& it,
                    command::entry_request const& request,
                    int expected);

    /// Adds a difference that the caller has found.
    void note(operation const& it, std::string const& what);

    /// The operations of the document that were not asked.
    [[nodiscard]] std::vector<operation> unasked() const;

    /// What differs from the document, one line each.
    [[nodiscard]] std::vector<std::string> const& found() const noexcept
    {
        return m_found;
    }

private:
    void compare(operation const& it, command::entry_answer const& answer);
    command::entry_client m_client;
    Json::Value m_document;
    std::vector<operation> m_asked;
    std::vector<std::string> m_found;
};

} // namespace berylhill::tests
