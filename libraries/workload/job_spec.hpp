#pragma once

#include <workload/job_id.hpp>
#include <workload/step_spec.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::workload
{

/// The schedule on which a job's steps are repeated. A value.
struct repetition
{
    /// Number of occurrences; 0: runs once, immediately.
    std::uint32_t count{0};
    /// Start of the first occurrence, in milliseconds since 1970.
    std::int64_t first_ms{0};
    std::int64_t interval_ms{0};

    friend bool operator==(repetition const&, repetition const&) = default;
};

/// A job as its client submitted it. A value.
struct job_spec
{
    job_id id;
    /// The name of the queue that accepted it.
    std::string queue;
    /// The client account it belongs to; empty: none.
    std::string account;
    /// Opaque data that is passed to every task.
    std::string payload;
    std::vector<step_spec> steps;
    repetition repeats;

    friend bool operator==(job_spec const&, job_spec const&) = default;
};

} // namespace berylhill::workload
