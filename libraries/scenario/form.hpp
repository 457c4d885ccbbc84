#pragma once

#include <scenario/script.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scenario
{

/// One place in a form: a fixed word, or an argument.
struct form_part
{
    /// Empty for a fixed word.
    std::string argument;
    token_kind kind{token_kind::word};
    /// The words that may stand here; empty for any.
    std::vector<std::string> words;
};

/// How far a line agrees with a form.
struct form_match
{
    std::size_t agreed{0};
    /// What could have stood at the mistake; empty for any.
    std::vector<std::string> words;
    /// None where the whole line agrees.
    std::optional<base::finding> mistake;
    std::map<std::string, token> arguments;
};

/// `'it' is not a, b, c; b?`
[[nodiscard]] std::string explain(std::vector<std::string> const& words,
                                  std::string const& it);

/// One form of the language, such as `wait <time:duration>`. `<name:a|b>` takes
/// one of the words.
class form
{
public:
    form(action what, std::string_view text);

    [[nodiscard]] action what() const noexcept
    {
        return m_what;
    }
    [[nodiscard]] std::string const& text() const noexcept
    {
        return m_text;
    }
    [[nodiscard]] std::string const& verb() const
    {
        return m_parts.front().words.front();
    }

    /// The mistake has no source and line yet.
    [[nodiscard]] form_match match(std::vector<token> const& tokens) const;

private:
    action m_what;
    std::string m_text;
    std::vector<form_part> m_parts;
};

} // namespace berylhill::scenario
