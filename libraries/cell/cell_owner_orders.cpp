#include <cell/cell_owner.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

/// Timeouts of start and stop orders. Instances answer within milliseconds, and
/// an order without an answer is repeated, so a timeout only costs time.
constexpr base::duration start_timeout = std::chrono::milliseconds{400};
constexpr base::duration stop_timeout = std::chrono::milliseconds{600};

/// Added to the time that an instance may keep a hold request open.
constexpr base::duration hold_slack = std::chrono::milliseconds{400};

/// Hold requests per scheduling round: a small part of a cell with thousands of
/// instances, so that a new owner also answers the processes that watch it.
/// Between two rounds the event loop serves others for twice as long.
constexpr std::size_t max_holds_at_once = 100;

scheduler::stop_answer stop_answer_of(order_outcome it)
{
    switch (it)
    {
    case order_outcome::done:
        return scheduler::stop_answer::accepted;
    case order_outcome::refused:
        return scheduler::stop_answer::rejected;
    case order_outcome::fenced:
    case order_outcome::other_incarnation:
    case order_outcome::unanswered:
    case order_outcome::not_sent:
        break;
    }
    return scheduler::stop_answer::unanswered;
}

} // namespace

/// Sends the orders decided so far, unless the process may have been overtaken
/// during a pause.
void cell_owner::send_orders()
{
    note_turn();
    if (!m_resumed_at)
    {
        send_orders(m_decisions.take_orders());
    }
}

void cell_owner::send_orders(std::vector<scheduler::order> const& orders)
{
    for (auto const& it : orders)
    {
        std::visit([this](auto const& each) { send(each); }, it);
    }
}

order_target cell_owner::target(std::string const& id) const
{
    auto const& all = m_decisions.instances().all();
    auto const at = all.find(id);
    if (at == all.end())
    {
        return {};
    }
    return {network::address_or_empty(at->second->info().address), id, m_token};
}

void cell_owner::send(scheduler::start_order const& it)
{
    auto const now = m_parts.clock->now();
    if (!m_decisions.surely_owns(now))
    {
        // The process was paused after the decision.
        m_decisions.start_not_sent(it, now);
        return;
    }
    m_holds.wake(it.instance);
    m_parts.orders->start(
        target(it.instance), it, start_timeout,
        [this, alive = m_alive, id = it.instance, name = it.attempt,
         send = it.send](start_result const& result)
        {
            if (!*alive || m_lost)
            {
                return;
            }
            if (result.answer == scheduler::start_answer::fenced)
            {
                ownership_lost("start_fenced");
                return;
            }
            m_decisions.start_answered(
                {id, name, send, result.answer, result.clock_ms},
                m_parts.clock->now());
            schedule_round();
        });
}

void cell_owner::send(scheduler::stop_order const& it)
{
    m_parts.orders->stop(target(it.instance), it.attempt, stop_timeout,
                         [this, alive = m_alive, id = it.instance,
                          name = it.attempt](order_outcome end)
                         {
                             if (!*alive || m_lost)
                             {
                                 return;
                             }
                             if (end == order_outcome::fenced)
                             {
                                 ownership_lost("stop_fenced");
                                 return;
                             }
                             auto const now = m_parts.clock->now();
                             if (end == order_outcome::other_incarnation)
                             {
                                 m_decisions.instance_replaced(id, now);
                             }
                             m_decisions.stop_answered(
                                 id, name, stop_answer_of(end), now);
                             schedule_round();
                         });
}

void cell_owner::send(scheduler::advice_order const& it)
{
    m_parts.advice->ask(it,
                        [this, alive = m_alive, step = it.step,
                         asked = it.instances](advice_result const& result)
                        {
                            if (!*alive || m_lost)
                            {
                                return;
                            }
                            auto const now = m_parts.clock->now();
                            if (result.answered)
                            {
                                m_decisions.advice_answered(
                                    step, asked, result.allowed,
                                    result.validity, now);
                            }
                            else
                            {
                                m_decisions.advice_failed(step, asked, now);
                            }
                            schedule_round();
                        });
}

hold_list::standing cell_owner::hold_status_of(std::string const& id) const
{
    auto const& all = m_decisions.instances().all();
    auto const at = all.find(id);
    if (at == all.end())
    {
        return hold_list::standing::unknown;
    }
    if (!m_decisions.may_call(*at->second, m_parts.clock->now()))
    {
        return hold_list::standing::not_callable;
    }
    return at->second->attempts().empty() ? hold_list::standing::callable
                                          : hold_list::standing::holds_work;
}

void cell_owner::send_due_holds()
{
    note_turn();
    if (m_resumed_at)
    {
        return;
    }
    auto const due = m_holds.take_due(
        m_parts.clock->now(), m_batches_stored, max_holds_at_once,
        [this](auto const& it) { return hold_status_of(it); });
    for (auto const& id : due)
    {
        send_hold(id);
    }
    if (due.size() == max_holds_at_once)
    {
        schedule_round();
    }
}

void cell_owner::send_hold(std::string const& id)
{
    auto const now = m_parts.clock->now();
    auto const order = m_decisions.next_hold(id, now);
    m_parts.orders->hold(target(id), order, order.wait + hold_slack,
                         [this, alive = m_alive, order, now](hold_result it)
                         {
                             if (*alive && !m_lost)
                             {
                                 hold_answered(order, std::move(it), now);
                             }
                         });
}

/// The batch that has to be stored before the ends that the instance reported
/// can be acknowledged; 0 if they can be now.
std::uint64_t cell_owner::batch_with_ends(std::string const& id) const
{
    switch (m_decisions.ends_of(id))
    {
    case scheduler::reported_ends::stored:
        return 0;
    case scheduler::reported_ends::in_batch_in_flight:
        return m_batches_taken;
    case scheduler::reported_ends::in_next_batch:
        break;
    }
    return m_batches_taken + 1;
}

void cell_owner::hold_answered(scheduler::hold_order const& to,
                               hold_result it,
                               base::instant sent_at)
{
    auto const now = m_parts.clock->now();
    auto const& id = to.instance;
    switch (it.outcome)
    {
    case order_outcome::done:
        it.report.instance = id;
        it.report.sent_at = sent_at;
        it.report.read_at = now;
        it.report.acknowledged = to.seen_end;
        if (auto const life = m_decisions.hold_answered(it.report);
            life && *life != id)
        {
            m_holds.add(*life);
        }
        m_holds.reported(id, now,
                         it.report.ended.empty() ? 0 : batch_with_ends(id),
                         m_decisions.hold_interval(id));
        break;
    case order_outcome::fenced:
        ownership_lost("hold_fenced");
        return;
    case order_outcome::other_incarnation:
        m_decisions.instance_replaced(id, now);
        m_holds.failed(id, now);
        break;
    case order_outcome::refused:
    case order_outcome::unanswered:
        m_decisions.hold_unanswered(id, now);
        m_holds.failed(id, now);
        break;
    case order_outcome::not_sent:
        m_decisions.hold_not_sent(id, now);
        m_holds.reported(id, now, 0, {});
        break;
    }
    schedule_round();
}

} // namespace berylhill::cell
