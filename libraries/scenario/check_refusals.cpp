#include <scenario/checker.hpp>

#include <map>

namespace berylhill::scenario
{

namespace
{

/// A call carries its name in its target, a job in its command, so that no
/// identifier of the product is trusted.
std::string begun_name(event const& it)
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

std::string refused_name(event const& it)
{
    if (it.word("ran") != "not_run")
    {
        return {};
    }
    if (it.kind == "call_refused_to_caller")
    {
        return "call " + it.word("call");
    }
    if (it.kind == "job_refused")
    {
        return "job " + it.word("tag");
    }
    return {};
}

class refusals_checker final : public checker
{
public:
    std::string name() const override
    {
        return "refusals-are-true";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        // A caller that asks again after a refusal uses a new name, so the
        // order of the two does not matter: a late start is a breach as well.
        std::map<std::string, event const*> begun;
        for (auto const& it : seen)
        {
            if (auto const thing = begun_name(it); !thing.empty())
            {
                begun.emplace(thing, &it);
            }
        }
        std::vector<breach> found;
        for (auto const& it : seen)
        {
            auto const known = begun.find(refused_name(it));
            if (known != begun.end())
            {
                found.push_back({name(), it.at_us,
                                 known->first +
                                     " was refused as not run, but begun on " +
                                     known->second->subject});
            }
        }
        return found;
    }
};

} // namespace

checker_pointer refusals_are_true()
{
    return std::make_unique<refusals_checker>();
}

} // namespace berylhill::scenario
