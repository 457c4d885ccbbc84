#include <entry/minion_group_actor.hpp>

#include <base/log.hpp>
#include <entry/actor_guard.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

namespace berylhill::entry
{

namespace
{

constexpr auto s_tick = std::chrono::milliseconds{250};

std::string service_of(std::string const& unit)
{
    auto const first = unit.find('/');
    auto const last = unit.rfind('/');
    return unit.substr(first + 1, last - first - 1);
}

} // namespace

minion_group_actor::minion_group_actor(caf::actor_config& config,
                                       entry_node& self,
                                       std::string unit,
                                       std::int64_t epoch)
    : caf::event_based_actor{config}
    , m_node{self}
    , m_unit{std::move(unit)}
    , m_epoch{epoch}
    , m_ledger{m_unit, service_of(m_unit), calls::minion_pool_settings{},
               calls::generator{fresh_seed()}}
{
}

caf::behavior minion_group_actor::make_behavior()
{
    end_process_on_exception(*this);
    tick();
    return {
        [this](tick_atom) { tick(); },
        [this](expiry_atom) { expire(); },
        [this](unit_lost_atom)
        {
            stop();
            quit();
        },
        [this](call_offered const& it) { offer(it); },
        [this](work_left_asked const& it) { give_work_left(it); },
        [this](call_finished const& it) { finish(it); },
        [this](call_given_up const& it)
        {
            perform(m_ledger.give_up(it.request_id, m_node.clock.now()));
            plan_expiry();
        },
        [this](minion_probed const& it)
        { perform(m_ledger.probed(it.minion, it.there, m_node.clock.now())); },
    };
}

void minion_group_actor::tick()
{
    delayed_send(this, s_tick, tick_atom::value);
    auto const now = m_node.clock.now();
    take_list(now);
    perform(m_ledger.expire(now));
    publish(now);
    plan_expiry();
}

void minion_group_actor::publish(base::instant now)
{
    auto digest = m_ledger.digest(now);
    digest.owner = m_node.incarnation;
    digest.epoch = m_epoch;
    digest.sequence = ++m_sequence;
    m_node.digests.set(m_unit, std::move(digest));
}

void minion_group_actor::take_list(base::instant now)
{
    auto const view = m_node.view.get();
    std::set<std::string> listed;
    for (auto const& it : view->endpoints)
    {
        if (it.kind != model::endpoint_kind::minion || unit_of(it) != m_unit)
        {
            continue;
        }
        listed.insert(it.id);
        auto& known = m_minions[it.id];
        if (!(known == it))
        {
            known = it;
            perform(m_ledger.set_minion(it, now));
        }
    }
    std::vector<std::string> gone;
    for (auto const& it : m_minions)
    {
        if (!listed.contains(it.first))
        {
            gone.push_back(it.first);
        }
    }
    for (auto const& it : gone)
    {
        m_minions.erase(it);
        perform(m_ledger.remove_minion(it, now));
    }
}

void minion_group_actor::offer(call_offered const& it)
{
    auto const now = m_node.clock.now();
    if (m_node.owned.may_act(m_unit, now) != m_epoch)
    {
        it.answer.set(base::failure{base::failure_code::superseded,
                                    m_unit + " is not owned here", 0});
        return;
    }
    m_waiting.insert_or_assign(it.call.request_id, it.answer);
    perform(m_ledger.offer(it.call, now));
    plan_expiry();
}

void minion_group_actor::finish(call_finished const& it)
{
    auto const now = m_node.clock.now();
    if (!it.end)
    {
        perform(m_ledger.not_run(it.request_id, now));
    }
    else if (*it.end == calls::call_end::timed_out)
    {
        perform(m_ledger.connection_closed(it.request_id, now));
    }
    else
    {
        perform(m_ledger.answered(it.request_id, *it.end, now));
    }
    publish(now);
    plan_expiry();
}

void minion_group_actor::give_work_left(work_left_asked const& it)
{
    auto const* const slots = m_ledger.find(it.endpoint);
    it.answer.set(std::int64_t{slots == nullptr ? 0 : slots->busy()});
}

void minion_group_actor::expire()
{
    m_expiry = base::instant::max();
    perform(m_ledger.expire(m_node.clock.now()));
    plan_expiry();
}

void minion_group_actor::plan_expiry()
{
    auto const now = m_node.clock.now();
    auto const next = m_ledger.next_expiry(now);
    if (m_ledger.queued() == 0 || next >= m_expiry)
    {
        return;
    }
    m_expiry = next;
    delayed_send(this, std::max(next - now, base::duration{1'000}),
                 expiry_atom::value);
}

/// What waits is refused as not run, so that its entries offer it to the next
/// owner; what minions have already goes on.
void minion_group_actor::stop()
{
    perform(m_ledger.stop());
}

void minion_group_actor::perform(calls::minion_pool_actions const& todo)
{
    for (auto const& it : todo)
    {
        std::visit([this](auto const& action) { perform(action); }, it);
    }
}

void minion_group_actor::perform(calls::send_to_minion const& it)
{
    auto const waiting = m_waiting.find(it.request_id);
    auto const minion = m_minions.find(it.minion);
    auto const wanted = waiting != m_waiting.end() && minion != m_minions.end();
    if (wanted && waiting->second.set(
                      call_step{call_granted{minion->second, it.timeout}}))
    {
        return;
    }
    // Whoever waited has given up, so the call is not sent.
    auto const self = caf::actor_cast<caf::actor>(this);
    caf::anon_send(self, call_finished{it.request_id, std::nullopt});
}

void minion_group_actor::perform(calls::call_queued const& it)
{
    static_cast<void>(it);
}

void minion_group_actor::perform(calls::refuse_call const& it)
{
    auto const waiting = m_waiting.find(it.request_id);
    if (waiting != m_waiting.end())
    {
        waiting->second.set(call_step{it.why});
        m_waiting.erase(waiting);
    }
}

void minion_group_actor::perform(calls::deliver_answer const& it)
{
    // The thread that waits has the answer itself.
    m_waiting.erase(it.request_id);
}

void minion_group_actor::perform(calls::drop_answer const& it)
{
    m_waiting.erase(it.request_id);
    m_node.metrics
        .counter("berylhill_late_answers_total",
                 "Answers to calls that had been given up on.")
        .add();
}

void minion_group_actor::perform(calls::probe_minion const& it)
{
    auto const found = m_minions.find(it.minion);
    if (found == m_minions.end())
    {
        return;
    }
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.peer_io.post(
        [this_node = &m_node, self, minion = found->second]
        {
            auto const timeout =
                base::from_seconds(this_node->settings.minions.timeout_s);
            auto const there = base::capture(
                [&] { return this_node->minions.ping(minion, timeout); });
            caf::anon_send(self, minion_probed{minion.id, there.has_value()});
        });
}

} // namespace berylhill::entry
