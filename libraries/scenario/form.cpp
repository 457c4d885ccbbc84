#include <scenario/form.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scenario
{

namespace
{

std::vector<std::string> split(std::string_view text, char at)
{
    std::vector<std::string> pieces;
    while (true)
    {
        auto const end = text.find(at);
        pieces.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return pieces;
        }
        text.remove_prefix(end + 1);
    }
}

form_part part_from(std::string const& text)
{
    if (text.front() != '<')
    {
        return {{}, token_kind::word, {text}};
    }
    auto const halves =
        split(std::string_view{text}.substr(1, text.size() - 2), ':');
    auto const& type = halves[1];
    if (type == "number")
    {
        return {halves[0], token_kind::number, {}};
    }
    if (type == "duration")
    {
        return {halves[0], token_kind::duration, {}};
    }
    if (type == "percent")
    {
        return {halves[0], token_kind::percent, {}};
    }
    if (type == "word")
    {
        return {halves[0], token_kind::word, {}};
    }
    return {halves[0], token_kind::word, split(type, '|')};
}

std::string joined(std::vector<std::string> const& words)
{
    std::string text;
    for (auto const& it : words)
    {
        text += (text.empty() ? "" : ", ") + it;
    }
    return text;
}

base::finding mistake_at(std::size_t column, std::string message)
{
    return {{}, 0, "column " + std::to_string(column), std::move(message)};
}

std::string wanted(form_part const& it)
{
    return it.words.empty() ? std::string{name_of(it.kind)} : joined(it.words);
}

bool fits(form_part const& part, token const& it)
{
    if (!part.words.empty())
    {
        return std::find(part.words.begin(), part.words.end(), it.text) !=
               part.words.end();
    }
    return part.kind == it.kind;
}

} // namespace

std::string explain(std::vector<std::string> const& words,
                    std::string const& it)
{
    auto const message = "'" + it + "' is not " + joined(words);
    auto const meant = base::nearest_name(it, words);
    return meant.empty() ? message : message + "; " + meant + "?";
}

form::form(action what, std::string_view text)
    : m_what{what}
    , m_text{text}
{
    for (auto const& it : split(text, ' '))
    {
        m_parts.push_back(part_from(it));
    }
}

form_match form::match(std::vector<token> const& tokens) const
{
    form_match result;
    for (auto const& part : m_parts)
    {
        if (result.agreed == tokens.size())
        {
            auto const& last = tokens.back();
            result.mistake =
                mistake_at(last.column + last.text.size(),
                           "the line ends where " + wanted(part) +
                               " should stand; the form is: " + m_text);
            return result;
        }
        auto const& it = tokens[result.agreed];
        if (!fits(part, it))
        {
            result.words = part.words;
            result.mistake = mistake_at(
                it.column, part.words.empty()
                               ? "'" + it.text + "' is not " + wanted(part)
                               : explain(part.words, it.text));
            return result;
        }
        if (!part.argument.empty())
        {
            result.arguments.emplace(part.argument, it);
        }
        ++result.agreed;
    }
    if (result.agreed < tokens.size())
    {
        auto const& it = tokens[result.agreed];
        result.mistake = mistake_at(it.column, "'" + it.text +
                                                   "' is too much; the form "
                                                   "is: " +
                                                   m_text);
    }
    return result;
}

} // namespace berylhill::scenario
