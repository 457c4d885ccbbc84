#include <entry/job_shard_actor.hpp>

#include <base/log.hpp>
#include <entry/actor_guard.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>
#include <entry/unit_client.hpp>
#include <model/json.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr auto s_tick = std::chrono::milliseconds{20};
constexpr auto s_idle_tick = std::chrono::milliseconds{100};
constexpr base::duration s_order_limit = std::chrono::seconds{2};
constexpr base::duration s_order_pause = std::chrono::milliseconds{100};
constexpr base::duration s_write_again = std::chrono::milliseconds{300};
constexpr std::int32_t s_most_decisions = 200;

bool contains_order(placement::queue_actions const& it,
                    model::attempt_id const& attempt)
{
    return std::any_of(it.holds.begin(), it.holds.end(),
                       [&](auto const& order)
                       { return order.request.attempt == attempt; });
}

} // namespace

job_shard_actor::job_shard_actor(caf::actor_config& config,
                                 entry_node& self,
                                 std::string unit,
                                 std::int64_t epoch)
    : caf::event_based_actor{config}
    , m_node{self}
    , m_unit{std::move(unit)}
    , m_stream{jobs::stream_of(self.settings.side, shard_of_unit(m_unit))}
    , m_epoch{epoch}
{
}

job_shard_actor::~job_shard_actor()
{
    m_stop_reading->store(true);
}

caf::behavior job_shard_actor::make_behavior()
{
    end_process_on_exception(*this);
    start_reading();
    tick();
    return {
        [this](tick_atom) { tick(); },
        [this](unit_lost_atom)
        {
            m_stop_reading->store(true);
            quit();
        },
        [this](open_atom) { open(); },
        [this](shard_page const& it) { take_page(*it.page); },
        [this](shard_append_ended const& it) { append_ended(it); },
        [this](inventory_answered const& it) { take_inventory(it); },
        [this](orders_answered const& it) { take_answers(it); },
        [this](ends_reported const& it) { take_ends(it); },
        [this](job_submitted const& it) { submit(it); },
        [this](job_shown const& it) { show(it); },
        [this](job_cancelled const& it) { cancel(it); },
        [this](jobs_listed const& it) { list(it); },
    };
}

bool job_shard_actor::acting() const
{
    return m_node.owned.may_act(m_unit, m_node.clock.now()) == m_epoch;
}

base::failure job_shard_actor::not_ready() const
{
    if (!acting())
    {
        return {base::failure_code::superseded, m_unit + " is not owned here",
                0};
    }
    return {base::failure_code::unavailable,
            m_unit + " is still reading its jobs", 0.5};
}

void job_shard_actor::tick()
{
    auto const busy = m_queue != nullptr && m_queue->job_count() > 0;
    delayed_send(this, busy ? s_tick : s_idle_tick, tick_atom::value);
    auto const now = m_node.clock.now();
    wake_waiters(now);
    if (m_queue == nullptr)
    {
        return;
    }
    take_contracts();
    take_digests(now);
    if (m_phase == phase::collecting)
    {
        ask_inventories();
    }
    decide(now);
    flush();
    keep_records(now);
    if (now >= m_write_again_at)
    {
        m_write_again_at = now + s_write_again;
        for (auto const& it : std::exchange(m_unwritten, {}))
        {
            end_job(it);
        }
    }
}

void job_shard_actor::take_contracts()
{
    auto const contracts = m_node.configuration.contracts();
    if (m_contracts_seen == contracts)
    {
        return;
    }
    m_contracts_seen = contracts;
    for (auto const& it : *contracts)
    {
        m_queue->set_contract(it.second.contract);
    }
}

void job_shard_actor::take_digests(base::instant now)
{
    auto const view = m_node.view.get();
    for (auto const& it : view->worker_groups)
    {
        auto const& group = it.second;
        auto const known = m_group_epochs.find(it.first);
        if (known == m_group_epochs.end() || group.epoch > known->second)
        {
            // A new owner of the rack: what the former one took and did not
            // start is nowhere any more.
            m_group_epochs[it.first] = group.epoch;
            if (m_phase == phase::complete)
            {
                ask_inventory(it.first);
            }
        }
        if (group.epoch >= m_group_epochs[it.first])
        {
            m_queue->update_group(group.digest, now);
        }
    }
}

void job_shard_actor::decide(base::instant now)
{
    auto const due =
        m_queue->waiting_tasks() > 0 || now >= m_queue->next_wakeup();
    if (due && acting())
    {
        run(m_queue->decide(now, s_most_decisions));
    }
}

void job_shard_actor::run(placement::queue_actions const& todo)
{
    for (auto const& it : todo.holds)
    {
        send_hold(it);
    }
    for (auto const& it : todo.commits)
    {
        m_outboxes[it.group].waiting.commits.push_back(it.attempt);
    }
    for (auto const& it : todo.releases)
    {
        m_outboxes[it.group].waiting.releases.push_back(it.attempt);
    }
    auto const now = m_node.clock.now();
    for (auto const& it : todo.reservations)
    {
        m_outboxes[it.group].waiting.reservations.push_back(
            {it.job, it.frees_at - now, it.until - now});
    }
    // NOTE: New plans of running tasks are not carried. A worker was told the
    // old plan with the start; room that a smaller one frees would be filled
    // beyond what the worker holds by all that it was told.
    for (auto const& it : todo.outcomes)
    {
        end_job(it);
    }
}

/// An attempt that must not run twice is in the log before it can be started,
/// so that whoever owns the shard next knows that it may have run.
void job_shard_actor::send_hold(placement::hold_order const& it)
{
    auto const& attempt = it.request.attempt;
    auto const send = [this, it]
    {
        m_placed.ordered(it.request.attempt, it.group);
        m_outboxes[it.group].waiting.holds.push_back(it);
    };
    if (it.request.safety == model::rerun::idempotent ||
        m_placed.contains(attempt))
    {
        send();
        return;
    }
    append(jobs::start_intent{attempt, it.group, epoch_of_group(it.group)},
           [this, attempt, send](base::outcome<stream::position> const& ended)
           {
               if (ended)
               {
                   send();
                   return;
               }
               run(m_queue->on_refused(attempt, placement::hold_state::full,
                                       m_node.clock.now()));
           });
}

std::int64_t job_shard_actor::epoch_of_group(std::string const& group) const
{
    auto const it = m_group_epochs.find(group);
    return it == m_group_epochs.end() ? -1 : it->second;
}

void job_shard_actor::end_job(placement::job_outcome const& it)
{
    jobs::job_ended const record{it.job, it.state, it.detail,
                                 m_node.clock.wall_us()};
    append(record,
           [this, it](base::outcome<stream::position> const& ended)
           {
               if (!ended)
               {
                   // Callers learn of the end only once its record is stored,
                   // so the append is retried until then.
                   m_unwritten.push_back(it);
                   return;
               }
               base::log(base::log_level::info, "job_ended",
                         {{"job", it.job},
                          {"state", model::name_of(it.state)},
                          {"detail", it.detail}});
               wake_waiters(m_node.clock.now());
           });
}

void job_shard_actor::flush()
{
    for (auto& it : m_outboxes)
    {
        flush(it.first, it.second);
    }
}

void job_shard_actor::flush(std::string const& group, group_outbox& outbox)
{
    auto const now = m_node.clock.now();
    if (outbox.empty() || outbox.under_way || now < outbox.not_before ||
        !acting())
    {
        return;
    }
    outbox.under_way = true;
    auto orders = std::make_shared<group_orders>(
        std::exchange(outbox.waiting, group_orders{}));
    orders->unit = group;
    orders->shard = m_unit;
    orders->shard_epoch = m_epoch;
    orders->number = ++outbox.last_number;
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.peer_io.post(
        [this_node = &m_node, self, unit = m_unit, epoch = m_epoch,
         orders = std::shared_ptr<group_orders const>{orders}]
        {
            auto const answer = base::capture(
                [&]() -> base::result<group_answers>
                {
                    if (this_node->owned.may_act(
                            unit, this_node->clock.now()) != epoch)
                    {
                        return base::fail(base::failure_code::unavailable,
                                          "the right to act has lapsed");
                    }
                    BOOST_LEAF_AUTO(value,
                                    call_unit(*this_node, orders->unit,
                                              "workers.orders",
                                              to_json(*orders), s_order_limit));
                    return group_answers_from(value);
                });
            caf::anon_send(self, orders_answered{orders, answer});
        });
}

void job_shard_actor::take_answers(orders_answered const& it)
{
    auto& outbox = m_outboxes[it.orders->unit];
    outbox.under_way = false;
    auto const now = m_node.clock.now();
    if (!it.answer)
    {
        outbox.not_before = now + s_order_pause;
        take_no_answer(*it.orders, it.answer.error());
        return;
    }
    auto const& answers = it.answer.value();
    auto const& group = it.orders->unit;
    for (auto const& one : answers.answers)
    {
        m_placed.answered(one.attempt, answers.epoch);
        switch (one.state)
        {
        case order_state::held:
            run(m_queue->on_held(one.attempt, group, now));
            break;
        case order_state::started:
            m_started_at_us.try_emplace(one.attempt.task.job,
                                        m_node.clock.wall_us());
            run(m_queue->on_started(one.attempt, group, now));
            break;
        case order_state::refused:
            m_placed.ended(one.attempt);
            run(m_queue->on_refused(one.attempt, one.why, now));
            finish_if_done(one.attempt.task);
            break;
        }
    }
    m_queue->update_group(answers.digest, now);
    flush();
}

/// Whether the platform lists a worker of the group; true while it lists
/// nothing at all, which is a list that has not been read yet.
bool job_shard_actor::has_workers(std::string const& group) const
{
    auto const view = m_node.view.get();
    return view->endpoints.empty() ||
           std::any_of(view->endpoints.begin(), view->endpoints.end(),
                       [&](auto const& it) {
                           return it.kind == model::endpoint_kind::worker &&
                                  unit_of(it) == group;
                       });
}

/// A send that failed for certain says nothing of an earlier send of the same
/// order, which may arrive late: the attempt stays with its group until the
/// group's owner has answered.
void job_shard_actor::take_no_answer(group_orders const& orders,
                                     base::failure const& why)
{
    base::log(base::log_level::warning, "orders_unanswered",
              {{"group", orders.unit}, {"cause", why.message}});
    auto const now = m_node.clock.now();
    auto const surely_not_taken = why.code == base::failure_code::unavailable ||
                                  why.code == base::failure_code::superseded;
    // The platform has dropped all workers of the group: nothing runs there.
    auto const gone = surely_not_taken && !has_workers(orders.unit);
    for (auto const& it : orders.holds)
    {
        auto const& attempt = it.request.attempt;
        if (!surely_not_taken)
        {
            run(m_queue->on_unanswered(attempt));
            continue;
        }
        auto const next =
            gone
                ? m_queue->on_refused(attempt, placement::hold_state::full, now)
                : m_queue->on_not_taken(attempt, now);
        if (!contains_order(next, attempt))
        {
            m_placed.ended(attempt);
        }
        run(next);
        finish_if_done(attempt.task);
    }
    for (auto const& it : orders.commits)
    {
        run(m_queue->on_unanswered(it));
    }
    auto& waiting = m_outboxes[orders.unit].waiting;
    waiting.releases.insert(waiting.releases.end(), orders.releases.begin(),
                            orders.releases.end());
    if (surely_not_taken)
    {
        m_queue->remove_group(orders.unit);
    }
}

} // namespace berylhill::entry
