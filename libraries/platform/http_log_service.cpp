#include <platform/http_log_service.hpp>

#include <model/json.hpp>

#include <cassert>
#include <utility>

namespace berylhill::platform
{

namespace
{

constexpr std::int32_t s_ok = 200;
constexpr std::int32_t s_too_many_requests = 429;
constexpr std::int32_t s_service_unavailable = 503;
constexpr double s_retry_after_s = 0.2;

/// Names of streams stand in a path; our own names need no escape, and a name
/// that would need one is a mistake in the caller.
bool plain_name(std::string const& it)
{
    return !it.empty() &&
           it.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "0123456789-_.") == std::string::npos;
}

base::result<log_page> page_from(std::string const& body)
{
    BOOST_LEAF_AUTO(value, model::parse_json(body));
    if (!value.isObject() || !value["first"].isInt64() ||
        !value["next"].isInt64() || !value["records"].isArray())
    {
        return base::fail(base::failure_code::unavailable,
                          "the log's page has another shape");
    }
    log_page page{value["first"].asInt64(), value["next"].asInt64(), {}};
    page.records.reserve(value["records"].size());
    for (auto const& it : value["records"])
    {
        if (!it["offset"].isInt64() || !it["body"].isString())
        {
            return base::fail(base::failure_code::unavailable,
                              "a record of the log has another shape");
        }
        page.records.push_back({it["offset"].asInt64(), it["body"].asString()});
    }
    return page;
}

} // namespace

http_log_service::http_log_service(std::shared_ptr<http_pool> pool,
                                   std::string address,
                                   base::duration timeout)
    : m_pool{std::move(pool)}
    , m_address{std::move(address)}
    , m_timeout{timeout}
{
    assert(m_pool);
}

base::result<std::int64_t> http_log_service::append(std::string const& stream,
                                                    std::string const& body)
{
    assert(plain_name(stream));
    http_request const request{"POST",
                               "/streams/" + stream + "/records",
                               {},
                               "application/octet-stream",
                               body};
    BOOST_LEAF_AUTO(reply, m_pool->send(m_address, request, m_timeout));
    if (reply.status == s_too_many_requests ||
        reply.status == s_service_unavailable)
    {
        // The platform says by these that nothing was written.
        return base::fail(base::failure_code::unavailable,
                          "the log refused: " + std::to_string(reply.status),
                          s_retry_after_s);
    }
    if (reply.status != s_ok)
    {
        return base::fail(base::failure_code::outcome_unknown,
                          "the log answered " + std::to_string(reply.status));
    }
    auto const answer =
        base::capture([&] { return model::parse_json(reply.body); });
    if (!answer || !answer.value().isObject() ||
        !answer.value()["offset"].isInt64())
    {
        return base::fail(base::failure_code::outcome_unknown,
                          "the log's answer has another shape");
    }
    return std::int64_t{answer.value()["offset"].asInt64()};
}

base::result<log_page> http_log_service::read(std::string const& stream,
                                              std::int64_t from,
                                              std::int32_t most,
                                              base::duration wait)
{
    assert(plain_name(stream));
    auto const wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http_request request;
    request.target =
        "/streams/" + stream + "/records?from=" + std::to_string(from) +
        "&most=" + std::to_string(most) + "&wait_ms=" + std::to_string(wait_ms);
    auto const reply = base::capture(
        [&] { return m_pool->send(m_address, request, m_timeout + wait); });
    if (!reply)
    {
        // Reading changes nothing, so every failure of it means the same.
        return base::fail(base::failure_code::unavailable,
                          reply.error().message);
    }
    if (reply.value().status != s_ok)
    {
        return base::fail(base::failure_code::unavailable,
                          "the log answered " +
                              std::to_string(reply.value().status));
    }
    return page_from(reply.value().body);
}

} // namespace berylhill::platform
