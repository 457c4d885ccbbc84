#include <entry/call_front.hpp>

#include <base/log.hpp>
#include <entry/codec.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit_client.hpp>
#include <model/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr base::duration s_take_over_wait = std::chrono::seconds{2};
constexpr base::duration s_home_limit = std::chrono::milliseconds{500};
constexpr base::duration s_look_again = std::chrono::milliseconds{20};

} // namespace

call_front::call_front(entry_node& self)
    : m_node{self}
    , m_keys{self}
    , m_admission{self.incarnation, calls::admission_settings{},
                  calls::generator{fresh_seed()}}
    , m_board{self}
{
}

void call_front::heard(calls::group_digest const& it)
{
    m_board.heard(it);
}

void call_front::heard(calls::entry_demand const& it)
{
    std::lock_guard const lock{m_mutex};
    m_admission.update_demand(it);
}

calls::entry_demand call_front::report()
{
    auto const now = m_node.clock.now();
    std::vector<std::string> live;
    m_node.owned.with(
        [&](ownership::participant const& it)
        {
            for (auto const& member : it.live_members(now))
            {
                live.push_back(member.incarnation);
            }
        });
    std::lock_guard const lock{m_mutex};
    take_contracts(now);
    m_admission.set_live(std::move(live), now);
    return m_admission.update_shares(now);
}

/// Precondition: the lock is held.
void call_front::take_contracts(base::instant now)
{
    auto const contracts = m_node.configuration.contracts();
    if (m_contracts_seen == contracts)
    {
        return;
    }
    m_contracts_seen = contracts;
    std::vector<std::string> names;
    for (auto const& it : *contracts)
    {
        m_admission.set_contract(it.second.contract, now);
        names.push_back(it.first);
    }
    for (auto const& it : m_known)
    {
        if (!contracts->contains(it))
        {
            m_admission.remove_contract(it);
        }
    }
    m_known = std::move(names);
}

calls::call_outcome call_front::serve(incoming_call const& it)
{
    auto const began = m_node.clock.now();
    std::string home;
    if (auto why = admit(it, home))
    {
        return *why;
    }
    std::int32_t resends = 0;
    auto outcome = serve_admitted(it, resends);
    finished(it, home, m_node.clock.now() - began, resends);
    return outcome;
}

/// Asks for a part of the contract's limit, here or at the entries that hold
/// it. On success `home` is the one that gave it.
std::optional<calls::refusal> call_front::admit(incoming_call const& it,
                                                std::string& home)
{
    std::vector<std::string> tried;
    for (;;)
    {
        auto const now = m_node.clock.now();
        calls::admission_step step;
        {
            std::lock_guard const lock{m_mutex};
            take_contracts(now);
            step = m_admission.next(it.contract, it.service, tried, now);
        }
        if (step.state == calls::admission_state::refused)
        {
            return step.why;
        }
        home = step.state == calls::admission_state::admitted
                   ? m_node.incarnation
                   : step.home;
        if (home == m_node.incarnation || ask_home(it, home))
        {
            return std::nullopt;
        }
        std::lock_guard const lock{m_mutex};
        m_admission.mark_home_exhausted(it.contract, home, m_node.clock.now());
        tried.push_back(home);
    }
}

bool call_front::ask_home(incoming_call const& it, std::string const& home)
{
    auto const view = m_node.view.get();
    auto const peer = view->peers.find(home);
    if (peer == view->peers.end())
    {
        return false;
    }
    Json::Value message{Json::objectValue};
    message["peer"] = m_node.incarnation;
    message["contract"] = it.contract;
    message["service"] = it.service;
    auto const answer = base::capture(
        [&]
        {
            return m_node.peers.call(peer->second.peer_address, "calls.admit",
                                     message, s_home_limit);
        });
    return answer.has_value();
}

base::result<Json::Value> call_front::admit_for(Json::Value const& asked)
{
    auto const now = m_node.clock.now();
    std::lock_guard const lock{m_mutex};
    take_contracts(now);
    auto const why = m_admission.admit_for(asked["peer"].asString(),
                                           asked["contract"].asString(),
                                           asked["service"].asString(), now);
    if (why)
    {
        return base::fail(failure_code::refused, why->reason,
                          why->retry_after_s);
    }
    return Json::Value{Json::objectValue};
}

void call_front::finished(incoming_call const& it,
                          std::string const& home,
                          base::duration took,
                          std::int32_t resends)
{
    if (home == m_node.incarnation)
    {
        std::lock_guard const lock{m_mutex};
        m_admission.finished(home, it.contract, took, resends,
                             m_node.clock.now());
        return;
    }
    Json::Value message{Json::objectValue};
    message["peer"] = m_node.incarnation;
    message["contract"] = it.contract;
    message["took_us"] = Json::Int64{took.count()};
    message["resends"] = resends;
    // The caller does not wait for this. Where it is lost, the home counts the
    // call until this process has left the view.
    m_node.peer_io.post(
        [&node = m_node, home, message]
        {
            auto const view = node.view.get();
            auto const peer = view->peers.find(home);
            if (peer == view->peers.end())
            {
                return;
            }
            auto const told = base::capture(
                [&]
                {
                    return node.peers.call(peer->second.peer_address,
                                           "calls.finished", message,
                                           s_home_limit);
                });
            if (!told)
            {
                base::log(base::log_level::debug, "home_not_told",
                          {{"home", home}, {"cause", told.error().message}});
            }
        });
}

base::result<Json::Value> call_front::finished_for(Json::Value const& told)
{
    std::lock_guard const lock{m_mutex};
    m_admission.finished(told["peer"].asString(), told["contract"].asString(),
                         base::duration{told["took_us"].asInt64()},
                         told["resends"].asInt(), m_node.clock.now());
    return Json::Value{Json::objectValue};
}

calls::call_outcome call_front::serve_admitted(incoming_call const& it,
                                               std::int32_t& resends)
{
    auto const keyed =
        !it.idempotency_key.empty() && it.safety == model::rerun::at_most_once;
    return keyed ? serve_keyed(it, resends) : try_groups(it, resends);
}

calls::call_outcome call_front::serve_keyed(incoming_call const& it,
                                            std::int32_t& resends)
{
    auto const begun = m_keys.begin(it);
    if (begun)
    {
        return *begun;
    }
    auto outcome = try_groups(it, resends);
    m_keys.end(it, outcome);
    return outcome;
}

calls::call_outcome call_front::try_groups(incoming_call const& it,
                                           std::int32_t& resends)
{
    wait_for_group(it);
    return m_board.run(it, resends);
}

/// A service whose minions the platform lists, and of which no group has an
/// owner yet, is being taken over, or this process has just begun: that takes
/// a moment, and a refusal would send the caller away from work that can be
/// done. For a service without minions there is nothing to wait for.
void call_front::wait_for_group(incoming_call const& it)
{
    auto const until =
        std::min(m_node.clock.now() + s_take_over_wait, it.deadline);
    while (!m_board.knows(it.service) && has_minions(it.service) &&
           m_node.clock.now() + s_look_again < until)
    {
        std::this_thread::sleep_for(s_look_again);
    }
}

bool call_front::has_minions(std::string const& service) const
{
    auto const view = m_node.view.get();
    return std::any_of(view->endpoints.begin(), view->endpoints.end(),
                       [&](auto const& it)
                       {
                           return it.kind == model::endpoint_kind::minion &&
                                  it.service == service &&
                                  it.state == model::listed_state::live;
                       });
}

} // namespace berylhill::entry
