#pragma once

#include <configuration/member_change.hpp>

#include <string>
#include <vector>

namespace berylhill::configuration
{

/// A contract of which some members differ.
struct changed_contract
{
    std::string name;
    std::vector<member_change> members;

    friend bool operator==(changed_contract const&,
                           changed_contract const&) = default;
};

/// What an apply of declared contracts would do to those in force.
struct difference
{
    std::vector<model::contract> added;
    std::vector<changed_contract> changed;
    std::vector<std::string> removed;

    [[nodiscard]] bool empty() const noexcept
    {
        return added.empty() && changed.empty() && removed.empty();
    }

    friend bool operator==(difference const&, difference const&) = default;
};

/// Each list is in the order of names. Pure. Precondition: no name stands
/// twice in one argument.
[[nodiscard]] difference
difference_between(std::vector<model::contract> const& in_force,
                   std::vector<model::contract> const& declared);

/// For people: one line for each contract, marked `+`, `~` or `-`, and one for
/// each changed member.
[[nodiscard]] std::string text_of(difference const& it);

} // namespace berylhill::configuration
