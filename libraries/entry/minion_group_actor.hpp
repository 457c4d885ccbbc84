#pragma once

#include <calls/minion_pool.hpp>
#include <entry/messages.hpp>

#include <caf/event_based_actor.hpp>

#include <map>
#include <string>

namespace berylhill::entry
{

struct entry_node;

/// Owns a handful of minions under one epoch: counts their slots and
/// connections, queues calls and grants them to minions.
class minion_group_actor : public caf::event_based_actor
{
public:
    minion_group_actor(caf::actor_config& config,
                       entry_node& self,
                       std::string unit,
                       std::int64_t epoch);

    caf::behavior make_behavior() override;

private:
    using expiry_atom = caf::atom_constant<caf::atom("expire")>;

    void tick();
    void take_list(base::instant now);
    void publish(base::instant now);
    void offer(call_offered const& it);
    void finish(call_finished const& it);
    void give_work_left(work_left_asked const& it);
    void expire();
    void plan_expiry();
    void stop();

    void perform(calls::minion_pool_actions const& todo);
    void perform(calls::send_to_minion const& it);
    void perform(calls::call_queued const& it);
    void perform(calls::refuse_call const& it);
    void perform(calls::deliver_answer const& it);
    void perform(calls::drop_answer const& it);
    void perform(calls::probe_minion const& it);

    entry_node& m_node;
    std::string m_unit;
    std::int64_t m_epoch;
    std::int64_t m_sequence{0};
    calls::minion_pool m_ledger;
    std::map<std::string, model::endpoint> m_minions;
    std::map<std::string, reply_promise<call_step>> m_waiting;
    base::instant m_expiry{base::instant::max()};
};

} // namespace berylhill::entry
