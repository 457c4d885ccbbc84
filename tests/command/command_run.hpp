#pragma once

#include <command/run.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace berylhill::tests
{

/// How a command line ended.
struct command_end
{
    int status{0};
    std::string out;
    std::string err;
};

/// Runs a command line in this process.
inline command_end run_command(std::vector<std::string> const& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    auto const status = command::run(arguments, {out, err,
                                                 [](auto const& /*settings*/)
                                                 {
                                                     return 0;
                                                 }});
    return {status, out.str(), err.str()};
}

} // namespace berylhill::tests
