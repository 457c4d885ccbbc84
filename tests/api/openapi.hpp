#pragma once

#include <json/value.h>

#include <compare>
#include <string>
#include <vector>

/// Reads docs/openapi.json, so that tests can hold a server to it.
namespace berylhill::tests
{

/// One operation of the interface.
struct operation
{
    /// Upper case.
    std::string method;
    /// With its parameters in braces, for example `/v1/jobs/{id}`.
    std::string path;

    friend auto operator<=>(operation const&, operation const&) = default;
};

/// The whole document. An unreadable file is a null value.
[[nodiscard]] Json::Value read_openapi(std::string const& file);

/// All operations, in order of path and method.
[[nodiscard]] std::vector<operation> operations_of(Json::Value const& document);

/// The HTTP statuses that are documented for an operation, as text.
[[nodiscard]] std::vector<std::string> statuses_of(Json::Value const& document,
                                                   operation const& it);

/// What a `$ref` leads to; the value itself where it is none.
[[nodiscard]] Json::Value const& resolve_reference(Json::Value const& document,
                                                   Json::Value const& it);

/// The schema of an answer's body of this type; null where there is none.
[[nodiscard]] Json::Value const& schema_of(Json::Value const& document,
                                           operation const& it,
                                           std::string const& status,
                                           std::string const& type);

/// The members which the schema of this answer requires; empty where the
/// answer has no JSON schema.
[[nodiscard]] std::vector<std::string>
required_members_of(Json::Value const& document,
                    operation const& it,
                    std::string const& status);

/// Every `$ref` in the document that leads nowhere.
[[nodiscard]] std::vector<std::string>
dangling_references_in(Json::Value const& document);

} // namespace berylhill::tests
