#include "world.hpp"

#include <algorithm>

namespace berylhill::scheduler_test
{

using scheduler::attempt_name;

namespace
{

/// How long the former capacity of an instance still applies after it has
/// shrunk.
constexpr base::duration shrunk_slack = std::chrono::milliseconds{4'500};

/// A task is given up after 3 crashes at its start; 2 more starts are allowed.
constexpr std::uint32_t crashes_under_a_start = 4;

/// A job may fail if one of its tasks had this many crashes.
constexpr std::uint32_t crashes_to_fail = 2;

} // namespace

void world::note_crash(std::vector<attempt_name> const& lost)
{
    for (auto const& it : lost)
    {
        ++m_crashes[it.task];
    }
}

/// If the instance crashes at once, the start gets no answer.
void world::crash_soon(fake_instance& at, attempt_name const& by)
{
    if (!m_crashers.contains(by.task))
    {
        return;
    }
    auto const pause =
        std::uniform_int_distribution<std::int64_t>{0, 20}(m_crash_random);
    after(std::chrono::milliseconds{pause},
          [this, id = at.id]
          {
              if (auto& then = *m_instances.at(id); then.up)
              {
                  crash(then);
              }
          });
}

/// Reduces the capacity of the instance, or restores it.
void world::resize(fake_instance& it)
{
    auto const whole = it.capacity == whole_instance;
    auto const cores =
        std::uniform_int_distribution<std::int64_t>{1, 7}(m_resize_random);
    set_capacity(it, whole ? workload::resources{cores * 1'000, 8'000, 0}
                           : whole_instance);
}

void world::set_capacity(fake_instance& it, workload::resources const& to)
{
    if (it.capacity == to)
    {
        return;
    }
    it.larger.emplace_back(m_now + shrunk_slack, it.capacity);
    it.capacity = to;
    if (beats() || m_fault == planted::trust_old_capacity ||
        !m_listed.contains(it.id))
    {
        return;
    }
    // An instance announces its capacity with its next heartbeat.
    constexpr std::int64_t beat_ms = 1'500;
    auto const pause = std::uniform_int_distribution<std::int64_t>{0, beat_ms}(
        m_resize_random);
    after(std::chrono::milliseconds{pause},
          [this, id = it.id]
          {
              if (m_listed.contains(id))
              {
                  announce(*m_instances.at(id), true);
              }
          });
}

void world::check_room(fake_instance const& at, workload::resources const& used)
{
    auto const fits_before = std::ranges::any_of(
        at.larger, [&](auto const& it)
        { return m_now < it.first && fits(used, it.second); });
    if (!fits(used, at.capacity) && !fits_before)
    {
        broken("instance overcommitted: " + at.id);
    }
}

void world::check_crashes(workload::task_name const& it)
{
    auto const at = m_crashes.find(it);
    if (m_crashers.contains(it) && at != m_crashes.end() &&
        at->second > crashes_under_a_start)
    {
        broken(text_of(it) + " starts after " + std::to_string(at->second) +
               " instances crashed while they ran it");
    }
}

/// Only as many failures of one task, or of one gang, as its queue allows or
/// crashes while its tasks ran may fail a job.
void world::check_failed(workload::job_id it,
                         std::vector<std::string>& into) const
{
    auto const allowed = attempts_allowed(it);
    auto const failed = std::ranges::any_of(
        m_failures, [&](auto const& each)
        { return each.first.step.job == it && each.second >= allowed; });
    auto const gang_failed = std::ranges::any_of(
        m_failed_runs, [&](auto const& each)
        { return each.first.job == it && each.second.size() >= allowed; });
    auto const crashed = std::ranges::any_of(
        m_crashes,
        [&](auto const& each) {
            return each.first.step.job == it && each.second >= crashes_to_fail;
        });
    if (!failed && !gang_failed && !crashed)
    {
        into.push_back("job failed without cause: " + text_of(it));
    }
}

} // namespace berylhill::scheduler_test
