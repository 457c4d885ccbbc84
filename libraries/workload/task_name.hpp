#pragma once

#include <base/result.hpp>
#include <workload/job_id.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::workload
{

/// One step of one occurrence of a job. A value.
struct step_name
{
    job_id job;
    /// 0 for a job that does not repeat.
    std::uint32_t occurrence{0};
    std::uint32_t step_index{0};

    friend auto operator<=>(step_name const&, step_name const&) = default;
};

/// One task of a step. A value.
struct task_name
{
    step_name step;
    std::uint32_t index{0};

    friend auto operator<=>(task_name const&, task_name const&) = default;
};

/// `JOB.OCCURRENCE.STEP`
[[nodiscard]] std::string text_of(step_name const& it);

/// `JOB.OCCURRENCE.STEP.INDEX`
[[nodiscard]] std::string text_of(task_name const& it);

/// Parses `JOB.OCCURRENCE.STEP.INDEX`. Fails with `invalid` for anything else.
[[nodiscard]] base::result<task_name> parse_task_name(std::string_view text);

} // namespace berylhill::workload
