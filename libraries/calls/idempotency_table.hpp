#pragma once

#include <base/time.hpp>
#include <calls/call_outcome.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace berylhill::calls
{

/// Names one call under an Idempotency-Key; keys of different contracts never
/// meet. A value.
struct idempotency_key
{
    std::string contract;
    std::string key;

    friend bool operator==(idempotency_key const&,
                           idempotency_key const&) = default;
};

/// Written to the log before the call is sent.
struct call_intent
{
    idempotency_key key;
    std::string request_id;
    /// Of method, target and body: the same key for another request is a
    /// conflict.
    std::uint64_t fingerprint{0};
    /// The entry that holds the call, as a process: a restart is another one.
    std::string incarnation;

    friend bool operator==(call_intent const&, call_intent const&) = default;
};

/// Written to the log before the answer is given to the caller.
struct call_result
{
    idempotency_key key;
    /// Of the intent that it ends.
    std::string request_id;
    call_outcome outcome;

    friend bool operator==(call_result const&, call_result const&) = default;
};

/// What a call with a key finds.
enum class key_state : std::uint8_t
{
    unused,          ///< Never used, or its first call did not run.
    answered,        ///< The first call's answer is there.
    in_progress,     ///< The first call is still in somebody's hands.
    outcome_unknown, ///< The first call may have run; nobody will learn more.
    conflict,        ///< Another request came under this key.
};

/// The fold of the calls stream of the log: what is known of each
/// Idempotency-Key. Every entry that folds the same records finds the same.
/// Not thread-safe.
class idempotency_table
{
public:
    /// `retention` is how long a key is remembered after its last record;
    /// `most` bounds the keys held.
    idempotency_table(base::duration retention, std::size_t most);

    /// Folds an intent. Returns whether it is the key's first, so that its
    /// writer may send the call; of two entries that wrote the same key, the
    /// log's order says which one may.
    [[nodiscard]] bool apply(call_intent const& it, base::instant now);

    /// Folds a result. One that ends another intent than the key's is ignored.
    void apply(call_result const& it, base::instant now);

    /// A process is gone for good (out of the view, or its own log fence is
    /// past): what it held can no longer be learned.
    void mark_writer_lost(std::string const& incarnation, base::instant now);

    /// What a call with this key and fingerprint finds. Ask after reading the
    /// log up to its end; `fresh` allows writing an intent, and only a first
    /// intent that was read back allows sending.
    [[nodiscard]] key_state state_of(idempotency_key const& key,
                                     std::uint64_t fingerprint) const;

    /// The first call's outcome, where `find` says `answered`.
    [[nodiscard]] std::optional<call_outcome>
    outcome_of(idempotency_key const& key) const;

    /// The final answer to a repeat in this state, other than `fresh` and
    /// `answered`.
    [[nodiscard]] static refusal refusal_for(key_state state);

    /// Forgets keys whose retention is over.
    void expire(base::instant now);

    /// A new key must be refused as not run while this holds: forgetting a
    /// key early would let its repeat run a second time.
    [[nodiscard]] bool full() const noexcept
    {
        return m_entries.size() >= m_most;
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct entry
    {
        call_intent intent;
        std::optional<call_outcome> outcome;
        bool unknown{false};
        base::instant touched;
    };
    struct touch
    {
        base::instant at;
        std::string key;
    };

    [[nodiscard]] static std::string flat(idempotency_key const& it);
    void touch_entry(std::string const& key, entry& it, base::instant now);

    base::duration m_retention;
    std::size_t m_most;
    std::unordered_map<std::string, entry> m_entries;
    /// Open intents of each incarnation.
    std::unordered_map<std::string, std::unordered_set<std::string>> m_open;
    /// Incarnations that are gone, until no record of theirs can come.
    std::unordered_map<std::string, base::instant> m_gone;
    std::deque<touch> m_touched;
};

} // namespace berylhill::calls
