#pragma once

#include <configuration/member_change.hpp>
#include <model/contract.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::configuration
{

/// A contract in force, and who put it there.
struct contract_version
{
    model::contract contract;
    /// The offset of the record that won.
    std::int64_t version{-1};
    std::string operator_name;
    /// Microseconds since 1970 by the sender's clock, for people only.
    std::int64_t at_us{0};

    friend bool operator==(contract_version const&,
                           contract_version const&) = default;
};

enum class contract_event : std::uint8_t
{
    added,
    changed,
    removed,
};

/// One line of a contract's history.
struct contract_history_item
{
    contract_event event{contract_event::changed};
    std::int64_t version{-1};
    std::string operator_name;
    std::int64_t at_us{0};
    std::vector<member_change> members;

    friend bool operator==(contract_history_item const&,
                           contract_history_item const&) = default;
};

/// Why an apply lost: somebody's later change of a contract it touches.
struct apply_conflict
{
    std::string contract;
    /// Oldest first: what was done after the offset that the loser looked at.
    std::vector<contract_history_item> later;

    friend bool operator==(apply_conflict const&,
                           apply_conflict const&) = default;
};

/// What became of an apply that stands in the log.
struct apply_verdict
{
    /// Of the record that holds the apply; its version where it won.
    std::int64_t offset{-1};
    /// Empty where it won.
    std::vector<apply_conflict> conflicts;

    [[nodiscard]] bool won() const noexcept
    {
        return conflicts.empty();
    }

    friend bool operator==(apply_verdict const&,
                           apply_verdict const&) = default;
};

[[nodiscard]] std::string_view name_of(contract_event it) noexcept;

/// For people: `kitakaze was changed by aiko at version 12 (/weight: 1.0 ->
/// 2.0)`, one line for each later change.
[[nodiscard]] std::string text_of(apply_conflict const& it);

} // namespace berylhill::configuration
