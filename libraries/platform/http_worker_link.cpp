#include <platform/http_worker_link.hpp>

#include <model/json.hpp>
#include <platform/worker_codec.hpp>

#include <cassert>
#include <utility>

namespace berylhill::platform
{

namespace
{

constexpr std::int32_t s_ok = 200;
constexpr std::int32_t s_conflict = 409;

} // namespace

http_worker_link::http_worker_link(std::shared_ptr<http_pool> pool)
    : m_pool{std::move(pool)}
{
    assert(m_pool);
}

base::result<worker_answer>
http_worker_link::exchange(model::endpoint const& worker,
                           worker_request const& request,
                           base::duration timeout)
{
    http_request const message{"POST",
                               worker.path + "/exchange",
                               {},
                               "application/json",
                               model::text_of(to_json(request))};
    BOOST_LEAF_AUTO(reply, m_pool->send(worker.address, message, timeout));
    if (reply.status == s_conflict)
    {
        return base::fail(base::failure_code::superseded,
                          worker.id + " saw a higher epoch");
    }
    if (reply.status != s_ok)
    {
        return base::fail(base::failure_code::outcome_unknown,
                          worker.id + " answered " +
                              std::to_string(reply.status));
    }
    auto answer = base::capture(
        [&]() -> base::result<worker_answer>
        {
            BOOST_LEAF_AUTO(value, model::parse_json(reply.body));
            return worker_answer_from(value);
        });
    if (!answer)
    {
        return base::fail(base::failure_code::outcome_unknown,
                          worker.id + ": " + answer.error().message);
    }
    return std::move(answer.value());
}

} // namespace berylhill::platform
