#include <configuration/contract_version.hpp>

namespace berylhill::configuration
{

std::string_view name_of(contract_event it) noexcept
{
    switch (it)
    {
    case contract_event::added:
        return "added";
    case contract_event::changed:
        return "changed";
    case contract_event::removed:
        return "removed";
    }
    return "changed";
}

std::string text_of(apply_conflict const& it)
{
    std::string out;
    for (auto const& item : it.later)
    {
        out += it.contract + " was " + std::string{name_of(item.event)} +
               " by " + item.operator_name + " at version " +
               std::to_string(item.version);
        std::string members;
        for (auto const& member : item.members)
        {
            members += (members.empty() ? " (" : "; ") + text_of(member);
        }
        out += members.empty() ? "\n" : members + ")\n";
    }
    return out;
}

} // namespace berylhill::configuration
