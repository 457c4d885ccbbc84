#include <scenario/checker.hpp>

#include <map>

namespace berylhill::scenario
{

namespace
{

constexpr std::int64_t s_grace_us = 2'000'000;
/// What the list may lag, and an entry's poll of it.
constexpr std::int64_t s_list_lag_us = 1'500'000;

class leaving_checker final : public checker
{
public:
    std::string name() const override
    {
        return "leaving-gets-no-work";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::vector<breach> found;
        /// By endpoint: from when on nothing new may come.
        std::map<std::string, std::int64_t> closed;
        for (auto const& it : seen)
        {
            if (it.kind == "stop_announced")
            {
                closed.emplace(it.subject, it.at_us + s_grace_us);
            }
            else if (it.kind == "endpoint_leaving")
            {
                closed.emplace(it.subject,
                               it.at_us + s_grace_us + s_list_lag_us);
            }
            else if (it.kind == "start" || it.kind == "call_begun")
            {
                auto const known = closed.find(it.subject);
                if (known != closed.end() && it.at_us > known->second)
                {
                    found.push_back(
                        {name(), it.at_us,
                         it.subject + " got new work " +
                             std::to_string((it.at_us - known->second) /
                                            1'000) +
                             " ms after it should have got its last"});
                }
            }
        }
        return found;
    }
};

} // namespace

checker_pointer leaving_gets_no_work()
{
    return std::make_unique<leaving_checker>();
}

} // namespace berylhill::scenario
