#include <entry/unit_client.hpp>

#include <base/failed_tries.hpp>
#include <entry/entry_node.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr base::duration s_pause = std::chrono::milliseconds{50};
constexpr base::duration s_longest_try = std::chrono::seconds{2};
constexpr double s_retry_s = 1;

bool worth_another_try(failure_code code, repeat when)
{
    return code == failure_code::unavailable ||
           code == failure_code::superseded ||
           (code == failure_code::outcome_unknown &&
            when != repeat::when_not_run);
}

} // namespace

base::result<Json::Value> call_unit(entry_node& self,
                                    std::string const& unit,
                                    std::string const& method,
                                    Json::Value const& parameters,
                                    base::duration timeout)
{
    auto const owner = self.owned.owner_of(unit);
    if (owner.empty())
    {
        return base::fail(failure_code::unavailable, unit + " has no owner",
                          s_retry_s);
    }
    if (owner == self.incarnation)
    {
        return self.dispatch(method, parameters);
    }
    auto const view = self.view.get();
    auto const it = view->peers.find(owner);
    if (it == view->peers.end())
    {
        return base::fail(failure_code::unavailable,
                          owner + ", which owns " + unit + ", is not heard",
                          s_retry_s);
    }
    return self.peers.call(it->second.peer_address, method, parameters,
                           timeout);
}

base::result<Json::Value> call_unit_until(entry_node& self,
                                          std::string const& unit,
                                          std::string const& method,
                                          Json::Value const& parameters,
                                          base::duration timeout,
                                          repeat when)
{
    auto const until = self.clock.now() + timeout;
    base::failed_tries tries;
    for (;;)
    {
        auto const left = until - self.clock.now();
        auto const it = base::capture(
            [&]
            {
                return call_unit(self, unit, method, parameters,
                                 std::min(left, s_longest_try));
            });
        if (it)
        {
            return it.value();
        }
        tries.add(it.error());
        if (!worth_another_try(it.error().code, when) ||
            self.clock.now() + s_pause >= until)
        {
            return base::fail(when == repeat::same_change ? tries.outcome()
                                                          : it.error());
        }
        std::this_thread::sleep_for(s_pause);
    }
}

} // namespace berylhill::entry
