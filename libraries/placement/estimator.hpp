#pragma once

#include <model/job.hpp>
#include <model/resources.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace berylhill::placement
{

/// The expected resource use and run time of one task.
struct estimate
{
    /// What to plan for the task: the expected peak use plus a safety margin,
    /// at most the capacity of the largest worker.
    model::resources peak;
    /// The expected peak use without the safety margin.
    model::resources peak_without_margin;
    /// The 90th percentile of the run time in seconds; the declared run time
    /// while no task of this name has ended.
    double run_s{0};
    /// 0 without history; approaches 1 with each job that has ended tasks.
    double confidence{0};

    friend bool operator==(estimate const&, estimate const&) = default;
};

/// Estimates the peak use and run time of tasks, by contract and job name, from
/// the tasks that ended. Keeps ratios to the declared values. Not thread-safe.
class estimator
{
public:
    /// Records a task that succeeded, with its peak use and its run time in
    /// seconds. Tasks of one job are alike, so a job counts once, by its
    /// largest task. True when the history has grown so much (the number of
    /// jobs reached a power of two) that running tasks should be planned again.
    bool learn(std::string const& job,
               model::job_request const& request,
               model::resources const& peak,
               double run_s);

    /// Records the present use of a running task. Raises the estimate where the
    /// use exceeds the largest peak in the history.
    void record_usage(model::job_request const& request,
                      model::resources const& used);

    /// Precondition: `largest` is the capacity of the largest worker.
    [[nodiscard]] estimate estimate_for(model::job_request const& request,
                                        model::resources const& largest) const;

private:
    /// The number of most recent jobs kept for each name.
    static constexpr std::size_t s_max_jobs = 32;

    struct history
    {
        std::array<float, s_max_jobs> cores{};
        std::array<float, s_max_jobs> memory{};
        std::array<float, s_max_jobs> run{};
        std::array<std::uint64_t, s_max_jobs> jobs{};
        std::uint32_t count{0};
        float largest_cores{0};
        float largest_memory{0};
        float long_run{0};
    };

    static std::string key_of(model::job_request const& request);
    static void summarize(history& it);

    std::unordered_map<std::string, history> m_histories;
};

} // namespace berylhill::placement
