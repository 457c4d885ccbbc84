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

/// Identifies one call by its Idempotency-Key. Keys are scoped by contract. A
/// value.
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
    /// Fingerprint of method, target and body: the same key with another
    /// request is a conflict.
    std::uint64_t fingerprint{0};
    /// The process of the entry that handles the call; a restarted process has
    /// a new incarnation.
    std::string incarnation;

    friend bool operator==(call_intent const&, call_intent const&) = default;
};

/// Written to the log before the caller is answered.
struct call_result
{
    idempotency_key key;
    /// Request id of the intent that this result completes.
    std::string request_id;
    call_outcome outcome;

    friend bool operator==(call_result const&, call_result const&) = default;
};

/// State of an idempotency key.
enum class key_state : std::uint8_t
{
    unused,          ///< Never used, or the first call did not run.
    answered,        ///< The answer of the first call is known.
    in_progress,     ///< The first call is still being handled.
    outcome_unknown, ///< The first call may have run; its outcome will not
                     ///< become known.
    conflict,        ///< Another request was made with this key.
};

/// State of each Idempotency-Key, built by applying the records of the log's
/// calls stream. Every entry that applies the same records gets the same state.
/// Not thread-safe.
class idempotency_table
{
public:
    /// `retention` is how long a key is kept after its last record; `most` is
    /// the maximum number of keys.
    idempotency_table(base::duration retention, std::size_t most);

    /// Applies an intent. Returns whether it is the first one for its key, so
    /// that its writer may send the call; if two entries wrote the same key,
    /// the order of the log decides.
    [[nodiscard]] bool apply(call_intent const& it, base::instant now);

    /// Applies a result. A result for another intent than the one stored for
    /// its key is ignored.
    void apply(call_result const& it, base::instant now);

    /// Marks the open calls of a process as outcome unknown. Call when the
    /// process is permanently lost (removed from the membership view, or past
    /// its own log fence): their results can no longer be learned.
    void mark_writer_lost(std::string const& incarnation, base::instant now);

    /// The state of the key for a call with this fingerprint. Call after
    /// reading the log up to its end. `unused` allows writing an intent; only a
    /// first intent that has been read back allows sending.
    [[nodiscard]] key_state state_of(idempotency_key const& key,
                                     std::uint64_t fingerprint) const;

    /// The outcome of the first call, if `state_of` returns `answered`.
    [[nodiscard]] std::optional<call_outcome>
    outcome_of(idempotency_key const& key) const;

    /// The final answer to a repeat in this state. Precondition: the state is
    /// not `unused` or `answered`.
    [[nodiscard]] static refusal refusal_for(key_state state);

    /// Removes keys whose retention has passed.
    void expire(base::instant now);

    /// Whether the table is full. While it is, new keys must be refused as not
    /// run: evicting a key early would let its repeat run a second time.
    [[nodiscard]] bool full() const noexcept
    {
        return m_entries.size() >= m_max_keys;
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
        bool outcome_unknown{false};
        base::instant touched_at;
    };
    struct touch
    {
        base::instant at;
        std::string key;
    };

    [[nodiscard]] static std::string flat_key(idempotency_key const& it);
    void touch_entry(std::string const& key, entry& it, base::instant now);

    base::duration m_retention;
    std::size_t m_max_keys;
    std::unordered_map<std::string, entry> m_entries;
    /// Open intents, keyed by incarnation.
    std::unordered_map<std::string, std::unordered_set<std::string>> m_open;
    /// Lost incarnations, kept until no record of theirs can arrive.
    std::unordered_map<std::string, base::instant> m_lost_writers;
    std::deque<touch> m_touched;
};

} // namespace berylhill::calls
