#pragma once

#include <base/result.hpp>
#include <model/job.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What a shard of jobs keeps in its stream of the platform's log, and how a
/// new owner gets it back.
namespace berylhill::jobs
{

/// The name of a shard's stream; each data centre has shards of its own.
[[nodiscard]] std::string stream_of(std::string const& side,
                                    std::int64_t shard);

/// A new owner begins. Records of lower epochs that come after it are void.
struct shard_opened
{
    std::string instance;
    /// Counts the owners; the attempt numbers of each lie above those of all
    /// before it.
    std::int32_t term{0};

    friend bool operator==(shard_opened const&, shard_opened const&) = default;
};

/// The job will be run; its caller may be told so.
struct job_accepted
{
    std::string job;
    model::job_request request;
    /// Microseconds since 1970 in UTC, for people and for ageing out.
    std::int64_t at_us{0};

    friend bool operator==(job_accepted const&, job_accepted const&) = default;
};

/// An attempt that must not run twice is about to be sent to a rack's owner.
struct start_intent
{
    model::attempt_id attempt;
    /// The rack, and its owner's epoch as far as is known. While that owner
    /// lasts, its inventory names every attempt that it ever started and whose
    /// end is not in the log.
    std::string group;
    std::int64_t group_epoch{-1};

    friend bool operator==(start_intent const&, start_intent const&) = default;
};

/// A task has succeeded and is not run again.
struct task_done
{
    model::task_id task;

    friend bool operator==(task_done const&, task_done const&) = default;
};

/// The job's final state.
struct job_ended
{
    std::string job;
    model::job_state state{model::job_state::succeeded};
    std::string detail;
    std::int64_t at_us{0};

    friend bool operator==(job_ended const&, job_ended const&) = default;
};

/// One job again, before retention drops the records that made it.
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

/// A record and the epoch of the owner that wrote it.
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
