#pragma once

#include <base/result.hpp>
#include <scheduler/job.hpp>
#include <scheduler/state_part.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// A record of the cell's log; the newest record of a key is the valid one. A
/// value.
struct record
{
    std::string key;
    /// If empty, the key is deleted.
    std::string value;

    friend bool operator==(record const&, record const&) = default;
};

/// The kind of a record.
enum class record_kind : std::uint8_t
{
    /// A job as it was submitted; never changes.
    spec,
    /// The same of a job whose state is partitioned. A release that knows no
    /// parts must not run such a job, so the key is one that it does not know.
    partitioned_spec,
    /// The state of a job, or the head of a partitioned one.
    state,
    /// A part of a partitioned state.
    part,
    other,
};

struct record_key
{
    record_kind kind{record_kind::other};
    workload::job_id job;
    /// For the kind `part`.
    state_part part;

    friend bool operator==(record_key const&, record_key const&) = default;
};

[[nodiscard]] std::string spec_key(workload::job_id it);
[[nodiscard]] std::string partitioned_spec_key(workload::job_id it);
[[nodiscard]] std::string state_key(workload::job_id it);
[[nodiscard]] std::string part_key(workload::job_id of, state_part const& it);
[[nodiscard]] record_key parse_record_key(std::string_view key);

/// Encodes a job's specification and when it was accepted.
[[nodiscard]] std::string spec_value(job const& it);

/// The bytes of the record of a job's specification, with its key, as the store
/// counts them.
[[nodiscard]] std::size_t spec_record_bytes(job const& it);

/// The contents of a specification record. A value.
struct stored_spec
{
    workload::job_spec spec;
    std::int64_t accepted_ms{0};
    share_standing standing{share_standing::within_share};
    /// As `job::queue`.
    std::shared_ptr<workload::queue_spec const> queue;
};

/// Fails with `invalid`.
[[nodiscard]] base::result<stored_spec>
parse_spec_value(workload::job_id id, std::string_view value);

/// How far a job is; of a partitioned state only the head.
[[nodiscard]] std::string state_value(job const& it);

/// Restores the state of a job that was just created from its specification.
/// `now` replaces the time at which unfinished occurrences were due. Fails with
/// `invalid` if the value does not fit the job; the job may then be partly
/// filled and must not be used.
[[nodiscard]] base::result<void>
read_state_value(std::string_view value, base::instant now, job& into);

/// The stored status of a job. A value.
struct stored_status
{
    job_phase phase{job_phase::queued};
    /// The client account of a finished job; empty if it has none.
    std::string account;
    /// For a finished job: the attempts that may still be running, and when it
    /// finished in milliseconds since 1970.
    std::vector<remaining_attempt> remaining_attempts;
    std::int64_t finished_ms{0};
    /// False if only the job's cancellation has arrived.
    bool submitted{true};

    friend bool operator==(stored_status const&,
                           stored_status const&) = default;
};

/// Fails with `invalid`.
[[nodiscard]] base::result<stored_status>
parse_stored_status(workload::job_id id, std::string_view value);

} // namespace berylhill::scheduler
