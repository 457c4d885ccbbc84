#pragma once

#include <base/result.hpp>
#include <base/time.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::command
{

/// Whether a request may be sent again when it is not known whether the first
/// one took effect.
enum class repeat : std::uint8_t
{
    harmless, ///< It reads, or a repeat is recognized by an id in it.
    forbidden,
};

struct http_header
{
    std::string name;
    std::string value;

    friend bool operator==(http_header const&, http_header const&) = default;
};

/// One request to an entry. A value.
struct entry_request
{
    std::string method{"GET"};
    /// Already percent-encoded, with the query.
    std::string target;
    std::vector<http_header> headers;
    std::string content_type{"application/json"};
    std::string body;
    repeat again{repeat::harmless};

    friend bool operator==(entry_request const&,
                           entry_request const&) = default;
};

/// A whole answer of an entry. A value.
struct entry_answer
{
    std::int32_t status{0};
    std::string content_type;
    std::string body;

    friend bool operator==(entry_answer const&, entry_answer const&) = default;
};

/// Sends requests to the first entry that can be reached. Blocks; not
/// thread-safe.
class entry_client
{
public:
    /// `entries` are `IP:port`, asked in this order. Precondition: not empty.
    entry_client(std::vector<std::string> entries, base::duration timeout);

    /// The answer, whatever its status. Fails with `unavailable` where the
    /// request was surely not sent to any entry, and with `outcome_unknown`
    /// where it was sent and no whole answer came, also if another entry
    /// rejected it afterwards.
    [[nodiscard]] base::result<entry_answer>
    send(entry_request const& request) const;

    /// The JSON body of an answer with a status below 300. Fails as `send`
    /// does, and with what the problem document of another status means.
    [[nodiscard]] base::result<Json::Value>
    ask(entry_request const& request) const;

    [[nodiscard]] std::vector<std::string> const& entries() const noexcept
    {
        return m_entries;
    }

    /// The same, for one of the entries only.
    [[nodiscard]] entry_client only(std::string const& entry) const;

private:
    [[nodiscard]] base::result<entry_answer>
    send_to(std::string const& entry, entry_request const& request) const;

    std::vector<std::string> m_entries;
    base::duration m_timeout;
};

/// A GET of this target.
[[nodiscard]] entry_request get(std::string target);

/// A POST of this JSON.
[[nodiscard]] entry_request
post(std::string target, Json::Value const& body, repeat again);

/// Percent-encodes one part of a path or a value of a query.
[[nodiscard]] std::string encoded(std::string const& text);

} // namespace berylhill::command
