#include <scenario/checker.hpp>

#include <map>
#include <set>

namespace berylhill::scenario
{

namespace
{

class once_checker final : public checker
{
public:
    std::string name() const override
    {
        return "at-most-once";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::set<std::string> once;
        for (auto const& it : seen)
        {
            if (it.kind == "call_sent" && it.flag("once"))
            {
                once.insert("call " + it.word("call"));
            }
            if (it.kind == "job_sent" && it.flag("once"))
            {
                once.insert("job " + it.word("tag"));
            }
        }
        std::vector<breach> found;
        std::map<std::string, std::string> begun;
        for (auto const& it : seen)
        {
            auto const thing = thing_of(it);
            if (!once.contains(thing))
            {
                continue;
            }
            auto const run =
                thing.starts_with("job ")
                    ? thing + " task " + std::to_string(it.number("index"))
                    : thing;
            auto const [known, first] = begun.emplace(run, it.subject);
            if (!first)
            {
                found.push_back({name(), it.at_us,
                                 run + " was begun on " + known->second +
                                     " and again on " + it.subject});
            }
        }
        return found;
    }

private:
    static std::string thing_of(event const& it)
    {
        if (it.kind == "call_begun")
        {
            auto const target = it.word("target");
            return "call " + target.substr(target.rfind('/') + 1);
        }
        if (it.kind == "start")
        {
            return "job " + it.word("tag");
        }
        return {};
    }
};

} // namespace

checker_pointer at_most_once()
{
    return std::make_unique<once_checker>();
}

} // namespace berylhill::scenario
