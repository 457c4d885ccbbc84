#pragma once

#include <calls/call.hpp>
#include <calls/minion_pool_action.hpp>
#include <model/contract.hpp>
#include <model/endpoint.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace berylhill::calls::testing
{

/// The instant `ms` milliseconds after a start time that is not zero.
[[nodiscard]] inline base::instant at_ms(std::int64_t ms)
{
    return base::instant{base::duration{1'000'000'000 + ms * 1'000}};
}

[[nodiscard]] inline model::endpoint minion(std::string id,
                                            std::int32_t slots = 8)
{
    model::endpoint it;
    it.id = std::move(id);
    it.kind = model::endpoint_kind::minion;
    it.service = "report-svc";
    it.slots = slots;
    it.connections = 64;
    return it;
}

/// A call with its deadline a second from `now`.
[[nodiscard]] inline call
call_of(std::string id, base::instant now, std::string contract = "kitakaze")
{
    call it;
    it.request_id = std::move(id);
    it.contract = std::move(contract);
    it.deadline = now + std::chrono::seconds{1};
    return it;
}

[[nodiscard]] inline model::contract
contract_of(std::string name, double rate, std::int64_t at_once)
{
    model::contract it;
    it.name = std::move(name);
    it.services = {"report-svc"};
    it.calls_per_s = rate;
    it.call_burst = static_cast<std::int64_t>(rate);
    it.calls_at_once = at_once;
    return it;
}

/// The actions of one type, in their order.
template <class Action, class Actions>
[[nodiscard]] std::vector<Action> only(Actions const& actions)
{
    std::vector<Action> found;
    for (auto const& it : actions)
    {
        if (auto const* action = std::get_if<Action>(&it))
        {
            found.push_back(*action);
        }
    }
    return found;
}

} // namespace berylhill::calls::testing
