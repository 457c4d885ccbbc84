#pragma once

#include <workload/job_id.hpp>

#include <cstdint>

namespace berylhill::scheduler
{

/// Outcome of a submission.
enum class submission : std::uint8_t
{
    /// New; it takes effect once the next batch is stored.
    accepted,
    /// Already known but not stored yet.
    already_accepted,
    /// Already known and stored.
    already_stored,
    /// Its cancellation came first, so it never runs; stored with the next
    /// batch.
    already_cancelled,
    /// Rejected: it needs more than its account may ever use.
    over_cap,
    /// Rejected: its specification does not fit into a record.
    too_large,
    /// Rejected for now: what was accepted takes as much memory as every
    /// process that may own the work is sure to have.
    no_room,
};

/// Outcome of a cancellation.
enum class cancellation : std::uint8_t
{
    /// No such job has been submitted. Once the next batch is stored, it never
    /// runs if it is submitted later.
    unknown,
    /// The same, and that is stored already.
    unknown_stored,
    /// No such job has been submitted, and too many such cancellations are
    /// kept: it has no effect.
    refused,
    /// It takes effect once the next batch is stored.
    accepted,
    /// The job has a final phase, and that phase is stored.
    already_finished,
};

/// What is known of the records of a job that the store rejected for good.
enum class rejected_records : std::uint8_t
{
    not_stored,
    /// Some of them are stored, or may be.
    may_be_stored,
};

/// A job whose records were rejected. A value.
struct rejected_job
{
    workload::job_id job;
    rejected_records records{rejected_records::not_stored};

    friend bool operator==(rejected_job const&, rejected_job const&) = default;
};

/// Counters for the metrics. A value.
struct scheduler_counts
{
    std::uint64_t starts{0};
    std::uint64_t ends_done{0};
    std::uint64_t ends_failed{0};
    std::uint64_t ends_other{0};
    /// Attempts whose instance was lost, so that nothing reported how they
    /// ended.
    std::uint64_t ends_lost{0};
    /// Tasks that were given up because several instances were lost while they
    /// ran there.
    std::uint64_t tasks_given_up{0};
    /// Losses that were counted against a task until the instance turned out
    /// to have lived on.
    std::uint64_t losses_withdrawn{0};
    /// Attempts that an instance reported and the owner did not expect.
    std::uint64_t unexpected{0};
    /// Starts that were decided and not sent.
    std::uint64_t withheld{0};
    std::uint64_t preempted{0};
    /// Lives of instances that were followed by another one under the same id.
    std::uint64_t lives_replaced{0};
    std::uint64_t evacuated{0};
    /// Submissions refused because accepted work takes too much memory.
    std::uint64_t refused_for_room{0};
    /// How often the store has rejected the records of a job.
    std::uint64_t rejected{0};

    friend bool operator==(scheduler_counts const&,
                           scheduler_counts const&) = default;
};

/// How far the ends that an instance has reported are stored.
enum class reported_ends : std::uint8_t
{
    /// Some can be acknowledged now, and no batch adds to them.
    stored,
    in_batch_in_flight,
    /// In the next batch, or in a later one because the store rejects the
    /// records of a job.
    in_next_batch,
};

} // namespace berylhill::scheduler
