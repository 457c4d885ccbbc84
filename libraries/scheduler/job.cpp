#include <scheduler/job.hpp>

#include <workload/step_order.hpp>

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
/// it. Jobs with cyclic dependencies are rejected before they get here.
std::vector<base::duration>
chains_of(std::vector<workload::step_spec> const& steps,
          std::vector<base::duration> const& times)
{
    auto out = times;
    auto const order =
        workload::order_of_steps(steps).value_or(std::vector<std::uint32_t>{});
    for (auto at = order.rbegin(); at != order.rend(); ++at)
    {
        for (auto const before : steps[*at].depends_on)
        {
            out[before] = std::max(out[before], times[before] + out[*at]);
        }
    }
    return out;
}

/// What a job takes beside its specification: its places in tables and the
/// record of its state.
constexpr std::size_t bytes_per_job = sizeof(job) + 256;

/// What the record of a step has beside its texts.
constexpr std::size_t record_bytes_per_step = 128;

std::size_t texts_of(workload::step_spec const& it)
{
    return it.image.size() + it.required_label.size() +
           it.preferred_rack.size();
}

/// Of a job whose record is deleted when its state is stored.
std::size_t memory_of_finished(workload::job_spec const& it)
{
    auto out = bytes_per_job + it.payload.size();
    for (auto const& each : it.steps)
    {
        out += sizeof(each) + sizeof(base::duration) + texts_of(each) +
               sizeof(std::uint32_t) * each.depends_on.size();
    }
    return out;
}

/// Of the job and of its record.
std::size_t memory_of(workload::job_spec const& it)
{
    auto out = memory_of_finished(it) + it.payload.size();
    for (auto const& each : it.steps)
    {
        out += record_bytes_per_step + texts_of(each) +
               sizeof(std::uint32_t) * each.depends_on.size();
    }
    return out;
}

std::size_t memory_of(occurrence const& it)
{
    auto out = sizeof(it);
    for (auto const& each : it.steps)
    {
        out += sizeof(each) + each.tasks.memory();
    }
    return out;
}

std::size_t tasks_in(std::vector<workload::step_spec> const& steps)
{
    std::size_t out = 0;
    for (auto const& it : steps)
    {
        out += it.tasks;
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

void step::recount()
{
    done = 0;
    waiting = 0;
    for (auto const& it : tasks)
    {
        done += it.phase == task_phase::done ? 1 : 0;
        waiting += it.phase == task_phase::waiting ? 1 : 0;
    }
}

bool occurrence::complete() const noexcept
{
    return std::ranges::all_of(steps,
                               [](step const& it) { return it.complete(); });
}

job::job(workload::job_spec spec,
         std::int64_t accepted,
         base::instant now,
         record_layout layout,
         std::shared_ptr<std::size_t> memory_total)
    : accepted_ms{accepted}
    , accepted_at{now}
    , m_spec{std::move(spec)}
    , m_layout{layout}
    , m_tasks_per_occurrence{tasks_in(m_spec.steps)}
    , m_partitioned{m_spec.repeats.count != 0 ||
                    m_tasks_per_occurrence > layout.max_tasks_in_one_record}
    , m_memory{std::move(memory_total)}
{
    m_memory.set(memory_of(m_spec));
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
        out.steps[n].tasks.reset(m_spec.steps[n].tasks);
        out.steps[n].waiting = m_spec.steps[n].tasks;
    }
    add_memory(memory_of(out), 0);
    return out;
}

std::size_t job::memory_per_occurrence() const noexcept
{
    return sizeof(occurrence) + m_spec.steps.size() * sizeof(step) +
           m_tasks_per_occurrence * task_list::memory_per_task;
}

void job::add_memory(std::size_t now, std::size_t before)
{
    m_memory.set(m_memory.bytes() + now - before);
}

std::uint32_t job::next_occurrence() const
{
    auto out = completed.all_below();
    if (!completed.beyond().empty())
    {
        out = std::max(out, *completed.beyond().rbegin() + 1);
    }
    if (!occurrences.empty())
    {
        out = std::max(out, occurrences.rbegin()->first + 1);
    }
    return out;
}

base::instant job::due_at(std::uint32_t number) const
{
    auto const at = occurrences.find(number);
    return at == occurrences.end() ? accepted_at : at->second.due;
}

void job::retire_complete_occurrences()
{
    for (auto at = occurrences.begin(); at != occurrences.end();)
    {
        auto const number = at->first;
        if (!at->second.complete())
        {
            ++at;
            continue;
        }
        add_memory(0, memory_of(at->second));
        at = occurrences.erase(at);
        completed.add(number);
        note_completed(number);
    }
}

/// The record of an occurrence that is complete replaces those of its tasks,
/// and is replaced by the head once all earlier ones are complete.
void job::note_completed(std::uint32_t number)
{
    if (!m_partitioned)
    {
        return;
    }
    parts.note_changed({number});
    for (auto const& it : parts.stored())
    {
        if (it.occurrence == number ||
            (it.notes_completion() && it.occurrence < completed.all_below()))
        {
            parts.note_changed(it);
        }
    }
}

step* job::find(workload::step_name const& it)
{
    return const_cast<step*>(std::as_const(*this).find(it));
}

step const* job::find(workload::step_name const& it) const
{
    auto const at = occurrences.find(it.occurrence);
    if (at == occurrences.end() || it.step_index >= at->second.steps.size())
    {
        return nullptr;
    }
    return &at->second.steps[it.step_index];
}

task& job::edit(workload::task_name const& it)
{
    if (m_partitioned)
    {
        parts.note_changed(part_of(it));
    }
    return row_of(it);
}

task& job::row_of(workload::task_name const& it)
{
    auto& tasks = find(it.step)->tasks;
    auto const before = tasks.memory();
    auto& out = tasks.row(it.index);
    add_memory(tasks.memory(), before);
    return out;
}

void job::compact(workload::task_name const& it)
{
    auto& tasks = find(it.step)->tasks;
    auto const before = tasks.memory();
    tasks.compact(it.index);
    add_memory(tasks.memory(), before);
}

void job::note_former_state_changed()
{
    if (!parts.has_former_records())
    {
        return;
    }
    for (auto const& [number, in] : occurrences)
    {
        for (std::uint32_t s = 0; s < in.steps.size(); ++s)
        {
            auto const last =
                static_cast<std::uint32_t>(in.steps[s].tasks.size() - 1);
            auto const ranges = part_of({{m_spec.id, number, s}, last}).range;
            for (std::uint32_t range = 0; range <= ranges; ++range)
            {
                parts.note_changed({number, s, range});
            }
        }
    }
    for (auto const& it : remaining_attempts)
    {
        parts.note_changed(part_of(it.attempt.task));
    }
}

void job::restore_task(workload::task_name const& it, task state)
{
    row_of(it) = std::move(state);
    compact(it);
}

void job::note_step_changed(workload::step_name const& it)
{
    if (m_partitioned)
    {
        parts.note_changed(part_of({it, 0}));
    }
}

bool job::has_task(workload::task_name const& it) const
{
    return it.step.occurrence < next_occurrence() &&
           it.step.step_index < m_spec.steps.size() &&
           it.index < m_spec.steps[it.step.step_index].tasks;
}

state_part job::part_of(workload::task_name const& it) const
{
    return {it.step.occurrence, it.step.step_index,
            it.index / m_layout.tasks_per_part};
}

bool job::ready(occurrence const& in, std::uint32_t number) const
{
    return std::ranges::all_of(m_spec.steps[number].depends_on,
                               [&](std::uint32_t it)
                               { return in.steps[it].complete(); });
}

void job::add_remaining(attempt_name const& name, std::string const& instance)
{
    auto const& spec = spec_of(name.task.step);
    remaining_attempts.push_back(
        {name, instance, spec.reserved_need(), spec.need});
    if (m_partitioned)
    {
        parts.note_changed(part_of(name.task));
    }
}

bool job::remove_remaining(attempt_name const& name,
                           std::string const& instance)
{
    auto const removed = std::erase_if(
        remaining_attempts, [&](remaining_attempt const& it)
        { return it.attempt == name && it.instance == instance; });
    if (removed > 0 && m_partitioned)
    {
        parts.note_changed(part_of(name.task));
    }
    return removed > 0;
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
    for (auto const& it : remaining_attempts)
    {
        parts_kept.insert(part_of(it.attempt.task));
    }
    m_spec.payload.clear();
    m_spec.payload.shrink_to_fit();
    occurrences.clear();
    m_memory.set(memory_of_finished(m_spec));
}

} // namespace berylhill::scheduler
