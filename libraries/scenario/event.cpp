#include <scenario/event.hpp>

#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scenario
{

std::string event::word(char const* name) const
{
    auto const& it = details[name];
    return it.isString() ? it.asString() : std::string{};
}

std::int64_t event::number(char const* name) const
{
    auto const& it = details[name];
    return it.isNumeric() ? it.asInt64() : 0;
}

bool event::flag(char const* name) const
{
    auto const& it = details[name];
    return it.isBool() && it.asBool();
}

base::result<event> event_from(std::string_view line)
{
    BOOST_LEAF_AUTO(value, model::parse_json(line));
    if (!value.isObject() || !value["at_us"].isInt64() ||
        !value["kind"].isString() || !value["subject"].isString())
    {
        return base::fail(base::failure_code::invalid,
                          "not an event: " + std::string{line});
    }
    event it;
    it.at_us = value["at_us"].asInt64();
    it.kind = value["kind"].asString();
    it.subject = value["subject"].asString();
    it.details = std::move(value);
    return it;
}

base::result<timeline> timeline_from(std::string_view text)
{
    timeline all;
    while (!text.empty())
    {
        auto const end = text.find('\n');
        if (end == std::string_view::npos)
        {
            break;
        }
        BOOST_LEAF_AUTO(it, event_from(text.substr(0, end)));
        all.push_back(std::move(it));
        text.remove_prefix(end + 1);
    }
    return merged(all, {});
}

timeline merged(timeline const& one, timeline const& other)
{
    timeline all = one;
    all.insert(all.end(), other.begin(), other.end());
    std::stable_sort(all.begin(), all.end(),
                     [](event const& a, event const& b)
                     { return a.at_us < b.at_us; });
    return all;
}

std::string text_of(event const& it)
{
    auto details = it.details;
    details.removeMember("at_us");
    details.removeMember("kind");
    details.removeMember("subject");
    return std::to_string(it.at_us) + " " + it.kind + " " + it.subject + " " +
           model::text_of(details);
}

} // namespace berylhill::scenario
