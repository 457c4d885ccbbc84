#include "bed.hpp"

#include <exception>
#include <iostream>
#include <string>

/// Plays the case that the first argument names; the second one is its folder.
int main(int count, char** arguments)
{
    using namespace berylhill::review;
    auto const fail = [](std::string const& why)
    {
        std::cerr << why << '\n';
        return static_cast<int>(verdict::could_not_run);
    };
    constexpr int wanted = 3;
    if (count != wanted)
    {
        return fail("usage: review_bed_3 CASE FOLDER");
    }
    std::string const which = arguments[1];
    try
    {
        if (which == "entry-of-another-writer")
        {
            return static_cast<int>(entry_of_another_writer(arguments[2]));
        }
        if (which == "queue-unknown-to-owner")
        {
            return static_cast<int>(queue_unknown_to_owner(arguments[2]));
        }
        if (which == "queue-moved-and-removed")
        {
            return static_cast<int>(queue_moved_and_removed(arguments[2]));
        }
        if (which == "end-of-later-life")
        {
            return static_cast<int>(end_of_later_life(arguments[2]));
        }
    }
    catch (std::exception const& it)
    {
        return fail(it.what());
    }
    return fail("no such case");
}
