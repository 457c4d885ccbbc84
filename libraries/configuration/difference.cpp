#include <configuration/difference.hpp>

#include <map>

namespace berylhill::configuration
{

namespace
{

using by_name = std::map<std::string, model::contract const*>;

by_name index_of(std::vector<model::contract> const& contracts)
{
    by_name index;
    for (auto const& it : contracts)
    {
        index.emplace(it.name, &it);
    }
    return index;
}

} // namespace

difference difference_between(std::vector<model::contract> const& in_force,
                              std::vector<model::contract> const& declared)
{
    auto const before = index_of(in_force);
    auto const after = index_of(declared);
    difference found;
    for (auto const& [name, contract] : after)
    {
        auto const old = before.find(name);
        if (old == before.end())
        {
            found.added.push_back(*contract);
            continue;
        }
        auto members = changes_between(*old->second, *contract);
        if (!members.empty())
        {
            found.changed.push_back({name, std::move(members)});
        }
    }
    for (auto const& it : before)
    {
        if (!after.contains(it.first))
        {
            found.removed.push_back(it.first);
        }
    }
    return found;
}

std::string text_of(difference const& it)
{
    std::string out;
    for (auto const& contract : it.added)
    {
        out += "+ " + contract.name + "\n";
    }
    for (auto const& contract : it.changed)
    {
        out += "~ " + contract.name + "\n";
        for (auto const& member : contract.members)
        {
            out += "    " + text_of(member) + "\n";
        }
    }
    for (auto const& name : it.removed)
    {
        out += "- " + name + "\n";
    }
    return out;
}

} // namespace berylhill::configuration
