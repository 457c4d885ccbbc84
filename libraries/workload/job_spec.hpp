#pragma once

#include <workload/job_id.hpp>
#include <workload/step_spec.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::workload
{

/// How often and when a job's steps run. A value.
struct repetition
{
    /// 0: once, at once.
    std::uint32_t count{0};
    /// Of the first occurrence, milliseconds since 1970.
    std::int64_t first_ms{0};
    std::int64_t interval_ms{0};

    friend bool operator==(repetition const&, repetition const&) = default;
};

/// A job as its client submitted it. A value.
struct job_spec
{
    job_id id;
    /// The name of the queue that took it.
    std::string queue;
    /// The client account that it belongs to; empty: none.
    std::string account;
    /// Passed to every task unread.
    std::string payload;
    std::vector<step_spec> steps;
    repetition repeats;

    friend bool operator==(job_spec const&, job_spec const&) = default;
};

} // namespace berylhill::workload
