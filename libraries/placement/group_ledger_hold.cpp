#include <placement/group_ledger.hpp>

#include <algorithm>
#include <cassert>

namespace berylhill::placement
{

namespace
{

constexpr base::duration s_claim_duration{10'000'000};

model::resources not_negative(model::resources const& it)
{
    return model::largest_of(it, {});
}

} // namespace

bool group_ledger::accepts_tasks(worker_state const& it)
{
    return it.listed.state == model::listed_state::live && !it.unresponsive &&
           it.health_state.accepts_tasks();
}

model::resources group_ledger::free_for(worker_state const& it,
                                        model::attempt_id const& attempt)
{
    auto left = it.listed.capacity - it.charged;
    if (it.claimed && it.claimed->attempt.task != attempt.task)
    {
        left = left - it.claimed->need;
    }
    return not_negative(left);
}

bool group_ledger::reserved_for_other(hold_request const& request,
                                      base::instant now) const
{
    if (!m_reservation || m_reservation->job == request.attempt.task.job ||
        request.urgent == model::urgency::urgent)
    {
        return false;
    }
    auto const ends = now + base::from_seconds(request.expected_run_s);
    return request.expected_run_s <= 0 || ends > m_reservation->frees_at;
}

candidate group_ledger::candidate_of(worker_state const& it,
                                     hold_request const& request) const
{
    candidate option;
    option.total = it.listed.capacity;
    option.free = free_for(it, request.attempt);
    option.failed_here = std::find(request.avoid.begin(), request.avoid.end(),
                                   it.listed.id) != request.avoid.end();
    if (request.kind == model::job_kind::service)
    {
        option.same_here = static_cast<std::int32_t>(std::count_if(
            it.tasks.begin(), it.tasks.end(),
            [&](auto const& attempt)
            { return attempt.task.job == request.attempt.task.job; }));
    }
    return option;
}

group_ledger::worker_state*
group_ledger::best_worker(hold_request const& request)
{
    // Within a group, gangs are packed like batch tasks.
    auto const kind = request.kind == model::job_kind::gang
                          ? model::job_kind::batch
                          : request.kind;
    auto const& order = policy_for(kind, model::preference::packing);
    worker_state* best = nullptr;
    rank best_rank;
    for (auto& [id, it] : m_workers)
    {
        if (!accepts_tasks(it))
        {
            continue;
        }
        auto const option = candidate_of(it, request);
        if (!request.need.fits_in(option.free))
        {
            continue;
        }
        auto const at = order.rank_of(option, request.need);
        if (best == nullptr || at < best_rank)
        {
            best = &it;
            best_rank = at;
        }
    }
    return best;
}

bool group_ledger::fits_empty_worker(model::resources const& need) const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](auto const& it)
                       { return need.fits_in(it.second.listed.capacity); });
}

hold_result group_ledger::hold(hold_request const& request,
                               base::instant expires_at,
                               base::instant now)
{
    advance_time(now);
    auto const known = m_tasks.find(request.attempt);
    if (known != m_tasks.end())
    {
        return {{hold_state::repeated, known->second.worker}, {}};
    }
    if (!fits_empty_worker(request.need))
    {
        return {{hold_state::never_fits, {}}, {}};
    }
    if (reserved_for_other(request, now))
    {
        return {{hold_state::reserved, {}}, {}};
    }
    auto* const host = best_worker(request);
    if (host == nullptr)
    {
        return request.may_preempt ? preempt_for(request, now)
                                   : hold_result{{hold_state::full, {}}, {}};
    }
    if (host->claimed && host->claimed->attempt.task == request.attempt.task)
    {
        host->claimed.reset();
    }
    task_state held;
    held.request = request;
    held.expires_at = expires_at;
    held.since = now;
    place(*host, std::move(held));
    host->health_state.on_attempt_placed();
    assert(host->charged.fits_in(host->listed.capacity));
    return {{hold_state::held, host->listed.id}, {}};
}

void group_ledger::resize(model::attempt_id const& attempt,
                          model::resources const& need)
{
    auto const found = m_tasks.find(attempt);
    if (found == m_tasks.end())
    {
        return;
    }
    auto& it = found->second;
    auto& host = m_workers.at(it.worker);
    auto const others = host.charged - it.charge();
    auto const free_capacity = not_negative(host.listed.capacity - others);
    auto const before = it.request.need;
    // The attempt keeps what it already has, even on an overcommitted worker.
    it.request.need = {
        std::min(need.millicores,
                 std::max(free_capacity.millicores, before.millicores)),
        std::min(need.memory_mb,
                 std::max(free_capacity.memory_mb, before.memory_mb)),
        before.accelerators};
    host.charged = others + it.charge();
}

std::vector<model::attempt_id>
group_ledger::victims_on(worker_state const& it,
                         hold_request const& request) const
{
    std::vector<task_state const*> preemptible;
    for (auto const& attempt : it.tasks)
    {
        auto const& placed = m_tasks.at(attempt);
        if (placed.request.preempted == model::preemption::by_checkpoint &&
            placed.request.urgent == model::urgency::normal &&
            placed.request.kind != model::job_kind::gang &&
            placed.phase == allocation_phase::running && !placed.checkpointing)
        {
            preemptible.push_back(&placed);
        }
    }
    // The youngest tasks lose the least progress.
    std::sort(preemptible.begin(), preemptible.end(),
              [](auto const* a, auto const* b) { return a->since > b->since; });
    auto free_capacity = free_for(it, request.attempt);
    std::vector<model::attempt_id> victims;
    for (auto const* placed : preemptible)
    {
        if (request.need.fits_in(free_capacity))
        {
            break;
        }
        free_capacity = free_capacity + placed->charge();
        victims.push_back(placed->request.attempt);
    }
    return request.need.fits_in(free_capacity)
               ? victims
               : std::vector<model::attempt_id>{};
}

hold_result group_ledger::preempt_for(hold_request const& request,
                                      base::instant now)
{
    worker_state* best = nullptr;
    std::vector<model::attempt_id> best_victims;
    for (auto& [id, it] : m_workers)
    {
        if (it.claimed && it.claimed->attempt.task == request.attempt.task)
        {
            return {{hold_state::preempting, {}}, {}};
        }
        if (!accepts_tasks(it) || it.claimed)
        {
            continue;
        }
        auto victims = victims_on(it, request);
        if (!victims.empty() &&
            (best == nullptr || victims.size() < best_victims.size()))
        {
            best = &it;
            best_victims = std::move(victims);
        }
    }
    if (best == nullptr)
    {
        return {{hold_state::full, {}}, {}};
    }
    best->claimed =
        claim{request.attempt, request.need, now + s_claim_duration};
    hold_result result{{hold_state::preempting, {}}, {}};
    for (auto const& it : best_victims)
    {
        m_tasks.at(it).checkpointing = true;
        result.actions.push_back(
            {ledger_action_kind::checkpoint, best->listed.id, it, 1});
    }
    return result;
}

} // namespace berylhill::placement
