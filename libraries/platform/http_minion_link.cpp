#include <platform/http_minion_link.hpp>

#include <cassert>
#include <utility>

namespace berylhill::platform
{

namespace
{

constexpr std::int32_t s_ok = 200;
constexpr std::int32_t s_service_unavailable = 503;

std::string target_of(model::endpoint const& minion, std::string const& below)
{
    auto const slash = below.empty() || below.front() != '/' ? "/" : "";
    return minion.path + slash + below;
}

} // namespace

http_minion_link::http_minion_link(std::shared_ptr<http_pool> pool)
    : m_pool{std::move(pool)}
{
    assert(m_pool);
}

base::result<minion_answer>
http_minion_link::call(model::endpoint const& minion,
                       minion_call const& call,
                       base::duration timeout)
{
    http_request message;
    message.method = call.method;
    message.target = target_of(minion, call.target);
    message.headers = {{"X-Request-Id", call.request_id}};
    if (!call.traceparent.empty())
    {
        message.headers.emplace_back("traceparent", call.traceparent);
    }
    message.content_type = call.content_type;
    message.body = call.body;
    BOOST_LEAF_AUTO(reply, m_pool->send(minion.address, message, timeout));
    // Guards against answers that come crossed: another request's answer on
    // this connection shows as another id, and must not reach this caller.
    // Without the echo nothing else in the answer can be trusted either, the
    // "not run" included.
    if (reply.header("x-request-id") != call.request_id)
    {
        m_pool->forget(minion.address);
        return base::fail(base::failure_code::outcome_unknown,
                          minion.id + " answered another request");
    }
    if (reply.status == s_service_unavailable && reply.header("x-ran") == "no")
    {
        return base::fail(base::failure_code::unavailable,
                          minion.id + " did not run it");
    }
    return minion_answer{reply.status, reply.header("content-type"),
                         std::move(reply.body)};
}

base::result<base::done> http_minion_link::ping(model::endpoint const& minion,
                                                base::duration timeout)
{
    http_request const message{"GET", minion.path + "/ping", {}, {}, {}};
    auto const reply = base::capture(
        [&]
        {
            return m_pool->send(minion.address, message, timeout,
                                connection_choice::fresh);
        });
    if (!reply || reply.value().status != s_ok)
    {
        return base::fail(base::failure_code::unavailable,
                          reply ? minion.id + " answered " +
                                      std::to_string(reply.value().status)
                                : reply.error().message);
    }
    return base::done{};
}

} // namespace berylhill::platform
