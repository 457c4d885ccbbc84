#pragma once

#include <cstdint>

namespace berylhill::scheduler
{

/// What became of a submission.
enum class submission : std::uint8_t
{
    /// New; it counts once the open batch is stored.
    accepted,
    /// Known, and not stored yet.
    already_accepted,
    /// Known and stored.
    already_stored,
    /// Not taken: it needs more than its account may ever have running.
    over_cap,
};

/// What became of a cancellation.
enum class cancellation : std::uint8_t
{
    unknown,
    /// It counts once the open batch is stored.
    accepted,
    /// The job has its final phase and that is stored.
    already_finished,
};

/// Figures for the metrics. A value.
struct scheduler_counts
{
    std::uint64_t starts{0};
    std::uint64_t ends_done{0};
    std::uint64_t ends_failed{0};
    std::uint64_t ends_other{0};
    /// Attempts of which no instance said how they ended.
    std::uint64_t ends_lost{0};
    /// Tasks that are not started again, since instance after instance was
    /// lost under them.
    std::uint64_t tasks_given_up{0};
    std::uint64_t preempted{0};
    std::uint64_t evacuated{0};

    friend bool operator==(scheduler_counts const&,
                           scheduler_counts const&) = default;
};

} // namespace berylhill::scheduler
