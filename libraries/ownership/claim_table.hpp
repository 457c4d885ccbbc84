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

/// A process that takes part, by its incarnation.
struct member
{
    std::string instance;
    std::string zone;
    std::int64_t join_offset{0};
    /// It knows all who joined before this offset.
    std::int64_t seen_through{0};

    friend auto operator<=>(member const&, member const&) = default;
};

/// Who owns a unit.
struct owner
{
    std::string incarnation;
    /// The offset of the record that made it the owner.
    std::int64_t epoch{0};
    /// The offset of the unit's last change; what the next claim follows.
    std::int64_t last_change{0};
    bool released{false};

    friend auto operator<=>(owner const&, owner const&) = default;
};

/// What one record did to the table.
struct apply_result
{
    /// It counted; records that came second, or from a process that does not
    /// take part, do not.
    bool effective{false};
    /// For a claim or a successor: nobody can still act under an older right.
    bool unit_was_free{false};

    friend auto operator<=>(apply_result const&, apply_result const&) = default;
};

/// When the claim of a process that the unit's owner may not know counts.
enum class joiner_rule : std::uint8_t
{
    /// Once the owner has published that it knows it, or is gone.
    wait_until_seen,
    /// At once. Not safe; the exhaustive test shows why the rule is there.
    claim_at_once,
};

/// Folds the ownership stream in log order; every reader gets the same table.
/// A value; not thread-safe.
class claim_table
{
public:
    explicit claim_table(joiner_rule joiners = joiner_rule::wait_until_seen);

    /// Takes the record at `offset`; offsets must not fall.
    apply_result apply(std::int64_t offset, record const& it);

    /// All records before `offset` have been applied.
    void advance_to(std::int64_t offset);

    /// Forgets everything; records before `first` are lost, so the table is
    /// not complete until a snapshot comes.
    void reset(std::int64_t first);

    /// Takes what was read since `restart` as all there is: the stream's end
    /// was reached and nobody has kept an older state.
    void assume_complete();

    [[nodiscard]] bool complete() const noexcept
    {
        return m_complete;
    }
    /// The offset that is read next.
    [[nodiscard]] std::int64_t next() const noexcept
    {
        return m_next;
    }
    /// Null where the unit never had an owner. Valid until the next change.
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
    /// Whether a claim by this process, appended now, would count.
    [[nodiscard]] bool may_claim(std::string const& unit,
                                 std::string const& incarnation) const;
    /// Units whose last change is at or after `offset`.
    [[nodiscard]] std::vector<std::string>
    changed_since(std::int64_t offset) const;
    /// Rises with every record that counted.
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
    [[nodiscard]] bool knows_claimer(owner const& current,
                                     member const& claimer) const;
    [[nodiscard]] base::outcome<base::done>
    load_snapshot(std::string const& text);

    joiner_rule m_joiners;
    bool m_complete{true};
    std::int64_t m_next{0};
    std::int64_t m_first{0};
    std::uint64_t m_version{0};
    std::map<std::string, owner> m_units;
    std::map<std::string, member> m_members;
    /// Read since `restart`, to be applied once a snapshot has come.
    std::vector<std::pair<std::int64_t, record>> m_deferred;
};

} // namespace berylhill::ownership
