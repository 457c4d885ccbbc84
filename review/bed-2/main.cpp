#include "cases.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>

namespace
{

using namespace berylhill::review;

using case_function = verdict (*)(run_options const&);

std::map<std::string, case_function> const& cases()
{
    static std::map<std::string, case_function> const all{
        {"failing_link", failing_link},
        {"lasting_task_behind_gang", lasting_task_behind_gang},
        {"route_moved", route_moved},
    };
    return all;
}

} // namespace

/// `review_cell CASE BINARY RECORD`; without the disruption where TROUBLE is 0.
int main(int count, char** words)
{
    constexpr int wanted = 4;
    auto const known = count == wanted ? cases().find(words[1]) : cases().end();
    if (known == cases().end())
    {
        std::cerr << "usage: review_cell CASE BINARY RECORD\n";
        return static_cast<int>(verdict::could_not_run);
    }
    auto const* const trouble = std::getenv("TROUBLE");
    auto const on = trouble == nullptr || std::string{trouble} != "0";
    try
    {
        return static_cast<int>(known->second({words[2], words[3], on}));
    }
    catch (std::exception const& it)
    {
        std::cerr << it.what() << "\n";
        return static_cast<int>(verdict::could_not_run);
    }
}
