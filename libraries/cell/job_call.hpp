#pragma once

#include <base/time.hpp>
#include <scheduler/job.hpp>
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

/// For logs and metrics.
[[nodiscard]] char const* name_of(job_call_kind it);

/// What a client asks about jobs. A value.
struct job_call
{
    job_call_kind kind{job_call_kind::status};
    std::string queue;
    /// The client account of the caller; empty where the queue asks for no
    /// key.
    std::string account;
    /// The version of the configuration that it was decided by; 0: not named.
    std::int64_t configuration{0};
    /// Where the queue is reached by that version: `hash_of_route`.
    std::uint64_t route_hash{0};
    /// A hash of the key that the caller showed.
    std::uint64_t key_digest{0};
    workload::job_id job;
    /// Of a submission.
    workload::job_spec spec;
    /// How long the client waits for the answer.
    base::duration timeout{0};

    friend bool operator==(job_call const&, job_call const&) = default;
};

enum class job_answer_kind : std::uint8_t
{
    /// Stored; or, of a cancellation, in force.
    accepted,
    /// The job's phase follows.
    phase,
    /// A number of jobs follows.
    pending,
    /// No such job exists.
    unknown_job,
    /// The job belongs to another client account; nothing was done.
    forbidden,
    /// Not accepted, and never will be: it needs more than its client account
    /// may ever have running.
    over_cap,
    /// Not accepted, and never will be; the client may come back.
    refused,
    /// Whether it was accepted is not known.
    outcome_unknown,
    /// Between processes: the one asked owns no longer and has done nothing.
    not_owner,
    /// Between processes: it lost its right, and may have done it.
    interrupted,
    /// A newer configuration than the call was decided by has no such queue,
    /// or the account has no such key; nothing was done.
    no_queue,
    no_key,
};

/// For logs and metrics.
[[nodiscard]] char const* name_of(job_answer_kind it);

/// When a client that is refused should come back: about as long as a change
/// of owner, or a store that was slow for a moment, takes.
inline constexpr base::duration default_retry_after =
    std::chrono::milliseconds{1'000};

/// What a client is told. A value.
struct job_answer
{
    job_answer_kind kind{job_answer_kind::refused};
    scheduler::job_phase phase{scheduler::job_phase::queued};
    std::size_t pending{0};
    /// Of a refusal: when it is worth coming back.
    base::duration retry_after{0};

    friend bool operator==(job_answer const&, job_answer const&) = default;
};

/// Whether a caller of one client account may see and cancel a job of another.
/// Jobs of callers without a key belong to nobody, and queues that ask for no
/// key are open to all.
[[nodiscard]] inline bool may_use(std::string const& caller,
                                  std::string const& owner)
{
    return caller.empty() || owner.empty() || caller == owner;
}

using job_answer_handler = std::function<void(job_answer const&)>;

} // namespace berylhill::cell
