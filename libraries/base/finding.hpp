#pragma once

#include <base/result.hpp>

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace berylhill::base
{

/// One mistake in somebody's input, with its place.
struct finding
{
    /// A file, a stream or `request`.
    std::string source;
    /// Counted from 1; 0 where the input has no lines.
    std::size_t line{0};
    /// A JSON pointer (RFC 6901), or a column; may be empty.
    std::string place;
    std::string message;

    friend auto operator<=>(finding const&, finding const&) = default;
};

/// `source:line: place: message`, as compilers print it.
[[nodiscard]] std::string text_of(finding const& it);

/// Gathers findings, so that all of them are reported together. Not
/// thread-safe.
class findings
{
public:
    void add(finding it)
    {
        m_items.push_back(std::move(it));
    }
    void add(findings const& other);
    [[nodiscard]] bool empty() const noexcept
    {
        return m_items.empty();
    }
    [[nodiscard]] std::vector<finding> const& items() const noexcept
    {
        return m_items;
    }
    /// One line a finding, in the order of their places.
    [[nodiscard]] std::string text() const;

private:
    std::vector<finding> m_items;
};

/// The known name that `name` most likely meant; empty where none is near.
[[nodiscard]] std::string nearest_name(std::string_view name,
                                       std::vector<std::string> const& known);

} // namespace berylhill::base
