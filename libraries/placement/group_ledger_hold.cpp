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

bool group_ledger::takes_new(worker_state const& it)
{
    return it.listed.state == model::listed_state::live && !it.unresponsive &&
           it.condition.takes_new();
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
    candidate seen;
    seen.total = it.listed.capacity;
    seen.free = free_for(it, request.attempt);
    seen.failed_here = std::find(request.avoid.begin(), request.avoid.end(),
                                 it.listed.id) != request.avoid.end();
    if (request.kind == model::job_kind::service)
    {
        seen.same_here = static_cast<std::int32_t>(std::count_if(
            it.tasks.begin(), it.tasks.end(),
            [&](auto const& attempt)
            { return attempt.task.job == request.attempt.task.job; }));
    }
    return seen;
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
        if (!takes_new(it))
        {
            continue;
        }
        auto const seen = candidate_of(it, request);
        if (!request.need.fits_in(seen.free))
        {
            continue;
        }
        auto const at = order.rank_of(seen, request.need);
        if (best == nullptr || at < best_rank)
        {
            best = &it;
            best_rank = at;
        }
    }
    return best;
}

bool group_ledger::could_fit(model::resources const& need) const
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
    if (!could_fit(request.need))
    {
        return {{hold_state::never_fits, {}}, {}};
    }
    if (reserved_for_other(request, now))
    {
        return {{hold_state::reserved, {}}, {}};
    }
    auto* const on = best_worker(request);
    if (on == nullptr)
    {
        return request.may_preempt ? preempt_for(request, now)
                                   : hold_result{{hold_state::full, {}}, {}};
    }
    if (on->claimed && on->claimed->attempt.task == request.attempt.task)
    {
        on->claimed.reset();
    }
    task_state held;
    held.request = request;
    held.expires_at = expires_at;
    held.since = now;
    place(*on, std::move(held));
    on->condition.attempt_given();
    assert(on->charged.fits_in(on->listed.capacity));
    return {{hold_state::held, on->listed.id}, {}};
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
    auto& on = m_workers.at(it.worker);
    auto const others = on.charged - it.charge();
    auto const room = not_negative(on.listed.capacity - others);
    auto const before = it.request.need;
    // The attempt keeps what it already has, even on an overcommitted worker.
    it.request.need = {
        std::min(need.millicores, std::max(room.millicores, before.millicores)),
        std::min(need.memory_mb, std::max(room.memory_mb, before.memory_mb)),
        before.accelerators};
    on.charged = others + it.charge();
}

std::vector<model::attempt_id>
group_ledger::victims_on(worker_state const& it,
                         hold_request const& request) const
{
    std::vector<task_state const*> movable;
    for (auto const& attempt : it.tasks)
    {
        auto const& placed = m_tasks.at(attempt);
        if (placed.request.preempted == model::preemption::by_checkpoint &&
            placed.request.urgent == model::urgency::normal &&
            placed.request.kind != model::job_kind::gang &&
            placed.at == phase::running && !placed.checkpointing)
        {
            movable.push_back(&placed);
        }
    }
    // The youngest tasks lose the least progress.
    std::sort(movable.begin(), movable.end(),
              [](auto const* a, auto const* b) { return a->since > b->since; });
    auto room = free_for(it, request.attempt);
    std::vector<model::attempt_id> victims;
    for (auto const* placed : movable)
    {
        if (request.need.fits_in(room))
        {
            break;
        }
        room = room + placed->charge();
        victims.push_back(placed->request.attempt);
    }
    return request.need.fits_in(room) ? victims
                                      : std::vector<model::attempt_id>{};
}

hold_result group_ledger::preempt_for(hold_request const& request,
                                      base::instant now)
{
    worker_state* best = nullptr;
    std::vector<model::attempt_id> fewest;
    for (auto& [id, it] : m_workers)
    {
        if (it.claimed && it.claimed->attempt.task == request.attempt.task)
        {
            return {{hold_state::preempting, {}}, {}};
        }
        if (!takes_new(it) || it.claimed)
        {
            continue;
        }
        auto victims = victims_on(it, request);
        if (!victims.empty() &&
            (best == nullptr || victims.size() < fewest.size()))
        {
            best = &it;
            fewest = std::move(victims);
        }
    }
    if (best == nullptr)
    {
        return {{hold_state::full, {}}, {}};
    }
    best->claimed =
        claim{request.attempt, request.need, now + s_claim_duration};
    hold_result result{{hold_state::preempting, {}}, {}};
    for (auto const& it : fewest)
    {
        m_tasks.at(it).checkpointing = true;
        result.actions.push_back(
            {ledger_action_kind::checkpoint, best->listed.id, it, 1});
    }
    return result;
}

} // namespace berylhill::placement
