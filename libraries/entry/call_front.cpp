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

constexpr double s_retry_s = 1;
/// The way back from the owner, left over from the caller's deadline.
constexpr base::duration s_take_over_wait = std::chrono::seconds{2};
constexpr base::duration s_home_limit = std::chrono::milliseconds{500};
constexpr base::duration s_hand_over_pause = std::chrono::milliseconds{20};
constexpr base::duration s_way_back = std::chrono::milliseconds{20};

calls::refusal
not_run(calls::refusal_code code, std::string reason, double retry_after_s)
{
    return {calls::ran::not_run, code, std::move(reason), retry_after_s};
}

calls::attempt_end end_of(calls::call_outcome const& it)
{
    if (it.is_answer())
    {
        return calls::attempt_end::answered;
    }
    if (it.why().work == calls::ran::unknown)
    {
        return calls::attempt_end::timed_out;
    }
    return it.why().code == calls::refusal_code::minion_refused
               ? calls::attempt_end::minion_refused
               : calls::attempt_end::owner_refused;
}

calls::attempt_end end_of(base::failure const& it)
{
    auto const surely_not_run = it.code == failure_code::unavailable ||
                                it.code == failure_code::superseded ||
                                it.code == failure_code::refused;
    return surely_not_run ? calls::attempt_end::not_sent
                          : calls::attempt_end::owner_lost;
}

calls::refusal refusal_of(base::failure const& it)
{
    if (end_of(it) == calls::attempt_end::not_sent)
    {
        return not_run(calls::refusal_code::no_minion, it.message, s_retry_s);
    }
    return {calls::ran::unknown, calls::refusal_code::outcome_unknown,
            it.message, s_retry_s};
}

calls::call_outcome unknown_refusal(calls::call_outcome const& last)
{
    return calls::refusal{calls::ran::unknown,
                          calls::refusal_code::outcome_unknown,
                          last.is_answer() ? "" : last.why().reason, s_retry_s};
}

} // namespace

call_front::call_front(entry_node& self)
    : m_node{self}
    , m_keys{self}
    , m_admission{self.incarnation, calls::admission_settings{},
                  calls::generator{fresh_seed()}}
    , m_router{calls::router_settings{}, calls::generator{fresh_seed()}}
    , m_budget{calls::retry_settings{}, calls::generator{fresh_seed()}}
{
}

void call_front::heard(calls::group_digest const& it)
{
    std::lock_guard const lock{m_mutex};
    m_router.heard(it, m_node.clock.now());
}

void call_front::heard(calls::entry_demand const& it)
{
    std::lock_guard const lock{m_mutex};
    m_admission.heard(it);
}

calls::entry_demand call_front::report()
{
    auto const now = m_node.clock.now();
    std::vector<std::string> live;
    m_node.owned.with(
        [&](ownership::tenure const& it)
        {
            for (auto const& member : it.live(now))
            {
                live.push_back(member.incarnation);
            }
        });
    std::lock_guard const lock{m_mutex};
    take_contracts(now);
    m_admission.set_live(std::move(live), now);
    m_router.expire(now);
    return m_admission.report(now);
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
            m_budget.remove_contract(it);
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
        m_admission.home_refused(it.contract, home, m_node.clock.now());
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
    std::vector<std::string> tried;
    auto earlier = calls::ran::not_run;
    calls::call_outcome last =
        not_run(calls::refusal_code::no_minion,
                "no minion of " + it.service + " takes calls now", s_retry_s);
    {
        std::lock_guard const lock{m_mutex};
        m_budget.first_attempt(it.contract);
    }
    auto wanted = calls::wanted_room::any;
    for (std::int32_t number = 1;; ++number)
    {
        auto const to =
            number == 1 ? wait_for_group(it) : choose(it, tried, wanted);
        if (!to)
        {
            return last;
        }
        auto const done = try_group(it, *to, number);
        note(*to, done);
        last = done.outcome;
        switch (calls::attempt_rules::after(done.end, it.safety, earlier,
                                            room_for(it, done.end, number)))
        {
        case calls::next_step::deliver:
        case calls::next_step::refuse_not_run:
            return last;
        case calls::next_step::refuse_unknown:
            return unknown_refusal(last);
        case calls::next_step::resend:
            break;
        }
        if (!calls::attempt_rules::surely_not_run(done.end))
        {
            earlier = calls::ran::unknown;
        }
        if (done.end != calls::attempt_end::not_sent)
        {
            // A group that is changing hands may be asked again.
            tried.push_back(to->group);
        }
        resends += 1;
        wanted = done.end == calls::attempt_end::owner_refused
                     ? calls::wanted_room::short_queue
                     : calls::wanted_room::any;
    }
}

/// A service whose minions the platform lists, and of which no group has an
/// owner yet, is being taken over, or this process has just begun: that takes
/// a moment, and a refusal would send the caller away from work that can be
/// done. For a service without minions there is nothing to wait for.
std::optional<calls::route> call_front::wait_for_group(incoming_call const& it)
{
    auto const until =
        std::min(m_node.clock.now() + s_take_over_wait, it.deadline);
    for (;;)
    {
        if (auto to = choose(it, {}, calls::wanted_room::any))
        {
            return to;
        }
        if (m_node.clock.now() + s_hand_over_pause >= until ||
            !has_minions(it.service))
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(s_hand_over_pause);
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

std::optional<calls::route>
call_front::choose(incoming_call const& it,
                   std::vector<std::string> const& tried,
                   calls::wanted_room room)
{
    std::lock_guard const lock{m_mutex};
    return m_router.choose(it.service, tried, room, m_node.clock.now());
}

calls::resend_room call_front::room_for(incoming_call const& it,
                                        calls::attempt_end end,
                                        std::int32_t number)
{
    if (end == calls::attempt_end::answered)
    {
        return calls::resend_room::none;
    }
    if (end == calls::attempt_end::not_sent)
    {
        // No minion saw the attempt, so it costs none of the retry budget:
        // the group is changing hands, which takes no longer than this.
        if (m_node.clock.now() + s_hand_over_pause + s_way_back >= it.deadline)
        {
            return calls::resend_room::none;
        }
        std::this_thread::sleep_for(s_hand_over_pause);
        return calls::resend_room::left;
    }
    base::duration pause{0};
    {
        std::lock_guard const lock{m_mutex};
        auto const now = m_node.clock.now();
        if (number >= m_budget.settings().most_attempts ||
            !m_budget.has(it.contract))
        {
            return calls::resend_room::none;
        }
        pause = m_budget.back_off(number);
        if (now + pause + s_way_back >= it.deadline ||
            !m_budget.take(it.contract))
        {
            return calls::resend_room::none;
        }
    }
    std::this_thread::sleep_for(pause);
    return calls::resend_room::left;
}

call_front::attempt call_front::try_group(incoming_call const& it,
                                          calls::route const& to,
                                          std::int32_t number)
{
    auto const left = it.deadline - m_node.clock.now() - s_way_back;
    if (left <= base::duration::zero())
    {
        return {calls::attempt_end::not_sent,
                not_run(calls::refusal_code::deadline_too_short,
                        "no time left before the deadline", s_retry_s)};
    }
    auto const contract = m_node.configuration.contract(it.contract);
    Json::Value message{Json::objectValue};
    message["unit"] = to.group;
    message["request_id"] = number == 1
                                ? it.request_id
                                : it.request_id + "." + std::to_string(number);
    message["contract"] = it.contract;
    message["weight"] = contract ? contract->weight : 1.0;
    message["deadline_us"] = Json::Int64{left.count()};
    message["safety"] = std::string{model::name_of(it.safety)};
    message["method"] = it.method;
    message["target"] = it.target;
    message["content_type"] = it.content_type;
    message["body"] = to_base64(it.body);
    message["traceparent"] = it.traceparent;
    auto const answer = base::capture(
        [&]() -> base::result<calls::call_outcome>
        {
            BOOST_LEAF_AUTO(value, call_unit(m_node, to.group, "minions.call",
                                             message, left));
            return call_outcome_from(value);
        });
    if (!answer)
    {
        return {end_of(answer.error()), refusal_of(answer.error())};
    }
    return {end_of(answer.value()), answer.value()};
}

void call_front::note(calls::route const& to, attempt const& it)
{
    std::lock_guard const lock{m_mutex};
    if (it.end == calls::attempt_end::owner_refused)
    {
        m_router.refused(to.group);
    }
    if (it.end == calls::attempt_end::owner_lost)
    {
        m_router.forget(to.group);
    }
}

} // namespace berylhill::entry
