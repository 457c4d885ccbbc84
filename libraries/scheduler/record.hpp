#pragma once

#include <base/result.hpp>
#include <scheduler/job.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// A record of the cell's log: the newest one of a key stands. A value.
struct record
{
    std::string key;
    /// Empty: the key is dropped.
    std::string value;

    friend bool operator==(record const&, record const&) = default;
};

/// What a record is about.
enum class record_kind : std::uint8_t
{
    /// A job as it was submitted; never changes.
    spec,
    /// How far a job is.
    state,
    other,
};

struct record_key
{
    record_kind kind{record_kind::other};
    workload::job_id job;

    friend bool operator==(record_key const&, record_key const&) = default;
};

[[nodiscard]] std::string spec_key(workload::job_id it);
[[nodiscard]] std::string state_key(workload::job_id it);
[[nodiscard]] record_key parse_record_key(std::string_view key);

/// A job as it was submitted, and when it was accepted.
[[nodiscard]] std::string spec_value(job const& it);

/// What a specification's record holds. A value.
struct stored_spec
{
    workload::job_spec spec;
    std::int64_t accepted_ms{0};
    share_standing standing{share_standing::owed};
};

/// Fails with `invalid`.
[[nodiscard]] base::result<stored_spec>
parse_spec_value(workload::job_id id, std::string_view value);

/// How far a job is.
[[nodiscard]] std::string state_value(job const& it);

/// Fills a job that was just made from its specification. `now` stands for
/// the time at which unfinished occurrences were due. Fails with `invalid`
/// where the value does not fit the job; the job is then as it was or partly
/// filled, and must not be used.
[[nodiscard]] base::result<void>
read_state_value(std::string_view value, base::instant now, job& into);

/// How a job stands, for those who only answer questions. A value.
struct stored_status
{
    job_phase phase{job_phase::queued};
    /// The client account of a finished job; empty: none.
    std::string account;
    /// Of a finished job: what may still run, and when it finished in
    /// milliseconds since 1970.
    std::vector<leftover> leftovers;
    std::int64_t finished_ms{0};

    friend bool operator==(stored_status const&,
                           stored_status const&) = default;
};

/// Fails with `invalid`.
[[nodiscard]] base::result<stored_status>
parse_stored_status(workload::job_id id, std::string_view value);

} // namespace berylhill::scheduler
