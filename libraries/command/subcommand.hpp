#pragma once

#include <command/entry_client.hpp>
#include <command/exit_code.hpp>

#include <settings/cell_settings.hpp>
#include <settings/entry_settings.hpp>

#include <cxxopts.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace berylhill::command
{

/// Runs an entry until it is told to stop; returns the process's exit status.
/// Given by `main`, so that the command line does not depend on the server.
using entry_runner = std::function<int(settings::entry_settings const&)>;

/// Runs a process of a cell until it is told to stop; returns the process's
/// exit status. The path is that of the settings, for reloads.
using cell_runner =
    std::function<int(settings::cell_settings const&, std::string const& path)>;

/// What a subcommand works with.
struct command_context
{
    std::ostream& out;
    std::ostream& err;
    entry_runner run_entry;
    cell_runner run_cell{};
};

/// One subcommand of `berylhill`.
class subcommand
{
public:
    subcommand() = default;
    subcommand(subcommand const&) = delete;
    subcommand& operator=(subcommand const&) = delete;
    virtual ~subcommand() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// One sentence for the overview and the top of `--help`.
    [[nodiscard]] virtual std::string summary() const = 0;

    /// What stands behind the name, for example `DIR`.
    [[nodiscard]] virtual std::string arguments() const = 0;

    /// A command line that works, shown by `--help`.
    [[nodiscard]] virtual std::string example() const = 0;

    /// Adds the options that only this subcommand has.
    virtual void add_options(cxxopts::OptionAdder& add) const = 0;

    /// Fails with what `exit_code_of` makes an exit status of.
    [[nodiscard]] virtual base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const = 0;
};

/// Positional arguments. Fails with `invalid` unless there are from `least` to
/// `most`.
[[nodiscard]] base::result<std::vector<std::string>> arguments_in(
    cxxopts::ParseResult const& options, std::size_t least, std::size_t most);

/// The client for the entries given by `--entry`. Fails with `invalid`.
[[nodiscard]] base::result<entry_client>
client_of(cxxopts::ParseResult const& options);

/// Who does this, for the history: `--operator` or the user's name.
[[nodiscard]] std::string operator_of(cxxopts::ParseResult const& options);

[[nodiscard]] bool wants_json(cxxopts::ParseResult const& options);

/// The member as people read it; empty where it is missing.
[[nodiscard]] std::string cell(Json::Value const& it, char const* name);

/// A point in time in UTC, for example `2026-12-02 20:31:43`; `-` for 0.
[[nodiscard]] std::string time_cell(Json::Value const& it, char const* name);

[[nodiscard]] std::unique_ptr<subcommand> make_entry_command();
[[nodiscard]] std::unique_ptr<subcommand> make_cell_command();
[[nodiscard]] std::unique_ptr<subcommand> make_check_command();
[[nodiscard]] std::unique_ptr<subcommand> make_contract_command();
[[nodiscard]] std::unique_ptr<subcommand> make_stop_command();
[[nodiscard]] std::unique_ptr<subcommand> make_submit_command();
[[nodiscard]] std::unique_ptr<subcommand> make_jobs_command();
[[nodiscard]] std::unique_ptr<subcommand> make_cancel_command();
[[nodiscard]] std::unique_ptr<subcommand> make_call_command();
[[nodiscard]] std::unique_ptr<subcommand> make_status_command();
[[nodiscard]] std::unique_ptr<subcommand> make_trace_command();
[[nodiscard]] std::unique_ptr<subcommand> make_explain_command();

} // namespace berylhill::command
