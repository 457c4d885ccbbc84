#include <command/run.hpp>
#include <entry/entry.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace berylhill;

int main(int argc, char** argv)
{
    std::vector<std::string> const arguments{argv + 1, argv + argc};
    return command::run(arguments, {std::cout, std::cerr, entry::run});
}
