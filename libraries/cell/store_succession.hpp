#pragma once

#include <base/time.hpp>
#include <cell/peer.hpp>
#include <cell/store_contact.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace berylhill::cell
{

/// What a process that watches the owner says of its own contact with the
/// store. A value.
struct store_evidence
{
    /// The stamp of the latest watch answer after whose receipt the sender made
    /// a call that the store served; 0 if there is none. Stamps are times of
    /// the owner's clock, so a message that was delayed cannot look recent.
    std::int64_t served_after{0};
    /// The store lately turned the sender away.
    bool turned_away{false};

    friend bool operator==(store_evidence const&,
                           store_evidence const&) = default;
};

/// What keeps an owner from the store. A value.
struct store_trouble
{
    base::instant since{};
    /// Calls of both kinds are refused, unanswered or broken; while the owner
    /// reads its records, reads alone. Otherwise nothing was stored for too
    /// long.
    bool turned_away{false};
    /// How many owners before it, one after the other, were replaced because
    /// the store turned them away.
    std::uint32_t replaced_owners{0};

    friend bool operator==(store_trouble const&,
                           store_trouble const&) = default;
};

/// What an owner knows of its own contact with the store. A value.
struct owner_contact
{
    std::optional<store_outage> outage;
    /// See `store_contact::reads_served_since`.
    std::optional<base::instant> reads_served_since;
    /// It has read the records before its claim.
    bool restored{false};
    /// How long records have been waiting without any being stored.
    base::duration stuck{0};
    std::uint32_t replaced_owners{0};

    friend bool operator==(owner_contact const&,
                           owner_contact const&) = default;
};

/// Returns what keeps an owner from the store; empty if it has no trouble. An
/// owner whose reads are served again has been in trouble only since then: its
/// next append shows whether that has ended. Pure.
[[nodiscard]] std::optional<store_trouble> trouble_of(owner_contact const& it,
                                                      base::instant now);

/// A process that may take over from an owner in trouble. A value.
struct possible_successor
{
    peer process;
    /// By the owner's clock, the store has served it since then.
    base::instant served_after{};
    /// When the owner first heard that the store has served it since the
    /// trouble began.
    base::instant shown_at{};

    friend bool operator==(possible_successor const&,
                           possible_successor const&) = default;
};

/// How long an owner waits before it names a successor. Answers load on which
/// the store turns a part of the processes away: the others can go on with the
/// work. Owners that were replaced one after the other show that the store
/// turns processes away by turns, so each waits twice as long as the one
/// before.
[[nodiscard]] base::duration naming_delay(store_trouble const& it);

/// Returns the process that should take over from an owner in trouble: the
/// first in the order of succession of those that the store has served since
/// the trouble began. Empty if the trouble has not lasted for `naming_delay`,
/// or if the store serves none: a change of owner helps nothing then. A store
/// that has just come back for all serves the owner's next call, so the owner
/// makes one after a process has shown its contact. Pure.
[[nodiscard]] std::optional<peer>
choose_successor(store_trouble const& it,
                 std::vector<possible_successor> const& from,
                 base::instant now);

/// What a process knows of its own contact and of the owner that it watches. A
/// value.
struct watched_trouble
{
    /// How long the owner has been unable to store anything.
    base::duration stuck{0};
    /// The store answers the owner, but refuses its appends.
    bool refused{false};
    /// How long ago the latest served call of this process was sent; empty:
    /// never.
    std::optional<base::duration> served_ago;
    /// For how long every read of this process has been served.
    base::duration served_for{0};
    /// The owner names successors itself.
    bool names_successors{false};

    friend bool operator==(watched_trouble const&,
                           watched_trouble const&) = default;
};

/// Returns whether a process should claim the work of an owner that names no
/// successor, such as one of an older release: only if the store has served
/// this process since the owner's trouble began. An owner that names successors
/// may wait on purpose, see `naming_delay`, and is left more time. Pure.
[[nodiscard]] bool should_replace(watched_trouble const& it);

/// Keeps what the processes that watch an owner have shown of their contact
/// with the store, and names a successor while the owner is in trouble. Not
/// thread-safe.
class store_succession
{
public:
    /// A watch of the process arrived, with its evidence if it told any.
    void heard(peer const& from,
               std::optional<store_evidence> const& it,
               base::instant now);

    /// Forgets who was named: this process does not own the work any more.
    void ended();

    /// Returns the named successor, if the owner is in trouble and a process
    /// can help. A process that has not taken over in time, or that is turned
    /// away itself, is not named again for some seconds.
    [[nodiscard]] std::optional<peer>
    successor(std::optional<store_trouble> const& it, base::instant now);

    /// Whether the process lately said that the store turns it away.
    [[nodiscard]] bool turned_away(peer const& it, base::instant now) const;

    /// Whether a process had shown, by the last call of `successor`, that the
    /// store served it after the owner's trouble began.
    [[nodiscard]] bool anyone_served() const noexcept
    {
        return m_anyone_served;
    }

private:
    struct known_process
    {
        store_evidence evidence;
        base::instant heard_at{};
        /// The first evidence that is newer than the trouble, and its arrival.
        std::int64_t shown{0};
        base::instant shown_at{};
        /// When it was last named.
        std::optional<base::instant> named_at;
    };

    [[nodiscard]] std::vector<possible_successor>
    candidates(store_trouble const& it, base::instant now);
    void forget_old(base::instant now);

    std::map<peer, known_process> m_processes;
    std::optional<peer> m_named;
    base::instant m_named_at{};
    base::instant m_next_forget{};
    bool m_anyone_served{false};
};

} // namespace berylhill::cell
