#include <workload/validation.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace berylhill::workload
{

namespace
{

constexpr char const* source = "request";

void check_step(step_spec const& it,
                std::size_t number,
                std::size_t steps,
                base::findings& found)
{
    auto const place = "/steps/" + std::to_string(number);
    auto const wrong = [&](char const* member, char const* message)
    {
        found.add({source, 0, place + member, message});
    };
    if (it.tasks == 0 || it.tasks > max_tasks_per_step)
    {
        wrong("/tasks", "must have 1 to 10000 tasks");
    }
    if (it.need.cpu_millis < 0 || it.need.memory_mb < 0 || it.need.gpus < 0)
    {
        wrong("", "resources must not be negative");
    }
    if (it.estimate_ms < 0)
    {
        wrong("/estimate", "must not be negative");
    }
    for (auto const before : it.depends_on)
    {
        if (before >= steps)
        {
            wrong("/after", "refers to a step that does not exist");
        }
    }
}

/// Removes steps without remaining dependencies until there are none; the steps
/// that are left depend on a cycle.
bool has_cycle(std::vector<step_spec> const& steps)
{
    std::vector<bool> taken(steps.size(), false);
    auto left = steps.size();
    for (auto moved = true; moved;)
    {
        moved = false;
        for (std::size_t n = 0; n < steps.size(); ++n)
        {
            if (!taken[n] &&
                std::ranges::all_of(steps[n].depends_on, [&](std::uint32_t it)
                                    { return taken[it]; }))
            {
                taken[n] = true;
                moved = true;
                --left;
            }
        }
    }
    return left != 0;
}

} // namespace

base::findings check(job_spec const& it)
{
    base::findings out;
    if (it.payload.size() > max_payload_bytes)
    {
        out.add({source, 0, "/payload", "longer than 4000 bytes"});
    }
    if (it.steps.empty())
    {
        out.add({source, 0, "/steps", "must have at least one step"});
    }
    std::uint64_t tasks = 0;
    for (std::size_t n = 0; n < it.steps.size(); ++n)
    {
        check_step(it.steps[n], n, it.steps.size(), out);
        tasks += it.steps[n].tasks;
    }
    if (tasks > max_tasks_per_job)
    {
        out.add({source, 0, "/steps", "must have at most 100000 tasks in all"});
    }
    if (it.repeats.count != 0 && it.repeats.interval_ms < 0)
    {
        out.add({source, 0, "/repeats", "interval must not be negative"});
    }
    if (out.empty() && has_cycle(it.steps))
    {
        out.add({source, 0, "/steps", "steps depend on each other in a cycle"});
    }
    return out;
}

} // namespace berylhill::workload
