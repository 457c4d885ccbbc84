#include <workload/validation.hpp>

#include <workload/step_order.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace berylhill::workload
{

namespace
{

constexpr char const* source = "request";

/// A client needs a few findings to see what is wrong; a request can be wrong
/// in thousands of places, each of which takes more bytes in the answer.
constexpr std::size_t max_findings = 8;

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
        if (out.items().size() >= max_findings)
        {
            return out;
        }
    }
    if (tasks > max_tasks_per_job)
    {
        out.add({source, 0, "/steps", "must have at most 100000 tasks in all"});
    }
    if (it.repeats.count != 0 && it.repeats.interval_ms < 0)
    {
        out.add({source, 0, "/repeats", "interval must not be negative"});
    }
    if (out.empty() && !order_of_steps(it.steps))
    {
        out.add({source, 0, "/steps", "steps depend on each other in a cycle"});
    }
    return out;
}

} // namespace berylhill::workload
