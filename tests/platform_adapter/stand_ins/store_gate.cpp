#include "store_gate.hpp"

#include <base/result.hpp>

#include <stdexcept>
#include <utility>

namespace berylhill::platform_test
{

namespace
{

constexpr unsigned turned_away = 503;
constexpr base::duration longest_call = std::chrono::seconds{5};

} // namespace

store_gate::store_gate(boost::asio::io_context& loop,
                       network::socket_address const& at,
                       network::socket_address const& store)
    : m_store{store}
    , m_client{loop, {}}
    , m_server{loop, [this](auto const& it, auto answer)
               {
                   handle(it, std::move(answer));
               }}
{
    auto const end = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(m_server.listen(at));
            return base::done{};
        });
    if (!end)
    {
        throw std::runtime_error{end.error().message};
    }
}

void store_gate::handle(network::http_request const& it,
                        network::responder answer)
{
    if (m_turning_away)
    {
        answer({turned_away, {}, {}});
        return;
    }
    m_client.call(
        m_store, it, longest_call,
        [this, answer = std::move(answer)](network::call_result const& end)
        {
            if (m_turning_away || end.end != network::call_end::answered)
            {
                answer({turned_away, {}, {}});
                return;
            }
            answer(end.response);
        });
}

} // namespace berylhill::platform_test
