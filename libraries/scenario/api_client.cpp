#include <scenario/api_client.hpp>

#include <base/hash.hpp>
#include <model/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace berylhill::scenario
{

namespace
{

constexpr auto s_timeout = std::chrono::seconds{5};
/// An apply answers when the change is in force everywhere.
constexpr auto s_apply_timeout = std::chrono::seconds{20};
constexpr auto s_watch_timeout = std::chrono::milliseconds{800};
/// An answer may come this much after the deadline that the entry was given.
constexpr auto s_way_back = std::chrono::milliseconds{500};
constexpr auto s_pause = std::chrono::milliseconds{200};
constexpr int s_most_tries = 5;
constexpr int s_most_submits = 100;

std::int64_t milliseconds(base::duration it)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

bool good(platform::http_reply const& it)
{
    return it.status / 100 == 2;
}

Json::Value json_in(std::string const& body)
{
    auto const value = base::capture([&] { return model::parse_json(body); });
    return value && value.value().isObject() ? value.value() : Json::Value{};
}

std::string word_in(Json::Value const& it, char const* name)
{
    return it.isObject() && it[name].isString() ? it[name].asString()
                                                : std::string{};
}

std::string last_segment(std::string const& target)
{
    return target.substr(target.rfind('/') + 1);
}

platform::http_request request_of(customer_call const& it)
{
    platform::http_request request;
    request.target = "/v1/services/" + it.service + "/calls/" + it.name;
    request.headers = {
        {"X-Contract", it.contract},
        {"X-Deadline-Ms", std::to_string(milliseconds(it.deadline))},
        {"X-Request-Id", base::random_id()}};
    if (it.safety == model::rerun::at_most_once)
    {
        request.method = "POST";
        request.headers.emplace_back("Idempotency-Key", it.name);
        request.content_type = "text/plain";
        request.body = it.name;
    }
    return request;
}

platform::http_request post(std::string target, Json::Value const& body)
{
    return {"POST",
            std::move(target),
            {},
            "application/json",
            model::text_of(body)};
}

} // namespace

api_client::api_client(std::shared_ptr<platform::http_pool> pool,
                       balancer& entries,
                       journal& seen)
    : m_pool{std::move(pool)}
    , m_entries{entries}
    , m_journal{seen}
{
}

base::result<platform::http_reply>
api_client::send(platform::http_request const& request,
                 base::duration timeout,
                 std::string& entry)
{
    base::failure last{base::failure_code::unavailable, "no entry", 0};
    for (auto const& it : m_entries.next_order())
    {
        entry = it.name;
        auto reply = base::capture(
            [&] { return m_pool->send(it.http, request, timeout); });
        if (reply)
        {
            return std::move(reply.value());
        }
        last = reply.error();
        if (last.code != base::failure_code::unavailable)
        {
            break;
        }
    }
    return base::fail(last);
}

call_result api_client::call(customer_call const& it)
{
    Json::Value details;
    details["call"] = it.name;
    details["once"] = it.safety == model::rerun::at_most_once;
    m_journal.add("call_sent", it.contract, details);
    for (int n = 0; n < s_most_tries; ++n)
    {
        std::string entry;
        auto const reply = base::capture(
            [&]
            { return send(request_of(it), it.deadline + s_way_back, entry); });
        if (reply)
        {
            return judge(it, reply.value());
        }
        if (reply.error().code != base::failure_code::unavailable)
        {
            Json::Value cut;
            cut["call"] = it.name;
            cut["why"] = reply.error().message;
            m_journal.add("call_cut", entry, cut);
        }
        std::this_thread::sleep_for(s_pause);
    }
    return call_result::unknown;
}

call_result api_client::judge(customer_call const& it,
                              platform::http_reply const& reply)
{
    auto const body = json_in(reply.body);
    auto const refused =
        reply.header("content-type").starts_with("application/problem+json");
    if (!refused)
    {
        Json::Value details;
        details["call"] = it.name;
        details["status"] = reply.status;
        details["minion"] = word_in(body, "minion");
        // Of a call that must run once, the body is the witness, too.
        auto const target = last_segment(word_in(body, "target"));
        auto const sent =
            it.safety == model::rerun::at_most_once ? it.name : std::string{};
        details["echo"] = word_in(body, "echo") == sent
                              ? target
                              : "the body of " + word_in(body, "echo");
        m_journal.add("call_answered", it.contract, details);
        return call_result::answered;
    }
    auto const ran = word_in(body, "ran");
    note_refusal(it, reply, ran);
    return ran == "not_run" ? call_result::not_run : call_result::unknown;
}

void api_client::note_refusal(customer_call const& it,
                              platform::http_reply const& reply,
                              std::string const& ran)
{
    Json::Value details;
    details["call"] = it.name;
    details["status"] = reply.status;
    details["ran"] = ran;
    details["why"] = word_in(json_in(reply.body), "detail");
    m_journal.add("call_refused_to_caller", it.contract, details);
}

base::result<std::string> api_client::submit(model::job_request const& it,
                                             std::string const& tag)
{
    Json::Value sent;
    sent["tag"] = tag;
    sent["once"] = it.safety == model::rerun::at_most_once;
    sent["tasks"] = it.tasks;
    m_journal.add("job_sent", it.contract, sent);
    for (int n = 0; n < s_most_submits; ++n)
    {
        std::string entry;
        auto const reply = base::capture(
            [&] {
                return send(post("/v1/jobs", model::to_json(it)), s_timeout,
                            entry);
            });
        auto const body = json_in(reply ? reply.value().body : std::string{});
        Json::Value details;
        details["tag"] = tag;
        if (reply && good(reply.value()) && !word_in(body, "id").empty())
        {
            details["id"] = word_in(body, "id");
            m_journal.add("job_accepted", it.contract, details);
            return word_in(body, "id");
        }
        if (reply && word_in(body, "ran") == "not_run")
        {
            details["ran"] = "not_run";
            details["why"] = word_in(body, "detail");
            m_journal.add("job_refused", it.contract, details);
            return base::fail(base::failure_code::refused,
                              word_in(body, "detail"));
        }
        std::this_thread::sleep_for(s_pause);
    }
    return base::fail(base::failure_code::outcome_unknown,
                      "no answer to " + tag);
}

base::result<Json::Value> api_client::job(std::string const& id)
{
    std::string entry;
    platform::http_request const request{
        "GET", "/v1/jobs/" + id + "?wait_ms=0", {}, {}, {}};
    BOOST_LEAF_AUTO(reply, send(request, s_timeout, entry));
    auto body = json_in(reply.body);
    if (!good(reply) || word_in(body, "state").empty())
    {
        return base::fail(base::failure_code::unavailable,
                          "no state of " + id + ": " + reply.body);
    }
    return body;
}

base::result<base::done> api_client::cancel(std::string const& id)
{
    std::string entry;
    BOOST_LEAF_AUTO(reply, send(post("/v1/jobs/" + id + "/cancel",
                                     Json::Value{Json::objectValue}),
                                s_timeout, entry));
    if (!good(reply))
    {
        return base::fail(base::failure_code::refused, reply.body);
    }
    Json::Value details;
    details["id"] = id;
    m_journal.add("job_cancelled", entry, details);
    return base::done{};
}

base::result<std::int64_t> api_client::apply(Json::Value const& contracts,
                                             std::int64_t based_on,
                                             std::string const& who)
{
    Json::Value body;
    body["based_on"] = Json::Int64{based_on};
    body["operator"] = who;
    body["contracts"] = contracts;
    body["remove"] = Json::Value{Json::arrayValue};
    std::string entry;
    BOOST_LEAF_AUTO(
        reply, send(post("/v1/contracts/apply", body), s_apply_timeout, entry));
    auto const answer = json_in(reply.body);
    if (!good(reply) || !answer["offset"].isInt64())
    {
        return base::fail(base::failure_code::conflict, reply.body);
    }
    Json::Value details;
    details["offset"] = answer["offset"];
    m_journal.add("configuration_accepted", who, details);
    return std::int64_t{answer["offset"].asInt64()};
}

base::result<std::int64_t> api_client::configuration(entry_address const& it)
{
    platform::http_request const request{"GET", "/v1/contracts", {}, {}, {}};
    BOOST_LEAF_AUTO(reply, m_pool->send(it.http, request, s_watch_timeout));
    auto const body = json_in(reply.body);
    if (!good(reply) || !body["offset"].isInt64())
    {
        return base::fail(base::failure_code::unavailable, reply.body);
    }
    Json::Value details;
    details["offset"] = body["offset"];
    details["digest"] =
        std::to_string(base::hash_of(model::text_of(body["contracts"])));
    m_journal.add("configuration_seen", it.name, details);
    return std::int64_t{body["offset"].asInt64()};
}

std::int64_t api_client::newest_configuration()
{
    std::int64_t newest = -1;
    for (auto const& it : m_entries.all())
    {
        auto const offset = base::capture([&] { return configuration(it); });
        newest = std::max(newest, offset ? offset.value() : -1);
    }
    return newest;
}

base::result<base::done> api_client::announce(std::string const& kind,
                                              std::string const& id)
{
    Json::Value body;
    body["kind"] = kind;
    body["id"] = id;
    body["operator"] = "scenario";
    std::string entry;
    BOOST_LEAF_AUTO(reply, send(post("/v1/stops", body), s_timeout, entry));
    if (!good(reply))
    {
        return base::fail(base::failure_code::refused, reply.body);
    }
    m_journal.add("stop_announced", id);
    return base::done{};
}

} // namespace berylhill::scenario
