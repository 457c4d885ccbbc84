#pragma once

#include <base/finding.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scenario
{

enum class token_kind : std::uint8_t
{
    word,
    number,
    duration, ///< `5s`, `200ms`, `1m`; the value is in seconds.
    percent,
};

[[nodiscard]] std::string_view name_of(token_kind it) noexcept;

/// A piece of a line between blanks.
struct token
{
    token_kind kind{token_kind::word};
    std::string text;
    /// Of what is not a word.
    double value{0};
    /// Counted from 1.
    std::size_t column{0};

    friend bool operator==(token const&, token const&) = default;
};

/// The tokens of one line, without its comment, which begins at `#`.
[[nodiscard]] std::vector<token> tokens_of(std::string_view line);

} // namespace berylhill::scenario
