#pragma once

#include <model/contract.hpp>

#include <compare>
#include <string>
#include <vector>

namespace berylhill::configuration
{

/// One member of a contract that differs between two versions.
struct member_change
{
    /// JSON pointer, for example `/quota/millicores`.
    std::string pointer;
    /// As JSON text.
    std::string before;
    std::string after;

    friend auto operator<=>(member_change const&,
                            member_change const&) = default;
};

/// The members that differ, by pointer. Pure.
[[nodiscard]] std::vector<member_change>
changes_between(model::contract const& before, model::contract const& after);

/// `pointer: before -> after`
[[nodiscard]] std::string text_of(member_change const& it);

} // namespace berylhill::configuration
