#pragma once

#include <base/result.hpp>
#include <ownership/record.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::ownership
{

/// A process that takes part in the ownership protocol.
struct member
{
    std::string instance;
    std::string zone;
    /// The offset of its `join` record.
    std::int64_t join_offset{0};
    /// The process knows all members that joined before this offset.
    std::int64_t seen_through{0};

    friend auto operator<=>(member const&, member const&) = default;
};

/// The last known owner of a unit.
struct owner
{
    std::string incarnation;
    /// The offset of the record that made it the owner.
    std::int64_t epoch{0};
    /// The offset of the unit's last change, which the next claim has to name.
    std::int64_t last_change{0};
    bool released{false};

    friend auto operator<=>(owner const&, owner const&) = default;
};

/// The effect of one record on the table.
struct apply_result
{
    /// False for a record that is ignored: another record took effect first, or
    /// the process is not a member.
    bool effective{false};
    /// For a claim or a hand-over: no process can still hold an older lease.
    bool unit_was_free{false};

    friend auto operator<=>(apply_result const&, apply_result const&) = default;
};

/// When a claim takes effect if the unit's owner may not know the claimant yet.
enum class joiner_rule : std::uint8_t
{
    /// The claim waits until the owner has published that it knows the
    /// claimant, has released the unit, or is no longer a member.
    wait_until_seen,
    /// The claim takes effect immediately. Unsafe; for the exhaustive test
    /// only.
    claim_at_once,
};

/// Units and members, built by applying the ownership stream in log order;
/// every reader gets the same table. Not thread-safe.
class claim_table
{
public:
    explicit claim_table(joiner_rule rule = joiner_rule::wait_until_seen);

    /// Applies the record at `offset`. Offsets must not decrease.
    apply_result apply(std::int64_t offset, record const& it);

    /// Declares that all records before `offset` have been read.
    void advance_to(std::int64_t offset);

    /// Clears the table because records before `first` were deleted. The table
    /// stays incomplete until a snapshot is applied.
    void reset(std::int64_t first);

    /// Marks the table complete with the records read since `reset`. For use
    /// when the stream's end was reached and held no usable snapshot.
    void assume_complete();

    [[nodiscard]] bool complete() const noexcept
    {
        return m_complete;
    }
    /// The offset to read next.
    [[nodiscard]] std::int64_t next() const noexcept
    {
        return m_next;
    }
    /// Returns null if the unit never had an owner. Valid until the next
    /// change.
    [[nodiscard]] owner const* owner_of(std::string const& unit) const;
    [[nodiscard]] std::map<std::string, owner> const& units() const noexcept
    {
        return m_units;
    }
    /// By incarnation.
    [[nodiscard]] std::map<std::string, member> const& members() const noexcept
    {
        return m_members;
    }
    /// Whether a claim by this process, appended now, would take effect.
    [[nodiscard]] bool may_claim(std::string const& unit,
                                 std::string const& incarnation) const;
    /// Units that last changed at or after `offset`.
    [[nodiscard]] std::vector<std::string>
    changed_since(std::int64_t offset) const;
    /// Increases with every effective record.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /// The whole table as a record to append.
    [[nodiscard]] snapshot to_snapshot() const;

    friend auto operator<=>(claim_table const&, claim_table const&) = default;

private:
    apply_result apply_record(std::int64_t offset, join const& it);
    apply_result apply_record(std::int64_t offset, leave const& it);
    apply_result apply_record(std::int64_t offset, removal const& it);
    apply_result apply_record(std::int64_t offset, seen const& it);
    apply_result apply_record(std::int64_t offset, claim const& it);
    apply_result apply_record(std::int64_t offset, release const& it);
    apply_result apply_record(std::int64_t offset, snapshot const& it);
    [[nodiscard]] bool knows_claimant(owner const& current,
                                      member const& claimant) const;
    [[nodiscard]] base::outcome<base::done>
    load_snapshot(std::string const& text);

    joiner_rule m_joiner_rule;
    bool m_complete{true};
    std::int64_t m_next{0};
    std::int64_t m_first_available{0};
    std::uint64_t m_version{0};
    std::map<std::string, owner> m_units;
    std::map<std::string, member> m_members;
    /// Records read since `reset`, to be applied after the snapshot.
    std::vector<std::pair<std::int64_t, record>> m_deferred;
};

} // namespace berylhill::ownership
