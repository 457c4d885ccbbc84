#pragma once

#include <configuration/change.hpp>
#include <configuration/contract_version.hpp>
#include <configuration/planned_stop.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::configuration
{

/// The configuration in force: a pure fold of the stream, so that everybody
/// who has read to the same offset holds the same contracts and has given the
/// same verdicts. A value; not thread-safe.
class state
{
public:
    /// Takes the next record. Records at or below `offset()` are ignored. One
    /// without a change, such as the second record of a repeated append, need
    /// not be given, so a jump between offsets says nothing; lost records are
    /// told by `truncated` before the next record.
    void fold(std::int64_t offset, std::vector<change> const& changes);

    /// Retention has dropped records that this reader has not read: the stream
    /// now begins at `first`.
    void truncated(std::int64_t first);

    /// Whether every record up to `offset()` is known. Otherwise what is held
    /// may be behind, later records wait, and a snapshot from the stream or
    /// the state of a peer is needed.
    [[nodiscard]] bool complete() const noexcept
    {
        return !m_waiting_from.has_value();
    }

    /// The last offset in force here; -1 before the first.
    [[nodiscard]] std::int64_t offset() const noexcept
    {
        return m_offset;
    }

    /// In the order of names.
    [[nodiscard]] std::vector<contract_version> contracts() const;

    /// The contract in force with this name, if any.
    [[nodiscard]] std::optional<contract_version>
    find(std::string const& name) const;

    /// The newest changes of a contract, oldest first; bounded.
    [[nodiscard]] std::vector<contract_history_item>
    history_of(std::string const& name) const;

    /// What became of the apply with this id; empty while it has not been
    /// read back, and again when many later ones have pushed it out. An apply
    /// counts as accepted only after this says that it won.
    [[nodiscard]] std::optional<apply_verdict>
    verdict_of(std::string const& id) const;

    /// All that have not ended, and the newest of those that have.
    [[nodiscard]] std::vector<planned_stop> stops() const;

    /// The latest announcement for this endpoint, if any is remembered.
    [[nodiscard]] std::optional<planned_stop>
    stop_of(model::endpoint_kind kind, std::string const& endpoint) const;

    /// Whether a stop is announced and has not ended.
    [[nodiscard]] bool is_stopping(model::endpoint_kind kind,
                                   std::string const& endpoint) const;

    /// What a snapshot record holds: all that decides, without histories.
    /// Precondition: `complete()`.
    [[nodiscard]] snapshot_change to_snapshot() const;

    /// Everything, to be sent to a peer.
    [[nodiscard]] Json::Value to_json() const;

    /// Fails with `invalid`.
    [[nodiscard]] static base::result<state> from_json(Json::Value const& it);

    /// Takes a peer's state where it is complete and newer than this one;
    /// says whether it did. An older one never replaces a newer.
    bool adopt(state const& peer);

private:
    struct waiting_record
    {
        std::int64_t offset{-1};
        std::vector<change> changes;
    };

    void fold_now(std::int64_t offset, std::vector<change> const& changes);
    void fold_one(std::int64_t offset, apply_change const& it);
    void fold_one(std::int64_t offset, stop_change const& it);
    void fold_one(std::int64_t offset, stop_done_change const& it);
    static void fold_one(std::int64_t offset, snapshot_change const& it);

    [[nodiscard]] std::vector<apply_conflict>
    conflicts_of(apply_change const& it) const;
    [[nodiscard]] std::optional<contract_history_item>
    last_change_of(std::string const& name) const;
    void publish(std::int64_t offset,
                 apply_change const& by,
                 model::contract const& contract);
    void remove(std::int64_t offset,
                apply_change const& by,
                std::string const& name);
    void remember(std::string const& name, contract_history_item item);
    void remember(std::string const& id, apply_verdict verdict);
    void forget_ended_stops();

    void try_snapshots(std::vector<change> const& changes);
    void take_base(state base);
    void fold_waiting();

    [[nodiscard]] Json::Value essential_json() const;
    static base::result<state> essential_from(Json::Value const& it);

    std::int64_t m_offset{-1};
    std::map<std::string, contract_version> m_contracts;
    /// The last removals. Kept, so that an apply which has not seen the
    /// removal loses against it.
    std::map<std::string, contract_history_item> m_removals;
    std::vector<planned_stop> m_stops;
    std::map<std::string, std::deque<contract_history_item>> m_histories;
    std::map<std::string, apply_verdict> m_verdicts;
    std::deque<std::string> m_verdict_order;
    /// Set while records before this offset are missing.
    std::optional<std::int64_t> m_waiting_from;
    std::vector<waiting_record> m_waiting;
};

} // namespace berylhill::configuration
