#include <entry/peer_api.hpp>

#include <entry/call_front.hpp>
#include <entry/codec.hpp>
#include <entry/entry_node.hpp>
#include <entry/membership_actor.hpp>
#include <entry/messages.hpp>
#include <entry/minion_call.hpp>
#include <model/json.hpp>
#include <telemetry/span.hpp>

#include <caf/all.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

/// Longer than any actor takes; its end means that the actor is stuck.
constexpr base::duration s_answer_limit = std::chrono::seconds{5};
constexpr base::duration s_longest_poll = std::chrono::seconds{30};

/// Sends the message that `make` builds around a promise to the unit's actor
/// and waits for the answer. `reached` says what the message may have begun
/// where the actor ends without an answer.
template <class Answer, class Make>
base::result<Answer> ask_unit(entry_node& self,
                              std::string const& unit,
                              base::duration limit,
                              Make const& make,
                              effect reached = effect::with_answer)
{
    auto const actor = self.units.find(unit);
    if (!actor)
    {
        return base::fail(failure_code::superseded,
                          unit + " is not owned here");
    }
    auto const slot = std::make_shared<reply<Answer>>();
    caf::anon_send(*actor, make(reply_promise<Answer>{
                               slot, failure_when_gone(unit, reached)}));
    auto const answer = slot->wait(limit);
    if (!answer)
    {
        return base::fail(failure_code::outcome_unknown,
                          unit + " did not answer in time", 1);
    }
    return answer->as_result();
}

std::string unit_in(Json::Value const& it)
{
    return it["unit"].asString();
}

base::result<Json::Value> work_left(entry_node& self, Json::Value const& it)
{
    auto const endpoint = it["id"].asString();
    BOOST_LEAF_AUTO(left, ask_unit<std::int64_t>(
                              self, unit_in(it), s_answer_limit,
                              [&](auto promise) {
                                  return work_left_asked{endpoint, promise};
                              }));
    Json::Value out{Json::objectValue};
    out["work_left"] = Json::Int64{left};
    return out;
}

} // namespace

peer_api::peer_api(entry_node& self)
    : m_node{self}
{
    add_membership();
    add_ownership();
    add_workers();
    add_jobs();
    for (auto const* const name : {"workers.work_left", "minions.work_left"})
    {
        m_methods[name] = [this](Json::Value const& it)
        {
            return work_left(m_node, it);
        };
    }
    m_methods["minions.give_up"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        if (auto const group = m_node.units.find(unit_in(it)))
        {
            caf::anon_send(*group, call_given_up{it["request_id"].asString()});
        }
        return Json::Value{Json::objectValue};
    };
    m_methods["calls.admit"] = [this](Json::Value const& it)
    {
        return m_node.calls->admit_for(it);
    };
    m_methods["calls.finished"] = [this](Json::Value const& it)
    {
        return m_node.calls->finished_for(it);
    };
    m_methods["minions.call"] = [this](Json::Value const& it)
    {
        return serve_minion_call(m_node, it);
    };
}

base::result<Json::Value> peer_api::run(std::string const& name,
                                        Json::Value const& parameters) const
{
    auto const it = m_methods.find(name);
    if (it == m_methods.end())
    {
        return base::fail(failure_code::not_found, "no method " + name);
    }
    return it->second(parameters);
}

void peer_api::add_membership()
{
    m_methods["heartbeat"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        caf::anon_send(m_node.membership, peer_heard{it});
        return own_heartbeat(m_node);
    };
    m_methods["configuration"] =
        [this](Json::Value const&) -> base::result<Json::Value>
    {
        Json::Value out{Json::objectValue};
        out["state"] = m_node.configuration.state().to_json();
        return out;
    };
    m_methods["trace"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        Json::Value out{Json::objectValue};
        out["spans"] = Json::Value{Json::arrayValue};
        auto const& store = m_node.tracer.store();
        for (auto const& span : store.spans_of(it["trace_id"].asString()))
        {
            out["spans"].append(telemetry::to_json(span));
        }
        return out;
    };
}

void peer_api::add_ownership()
{
    m_methods["ownership.suspicion"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(value, ownership::suspicion_from(it));
        caf::anon_send(m_node.ownership, suspicion_heard{value});
        return Json::Value{Json::objectValue};
    };
    m_methods["ownership.vouch_request"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(value, ownership::vouch_request_from(it));
        caf::anon_send(m_node.ownership, vouch_asked{value});
        return Json::Value{Json::objectValue};
    };
    m_methods["ownership.suspicion"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(value, ownership::suspicion_from(it));
        caf::anon_send(m_node.ownership, suspicion_heard{value});
        return Json::Value{Json::objectValue};
    };
    m_methods["ownership.vouch_answer"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(value, ownership::vouch_answer_from(it));
        caf::anon_send(m_node.ownership, vouch_answered{value});
        return Json::Value{Json::objectValue};
    };
}

void peer_api::add_workers()
{
    m_methods["workers.orders"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(orders, group_orders_from(it));
        BOOST_LEAF_AUTO(answers,
                        ask_unit<group_answers>(
                            m_node, orders.unit, s_answer_limit,
                            [&](auto promise) {
                                return group_orders_asked{orders, promise};
                            }));
        return to_json(answers);
    };
    m_methods["workers.inventory"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        auto const shard = it["shard"].asString();
        auto const epoch = it["shard_epoch"].asInt64();
        BOOST_LEAF_AUTO(inventory,
                        ask_unit<group_inventory>(
                            m_node, unit_in(it), s_answer_limit,
                            [&](auto promise) {
                                return inventory_asked{shard, epoch, promise};
                            }));
        return to_json(inventory);
    };
}

void peer_api::add_jobs()
{
    m_methods["jobs.ends"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(report, ends_report_from(it));
        BOOST_LEAF_AUTO(answer, ask_unit<ends_answer>(
                                    m_node, report.unit, s_answer_limit,
                                    [&](auto promise) {
                                        return ends_reported{report, promise};
                                    }));
        return to_json(answer);
    };
    m_methods["jobs.submit"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        BOOST_LEAF_AUTO(request, model::job_request_from(it["request"]));
        auto const job = it["job"].asString();
        return ask_unit<Json::Value>(
            m_node, unit_in(it), s_answer_limit,
            [&](auto promise) {
                return job_submitted{job, request, promise};
            },
            effect::before_answer);
    };
    m_methods["jobs.show"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        auto const wait =
            std::min(base::duration{it["wait_us"].asInt64()}, s_longest_poll);
        return ask_unit<Json::Value>(
            m_node, unit_in(it), wait + s_answer_limit,
            [&](auto promise) {
                return job_shown{it["job"].asString(), wait, promise};
            });
    };
    m_methods["jobs.cancel"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        return ask_unit<Json::Value>(
            m_node, unit_in(it), s_answer_limit + std::chrono::seconds{1},
            [&](auto promise) {
                return job_cancelled{it["job"].asString(), promise};
            },
            effect::before_answer);
    };
    m_methods["jobs.list"] =
        [this](Json::Value const& it) -> base::result<Json::Value>
    {
        return ask_unit<Json::Value>(m_node, unit_in(it), s_answer_limit,
                                     [&](auto promise)
                                     {
                                         return jobs_listed{
                                             it["contract"].asString(),
                                             it["state"].asString(), promise};
                                     });
    };
}

} // namespace berylhill::entry
