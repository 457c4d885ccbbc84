#pragma once

#include <workload/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::workload
{

/// One step of a job: equal tasks that may run at the same time. A value.
struct step_spec
{
    std::uint32_t tasks{0};
    resources need;
    /// The client's guess of a task's duration; often far off.
    std::int64_t estimate_ms{0};
    /// Steps of the same job whose tasks must all be done first.
    std::vector<std::uint32_t> depends_on;
    /// What the tasks run; tasks of one image behave alike. May be empty.
    std::string image;
    /// A label that the instance must have; empty: any.
    std::string required_label;
    /// The rack that holds the data; elsewhere a task takes longer.
    std::string preferred_rack;
    /// At most so many tasks of the step on one instance; 0: no limit.
    std::uint32_t max_per_instance{0};
    /// How many tasks that last may be away through our own acts.
    std::uint32_t max_unavailable{0};
    /// For tasks that last: their users' response time stays below it.
    std::int64_t response_time_target_ms{0};
    bool can_checkpoint{false};
    /// All tasks run together or none does.
    bool gang{false};
    /// A gang that is slow when spread over racks.
    bool same_rack{false};
    bool copies_allowed{false};
    /// Runs until the job is cancelled.
    bool long_running{false};
    /// Takes only the processor time that others leave: `need.cpu_millis`
    /// is not counted against an instance.
    bool uses_spare_cpu{false};

    friend bool operator==(step_spec const&, step_spec const&) = default;

    /// What a task takes from an instance's capacity.
    [[nodiscard]] resources reserved_need() const noexcept
    {
        return uses_spare_cpu ? resources{0, need.memory_mb, need.gpus} : need;
    }
};

} // namespace berylhill::workload
