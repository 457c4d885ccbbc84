#include <entry/call_board.hpp>

#include <entry/call_front.hpp>
#include <entry/codec.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit_client.hpp>
#include <model/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr auto s_longest_sleep = std::chrono::milliseconds{100};
constexpr double s_retry_s = 1;

calls::attempt_end end_of(base::failure const& it)
{
    if (it.code == failure_code::superseded)
    {
        return calls::attempt_end::ownership_moved;
    }
    auto const surely_not_sent = it.code == failure_code::unavailable ||
                                 it.code == failure_code::refused;
    return surely_not_sent ? calls::attempt_end::not_sent
                           : calls::attempt_end::owner_lost;
}

calls::attempt_report
report_of(std::string const& attempt_id,
          base::outcome<calls::call_outcome> const& answer)
{
    if (!answer)
    {
        auto const end = end_of(answer.error());
        auto const work = calls::attempt_rules::surely_not_run(end)
                              ? calls::ran::not_run
                              : calls::ran::unknown;
        auto const code = work == calls::ran::not_run
                              ? calls::refusal_code::no_minion
                              : calls::refusal_code::outcome_unknown;
        return {attempt_id, end,
                calls::refusal{work, code, answer.error().message, s_retry_s}};
    }
    if (answer.value().is_answer())
    {
        return {attempt_id, calls::attempt_end::answered, std::nullopt};
    }
    auto const& why = answer.value().why();
    return {attempt_id, calls::attempt_end_of(why), why};
}

Json::Value message_of(incoming_call const& call,
                       calls::send_to_owner const& it,
                       base::duration left)
{
    Json::Value out{Json::objectValue};
    out["unit"] = it.to.group;
    out["request_id"] = it.attempt.request_id;
    out["contract"] = it.attempt.contract;
    out["weight"] = it.attempt.weight;
    out["deadline_us"] = Json::Int64{left.count()};
    out["safety"] = std::string{model::name_of(it.attempt.safety)};
    out["method"] = call.method;
    out["target"] = call.target;
    out["content_type"] = call.content_type;
    out["body"] = to_base64(call.body);
    out["traceparent"] = call.traceparent;
    return out;
}

} // namespace

call_board::call_board(entry_node& self)
    : m_node{self}
    , m_dispatcher{calls::router_settings{}, calls::retry_settings{},
                   calls::generator{fresh_seed()}}
    , m_timer{[this](std::stop_token const& stop)
              {
                  expire_loop(stop);
              }}
{
}

call_board::~call_board()
{
    m_timer.request_stop();
}

void call_board::heard(calls::group_digest const& it)
{
    std::lock_guard const lock{m_mutex};
    m_dispatcher.update_group(it, m_node.clock.now());
}

bool call_board::knows(std::string const& service)
{
    std::lock_guard const lock{m_mutex};
    return m_dispatcher.knows_service(service);
}

calls::call_outcome call_board::run(incoming_call const& it,
                                    std::int32_t& resends)
{
    auto const contract = m_node.configuration.contract(it.contract);
    waiting own;
    own.call = std::make_shared<incoming_call const>(it);
    std::unique_lock lock{m_mutex};
    calls::call call;
    // Callers may give two calls the same id, and the dispatcher tells calls
    // apart by it.
    call.request_id = it.request_id + "~" + std::to_string(++m_last_id);
    call.contract = it.contract;
    call.weight = contract ? contract->weight : 1;
    call.deadline = it.deadline;
    call.safety = it.safety;
    m_waiting.emplace(call.request_id, &own);
    perform(m_dispatcher.start(call, it.service, m_node.clock.now()));
    m_planned.notify_all();
    while (!own.last)
    {
        resends = m_dispatcher.resends(call.request_id);
        if (own.to_send.empty())
        {
            own.changed.wait(lock);
            continue;
        }
        auto const next = std::move(own.to_send.front());
        own.to_send.pop_front();
        lock.unlock();
        begin(own, next);
        lock.lock();
    }
    m_waiting.erase(call.request_id);
    return *own.last;
}

/// Sends an attempt; on this thread where nothing else can happen to the call
/// meanwhile, as a call that is not idempotent has one attempt at a time.
void call_board::begin(waiting const& from, calls::send_to_owner const& it)
{
    if (it.attempt.safety == model::rerun::at_most_once)
    {
        attempt(from.call, it);
        return;
    }
    m_node.call_io.post([this, call = from.call, it] { attempt(call, it); });
}

void call_board::attempt(std::shared_ptr<incoming_call const> const& call,
                         calls::send_to_owner const& it)
{
    auto const left = it.attempt.deadline - m_node.clock.now();
    auto const answer = base::capture(
        [&]() -> base::result<calls::call_outcome>
        {
            if (left <= base::duration::zero())
            {
                return base::fail(failure_code::refused,
                                  "no time left before the deadline");
            }
            BOOST_LEAF_AUTO(value,
                            call_unit(m_node, it.to.group, "minions.call",
                                      message_of(*call, it, left), left));
            take_digest(value);
            return call_outcome_from(value);
        });
    attempt_ended(it, answer);
}

void call_board::take_digest(Json::Value const& answer)
{
    if (!answer.isMember("digest"))
    {
        return;
    }
    auto const digest =
        base::capture([&] { return minion_digest_from(answer["digest"]); });
    if (digest)
    {
        heard(digest.value());
    }
}

void call_board::attempt_ended(calls::send_to_owner const& it,
                               base::outcome<calls::call_outcome> const& answer)
{
    std::lock_guard const lock{m_mutex};
    auto const waiter = m_waiting.find(it.request_id);
    if (waiter != m_waiting.end() && answer)
    {
        waiter->second->outcomes.insert_or_assign(it.attempt.request_id,
                                                  answer.value());
    }
    if (!answer && answer.error().code != failure_code::refused)
    {
        // A dead owner's last digest says that its group is idle, so it would
        // be chosen before all others until the call's deadline. The group is
        // known again by its next owner's digest.
        m_dispatcher.remove_group(it.to.group);
    }
    perform(m_dispatcher.attempt_ended(report_of(it.attempt.request_id, answer),
                                       m_node.clock.now()));
    m_planned.notify_all();
}

void call_board::expire_loop(std::stop_token const& stop)
{
    std::unique_lock lock{m_mutex};
    while (!stop.stop_requested())
    {
        auto const now = m_node.clock.now();
        perform(m_dispatcher.expire(now));
        auto const next = m_dispatcher.next_expiry();
        auto const sleep =
            next ? std::clamp<base::duration>(*next - now, base::duration{500},
                                              s_longest_sleep)
                 : base::duration{s_longest_sleep};
        m_planned.wait_for(lock, stop, sleep, [] { return false; });
    }
}

/// Precondition of this and the following: the lock is held.
void call_board::perform(calls::dispatch_actions const& todo)
{
    for (auto const& it : todo)
    {
        std::visit([this](auto const& action) { perform(action); }, it);
    }
}

void call_board::perform(calls::send_to_owner const& it)
{
    auto const found = m_waiting.find(it.request_id);
    if (found != m_waiting.end())
    {
        found->second->to_send.push_back(it);
        found->second->changed.notify_one();
    }
}

void call_board::perform(calls::deliver_attempt const& it)
{
    auto const found = m_waiting.find(it.request_id);
    if (found == m_waiting.end())
    {
        return;
    }
    auto& waiter = *found->second;
    waiter.last = waiter.outcomes.at(it.attempt_id);
    waiter.changed.notify_one();
}

void call_board::perform(calls::refuse_request const& it)
{
    auto const found = m_waiting.find(it.request_id);
    if (found != m_waiting.end())
    {
        found->second->last = it.why;
        found->second->changed.notify_one();
    }
}

void call_board::perform(calls::cancel_attempt const& it)
{
    m_node.call_io.post(
        [this, it]
        {
            Json::Value message{Json::objectValue};
            message["unit"] = it.at.group;
            message["request_id"] = it.attempt_id;
            // The owner finds out by itself at the attempt's deadline, so a
            // message that is lost costs no more than that.
            auto const told = base::capture(
                [&]
                {
                    return call_unit(m_node, it.at.group, "minions.give_up",
                                     message, s_longest_sleep);
                });
            static_cast<void>(told);
        });
}

} // namespace berylhill::entry
