#pragma once

#include <workload/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::workload
{

/// One step of a job: identical tasks that may run concurrently. A value.
struct step_spec
{
    std::uint32_t tasks{0};
    resources need;
    /// The client's estimate of a task's duration; often inaccurate.
    std::int64_t estimate_ms{0};
    /// Indices of steps of the same job whose tasks must all be done first.
    std::vector<std::uint32_t> depends_on;
    /// The program that the tasks run; tasks of one image behave alike. May be
    /// empty.
    std::string image;
    /// A label that an instance must have to run the tasks; empty: any
    /// instance.
    std::string required_label;
    /// The rack that holds the tasks' data; elsewhere they take longer.
    std::string preferred_rack;
    /// The maximum number of tasks of the step on one instance; 0: no limit.
    std::uint32_t max_per_instance{0};
    /// How many tasks of a long-running step may be unavailable at once through
    /// the cell's own actions.
    std::uint32_t max_unavailable{0};
    /// For long-running tasks: the response time for users must stay below
    /// this.
    std::int64_t response_time_target_ms{0};
    bool can_checkpoint{false};
    /// Whether all tasks run at the same time or none does.
    bool gang{false};
    /// For a gang: whether it is slow when it spans several racks.
    bool same_rack{false};
    bool copies_allowed{false};
    /// Whether the tasks run until the job is cancelled.
    bool long_running{false};
    /// Whether the tasks use only processor time that other tasks leave:
    /// `need.cpu_millis` is not reserved on an instance.
    bool uses_spare_cpu{false};

    friend bool operator==(step_spec const&, step_spec const&) = default;

    /// The resources that a task reserves on an instance.
    [[nodiscard]] resources reserved_need() const noexcept
    {
        return uses_spare_cpu ? resources{0, need.memory_mb, need.gpus} : need;
    }
};

} // namespace berylhill::workload
