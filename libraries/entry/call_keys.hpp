#pragma once

#include <calls/idempotency_table.hpp>

#include <base/result.hpp>
#include <base/time.hpp>

#include <json/value.h>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace berylhill::stream
{
struct reader_page;
}

namespace berylhill::entry
{

struct incoming_call;
struct entry_node;

/// Calls with an Idempotency-Key that must run at most once: the intent is in
/// the log before a call is sent, and the answer before it is given. Of
/// several entries that get the same key, the first intent in log order runs.
/// Thread-safe; `begin` and `end` block.
class call_keys
{
public:
    explicit call_keys(entry_node& self);

    /// Returns the final answer where the call must not be sent: a repeat gets
    /// the first one's answer, or what is true of it. Empty: send it, and then
    /// call `end`.
    [[nodiscard]] std::optional<calls::call_outcome>
    begin(incoming_call const& it);

    void end(incoming_call const& it, calls::call_outcome const& outcome);

    /// What the reader of the calls stream has read.
    void take(stream::reader_page const& page);

private:
    [[nodiscard]] std::optional<calls::call_outcome>
    answer_of(calls::idempotency_key const& key, std::uint64_t fingerprint);
    [[nodiscard]] base::outcome<std::int64_t> append(Json::Value const& record,
                                                     base::instant until);
    void give_back(incoming_call const& it);
    void take_one(Json::Value const& it, base::instant now);
    void look_for_gone_writers(base::instant now);

    entry_node& m_node;
    std::mutex m_mutex;
    std::condition_variable m_folded;
    calls::idempotency_table m_table;
    /// All records before this offset are folded.
    std::int64_t m_next{0};
    /// Request ids whose intent was the first under its key, of this process.
    std::set<std::string> m_first;
    std::set<std::string> m_members_seen;
};

} // namespace berylhill::entry
