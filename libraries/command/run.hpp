#pragma once

#include <command/subcommand.hpp>

namespace berylhill::command
{

/// Does what the command line says and returns the exit status. Never throws.
/// `arguments` begin behind the program's name.
[[nodiscard]] int run(std::vector<std::string> const& arguments,
                      command_context context);

} // namespace berylhill::command
