#pragma once

#include <command/subcommand.hpp>

namespace berylhill::command
{

/// Prints a job: a line for people, or its JSON.
void print_job(Json::Value const& job,
               cxxopts::ParseResult const& options,
               std::ostream& out);

/// Follows a job by long polls until it has ended, printing each change of its
/// state, and says how it ended. Fails as `entry_client::ask` does, and with
/// `timed_out` after `at_most`.
[[nodiscard]] base::result<exit_code>
follow_job(std::string const& id,
           base::duration at_most,
           entry_client const& client,
           cxxopts::ParseResult const& options,
           std::ostream& out);

} // namespace berylhill::command
