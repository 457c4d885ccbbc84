#include <entry/minion_call.hpp>

#include <entry/codec.hpp>
#include <entry/entry_node.hpp>
#include <entry/messages.hpp>
#include <model/json.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr double s_least_weight = 0.001;

/// What the request asks for, as it came from the calling entry.
struct asked
{
    std::string unit;
    calls::call call;
    platform::minion_call message;
};

base::result<asked> asked_from(entry_node& self, Json::Value const& it)
{
    asked out;
    out.unit = it["unit"].asString();
    out.call.request_id = it["request_id"].asString();
    out.call.contract = it["contract"].asString();
    // The queue divides by it. A contract that came into the log past the
    // checks of its interface must not end the process that owns the group.
    auto const weight = it["weight"].asDouble();
    out.call.weight = weight > 0 ? weight : s_least_weight;
    out.call.deadline =
        self.clock.now() + base::duration{it["deadline_us"].asInt64()};
    BOOST_LEAF_ASSIGN(out.call.safety,
                      model::enum_from<model::rerun>(it["safety"].asString()));
    out.message.request_id = out.call.request_id;
    out.message.method = it["method"].asString();
    out.message.target = it["target"].asString();
    out.message.content_type = it["content_type"].asString();
    BOOST_LEAF_ASSIGN(out.message.body, from_base64(it["body"].asString()));
    out.message.traceparent = it["traceparent"].asString();
    return out;
}

calls::refusal
refused(calls::ran work, calls::refusal_code code, std::string reason)
{
    return {work, code, std::move(reason), 1};
}

/// Waits for the group's actor to grant a slot or to refuse.
base::result<call_step>
wait_for_slot(entry_node& self, caf::actor const& group, asked const& it)
{
    auto const slot = std::make_shared<reply<call_step>>();
    caf::anon_send(
        group,
        call_offered{it.call,
                     {slot, base::failure{failure_code::superseded,
                                          it.unit + " has changed hands", 0}}});
    auto const step = slot->wait(it.call.deadline - self.clock.now());
    if (!step)
    {
        caf::anon_send(group, call_given_up{it.call.request_id});
        return call_step{refused(calls::ran::not_run,
                                 calls::refusal_code::overloaded,
                                 "no slot before the deadline")};
    }
    return step->as_result();
}

/// How the send ended, for the group's account.
std::optional<calls::call_end>
end_of(base::outcome<platform::minion_answer> const& it)
{
    if (it)
    {
        auto const server_failed = it.value().status >= 500;
        return server_failed ? calls::call_end::failed
                             : calls::call_end::succeeded;
    }
    if (it.error().code == failure_code::unavailable)
    {
        return std::nullopt;
    }
    return calls::call_end::timed_out;
}

calls::call_outcome outcome_of(base::outcome<platform::minion_answer> const& it)
{
    if (it)
    {
        return it.value();
    }
    if (it.error().code == failure_code::unavailable)
    {
        return refused(calls::ran::not_run, calls::refusal_code::minion_refused,
                       it.error().message);
    }
    return refused(calls::ran::unknown, calls::refusal_code::outcome_unknown,
                   it.error().message);
}

base::result<Json::Value> send_once(entry_node& self,
                                    caf::actor const& group,
                                    asked const& it,
                                    call_granted const& granted)
{
    auto span =
        self.tracer.begin("minion " + granted.minion.id,
                          telemetry::trace_from(it.message.traceparent));
    auto message = it.message;
    message.traceparent = telemetry::traceparent_of(span.context());
    // A process that was paused between the grant and here may have lost the
    // group: its next owner counts the slot as free.
    if (!self.owned.may_act(it.unit, self.clock.now()))
    {
        caf::anon_send(group, call_finished{it.call.request_id, std::nullopt});
        return base::fail(failure_code::superseded,
                          it.unit + " has changed hands");
    }
    auto const answer = base::capture(
        [&] {
            return self.minions.call(granted.minion, message, granted.timeout);
        });
    caf::anon_send(group, call_finished{it.call.request_id, end_of(answer)});
    span.set("outcome", answer
                            ? std::to_string(answer.value().status)
                            : std::string{base::name_of(answer.error().code)});
    return to_json(outcome_of(answer));
}

} // namespace

namespace
{

base::result<Json::Value> serve(entry_node& self, Json::Value const& parameters)
{
    BOOST_LEAF_AUTO(it, asked_from(self, parameters));
    auto const group = self.units.find(it.unit);
    if (!group)
    {
        return base::fail(failure_code::superseded,
                          it.unit + " is not owned here");
    }
    auto span = self.tracer.begin(
        "owner " + it.unit, telemetry::trace_from(it.message.traceparent));
    it.message.traceparent = telemetry::traceparent_of(span.context());
    BOOST_LEAF_AUTO(step, wait_for_slot(self, *group, it));
    if (auto const* const refusal = std::get_if<calls::refusal>(&step))
    {
        span.set("refused", std::string{calls::name_of(refusal->code)});
        return to_json(calls::call_outcome{*refusal});
    }
    return send_once(self, *group, it, std::get<call_granted>(step));
}

} // namespace

/// Each answer carries the group's digest: what gossip says of a loaded group
/// is old by the time it comes.
base::result<Json::Value> serve_minion_call(entry_node& self,
                                            Json::Value const& parameters)
{
    BOOST_LEAF_AUTO(answer, serve(self, parameters));
    auto const unit = parameters["unit"].asString();
    if (auto const digest = self.digests.minion_group(unit))
    {
        answer["digest"] = to_json(*digest);
    }
    return answer;
}

} // namespace berylhill::entry
