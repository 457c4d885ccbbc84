#include <command/run.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace berylhill;

namespace
{

// FIXME: Give `entry::run` here as soon as libraries/entry has it.
int run_entry(settings::entry_settings const& /*it*/)
{
    std::cerr << "berylhill entry: not built in yet\n";
    return static_cast<int>(command::exit_code::unavailable);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> const arguments{argv + 1, argv + argc};
    return command::run(arguments, {std::cout, std::cerr, run_entry});
}
