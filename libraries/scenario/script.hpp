#pragma once

#include <base/finding.hpp>
#include <scenario/token.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scenario
{

/// What a line of a scenario does.
enum class action : std::uint8_t
{
    entries,
    workers,
    minions,
    contract,
    race,
    calls,
    jobs,
    cancel,
    wait,
    kill_entry,
    freeze_entry,
    thaw_entry,
    start_entry,
    stop_entry,
    log_fault,
    log_slow,
    log_lose,
    list_fault,
    worker_cut,
    worker_fault,
    minion_slow,
    minion_fault,
    announce,
    expect_answered,
    expect_refused,
    expect_succeeded,
    expect_cancelled,
    expect_in_force,
    expect_ready,
    expect_promises,
};

/// One line and its arguments, by the names in the forms of `language.cpp`.
struct statement
{
    action what{action::wait};
    std::size_t line{0};
    std::string text;
    std::map<std::string, token> arguments;

    /// Precondition: the statement's form has this argument.
    [[nodiscard]] std::string const& word(std::string const& name) const;
    [[nodiscard]] double number(std::string const& name) const;
    [[nodiscard]] int count(std::string const& name) const;

    friend bool operator==(statement const&, statement const&) = default;
};

/// A whole scenario.
struct script
{
    std::string source;
    std::vector<statement> statements;
};

/// Reads a scenario; mistakes are added to `found`, all of them, with their
/// line and column.
[[nodiscard]] script read_script(std::string const& source,
                                 std::string_view text,
                                 base::findings& found);

/// Every form of the language, one a line, for `--help` and the docs.
[[nodiscard]] std::string describe_language();

} // namespace berylhill::scenario
