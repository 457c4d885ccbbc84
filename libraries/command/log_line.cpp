#include <command/log_line.hpp>

namespace berylhill::command
{

namespace
{

/// Takes a value off the front: up to a space, or between quotes with `\`
/// before a quote that belongs to it.
std::string take_value(std::string_view& from)
{
    std::string out;
    if (from.empty() || from.front() != '"')
    {
        auto const end = std::min(from.find(' '), from.size());
        out = from.substr(0, end);
        from.remove_prefix(end);
        return out;
    }
    from.remove_prefix(1);
    while (!from.empty() && from.front() != '"')
    {
        if (from.front() == '\\' && from.size() > 1)
        {
            from.remove_prefix(1);
        }
        out += from.front();
        from.remove_prefix(1);
    }
    from.remove_prefix(from.empty() ? 0 : 1);
    return out;
}

} // namespace

std::string log_line::value_of(std::string_view key) const
{
    for (auto const& it : members)
    {
        if (it.key == key)
        {
            return it.value;
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    auto const begin = text.find("time=");
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    log_line out;
    while (!text.empty())
    {
        auto const equals = text.find('=');
        if (equals == std::string_view::npos)
        {
            break;
        }
        auto key = std::string{text.substr(0, equals)};
        text.remove_prefix(equals + 1);
        auto value = take_value(text);
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        if (key == "time")
        {
            out.time = std::move(value);
        }
        else if (key == "instance" && out.event.empty())
        {
            out.instance = std::move(value);
        }
        else if (key == "event")
        {
            out.event = std::move(value);
        }
        else if (key != "level")
        {
            out.members.push_back({std::move(key), std::move(value)});
        }
    }
    if (out.time.empty() || out.event.empty())
    {
        return std::nullopt;
    }
    return out;
}

} // namespace berylhill::command
