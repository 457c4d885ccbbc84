#include <network/http_client.hpp>

#include <network/http_client_connection.hpp>
#include <network/http_client_exchange.hpp>

#include <algorithm>

namespace berylhill::network
{

namespace asio = boost::asio;

http_client::http_client(asio::io_context& loop, client_limits limits)
    : m_loop{loop}
    , m_limits{limits}
{
}

http_client::~http_client() = default;

call_handle http_client::call(socket_address const& to,
                              http_request request,
                              call_patience const& patience,
                              call_handler handler)
{
    return call_over({}, to, std::move(request), patience, std::move(handler));
}

call_handle http_client::call_over(connection_choice const& choice,
                                   socket_address const& to,
                                   http_request request,
                                   call_patience const& patience,
                                   call_handler handler)
{
    auto const made = std::make_shared<exchange>(*this, to, choice, request,
                                                 std::move(handler));
    made->start(patience);
    return made;
}

void http_client::begin(std::shared_ptr<exchange> const& it)
{
    auto& running = m_running[it->to()];
    if (running >= m_limits.in_use_per_address)
    {
        m_waiting[it->to()].push_back(it);
        return;
    }
    ++running;
    it->connect();
}

void http_client::ended(socket_address const& to)
{
    auto const waiting = m_waiting.find(to);
    while (waiting != m_waiting.end() && !waiting->second.empty())
    {
        auto const next = waiting->second.front().lock();
        waiting->second.pop_front();
        if (next && !next->finished())
        {
            next->connect();
            return;
        }
    }
    m_waiting.erase(to);
    if (auto const at = m_running.find(to); --at->second == 0)
    {
        m_running.erase(at);
    }
}

std::unique_ptr<http_client::connection> http_client::take(pool_key const& of)
{
    auto const it = m_idle.find(of);
    while (it != m_idle.end() && !it->second.empty())
    {
        auto last = std::move(it->second.back());
        it->second.pop_back();
        forget_idle_of(*last);
        if (last->reusable())
        {
            return last;
        }
    }
    return nullptr;
}

std::unique_ptr<http_client::connection>
http_client::take_only(pool_key const& of, std::uint64_t number)
{
    auto const pool = m_idle.find(of);
    if (pool == m_idle.end())
    {
        return nullptr;
    }
    auto const it =
        std::ranges::find(pool->second, number, &connection::number);
    if (it == pool->second.end())
    {
        return nullptr;
    }
    auto out = std::move(*it);
    pool->second.erase(it);
    forget_idle_of(*out);
    return out->reusable() ? std::move(out) : nullptr;
}

void http_client::give_back(pool_key const& to, std::unique_ptr<connection> it)
{
    auto& idle = m_idle[to];
    if (idle.size() < m_limits.idle_per_address)
    {
        it->idle_at = m_idle_order.insert(m_idle_order.end(), to);
        idle.push_back(std::move(it));
        close_idle();
    }
}

void http_client::forget(socket_address const& to)
{
    for (auto const reserved : {false, true})
    {
        auto const known = m_idle.extract({to, reserved});
        if (!known)
        {
            continue;
        }
        for (auto const& it : known.mapped())
        {
            forget_idle_of(*it);
        }
    }
}

void http_client::forget_idle_of(connection const& it)
{
    m_idle_order.erase(it.idle_at);
}

/// Of one pool the last one used is taken first, so its first is the one
/// that has been idle longest.
void http_client::close_idle()
{
    while (*m_open > m_limits.open_with_idle && !m_idle_order.empty())
    {
        auto const at = m_idle.find(m_idle_order.front());
        m_idle_order.pop_front();
        at->second.erase(at->second.begin());
        if (at->second.empty())
        {
            m_idle.erase(at);
        }
    }
}

} // namespace berylhill::network
