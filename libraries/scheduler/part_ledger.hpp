#pragma once

#include <scheduler/state_part.hpp>

#include <set>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// What the store holds of a job with a partitioned state, and which parts of
/// it have changed since they were written. Pure. Not thread-safe.
class part_ledger
{
public:
    /// The part may differ from its record.
    void note_changed(state_part const& it)
    {
        m_changed.insert(it);
    }

    /// The store has a record of the part.
    void note_stored(state_part const& it)
    {
        m_stored.insert(it);
    }

    [[nodiscard]] bool anything_changed() const noexcept
    {
        return !m_changed.empty();
    }

    /// The parts that the store has or may have a record of.
    [[nodiscard]] std::set<state_part> const& stored() const noexcept
    {
        return m_stored;
    }

    /// Returns the parts that have changed; all of them go into the batch that
    /// is being made. Precondition: the previous batch was reported as stored
    /// or as not stored.
    [[nodiscard]] std::set<state_part> take_changed();

    /// The batch that is being made writes or deletes the part. Precondition of
    /// the latter: the store may have it.
    void written(state_part const& it)
    {
        m_stored.insert(it);
    }
    void deleted(state_part const& it)
    {
        m_deleting.push_back(it);
    }

    /// Whether the batch that is being made has to write this head. If so, it
    /// counts as written.
    [[nodiscard]] bool take_head(std::string const& value);

    /// Whether the batch that is being made has to write the specification,
    /// which never changes. If so, it counts as written.
    [[nodiscard]] bool take_spec();

    /// The store has records of a release that knew no parts, from which the
    /// job was restored: all parts and the head have to be written, and then
    /// the former specification is deleted.
    void note_former_records() noexcept
    {
        m_former_records = true;
    }

    [[nodiscard]] bool has_former_records() const noexcept
    {
        return m_former_records;
    }

    /// Whether the batch that is being made has to delete the former
    /// specification. If so, it counts as deleted.
    [[nodiscard]] bool take_former_records();

    /// The store has the specification.
    void note_spec_stored() noexcept
    {
        m_spec_written = true;
        m_spec_may_be_stored = true;
    }

    [[nodiscard]] bool spec_may_be_stored() const noexcept
    {
        return m_spec_may_be_stored;
    }

    void batch_stored();
    void batch_not_stored();

private:
    std::set<state_part> m_stored;
    std::set<state_part> m_changed;
    /// In the batch that is being stored.
    std::set<state_part> m_taken;
    std::vector<state_part> m_deleting;
    bool m_former_records{false};
    bool m_former_records_taken{false};
    bool m_spec_taken{false};
    bool m_spec_written{false};
    bool m_spec_may_be_stored{false};
    /// The head as it was written last; empty: never.
    std::string m_head;
};

} // namespace berylhill::scheduler
