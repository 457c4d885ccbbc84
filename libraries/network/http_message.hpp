#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::network
{

enum class http_method : std::uint8_t
{
    get,
    post,
    remove,
    other,
};

/// One header of a message. A value.
struct http_field
{
    std::string name;
    std::string value;

    friend bool operator==(http_field const&, http_field const&) = default;
};

/// What a caller asks. A value.
struct http_request
{
    http_method method{http_method::get};
    /// Path and query.
    std::string target;
    std::vector<http_field> fields;
    std::string body;
    /// Of the body; empty where there is none.
    std::string content_type;

    friend bool operator==(http_request const&, http_request const&) = default;
};

/// What is answered. A value.
struct http_response
{
    unsigned status{0};
    std::vector<http_field> fields;
    std::string body;
    std::string content_type{"application/json"};

    friend bool operator==(http_response const&,
                           http_response const&) = default;
};

/// The value of the first field of this name, compared without case; empty
/// where there is none.
[[nodiscard]] std::string field_of(std::vector<http_field> const& fields,
                                   std::string const& name);

/// The values of all fields of this name, compared without case.
[[nodiscard]] std::vector<std::string>
fields_named(std::vector<http_field> const& fields, std::string const& name);

} // namespace berylhill::network
