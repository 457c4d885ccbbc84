#include <soak/ledger.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace berylhill::soak
{

namespace
{

/// From an acceptance until every process that answers has to know the job.
constexpr std::chrono::seconds visible_after{3};

std::string job_of(std::string const& task)
{
    return task.substr(0, task.find('.'));
}

std::string ms_of(std::chrono::nanoseconds length)
{
    return std::to_string(length / std::chrono::milliseconds{1}) + " ms";
}

bool is_final(std::string const& state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

ledger::ledger(std::size_t room, std::vector<std::vector<std::string>> steps)
    : m_room{room}
    , m_steps{std::move(steps)}
{
}

void ledger::started(std::string const& instance, std::string const& name)
{
    ++m_starts;
    auto& it = m_tasks[name];
    auto& of = m_jobs[job_of(name)];
    of.begun = true;
    check_rejected(job_of(name));
    if (!it.running_on.empty())
    {
        found("task " + name + " runs on " + *it.running_on.begin() + " and " +
              instance);
    }
    if (!it.done_on.empty() && of.state == "completed")
    {
        found("task " + name + " starts after its job was completed");
    }
    if (it.end_acknowledged)
    {
        found("task " + name + " starts after its end was acknowledged");
    }
    check_order(name);
    check_crashes(name, it);
    it.running_on.insert(instance);
    auto& here = m_running[instance];
    here.insert(name);
    if (here.size() > room_of(instance))
    {
        found(instance + " holds " + std::to_string(here.size()) + " tasks");
    }
}

void ledger::started_promptly(std::string const& name, instant now)
{
    auto const& at = m_jobs[job_of(name)].cancel_acknowledged_at;
    if (at && now - *at > cancel_bound)
    {
        found("task " + name + " starts " + ms_of(now - *at) +
              " after its job's cancelling was acknowledged");
    }
}

void ledger::check_crashes(std::string const& name, task_seen const& it)
{
    // Three may crash under a task, and two starts more are allowed.
    constexpr std::size_t crashes_under_a_start = 4;
    if (it.crashes_its_instances && it.crashes > crashes_under_a_start)
    {
        found("task " + name + " starts after " + std::to_string(it.crashes) +
              " instances have crashed under it");
    }
}

void ledger::crashes_its_instances(std::string const& task)
{
    m_tasks[task].crashes_its_instances = true;
}

void ledger::room_changed(std::string const& instance, std::size_t room)
{
    m_rooms[instance] = room;
}

std::size_t ledger::room_of(std::string const& instance) const
{
    auto const at = m_rooms.find(instance);
    return at == m_rooms.end() ? m_room : at->second;
}

/// A task under which two instances have crashed may be given up.
bool ledger::may_fail(std::string const& job) const
{
    constexpr std::size_t crashes_to_fail = 2;
    return std::ranges::any_of(m_tasks,
                               [&](auto const& it) {
                                   return job_of(it.first) == job &&
                                          it.second.crashes >= crashes_to_fail;
                               });
}

void ledger::check_order(std::string const& name)
{
    auto const job = job_of(name);
    auto const rest = name.substr(job.size() + 1);
    for (std::size_t n = 0; n < m_steps.size(); ++n)
    {
        if (std::ranges::find(m_steps[n], rest) == m_steps[n].end())
        {
            continue;
        }
        for (std::size_t before = 0; before < n; ++before)
        {
            if (!step_done(job, before))
            {
                found("task " + name + " starts before the step before it");
            }
        }
        return;
    }
    found("task " + name + " is of no job that was handed in");
}

bool ledger::step_done(std::string const& job, std::size_t step)
{
    return std::ranges::all_of(m_steps[step], [&](std::string const& it)
                               { return m_tasks[job + "." + it].ever_done; });
}

void ledger::ended(std::string const& instance,
                   std::string const& name,
                   std::string const& how)
{
    auto& it = m_tasks[name];
    it.running_on.erase(instance);
    m_running[instance].erase(name);
    if (how == "done")
    {
        it.done_on = instance;
        it.ever_done = true;
    }
}

void ledger::end_acknowledged(std::string const& task)
{
    m_tasks[task].end_acknowledged = true;
}

/// What ran there runs no longer; ends that nobody has read are lost.
void ledger::crashed(std::string const& instance)
{
    for (auto const& name : m_running[instance])
    {
        m_tasks[name].running_on.erase(instance);
        ++m_tasks[name].crashes;
    }
    m_running.erase(instance);
    for (auto& [name, it] : m_tasks)
    {
        if (it.done_on == instance)
        {
            it.done_on.clear();
        }
    }
}

bool ledger::is_rejection(unsigned status)
{
    constexpr std::array<unsigned, 5> rejections{401, 403, 404, 429, 503};
    return std::ranges::find(rejections, status) != rejections.end();
}

/// After an attempt without a clear answer the job may run, whatever the next
/// ones are answered.
void ledger::check_rejected(std::string const& id)
{
    auto& it = m_jobs[id];
    if (it.begun && it.rejected && it.under_way == 0 && !it.accepted &&
        !it.maybe_accepted && !std::exchange(it.found, true))
    {
        found("job " + id + " ran, and every attempt was refused");
    }
}

void ledger::submit_sent(std::string const& id)
{
    ++m_jobs[id].under_way;
}

void ledger::submit_repeated(std::string const& id)
{
    m_jobs[id].maybe_accepted = true;
}

void ledger::must_be_accepted(std::string const& id, instant by)
{
    ++m_owed;
    m_jobs[id].must_be_accepted_by = by;
}

void ledger::submit_answered(std::string const& id,
                             unsigned status,
                             instant now)
{
    auto& it = m_jobs[id];
    it.under_way = std::max(0, it.under_way - 1);
    auto const accepted = status >= 200 && status < 300;
    auto const by = std::exchange(it.must_be_accepted_by, std::nullopt);
    if (by && (!accepted || now > *by))
    {
        found("job " + id +
              " is not accepted in time: " + std::to_string(status));
    }
    if (accepted)
    {
        if (!it.accepted)
        {
            ++m_accepted_jobs;
            it.accepted_at = now;
        }
        it.accepted = true;
    }
    else if (is_rejection(status))
    {
        it.rejected = true;
        check_rejected(id);
    }
    else
    {
        it.maybe_accepted = true;
    }
}

void ledger::cancel_sent(std::string const& id)
{
    m_jobs[id].cancel_sent = true;
}

/// The first acknowledgement counts.
void ledger::cancel_acknowledged(std::string const& id, instant now)
{
    auto& at = m_jobs[id].cancel_acknowledged_at;
    at = at.value_or(now);
}

void ledger::disturbed(instant now)
{
    m_disturbed_at = now;
}

void ledger::check_cancelled(instant now)
{
    for (auto const& [instance, tasks] : m_running)
    {
        for (auto const& name : tasks)
        {
            auto& of = m_jobs[job_of(name)];
            auto const at = of.cancel_acknowledged_at;
            if (at &&
                now - std::max(*at, m_disturbed_at) >
                    cancel_bound + stop_bound &&
                !std::exchange(of.runs_on, true))
            {
                found("task " + name + " runs on " + ms_of(now - *at) +
                      " after its job's cancelling was acknowledged");
            }
        }
    }
}

void ledger::shown(std::string const& id, std::string const& state, instant)
{
    auto& it = m_jobs[id];
    if (is_final(it.state) && state != it.state)
    {
        found("job " + id + " was " + it.state + " and is " + state);
    }
    it.state = state;
    if (state == "failed" && !may_fail(id))
    {
        found("job " + id + " is said to have failed");
    }
    if (state == "cancelled" && !it.cancel_sent)
    {
        found("job " + id + " is cancelled and nobody asked for it");
    }
    if (state != "completed")
    {
        return;
    }
    for (std::size_t n = 0; n < m_steps.size(); ++n)
    {
        if (!step_done(id, n))
        {
            found("job " + id + " is completed without step " +
                  std::to_string(n));
        }
    }
}

void ledger::unknown(std::string const& id, instant now)
{
    auto const& it = m_jobs[id];
    if (it.accepted && !it.cancel_sent && now - it.accepted_at > visible_after)
    {
        found("job " + id + " was accepted and is unknown");
    }
}

void ledger::found(std::string what)
{
    m_findings.push_back(std::move(what));
}

void ledger::finish()
{
    for (auto const& [id, it] : m_jobs)
    {
        if (it.accepted && !is_final(it.state))
        {
            found("job " + id + " was accepted and has not ended: " + it.state);
        }
        if (it.begun && !it.accepted && !it.maybe_accepted && !it.rejected &&
            it.under_way == 0)
        {
            found("job " + id + " ran, and nobody handed it in");
        }
    }
    for (auto const& [instance, tasks] : m_running)
    {
        for (auto const& name : tasks)
        {
            if (is_final(m_jobs[job_of(name)].state))
            {
                found("task " + name + " runs on after its job's end");
            }
        }
    }
    for (auto const& [id, it] : m_jobs)
    {
        if (it.cancel_sent && !it.cancel_acknowledged_at)
        {
            found("job " + id + "'s cancelling was never acknowledged");
        }
    }
}

} // namespace berylhill::soak
