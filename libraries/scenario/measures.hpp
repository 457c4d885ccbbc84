#pragma once

#include <scenario/event.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylhill::scenario
{

/// The value that this share of the samples does not exceed; 0 of none.
/// Precondition: `share` is from 0 to 1.
[[nodiscard]] double quantile(std::vector<double> samples, double share);

/// What one customer got, from what stand-ins and callers saw.
struct customer_measures
{
    int calls_answered{0};
    int calls_refused{0};
    /// Told at last that the outcome is unknown.
    int calls_unknown{0};
    int jobs_accepted{0};
    int jobs_succeeded{0};
    /// Of accepted jobs.
    int tasks{0};
    /// Tasks that ended well exactly once, and more often.
    int tasks_done_once{0};
    int tasks_done_again{0};
    /// From the first attempt of a call to its answer.
    std::vector<double> call_s;
    /// From a job's acceptance to the first start of each of its tasks.
    std::vector<double> task_wait_s;
};

[[nodiscard]] std::map<std::string, customer_measures>
measure_customers(timeline const& seen);

/// Of the processors of workers that run something, the share that was planned
/// for tasks, over the time from the first start to the last end. 0 when
/// nothing ran.
[[nodiscard]] double measure_packing(timeline const& seen);

} // namespace berylhill::scenario
