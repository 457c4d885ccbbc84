#include <placement/job_queue.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::placement
{

namespace
{

/// How long a job is blocked before groups are reserved for it, by the
/// preference of its contract.
constexpr base::duration s_delay_if_waiting_preferred{1'000'000};
constexpr base::duration s_delay_if_packing_preferred{15'000'000};
/// Reservations are short, so that they expire soon when the job's owner is
/// lost, and are renewed while the job waits.
constexpr base::duration s_reservation_duration{30'000'000};
constexpr base::duration s_renewal_margin{15'000'000};
/// A task whose dominant share of the largest worker is below this is small.
constexpr double s_large_task_share = 0.25;
constexpr double s_first_step_s = 1;
constexpr double s_max_step_s = 4096;

} // namespace

void job_queue::record_blocked(job_pointer const& job, base::instant now)
{
    job->blocked_since = std::min(job->blocked_since, now);
    auto const size =
        dominant_share(job->of_class->need, m_groups.largest_worker());
    if (job->request.kind != model::job_kind::gang && size < s_large_task_share)
    {
        // Small tasks are placed soon without a reservation, which would only
        // leave capacity idle.
        return;
    }
    if (m_longest_blocked == nullptr ||
        job->blocked_since < m_longest_blocked->blocked_since)
    {
        m_longest_blocked = job;
    }
}

void job_queue::reserve_if_due(base::instant now, queue_actions& to)
{
    auto const job = std::exchange(m_longest_blocked, nullptr);
    if (job == nullptr || model::is_final(job->state))
    {
        return;
    }
    auto const packing =
        account_of(*job).contract().preferred == model::preference::packing;
    auto const reservation_delay =
        packing ? s_delay_if_packing_preferred : s_delay_if_waiting_preferred;
    if (now - job->blocked_since < reservation_delay)
    {
        return;
    }
    if (m_reservation && now + s_renewal_margin >= m_reservation->until)
    {
        drop_reservation(m_reservation->job);
    }
    if (!m_reservation)
    {
        reserve_for(*job, now, to);
    }
}

void job_queue::reserve_for(job_record const& job,
                            base::instant now,
                            queue_actions& to)
{
    auto const& need = job.of_class->need;
    auto const required_slots = static_cast<std::int64_t>(
        job.request.kind == model::job_kind::gang ? job.waiting.size() : 1);
    struct expected_end
    {
        std::int32_t group;
        base::instant at;
        model::resources planned;
    };
    std::vector<expected_end> expected_ends;
    for (auto const& [id, other] : m_jobs)
    {
        for (auto const& it : other->tasks)
        {
            if (it.phase == task_phase::running ||
                it.phase == task_phase::committed)
            {
                // A task that exceeded its estimate is expected to run for half
                // as long again.
                auto const ran = now - it.since;
                auto const run = std::max<base::duration>(
                    base::from_seconds(it.expected_run_s), ran + ran / 2);
                expected_ends.push_back({it.group, it.since + run, it.planned});
            }
        }
    }
    auto const groups = static_cast<std::size_t>(m_groups.size());
    for (auto step = s_first_step_s; step <= s_max_step_s; step *= 2)
    {
        auto const at = now + base::from_seconds(step);
        std::vector<model::resources> free(groups);
        for (std::size_t n = 0; n < groups; ++n)
        {
            free[n] = m_groups.digest_of(static_cast<std::int32_t>(n)).free;
        }
        for (auto const& it : expected_ends)
        {
            if (it.at <= at)
            {
                auto& group_free = free[static_cast<std::size_t>(it.group)];
                group_free = group_free + it.planned;
            }
        }
        struct offer
        {
            std::int64_t slots;
            std::int32_t group;
        };
        std::vector<offer> offers;
        std::int64_t total_slots = 0;
        for (std::size_t n = 0; n < groups; ++n)
        {
            std::int64_t slots = 0;
            while (slots < required_slots &&
                   (need * (slots + 1)).fits_in(free[n]))
            {
                slots += 1;
            }
            total_slots += slots;
            offers.push_back({slots, static_cast<std::int32_t>(n)});
        }
        if (total_slots < required_slots)
        {
            continue;
        }
        std::sort(offers.begin(), offers.end(),
                  [](auto const& a, auto const& b)
                  { return a.slots > b.slots; });
        m_reservation = reservation{job.id, now + s_reservation_duration};
        std::int64_t reserved_slots = 0;
        for (auto const& it : offers)
        {
            if (reserved_slots >= required_slots)
            {
                break;
            }
            reserved_slots += it.slots;
            m_groups.reserve(it.group, job.id, at, m_reservation->until);
            to.reservations.push_back(
                {m_groups.name_of(it.group), job.id, at, m_reservation->until});
        }
        return;
    }
}

void job_queue::mark_for_replan(std::shared_ptr<job_class> const& it)
{
    if (!it->replan)
    {
        it->replan = true;
        m_to_replan.push_back(it);
    }
}

void job_queue::replan(queue_actions& to)
{
    for (auto const& each : std::exchange(m_to_replan, {}))
    {
        each->replan = false;
        for (auto* const job : each->members)
        {
            replan_job(*job, to);
        }
    }
}

void job_queue::replan_job(job_record& job, queue_actions& to)
{
    auto const need =
        m_estimator.estimate_for(job.request, m_groups.largest_worker()).peak;
    auto& account = account_of(job);
    for (std::int32_t index = 0; index < job.request.tasks; ++index)
    {
        auto& it = job.tasks[static_cast<std::size_t>(index)];
        if (it.phase != task_phase::running || it.planned == need)
        {
            continue;
        }
        account.refund(it);
        if (!account.allows(need, 1))
        {
            // The new estimate exceeds what is left of the contract's quota.
            account.charge(it);
            continue;
        }
        it.planned = need;
        account.charge(it);
        to.resizes.push_back(
            {m_groups.name_of(it.group), {{job.id, index}, it.number}, need});
    }
}

void job_queue::drop_reservation(std::string const& job)
{
    if (m_reservation && m_reservation->job == job)
    {
        m_groups.unreserve(job);
        m_reservation.reset();
    }
}

} // namespace berylhill::placement
