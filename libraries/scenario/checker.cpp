#include <scenario/checker.hpp>

namespace berylhill::scenario
{

std::vector<checker_pointer> all_checkers()
{
    std::vector<checker_pointer> all;
    all.push_back(never_overfull());
    all.push_back(never_in_two_places());
    all.push_back(whole_answers());
    all.push_back(refusals_are_true());
    all.push_back(at_most_once());
    all.push_back(leaving_gets_no_work());
    all.push_back(stops_are_graceful());
    all.push_back(configuration_holds());
    return all;
}

std::vector<breach> check_all(timeline const& seen)
{
    std::vector<breach> all;
    for (auto const& it : all_checkers())
    {
        auto const found = it->check(seen);
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

} // namespace berylhill::scenario
