#include <configuration/member_change.hpp>

#include <model/json.hpp>

namespace berylhill::configuration
{

namespace
{

void compare(std::string const& pointer,
             Json::Value const& before,
             Json::Value const& after,
             std::vector<member_change>& into)
{
    if (before.isObject() && after.isObject())
    {
        // `to_json` writes every member, so both have the same names.
        for (auto const& it : after.getMemberNames())
        {
            auto inner = pointer;
            inner.append("/").append(it);
            compare(inner, before[it], after[it], into);
        }
        return;
    }
    if (before != after)
    {
        into.push_back(
            {pointer, model::text_of(before), model::text_of(after)});
    }
}

} // namespace

std::vector<member_change> changes_between(model::contract const& before,
                                           model::contract const& after)
{
    std::vector<member_change> changes;
    compare("", model::to_json(before), model::to_json(after), changes);
    return changes;
}

std::string text_of(member_change const& it)
{
    return it.pointer + ": " + it.before + " -> " + it.after;
}

} // namespace berylhill::configuration
