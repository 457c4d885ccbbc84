#include <scenario/checker.hpp>

#include <model/json.hpp>

#include <map>

namespace berylhill::scenario
{

namespace
{

model::resources resources_of(event const& it, char const* name)
{
    auto const value =
        base::capture([&] { return model::resources_from(it.details[name]); });
    return value ? value.value() : model::resources{};
}

std::string attempt_of(event const& it)
{
    return it.word("job") + "/" + std::to_string(it.number("index")) + "#" +
           std::to_string(it.number("attempt"));
}

class never_overfull_checker final : public checker
{
public:
    std::string name() const override
    {
        return "never-overfull";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::vector<breach> found;
        std::map<std::string, std::map<std::string, model::resources>> running;
        for (auto const& it : seen)
        {
            if (it.kind == "start")
            {
                auto& here = running[it.subject];
                here[attempt_of(it)] = resources_of(it, "planned");
                check_worker(it, here, found);
            }
            else if (it.kind == "end")
            {
                running[it.subject].erase(attempt_of(it));
            }
            else if (it.kind == "call_refused" && it.word("why") == "full")
            {
                found.push_back({name(), it.at_us,
                                 it.subject + " got a call with all of its " +
                                     std::to_string(it.number("slots")) +
                                     " slots busy"});
            }
        }
        return found;
    }

private:
    void check_worker(event const& it,
                      std::map<std::string, model::resources> const& here,
                      std::vector<breach>& found) const
    {
        model::resources sum;
        for (auto const& attempt : here)
        {
            sum = sum + attempt.second;
        }
        auto const capacity = resources_of(it, "capacity");
        if (!sum.fits_in(capacity))
        {
            found.push_back({name(), it.at_us,
                             it.subject + " holds " +
                                 model::text_of(model::to_json(sum)) + " of " +
                                 model::text_of(model::to_json(capacity)) +
                                 " after " + attempt_of(it)});
        }
    }
};

} // namespace

checker_pointer never_overfull()
{
    return std::make_unique<never_overfull_checker>();
}

} // namespace berylhill::scenario
