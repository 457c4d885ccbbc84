#include <entry/call_keys.hpp>

#include <base/hash.hpp>
#include <base/log.hpp>
#include <entry/call_front.hpp>
#include <entry/codec.hpp>
#include <entry/entry_node.hpp>
#include <entry/reply.hpp>
#include <stream/log_reader.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_retention = std::chrono::hours{24};
constexpr std::size_t s_most_keys = 200'000;
constexpr double s_retry_s = 1;
constexpr base::duration s_result_limit = std::chrono::seconds{1};

std::uint64_t fingerprint_of(incoming_call const& it)
{
    return base::hash_of(it.method + "\n" + it.target + "\n" + it.body);
}

Json::Value key_json(char const* kind, incoming_call const& it)
{
    Json::Value out{Json::objectValue};
    out["kind"] = kind;
    out["contract"] = it.contract;
    out["key"] = it.idempotency_key;
    out["request_id"] = it.request_id;
    return out;
}

calls::call_outcome log_refusal(std::string reason)
{
    return calls::refusal{calls::ran::not_run,
                          calls::refusal_code::log_unavailable,
                          std::move(reason), s_retry_s};
}

} // namespace

call_keys::call_keys(entry_node& self)
    : m_node{self}
    , m_table{s_retention, s_most_keys}
{
}

std::optional<calls::call_outcome> call_keys::begin(incoming_call const& it)
{
    calls::idempotency_key const key{it.contract, it.idempotency_key};
    auto const fingerprint = fingerprint_of(it);
    {
        std::lock_guard const lock{m_mutex};
        if (auto known = answer_of(key, fingerprint))
        {
            return known;
        }
        if (m_table.full())
        {
            return log_refusal("too many keys are remembered");
        }
    }
    auto record = key_json("intent", it);
    record["fingerprint"] = Json::UInt64{fingerprint};
    record["incarnation"] = m_node.incarnation;
    auto const written = append(record, it.deadline);
    if (!written)
    {
        give_back(it);
        return log_refusal(written.error().message);
    }
    std::unique_lock lock{m_mutex};
    auto const folded =
        m_folded.wait_for(lock, it.deadline - m_node.clock.now(),
                          [&] { return m_next > written.value(); });
    if (folded && m_first.erase(it.request_id) != 0)
    {
        return std::nullopt;
    }
    if (auto known = answer_of(key, fingerprint))
    {
        return known;
    }
    give_back(it);
    return log_refusal("the intent was not read back in time");
}

/// The intent may come into the log yet, and the call will never be sent: a
/// result that says so frees the key for the caller's next try.
void call_keys::give_back(incoming_call const& it)
{
    auto record = key_json("result", it);
    record["outcome"] = to_json(log_refusal("given up before it was sent"));
    m_node.writers.append(calls_stream, record, [](auto const&) {});
}

/// Precondition: the lock is held.
std::optional<calls::call_outcome>
call_keys::answer_of(calls::idempotency_key const& key,
                     std::uint64_t fingerprint)
{
    auto const state = m_table.state_of(key, fingerprint);
    if (state == calls::key_state::unused)
    {
        return std::nullopt;
    }
    if (state == calls::key_state::answered)
    {
        return m_table.outcome_of(key);
    }
    return calls::idempotency_table::refusal_for(state);
}

void call_keys::end(incoming_call const& it, calls::call_outcome const& outcome)
{
    auto record = key_json("result", it);
    record["outcome"] = to_json(outcome);
    auto const written = append(record, m_node.clock.now() + s_result_limit);
    if (!written)
    {
        // The caller gets its answer all the same: it is true. A repeat of
        // the key finds the intent alone and is told that it is not known.
        base::log(
            base::log_level::warning, "call_result_not_logged",
            {{"request", it.request_id}, {"cause", written.error().message}});
    }
}

base::outcome<std::int64_t> call_keys::append(Json::Value const& record,
                                              base::instant until)
{
    auto const slot = std::make_shared<reply<std::int64_t>>();
    m_node.writers.append(
        calls_stream, record,
        [slot](base::outcome<stream::position> const& it)
        {
            slot->set(it ? base::outcome<std::int64_t>{it.value().offset}
                         : base::outcome<std::int64_t>{it.error()});
        });
    auto const answer = slot->wait(until - m_node.clock.now());
    if (!answer)
    {
        return base::failure{base::failure_code::outcome_unknown,
                             "the log did not answer in time", s_retry_s};
    }
    return *answer;
}

void call_keys::take(stream::reader_page const& page)
{
    auto const now = m_node.clock.now();
    std::lock_guard const lock{m_mutex};
    for (auto const& it : page.entries)
    {
        take_one(it.value, now);
    }
    m_next = std::max(m_next, page.next);
    m_table.expire(now);
    look_for_gone_writers(now);
    m_folded.notify_all();
}

void call_keys::take_one(Json::Value const& it, base::instant now)
{
    calls::idempotency_key const key{it["contract"].asString(),
                                     it["key"].asString()};
    auto const request_id = it["request_id"].asString();
    if (it["kind"].asString() == "intent")
    {
        calls::call_intent const intent{key, request_id,
                                        it["fingerprint"].asUInt64(),
                                        it["incarnation"].asString()};
        auto const first = m_table.apply(intent, now);
        if (first && intent.incarnation == m_node.incarnation)
        {
            m_first.insert(request_id);
        }
        return;
    }
    auto const outcome =
        base::capture([&] { return call_outcome_from(it["outcome"]); });
    if (outcome)
    {
        m_table.apply(calls::call_result{key, request_id, outcome.value()},
                      now);
        m_first.erase(request_id);
    }
}

/// An entry that died with a call in its hands will never say how it ended.
void call_keys::look_for_gone_writers(base::instant now)
{
    std::set<std::string> members;
    m_node.owned.with(
        [&](ownership::participant const& it)
        {
            for (auto const& member : it.table().members())
            {
                members.insert(member.first);
            }
        });
    for (auto const& it : m_members_seen)
    {
        if (!members.contains(it))
        {
            m_table.mark_writer_lost(it, now);
        }
    }
    m_members_seen = std::move(members);
}

} // namespace berylhill::entry
