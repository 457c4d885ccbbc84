#pragma once

#include <base/time.hpp>
#include <scheduler/job.hpp>
#include <workload/job_access.hpp>
#include <workload/job_spec.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace berylhill::cell
{

enum class job_call_kind : std::uint8_t
{
    submit,
    status,
    cancel,
    pending,
};

/// The label of the value in logs and metrics.
[[nodiscard]] char const* name_of(job_call_kind it);

/// A client's call about jobs. A value.
struct job_call
{
    job_call_kind kind{job_call_kind::status};
    std::string queue;
    /// The client account of the caller; empty if the queue requires no key.
    std::string account;
    /// The configuration version that the call was accepted under; 0: not sent.
    std::int64_t configuration{0};
    /// Hash of the queue's host and path in that version: `hash_of_route`.
    std::uint64_t route_hash{0};
    /// A hash of the caller's API key.
    std::uint64_t key_digest{0};
    workload::job_id job;
    /// Set for submissions only.
    workload::job_spec spec;
    /// How long the client waits for the answer.
    base::duration timeout{0};
    /// Between processes: an earlier send of this call may have arrived, at
    /// this owner or a former one.
    bool repeated{false};

    friend bool operator==(job_call const&, job_call const&) = default;
};

enum class job_answer_kind : std::uint8_t
{
    /// The submission is stored, or the cancellation is in effect.
    accepted,
    /// `phase` is set.
    phase,
    /// `pending` is set.
    pending,
    /// No such job exists.
    unknown_job,
    /// The job belongs to another client account; the call had no effect.
    forbidden,
    /// Not accepted permanently: the job needs more than its client account may
    /// ever have running.
    over_cap,
    /// Not accepted, and the call will have no later effect; the client may
    /// retry.
    refused,
    /// It is unknown whether the call took effect.
    outcome_unknown,
    /// Between processes: the called process is not the owner and has done
    /// nothing.
    not_owner,
    /// Between processes: the owner lost ownership; the call may have taken
    /// effect.
    interrupted,
    /// The owner's newer configuration has no such queue, or the account has no
    /// such key; the call had no effect.
    no_queue,
    no_key,
    /// Not accepted permanently: the store has no room for such a job's
    /// specification.
    too_large,
};

/// The label of the value in logs and metrics.
[[nodiscard]] char const* name_of(job_answer_kind it);

/// Retry time for refused clients: about as long as a change of owner or a
/// brief slowdown of the store takes.
inline constexpr base::duration default_retry_after =
    std::chrono::milliseconds{1'000};

/// The answer to a client's call. A value.
struct job_answer
{
    job_answer_kind kind{job_answer_kind::refused};
    scheduler::job_phase phase{scheduler::job_phase::queued};
    std::size_t pending{0};
    /// When to retry; set for refusals only.
    base::duration retry_after{0};

    friend bool operator==(job_answer const&, job_answer const&) = default;
};

using workload::may_use;

using job_answer_handler = std::function<void(job_answer const&)>;

} // namespace berylhill::cell
