#include <entry/worker_group_actor.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

/// A hold that nobody commits or releases is given back after this.
constexpr base::duration s_hold_limit = std::chrono::seconds{5};
constexpr double s_retry_s = 0.5;

bool is_of(std::string const& shard, model::attempt_id const& it)
{
    auto const n = shard_of_job(it.task.job);
    return n.has_value() && jobs_unit(*n) == shard;
}

} // namespace

/// Guards against a task in two places after a shard has changed hands: what
/// its former owner ordered may arrive late. An epoch below the highest that
/// this owner has seen, in a message or in the log, gets nothing started.
std::optional<base::failure>
worker_group_actor::refusal_of(std::string const& shard, std::int64_t epoch)
{
    if (!acting())
    {
        return base::failure{failure_code::superseded,
                             m_unit + " is not owned here", s_retry_s};
    }
    if (!m_barrier || !m_barrier->is_open(m_node.clock.now()))
    {
        return base::failure{failure_code::unavailable,
                             m_unit + " is still learning what runs",
                             s_retry_s};
    }
    auto& highest = m_shard_epochs[shard];
    highest = std::max({highest, m_node.owned.epoch_of(shard), epoch});
    if (epoch < highest)
    {
        return base::failure{failure_code::superseded,
                             shard + " has a newer owner", 0};
    }
    return std::nullopt;
}

/// Guards against a task in two places when a message arrives after its sender
/// has given it up: the sender takes the answer to a later message as an answer
/// to all earlier ones.
void worker_group_actor::take_orders(group_orders_asked const& it)
{
    if (auto why = refusal_of(it.orders.shard, it.orders.shard_epoch))
    {
        it.answer.set(*why);
        return;
    }
    auto const& orders = it.orders;
    if (!m_gate.admit(orders.shard, orders.shard_epoch, orders.number))
    {
        it.answer.set(base::failure{
            failure_code::superseded,
            "a later message of " + orders.shard + " has arrived", 0});
        return;
    }
    auto const now = m_node.clock.now();
    for (auto const& attempt : it.orders.releases)
    {
        take_release(attempt, now);
    }
    for (auto const& span : it.orders.reservations)
    {
        m_ledger.reserve(span.job, now + span.frees_in, now + span.lasts, now);
    }
    group_answers out;
    out.epoch = m_epoch;
    for (auto const& order : it.orders.holds)
    {
        out.answers.push_back(take_hold(order, now));
    }
    for (auto const& attempt : it.orders.commits)
    {
        out.answers.push_back(take_commit(attempt, now));
    }
    out.digest = m_ledger.digest();
    it.answer.set(std::move(out));
    exchange_due(now);
    publish();
}

/// Whether the attempt has run here to an end, of which its shard may have
/// taken note already while an order for it was under way.
bool worker_group_actor::is_over(model::attempt_id const& it) const
{
    auto const shard = shard_of_job(it.task.job);
    return m_ends.contains(it) ||
           (shard && m_gate.has_ended(jobs_unit(*shard), it));
}

order_answer worker_group_actor::take_hold(placement::hold_order const& it,
                                           base::instant now)
{
    auto const& attempt = it.request.attempt;
    auto const known = m_attempts.find(attempt);
    if (known != m_attempts.end())
    {
        // The same order again, because its answer was lost.
        if (known->second.at == phase::started)
        {
            return {attempt, order_state::started, {}};
        }
        return it.mode == placement::hold_mode::start
                   ? take_commit(attempt, now)
                   : order_answer{attempt, order_state::held, {}};
    }
    if (is_over(attempt))
    {
        return {attempt, order_state::started, {}};
    }
    auto const result = m_ledger.hold(it.request, now + s_hold_limit, now);
    perform(result.actions, now);
    if (result.answer.state != placement::hold_state::held)
    {
        return {attempt, order_state::refused, result.answer.state};
    }
    m_attempts[attempt] = {result.answer.worker, it.request.need, phase::held};
    if (it.mode == placement::hold_mode::hold)
    {
        return {attempt, order_state::held, {}};
    }
    return take_commit(attempt, now);
}

order_answer worker_group_actor::take_commit(model::attempt_id const& it,
                                             base::instant now)
{
    auto const known = m_attempts.find(it);
    if (known != m_attempts.end() && known->second.at == phase::started)
    {
        return {it, order_state::started, {}};
    }
    if (is_over(it))
    {
        return {it, order_state::started, {}};
    }
    auto order = m_ledger.commit(it, now);
    if (!order)
    {
        m_attempts.erase(it);
        return {it, order_state::refused, placement::hold_state::full};
    }
    auto const worker = m_workers.find(order->worker);
    if (worker == m_workers.end())
    {
        m_ledger.on_finished(it, model::task_end::lapsed, now);
        m_attempts.erase(it);
        return {it, order_state::refused, placement::hold_state::full};
    }
    worker->second.outbox.start(std::move(order->start));
    m_attempts[it].at = phase::started;
    return {it, order_state::started, {}};
}

void worker_group_actor::take_release(model::attempt_id const& it,
                                      base::instant now)
{
    auto const known = m_attempts.find(it);
    if (known == m_attempts.end())
    {
        return;
    }
    perform(m_ledger.release(it, now), now);
    if (known->second.at == phase::held)
    {
        m_attempts.erase(known);
    }
}

void worker_group_actor::give_inventory(inventory_asked const& it)
{
    if (auto why = refusal_of(it.shard, it.shard_epoch))
    {
        it.answer.set(*why);
        return;
    }
    release_holds_of(it.shard, m_node.clock.now());
    group_inventory out;
    out.epoch = m_epoch;
    out.digest = m_ledger.digest();
    for (auto const& counted : m_attempts)
    {
        if (is_of(it.shard, counted.first))
        {
            out.attempts.push_back(
                {counted.first, counted.second.worker, counted.second.planned});
        }
    }
    // An end that is not in the log yet counts as running: the shard must not
    // start the task again before it has heard how it ended.
    for (auto const& end : m_ends)
    {
        if (is_of(it.shard, end.first))
        {
            out.attempts.push_back({end.first, end.second.end.worker, {}});
        }
    }
    it.answer.set(std::move(out));
}

void worker_group_actor::release_holds_of(std::string const& shard,
                                          base::instant now)
{
    std::vector<model::attempt_id> held;
    for (auto const& it : m_attempts)
    {
        if (it.second.at == phase::held && is_of(shard, it.first))
        {
            held.push_back(it.first);
        }
    }
    for (auto const& it : held)
    {
        take_release(it, now);
    }
}

} // namespace berylhill::entry
