#pragma once

#include <base/time.hpp>
#include <model/job.hpp>
#include <model/resources.hpp>
#include <platform/worker_link.hpp>

#include <string>

namespace berylhill::stand_ins
{

/// What a task really does, told by its command's JSON:
/// `{"run_s": 2, "use": {"millicores": 900, "memory_mb": 700}, "end":
/// "succeeded", "tag": "daily-7"}`. What is missing is as planned, one second,
/// succeeded.
struct task_truth
{
    base::duration run{0};
    model::resources use;
    model::task_end end{model::task_end::succeeded};
    /// The caller's own name for the job, for the history.
    std::string tag;
};

/// Run times are divided by `time_scale`.
[[nodiscard]] task_truth truth_of(platform::task_start const& it,
                                  double time_scale);

/// An attempt that runs on a stand-in worker.
struct simulated_task
{
    platform::task_start start;
    task_truth truth;
    base::instant started;
    base::instant counted;
    /// Of the work, counted with throttling and overload.
    base::duration worked{0};
    double share{1};

    [[nodiscard]] model::resources used() const
    {
        auto use = truth.use;
        use.millicores = static_cast<std::int64_t>(
            static_cast<double>(use.millicores) * share);
        return use;
    }
};

} // namespace berylhill::stand_ins
