#pragma once

#include <base/result.hpp>
#include <model/job.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Records that a job shard stores in its stream of the platform's log, from
/// which a new owner restores the shard.
namespace berylhill::jobs
{

/// Returns the name of a shard's stream. Each data centre has its own shards.
[[nodiscard]] std::string stream_of(std::string const& side,
                                    std::int64_t shard);

/// A new owner has taken over the shard. Later records of lower epochs are
/// ignored.
struct shard_opened
{
    std::string instance;
    /// Number of owners so far. Each owner's attempt numbers are above those of
    /// all earlier owners.
    std::int32_t term{0};

    friend bool operator==(shard_opened const&, shard_opened const&) = default;
};

/// The job is accepted and will run; the caller may be told so.
struct job_accepted
{
    std::string job;
    model::job_request request;
    /// Microseconds since 1970 in UTC; shown to users and used for retention.
    std::int64_t at_us{0};

    friend bool operator==(job_accepted const&, job_accepted const&) = default;
};

/// An attempt of a task that must not run twice is about to be sent to the
/// owner of a worker group.
struct start_intent
{
    model::attempt_id attempt;
    /// The worker group, and the epoch of its owner as far as known. While that
    /// owner stays, its inventory lists every attempt that it has started and
    /// whose end is not in the log.
    std::string group;
    std::int64_t group_epoch{-1};

    friend bool operator==(start_intent const&, start_intent const&) = default;
};

/// A task has succeeded and must not run again.
struct task_done
{
    model::task_id task;

    friend bool operator==(task_done const&, task_done const&) = default;
};

/// The job has reached its final state.
struct job_ended
{
    std::string job;
    model::job_state state{model::job_state::succeeded};
    std::string detail;
    std::int64_t at_us{0};

    friend bool operator==(job_ended const&, job_ended const&) = default;
};

/// Full state of one job, written before retention deletes its earlier records.
struct job_snapshot
{
    std::string job;
    model::job_request request;
    std::int64_t accepted_at_us{0};
    std::vector<std::int32_t> done;
    std::vector<start_intent> intents;
    model::job_state state{model::job_state::queued};
    std::string detail;
    std::int64_t ended_at_us{0};

    friend bool operator==(job_snapshot const&, job_snapshot const&) = default;
};

using record = std::variant<shard_opened,
                            job_accepted,
                            start_intent,
                            task_done,
                            job_ended,
                            job_snapshot>;

/// A record with the epoch of the owner that wrote it.
struct stamped_record
{
    std::int64_t epoch{0};
    record value;

    friend bool operator==(stamped_record const&,
                           stamped_record const&) = default;
};

[[nodiscard]] Json::Value to_json(stamped_record const& it);

/// Fails with `invalid`.
[[nodiscard]] base::result<stamped_record>
stamped_record_from(Json::Value const& it);

} // namespace berylhill::jobs
