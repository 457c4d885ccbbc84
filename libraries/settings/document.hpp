#pragma once

#include <base/finding.hpp>

#include <json/value.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace berylhill::settings
{

class located_value;

/// A JSON text from a person, with the place of each of its values. Immutable
/// after construction, so it may be read from several threads.
class document
{
public:
    /// Parses strict JSON (no comments, no trailing commas, no key twice).
    /// Every syntax error goes to `found`; where one leaves nothing to read,
    /// `readable` is false. `source` is the file's path or `request`.
    document(std::string source, std::string text, base::findings& found);

    [[nodiscard]] bool readable() const noexcept
    {
        return m_readable;
    }

    /// Precondition: `readable()`. Valid as long as the document.
    [[nodiscard]] located_value root() const;

    [[nodiscard]] std::string const& source() const noexcept
    {
        return m_source;
    }

    /// The line, from 1, of the character at `offset`.
    [[nodiscard]] std::size_t line_at(std::ptrdiff_t offset) const;

private:
    std::string m_source;
    std::string m_text;
    Json::Value m_root;
    bool m_readable{false};
};

/// A value of a document together with its place. It refers to the document,
/// which must outlive it.
class located_value
{
public:
    located_value(document const& owner,
                  Json::Value const& value,
                  std::string pointer);

    [[nodiscard]] Json::Value const& json() const noexcept
    {
        return *m_value;
    }

    /// The JSON pointer (RFC 6901) of this value.
    [[nodiscard]] std::string const& pointer() const noexcept
    {
        return m_pointer;
    }

    /// Precondition: an object with this member.
    [[nodiscard]] located_value member(std::string const& name) const;

    /// Precondition: an array with more than `n` items.
    [[nodiscard]] located_value item(Json::ArrayIndex n) const;

    /// A mistake at this place.
    [[nodiscard]] base::finding wrong(std::string message) const;

private:
    document const* m_owner;
    Json::Value const* m_value;
    std::string m_pointer;
};

/// What kind of JSON value this is, for messages to people.
[[nodiscard]] std::string_view type_name_of(Json::Value const& it) noexcept;

} // namespace berylhill::settings
