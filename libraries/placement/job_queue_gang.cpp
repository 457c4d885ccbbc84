#include <placement/job_queue.hpp>

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace berylhill::placement
{

namespace
{

constexpr double s_first_back_off_s = 0.05;
constexpr double s_max_back_off_s = 5;
constexpr std::int32_t s_max_doublings = 7;

} // namespace

bool job_queue::place_gang(job_class& it,
                           job_pointer const& job,
                           base::instant now,
                           queue_actions& actions)
{
    auto const required_slots = static_cast<std::int32_t>(job->waiting.size());
    struct offer
    {
        std::int32_t slots;
        std::int32_t group;
    };
    std::vector<offer> offers;
    std::int64_t total_slots = 0;
    for (std::int32_t group = 0; group < m_groups.size(); ++group)
    {
        auto const n = m_groups.slots(group, *job, it.need, it.run_s, now);
        if (n > 0)
        {
            offers.push_back({n, group});
            total_slots += n;
        }
    }
    if (total_slots < required_slots)
    {
        return false;
    }
    // Groups with the most slots first, so that the gang spans few groups.
    std::sort(offers.begin(), offers.end(),
              [](auto const& a, auto const& b) { return a.slots > b.slots; });
    // A group's free capacity is split over its workers, and fragmentation may
    // cost up to one task on each worker but the first. Enough groups are
    // chosen to fit the gang even then, as far as there are enough; the last of
    // them are asked only if the others do not suffice.
    std::int64_t guaranteed_slots = 0;
    auto const last =
        std::find_if(offers.begin(), offers.end(),
                     [&](auto const& each)
                     {
                         auto const max_fragmentation_loss =
                             m_groups.digest_of(each.group).workers - 1;
                         guaranteed_slots +=
                             std::max(each.slots - max_fragmentation_loss, 1);
                         return guaranteed_slots >= required_slots;
                     });
    if (last != offers.end())
    {
        offers.erase(last + 1, offers.end());
    }
    std::sort(offers.begin(), offers.end(),
              [&](auto const& a, auto const& b) {
                  return m_groups.name_of(a.group) > m_groups.name_of(b.group);
              });
    job->groups_to_ask.clear();
    for (auto const& each : offers)
    {
        job->groups_to_ask.push_back(each.group);
    }
    job->ordered = 0;
    job->held = 0;
    ask_next_group(job, now, actions);
    return true;
}

void job_queue::ask_next_group(job_pointer const& job,
                               base::instant now,
                               queue_actions& actions)
{
    auto const& it = *job->of_class;
    while (!job->groups_to_ask.empty() && !job->waiting.empty())
    {
        auto const group = job->groups_to_ask.back();
        job->groups_to_ask.pop_back();
        auto n = m_groups.slots(group, *job, it.need, it.run_s, now);
        auto const has_slots = n > 0;
        while (n-- > 0 && !job->waiting.empty())
        {
            auto const index = job->waiting.back();
            job->waiting.pop_back();
            m_waiting_tasks -= 1;
            job->ordered += 1;
            request_hold(job, index, group, hold_mode::hold, false, actions);
        }
        if (has_slots)
        {
            return;
        }
    }
}

queue_actions job_queue::on_gang_answer(job_pointer const& job,
                                        base::instant now)
{
    queue_actions actions;
    if (job->held < job->ordered)
    {
        return actions;
    }
    if (!job->waiting.empty())
    {
        ask_next_group(job, now, actions);
        return actions.holds.empty() ? release_gang(job, now) : actions;
    }
    for (std::int32_t index = 0; index < job->request.tasks; ++index)
    {
        auto& it = job->tasks[static_cast<std::size_t>(index)];
        if (it.phase == task_phase::held)
        {
            it.phase = task_phase::committed;
            actions.commits.push_back(
                {m_groups.name_of(it.group), {{job->id, index}, it.number}});
        }
    }
    job->rounds_failed = 0;
    job->blocked_since = base::instant::max();
    drop_reservation(job->id);
    return actions;
}

queue_actions job_queue::release_gang(job_pointer const& job, base::instant now)
{
    auto actions = release_all(*job);
    auto& account = account_of(*job);
    for (std::int32_t index = job->request.tasks - 1; index >= 0; --index)
    {
        auto& it = job->tasks[static_cast<std::size_t>(index)];
        if (it.phase == task_phase::stopping)
        {
            account.refund(it);
            make_waiting(*job, index);
        }
    }
    job->ordered = 0;
    job->held = 0;
    job->rounds_failed += 1;
    auto const doublings = std::min(job->rounds_failed, s_max_doublings);
    auto const back_off_s =
        std::min(s_first_back_off_s * (1 << doublings), s_max_back_off_s);
    boost::random::uniform_real_distribution<double> back_off_range{
        back_off_s / 2, back_off_s};
    job->not_before = now + base::from_seconds(back_off_range(m_random));
    schedule_wakeup(job, -1, job->not_before);
    record_blocked(job, now);
    return actions;
}

queue_actions job_queue::restart_gang(job_pointer const& job, base::instant now)
{
    auto actions = release_all(*job);
    auto const stopping = [](auto const& it)
    {
        return it.phase == task_phase::stopping;
    };
    if (std::any_of(job->tasks.begin(), job->tasks.end(), stopping))
    {
        return actions;
    }
    // All stopped tasks have ended; the gang can be started again as a whole.
    job->ordered = 0;
    job->held = 0;
    schedule_wakeup(job, -1, std::max(now, job->not_before));
    return actions;
}

} // namespace berylhill::placement
