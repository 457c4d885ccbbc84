#include "figures.hpp"

#include <cstdio>
#include <map>
#include <string>

namespace berylhill::bench
{

namespace
{

using registry = std::map<std::string, void (*)()>;

// A function's static is made at first use, whichever source registers first.
registry& groups()
{
    static registry s_groups;
    return s_groups;
}

} // namespace

void print_figure(std::string_view name, double value, std::string_view unit)
{
    std::printf("%.*s=%.6g %.*s\n", static_cast<int>(name.size()), name.data(),
                value, static_cast<int>(unit.size()), unit.data());
    std::fflush(stdout);
}

group_of_figures::group_of_figures(char const* name, void (*run)())
{
    groups().emplace(name, run);
}

} // namespace berylhill::bench

/// Runs the groups whose names contain the first argument; all without one.
int main(int argc, char** argv)
{
    std::string const wanted = argc > 1 ? argv[1] : "";
    for (auto const& [name, run] : berylhill::bench::groups())
    {
        if (name.find(wanted) != std::string::npos)
        {
            run();
        }
    }
    return 0;
}
