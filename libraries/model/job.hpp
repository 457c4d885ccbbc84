#pragma once

#include <model/resources.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::model
{

enum class job_kind : std::uint8_t
{
    service, ///< Long-running tasks, replaced when they end.
    batch,   ///< Tasks run to an end, in any order.
    gang,    ///< All tasks run together or none does.
};

enum class urgency : std::uint8_t
{
    normal,
    urgent,
};

/// Whether a task may be run again when it is not known how its last attempt
/// ended.
enum class rerun : std::uint8_t
{
    idempotent,
    at_most_once,
};

/// What a caller asks for. A value.
struct job_request
{
    std::string contract;
    /// The same for jobs that are alike; estimates are kept by it.
    std::string name;
    job_kind kind{job_kind::batch};
    std::int32_t tasks{1};
    /// Of one task, as declared; often far off the truth.
    resources declared;
    double declared_run_s{60};
    urgency urgent{urgency::normal};
    rerun safety{rerun::idempotent};
    /// Seconds from acceptance; 0 for none.
    double deadline_s{0};
    /// A second submission with the same key gets the first one's job.
    std::string key;
    /// Passed to the worker as it is.
    std::string command;

    friend bool operator==(job_request const&, job_request const&) = default;
};

/// One task of a job.
struct task_id
{
    std::string job;
    std::int32_t index{0};

    friend auto operator<=>(task_id const&, task_id const&) = default;
};

/// One try at a task; numbers rise, and a result of a lower number than the
/// newest is refused.
struct attempt_id
{
    task_id task;
    std::int32_t number{0};

    friend auto operator<=>(attempt_id const&, attempt_id const&) = default;
};

/// How an attempt ended.
enum class task_end : std::uint8_t
{
    succeeded,
    failed,
    stopped,      ///< On our request; it does not run any more.
    checkpointed, ///< Stopped, and its progress is kept.
    lapsed,       ///< Its lease ran out, or its worker is gone.
    unknown,      ///< A non-idempotent attempt that may have run.
};

enum class job_state : std::uint8_t
{
    queued,
    running,
    succeeded,
    failed,
    cancelled,
    outcome_unknown,
};

[[nodiscard]] constexpr bool is_final(job_state it) noexcept
{
    return it != job_state::queued && it != job_state::running;
}

} // namespace berylhill::model
