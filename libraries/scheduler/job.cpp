#include <scheduler/job.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// The client's run time estimate for each step.
std::vector<base::duration>
estimates_of(std::vector<workload::step_spec> const& steps)
{
    std::vector<base::duration> out;
    out.reserve(steps.size());
    for (auto const& it : steps)
    {
        out.emplace_back(std::chrono::milliseconds{it.estimate_ms});
    }
    return out;
}

/// For each step, the length of the longest dependency chain that begins with
/// it. Steps may depend on later ones, so the computation is repeated until
/// nothing changes; jobs with cyclic dependencies are rejected before they get
/// here.
std::vector<base::duration>
chains_of(std::vector<workload::step_spec> const& steps,
          std::vector<base::duration> const& times)
{
    std::vector<base::duration> out(steps.size());
    for (std::size_t round = 0; round < steps.size(); ++round)
    {
        for (std::size_t n = 0; n < steps.size(); ++n)
        {
            out[n] = std::max(out[n], times[n]);
            for (auto const before : steps[n].depends_on)
            {
                out[before] = std::max(out[before], times[before] + out[n]);
            }
        }
    }
    return out;
}

} // namespace

char const* name_of(job_phase it)
{
    switch (it)
    {
    case job_phase::queued:
        return "queued";
    case job_phase::running:
        return "running";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "other";
}

bool occurrence::complete() const noexcept
{
    return std::ranges::all_of(steps,
                               [](step const& it) { return it.complete(); });
}

job::job(workload::job_spec spec, std::int64_t accepted, base::instant now)
    : accepted_ms{accepted}
    , accepted_at{now}
    , m_spec{std::move(spec)}
{
    set_work(estimates_of(m_spec.steps));
}

void job::set_work(std::vector<base::duration> const& it)
{
    m_chains = chains_of(m_spec.steps, it);
    m_longest = base::duration{0};
    for (auto const chain : m_chains)
    {
        m_longest = std::max(m_longest, chain);
    }
}

occurrence& job::open_occurrence(std::uint32_t number, base::instant due)
{
    auto& out = occurrences[number];
    out.due = due;
    out.steps.resize(m_spec.steps.size());
    for (std::size_t n = 0; n < out.steps.size(); ++n)
    {
        out.steps[n].tasks.resize(m_spec.steps[n].tasks);
        out.steps[n].waiting = m_spec.steps[n].tasks;
    }
    return out;
}

step* job::find(workload::step_name const& it)
{
    auto const at = occurrences.find(it.occurrence);
    if (at == occurrences.end() || it.step_index >= at->second.steps.size())
    {
        return nullptr;
    }
    return &at->second.steps[it.step_index];
}

bool job::ready(occurrence const& in, std::uint32_t number) const
{
    return std::ranges::all_of(m_spec.steps[number].depends_on,
                               [&](std::uint32_t it)
                               { return in.steps[it].complete(); });
}

bool job::complete() const
{
    if (occurrences.size() < occurrences_in_all())
    {
        return false;
    }
    return std::ranges::all_of(occurrences, [](auto const& it)
                               { return it.second.complete(); });
}

bool task::failure_is_new(std::uint32_t number) const
{
    return failed_runs.size() == failures &&
           std::ranges::find(failed_runs, number) == failed_runs.end();
}

void job::add_remaining(attempt_name const& name, std::string const& instance)
{
    auto const& spec = spec_of(name.task.step);
    remaining_attempts.push_back(
        {name, instance, spec.reserved_need(), spec.need});
}

bool job::remove_remaining(attempt_name const& name,
                           std::string const& instance)
{
    return std::erase_if(
               remaining_attempts, [&](remaining_attempt const& it)
               { return it.attempt == name && it.instance == instance; }) > 0;
}

void job::collect_remaining_attempts()
{
    for (auto const& [number, in] : occurrences)
    {
        for (std::uint32_t s = 0; s < in.steps.size(); ++s)
        {
            auto const& tasks = in.steps[s].tasks;
            for (std::uint32_t n = 0; n < tasks.size(); ++n)
            {
                if (tasks[n].phase == task_phase::placed)
                {
                    add_remaining({{{m_spec.id, number, s}, n}, tasks[n].run},
                                  tasks[n].instance);
                }
            }
        }
    }
}

void job::release_details()
{
    collect_remaining_attempts();
    m_spec.payload.clear();
    m_spec.payload.shrink_to_fit();
    occurrences.clear();
}

} // namespace berylhill::scheduler
