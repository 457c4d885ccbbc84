#pragma once

#include <compare>
#include <cstdint>

namespace berylhill::scheduler
{

/// How the states of jobs are divided into records. All processes that share a
/// log must use the same one. A value.
struct record_layout
{
    /// A job with more tasks than this, or with several occurrences, has a
    /// partitioned state. Others change so little that one record is cheaper.
    std::uint32_t max_tasks_in_one_record{64};
    /// Number of tasks whose states share a record of a partitioned state. A
    /// change of one task writes the record, which has about 1.5 kB.
    std::uint32_t tasks_per_part{32};

    friend bool operator==(record_layout const&,
                           record_layout const&) = default;
};

/// Names a record of a partitioned state besides its head: the tasks of a range
/// of one step, or the note that an occurrence is complete. A value.
struct state_part
{
    /// The step of the note that an occurrence is complete.
    static constexpr std::uint32_t whole_occurrence = 0xFFFF'FFFF;

    std::uint32_t occurrence{0};
    std::uint32_t step{whole_occurrence};
    std::uint32_t range{0};

    [[nodiscard]] bool notes_completion() const noexcept
    {
        return step == whole_occurrence;
    }

    friend auto operator<=>(state_part const&, state_part const&) = default;
};

} // namespace berylhill::scheduler
