#include <settings/document.hpp>

#include <json/reader.h>

#include <algorithm>
#include <memory>
#include <regex>
#include <utility>

namespace berylhill::settings
{

namespace
{

/// The reader recurses; deeper input must not exhaust the stack.
constexpr int s_deepest = 64;

struct parsed
{
    bool done{false};
    Json::Value value;
    std::string errors;
};

parsed parse(std::string const& text, bool reject_duplicates)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["collectComments"] = false;
    builder["strictRoot"] = false;
    builder["rejectDupKeys"] = reject_duplicates;
    builder["stackLimit"] = s_deepest;
    std::unique_ptr<Json::CharReader> const reader{builder.newCharReader()};
    parsed it;
    try
    {
        it.done = reader->parse(text.data(), text.data() + text.size(),
                                &it.value, &it.errors);
    }
    catch (Json::Exception const&)
    {
        // The library throws for input nested deeper than the limit.
        it.errors = "* Line 1, Column 1\n  nested too deeply\n";
    }
    return it;
}

/// The library reports each error as `* Line N, Column M` and a line of text.
void add_syntax_errors(std::string const& source,
                       std::string const& errors,
                       base::findings& found)
{
    static std::regex const s_error{
        R"(\* Line (\d+), Column (\d+)\n\s*([^\n]*))"};
    for (auto it = std::sregex_iterator{errors.begin(), errors.end(), s_error};
         it != std::sregex_iterator{}; ++it)
    {
        found.add({source, std::stoul((*it)[1].str()),
                   "column " + (*it)[2].str(), "not JSON: " + (*it)[3].str()});
    }
}

std::string escaped(std::string const& name)
{
    std::string out;
    for (char const it : name)
    {
        if (it == '~' || it == '/')
        {
            out += it == '~' ? "~0" : "~1";
            continue;
        }
        out += it;
    }
    return out;
}

} // namespace

document::document(std::string source, std::string text, base::findings& found)
    : m_source{std::move(source)}
    , m_text{std::move(text)}
{
    auto strict = parse(m_text, true);
    if (strict.done)
    {
        m_root = std::move(strict.value);
        m_readable = true;
        return;
    }
    add_syntax_errors(m_source, strict.errors, found);
    // A key that stands twice need not hide the other mistakes.
    auto lenient = parse(m_text, false);
    m_root = std::move(lenient.value);
    m_readable = lenient.done;
}

located_value document::root() const
{
    return {*this, m_root, ""};
}

std::size_t document::line_at(std::ptrdiff_t offset) const
{
    auto const end = std::min<std::ptrdiff_t>(
        std::max<std::ptrdiff_t>(offset, 0), std::ssize(m_text));
    return 1 + static_cast<std::size_t>(
                   std::count(m_text.begin(), m_text.begin() + end, '\n'));
}

located_value::located_value(document const& owner,
                             Json::Value const& value,
                             std::string pointer)
    : m_owner{&owner}
    , m_value{&value}
    , m_pointer{std::move(pointer)}
{
}

located_value located_value::member(std::string const& name) const
{
    return {*m_owner, (*m_value)[name], m_pointer + "/" + escaped(name)};
}

located_value located_value::item(Json::ArrayIndex n) const
{
    return {*m_owner, (*m_value)[n], m_pointer + "/" + std::to_string(n)};
}

base::finding located_value::wrong(std::string message) const
{
    return {m_owner->source(), m_owner->line_at(m_value->getOffsetStart()),
            m_pointer, std::move(message)};
}

std::string_view type_name_of(Json::Value const& it) noexcept
{
    switch (it.type())
    {
    case Json::nullValue:
        return "null";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
        return "a number";
    case Json::stringValue:
        return "a string";
    case Json::booleanValue:
        return "a boolean";
    case Json::arrayValue:
        return "a list";
    case Json::objectValue:
        return "an object";
    }
    return "unknown";
}

} // namespace berylhill::settings
