#include <entry/orders.hpp>

#include <entry/codec.hpp>
#include <model/json.hpp>

#include <array>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;
using model::to_json;

constexpr std::array s_states{
    std::pair{order_state::held, std::string_view{"held"}},
    std::pair{order_state::started, std::string_view{"started"}},
    std::pair{order_state::refused, std::string_view{"refused"}},
};

base::result<base::done> expect_object(Json::Value const& it)
{
    if (!it.isObject())
    {
        return base::fail(failure_code::invalid, "an object was expected");
    }
    return base::done{};
}

Json::Value order_to_json(placement::hold_order const& it)
{
    auto out = entry::to_json(it.request);
    out["hold_only"] = it.mode == placement::hold_mode::hold;
    return out;
}

base::result<placement::hold_order> order_from(Json::Value const& it)
{
    placement::hold_order out;
    BOOST_LEAF_ASSIGN(out.request, hold_request_from(it));
    out.mode = it["hold_only"].asBool() ? placement::hold_mode::hold
                                        : placement::hold_mode::start;
    return out;
}

Json::Value answer_to_json(order_answer const& it)
{
    auto out = to_json(it.attempt);
    for (auto const& state : s_states)
    {
        if (state.first == it.state)
        {
            out["state"] = std::string{state.second};
        }
    }
    out["why"] = std::string{name_of(it.why)};
    return out;
}

base::result<order_answer> answer_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    order_answer out;
    BOOST_LEAF_ASSIGN(out.attempt, model::attempt_id_from(it));
    auto const name = it["state"].asString();
    for (auto const& state : s_states)
    {
        if (state.second == name)
        {
            out.state = state.first;
        }
    }
    out.why = hold_state_from(it["why"].asString());
    return out;
}

Json::Value empty_array()
{
    return Json::Value{Json::arrayValue};
}

Json::Value attempts_to_json(std::vector<model::attempt_id> const& it)
{
    auto out = empty_array();
    for (auto const& attempt : it)
    {
        out.append(to_json(attempt));
    }
    return out;
}

base::result<std::vector<model::attempt_id>>
attempts_from(Json::Value const& it)
{
    std::vector<model::attempt_id> out;
    for (auto const& attempt : it)
    {
        BOOST_LEAF_AUTO(value, model::attempt_id_from(attempt));
        out.push_back(std::move(value));
    }
    return out;
}

} // namespace

Json::Value to_json(group_orders const& it)
{
    Json::Value out{Json::objectValue};
    out["unit"] = it.unit;
    out["shard"] = it.shard;
    out["shard_epoch"] = Json::Int64{it.shard_epoch};
    out["number"] = Json::Int64{it.number};
    out["holds"] = empty_array();
    for (auto const& order : it.holds)
    {
        out["holds"].append(order_to_json(order));
    }
    out["commits"] = attempts_to_json(it.commits);
    out["releases"] = attempts_to_json(it.releases);
    out["reservations"] = empty_array();
    for (auto const& span : it.reservations)
    {
        Json::Value one{Json::objectValue};
        one["job"] = span.job;
        one["frees_in_us"] = Json::Int64{span.frees_in.count()};
        one["lasts_us"] = Json::Int64{span.lasts.count()};
        out["reservations"].append(one);
    }
    return out;
}

base::result<group_orders> group_orders_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    group_orders out;
    out.unit = it["unit"].asString();
    out.shard = it["shard"].asString();
    out.shard_epoch = it["shard_epoch"].asInt64();
    out.number = it["number"].asInt64();
    for (auto const& order : it["holds"])
    {
        BOOST_LEAF_AUTO(value, order_from(order));
        value.group = out.unit;
        out.holds.push_back(std::move(value));
    }
    BOOST_LEAF_ASSIGN(out.commits, attempts_from(it["commits"]));
    BOOST_LEAF_ASSIGN(out.releases, attempts_from(it["releases"]));
    for (auto const& span : it["reservations"])
    {
        out.reservations.push_back(
            {span["job"].asString(),
             base::duration{span["frees_in_us"].asInt64()},
             base::duration{span["lasts_us"].asInt64()}});
    }
    return out;
}

Json::Value to_json(group_answers const& it)
{
    Json::Value out{Json::objectValue};
    out["epoch"] = Json::Int64{it.epoch};
    out["digest"] = to_json(it.digest);
    out["answers"] = empty_array();
    for (auto const& answer : it.answers)
    {
        out["answers"].append(answer_to_json(answer));
    }
    return out;
}

base::result<group_answers> group_answers_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    group_answers out;
    out.epoch = it["epoch"].asInt64();
    BOOST_LEAF_ASSIGN(out.digest, worker_digest_from(it["digest"]));
    for (auto const& answer : it["answers"])
    {
        BOOST_LEAF_AUTO(value, answer_from(answer));
        out.answers.push_back(std::move(value));
    }
    return out;
}

Json::Value to_json(group_inventory const& it)
{
    Json::Value out{Json::objectValue};
    out["epoch"] = Json::Int64{it.epoch};
    out["digest"] = to_json(it.digest);
    out["attempts"] = empty_array();
    for (auto const& counted : it.attempts)
    {
        auto one = to_json(counted.attempt);
        one["worker"] = counted.worker;
        one["planned"] = to_json(counted.planned);
        out["attempts"].append(one);
    }
    return out;
}

base::result<group_inventory> group_inventory_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    group_inventory out;
    out.epoch = it["epoch"].asInt64();
    BOOST_LEAF_ASSIGN(out.digest, worker_digest_from(it["digest"]));
    for (auto const& one : it["attempts"])
    {
        BOOST_LEAF_AUTO(attempt, model::attempt_id_from(one));
        BOOST_LEAF_AUTO(planned, model::resources_from(one["planned"]));
        out.attempts.push_back({attempt, one["worker"].asString(), planned});
    }
    return out;
}

Json::Value to_json(ends_report const& it)
{
    Json::Value out{Json::objectValue};
    out["unit"] = it.unit;
    out["group"] = it.group;
    out["ends"] = empty_array();
    for (auto const& end : it.ends)
    {
        out["ends"].append(to_json(end));
    }
    return out;
}

base::result<ends_report> ends_report_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    ends_report out;
    out.unit = it["unit"].asString();
    out.group = it["group"].asString();
    for (auto const& end : it["ends"])
    {
        BOOST_LEAF_AUTO(value, attempt_end_from(end));
        out.ends.push_back(std::move(value));
    }
    return out;
}

Json::Value to_json(ends_answer const& it)
{
    Json::Value out{Json::objectValue};
    out["taken"] = attempts_to_json(it.taken);
    out["orders_sent"] = Json::Int64{it.orders_sent};
    return out;
}

base::result<ends_answer> ends_answer_from(Json::Value const& it)
{
    BOOST_LEAF_CHECK(expect_object(it));
    ends_answer out;
    BOOST_LEAF_ASSIGN(out.taken, attempts_from(it["taken"]));
    out.orders_sent = it["orders_sent"].asInt64();
    return out;
}

} // namespace berylhill::entry
