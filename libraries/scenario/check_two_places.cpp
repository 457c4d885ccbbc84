#include <scenario/checker.hpp>

#include <map>
#include <set>

namespace berylhill::scenario
{

namespace
{

/// Where an attempt runs.
struct place
{
    std::string worker;
    std::int64_t attempt{0};

    friend auto operator<=>(place const&, place const&) = default;
};

std::string task_of(event const& it)
{
    return it.word("job") + "/" + std::to_string(it.number("index"));
}

class two_places_checker final : public checker
{
public:
    std::string name() const override
    {
        return "never-in-two-places";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::vector<breach> found;
        std::map<std::string, std::set<place>> running;
        for (auto const& it : seen)
        {
            place const here{it.subject, it.number("attempt")};
            if (it.kind == "start")
            {
                auto& places = running[task_of(it)];
                if (!places.empty())
                {
                    found.push_back(
                        {name(), it.at_us,
                         task_of(it) + " started on " + here.worker +
                             " as attempt " + std::to_string(here.attempt) +
                             " while attempt " +
                             std::to_string(places.begin()->attempt) +
                             " runs on " + places.begin()->worker});
                }
                places.insert(here);
            }
            else if (it.kind == "end")
            {
                running[task_of(it)].erase(here);
            }
        }
        return found;
    }
};

} // namespace

checker_pointer never_in_two_places()
{
    return std::make_unique<two_places_checker>();
}

} // namespace berylhill::scenario
