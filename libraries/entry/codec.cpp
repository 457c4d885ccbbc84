#include <entry/codec.hpp>

#include <model/json.hpp>

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;
using model::to_json;

constexpr std::array s_hold_states{
    std::pair{placement::hold_state::held, std::string_view{"held"}},
    std::pair{placement::hold_state::full, std::string_view{"full"}},
    std::pair{placement::hold_state::never_fits,
              std::string_view{"never_fits"}},
    std::pair{placement::hold_state::reserved, std::string_view{"reserved"}},
    std::pair{placement::hold_state::preempting,
              std::string_view{"preempting"}},
    std::pair{placement::hold_state::repeated, std::string_view{"repeated"}},
};

base::result<base::done> expect_object(Json::Value const& it)
{
    if (!it.isObject())
    {
        return base::fail(failure_code::invalid, "an object was expected");
    }
    return base::done{};
}

std::string text(Json::Value const& it, char const* name)
{
    return it[name].isString() ? it[name].asString() : std::string{};
}

std::int64_t number(Json::Value const& it, char const* name)
{
    return it[name].isInt64() ? it[name].asInt64() : 0;
}

std::int32_t small(Json::Value const& it, char const* name)
{
    return it[name].isInt() ? it[name].asInt() : 0;
}

double real(Json::Value const& it, char const* name)
{
    return it[name].isNumeric() ? it[name].asDouble() : 0;
}

template <class Enum>
base::result<Enum> read_enum(Json::Value const& it, char const* name)
{
    return model::enum_from<Enum>(text(it, name));
}

} // namespace

std::string_view name_of(placement::hold_state it) noexcept
{
    for (auto const& known : s_hold_states)
    {
        if (known.first == it)
        {
            return known.second;
        }
    }
    return "full";
}

placement::hold_state hold_state_from(std::string_view name)
{
    for (auto const& known : s_hold_states)
    {
        if (known.second == name)
        {
            return known.first;
        }
    }
    return placement::hold_state::full;
}

Json::Value to_json(placement::hold_request const& it)
{
    auto out = to_json(it.attempt);
    out["contract"] = it.contract;
    out["name"] = it.name;
    out["kind"] = std::string{model::name_of(it.kind)};
    out["urgent"] = std::string{model::name_of(it.urgent)};
    out["safety"] = std::string{model::name_of(it.safety)};
    out["preempted"] = std::string{model::name_of(it.preempted)};
    out["need"] = to_json(it.need);
    out["expected_run_s"] = it.expected_run_s;
    out["command"] = it.command;
    out["may_preempt"] = it.may_preempt;
    return out;
}

base::result<placement::hold_request> hold_request_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    placement::hold_request out;
    BOOST_LEAF_ASSIGN(out.attempt, model::attempt_id_from(it));
    BOOST_LEAF_ASSIGN(out.kind, read_enum<model::job_kind>(it, "kind"));
    BOOST_LEAF_ASSIGN(out.urgent, read_enum<model::urgency>(it, "urgent"));
    BOOST_LEAF_ASSIGN(out.safety, read_enum<model::rerun>(it, "safety"));
    BOOST_LEAF_ASSIGN(out.preempted,
                      read_enum<model::preemption>(it, "preempted"));
    BOOST_LEAF_ASSIGN(out.need, model::resources_from(it["need"]));
    out.contract = text(it, "contract");
    out.name = text(it, "name");
    out.expected_run_s = real(it, "expected_run_s");
    out.command = text(it, "command");
    out.may_preempt = it["may_preempt"].asBool();
    return out;
}

Json::Value to_json(placement::group_digest const& it)
{
    Json::Value out{Json::objectValue};
    out["group"] = it.group;
    out["zone"] = it.zone;
    out["rack"] = it.rack;
    out["workers"] = it.workers;
    out["total"] = to_json(it.total);
    out["free"] = to_json(it.free);
    out["largest_free"] = to_json(it.largest_free);
    out["largest_worker"] = to_json(it.largest_worker);
    out["preemptible"] = to_json(it.preemptible);
    out["running"] = it.running;
    out["held"] = it.held;
    out["reserved_for"] = it.reserved_for;
    out["ended"] = it.ended;
    out["failed"] = it.failed;
    return out;
}

base::result<placement::group_digest> worker_digest_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    placement::group_digest out;
    BOOST_LEAF_ASSIGN(out.total, model::resources_from(it["total"]));
    BOOST_LEAF_ASSIGN(out.free, model::resources_from(it["free"]));
    BOOST_LEAF_ASSIGN(out.largest_free,
                      model::resources_from(it["largest_free"]));
    BOOST_LEAF_ASSIGN(out.largest_worker,
                      model::resources_from(it["largest_worker"]));
    BOOST_LEAF_ASSIGN(out.preemptible,
                      model::resources_from(it["preemptible"]));
    out.group = text(it, "group");
    out.zone = text(it, "zone");
    out.rack = text(it, "rack");
    out.workers = small(it, "workers");
    out.running = small(it, "running");
    out.held = small(it, "held");
    out.reserved_for = text(it, "reserved_for");
    out.ended = small(it, "ended");
    out.failed = small(it, "failed");
    return out;
}

Json::Value to_json(calls::group_digest const& it)
{
    Json::Value out{Json::objectValue};
    out["group"] = it.group;
    out["service"] = it.service;
    out["owner"] = it.owner;
    out["epoch"] = Json::Int64{it.epoch};
    out["sequence"] = Json::Int64{it.sequence};
    out["slots"] = it.slots;
    out["busy"] = it.busy;
    out["queued"] = it.queued;
    out["run_us"] = Json::Int64{it.run_time.count()};
    out["wait_us"] = Json::Int64{it.expected_wait.count()};
    return out;
}

base::result<calls::group_digest> minion_digest_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    calls::group_digest out;
    out.group = text(it, "group");
    out.service = text(it, "service");
    out.owner = text(it, "owner");
    out.epoch = number(it, "epoch");
    out.sequence = number(it, "sequence");
    out.slots = small(it, "slots");
    out.busy = small(it, "busy");
    out.queued = small(it, "queued");
    out.run_time = base::duration{number(it, "run_us")};
    out.expected_wait = base::duration{number(it, "wait_us")};
    return out;
}

Json::Value to_json(calls::entry_demand const& it)
{
    Json::Value out{Json::objectValue};
    out["entry"] = it.entry;
    out["contracts"] = Json::Value{Json::arrayValue};
    for (auto const& demand : it.contracts)
    {
        Json::Value one{Json::objectValue};
        one["contract"] = demand.contract;
        one["calls_per_s"] = demand.calls_per_s;
        one["at_once"] = demand.at_once;
        out["contracts"].append(one);
    }
    return out;
}

base::result<calls::entry_demand> demand_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    calls::entry_demand out;
    out.entry = text(it, "entry");
    for (auto const& demand : it["contracts"])
    {
        BOOST_LEAF_CHECK(expect_object(demand));
        out.contracts.push_back({text(demand, "contract"),
                                 real(demand, "calls_per_s"),
                                 real(demand, "at_once")});
    }
    return out;
}

Json::Value to_json(placement::attempt_end const& it)
{
    auto out = to_json(it.attempt);
    out["end"] = std::string{model::name_of(it.end)};
    out["worker"] = it.worker;
    out["peak"] = to_json(it.peak);
    out["run_s"] = it.run_s;
    out["detail"] = it.detail;
    return out;
}

base::result<placement::attempt_end> attempt_end_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    placement::attempt_end out;
    BOOST_LEAF_ASSIGN(out.attempt, model::attempt_id_from(it));
    BOOST_LEAF_ASSIGN(out.end, read_enum<model::task_end>(it, "end"));
    BOOST_LEAF_ASSIGN(out.peak, model::resources_from(it["peak"]));
    out.worker = text(it, "worker");
    out.run_s = real(it, "run_s");
    out.detail = text(it, "detail");
    return out;
}

Json::Value to_json(calls::call_outcome const& it)
{
    Json::Value out{Json::objectValue};
    if (it.is_answer())
    {
        out["status"] = it.answer().status;
        out["content_type"] = it.answer().content_type;
        out["body"] = to_base64(it.answer().body);
        return out;
    }
    auto const& why = it.why();
    out["ran"] = std::string{calls::name_of(why.execution)};
    out["code"] = std::string{calls::name_of(why.code)};
    out["reason"] = why.reason;
    out["retry_after_s"] = why.retry_after_s;
    return out;
}

base::result<calls::call_outcome> call_outcome_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    if (it.isMember("status"))
    {
        BOOST_LEAF_AUTO(body, from_base64(text(it, "body")));
        return calls::call_outcome{platform::minion_answer{
            small(it, "status"), text(it, "content_type"), body}};
    }
    calls::refusal out;
    out.execution = calls::execution_state_from(text(it, "ran"));
    out.code = calls::refusal_code_from(text(it, "code"));
    out.reason = text(it, "reason");
    out.retry_after_s = real(it, "retry_after_s");
    return calls::call_outcome{out};
}

std::string to_base64(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4, '\0');
    // The library ends its output with a zero byte, for which the string has
    // room behind its end.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    reinterpret_cast<unsigned char const*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return out;
}

base::result<std::string> from_base64(std::string_view text)
{
    std::string out(text.size() / 4 * 3, '\0');
    auto const n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (n < 0 || text.size() % 4 != 0)
    {
        return base::fail(failure_code::invalid, "not base64");
    }
    while (!text.empty() && text.back() == '=')
    {
        text.remove_suffix(1);
        out.pop_back();
    }
    return out;
}

} // namespace berylhill::entry
