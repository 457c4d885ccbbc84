#include <platform/http_endpoint_list.hpp>

#include <model/json.hpp>

#include <cassert>
#include <utility>

namespace berylhill::platform
{

namespace
{

constexpr std::int32_t s_ok = 200;

base::result<std::vector<model::endpoint>> list_from(std::string const& body)
{
    BOOST_LEAF_AUTO(value, model::parse_json(body));
    if (!value.isObject() || !value["endpoints"].isArray())
    {
        return base::fail(base::failure_code::unavailable,
                          "the platform's list has another shape");
    }
    std::vector<model::endpoint> list;
    list.reserve(value["endpoints"].size());
    for (auto const& it : value["endpoints"])
    {
        BOOST_LEAF_AUTO(endpoint, model::endpoint_from(it));
        list.push_back(std::move(endpoint));
    }
    return list;
}

} // namespace

http_endpoint_list::http_endpoint_list(std::shared_ptr<http_pool> pool,
                                       std::string address,
                                       base::duration timeout)
    : m_pool{std::move(pool)}
    , m_address{std::move(address)}
    , m_timeout{timeout}
{
    assert(m_pool);
}

base::result<std::vector<model::endpoint>> http_endpoint_list::fetch()
{
    auto list = base::capture(
        [&]() -> base::result<std::vector<model::endpoint>>
        {
            http_request const request{"GET", "/endpoints", {}, {}, {}};
            BOOST_LEAF_AUTO(reply, m_pool->send(m_address, request, m_timeout));
            if (reply.status != s_ok)
            {
                return base::fail(base::failure_code::unavailable,
                                  "the platform's list answered " +
                                      std::to_string(reply.status));
            }
            return list_from(reply.body);
        });
    if (!list)
    {
        return base::fail(base::failure_code::unavailable,
                          list.error().message);
    }
    return std::move(list.value());
}

base::result<base::done> http_endpoint_list::put(model::endpoint const& it)
{
    return expect_done({"PUT",
                        "/endpoints/" + it.id,
                        {},
                        "application/json",
                        model::text_of(model::to_json(it))});
}

base::result<base::done> http_endpoint_list::leave(std::string const& id)
{
    return expect_done({"POST", "/endpoints/" + id + "/leaving", {}, {}, {}});
}

base::result<base::done> http_endpoint_list::remove(std::string const& id)
{
    return expect_done({"DELETE", "/endpoints/" + id, {}, {}, {}});
}

base::result<base::done>
http_endpoint_list::expect_done(http_request const& request)
{
    // All of these can be repeated, so every failure means the same.
    auto const reply = base::capture(
        [&] { return m_pool->send(m_address, request, m_timeout); });
    if (!reply || reply.value().status != s_ok)
    {
        return base::fail(base::failure_code::unavailable,
                          reply ? "the platform's list answered " +
                                      std::to_string(reply.value().status)
                                : reply.error().message);
    }
    return base::done{};
}

} // namespace berylhill::platform
