#include <rpc/channel_pool.hpp>

#include <base/log.hpp>
#include <rpc/failure_codec.hpp>
#include <rpc/json_rpc.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <utility>

namespace berylhill::rpc
{

namespace
{

using base::failure_code;

constexpr base::duration s_connect_limit = std::chrono::milliseconds{500};
/// An idle connection is asked this often whether it still answers.
constexpr base::duration s_ping_after = std::chrono::seconds{2};
constexpr base::duration s_ping_limit = std::chrono::milliseconds{500};
constexpr auto s_ping_interval = std::chrono::milliseconds{500};
constexpr std::size_t s_most_idle = 64;

/// Every server answers a method it does not know, which makes any call a ping.
constexpr auto s_ping_text = R"({"jsonrpc":"2.0","id":0,"method":"ping"})";

base::instant now()
{
    return base::system_clock{}.now();
}

base::outcome<std::string> ping(frame_socket& it)
{
    return base::capture(
        [&]() -> base::result<std::string>
        {
            BOOST_LEAF_CHECK(it.write(s_ping_text, s_ping_limit));
            return it.read(s_ping_limit);
        });
}

} // namespace

channel_pool::channel_pool()
    : m_pinger{[this](std::stop_token const& stop)
               {
                   ping_loop(stop);
               }}
{
}

channel_pool::~channel_pool() = default;

std::size_t channel_pool::replaced() const
{
    std::lock_guard const lock{m_mutex};
    return m_replaced;
}

base::result<Json::Value> channel_pool::call(std::string const& address,
                                             std::string const& method,
                                             Json::Value const& parameters,
                                             base::duration timeout)
{
    auto const until = now() + timeout;
    BOOST_LEAF_AUTO(socket, take(address, std::min(timeout, s_connect_limit)));
    base::failure broken{failure_code::outcome_unknown, "no answer", 0};
    auto const send = [&](std::string const& request, std::string& response)
    {
        auto const answer = base::capture(
            [&]() -> base::result<std::string>
            {
                BOOST_LEAF_CHECK(socket.write(request, until - now()));
                return socket.read(until - now());
            });
        if (!answer)
        {
            broken = answer.error();
            return false;
        }
        response = answer.value();
        return true;
    };
    json_rpc_client client{send};
    Json::Value result;
    rpc_error error;
    if (!client.call(method, parameters, result, error))
    {
        // The socket is dropped: a late answer must not meet the next call.
        return base::fail(failure_code::outcome_unknown,
                          address + ": " + method + ": " + broken.message);
    }
    give_back(address, std::move(socket));
    if (error.present)
    {
        return base::fail(failure_from(error));
    }
    return result;
}

base::result<frame_socket> channel_pool::take(std::string const& address,
                                              base::duration timeout)
{
    std::vector<idle_connection> spoiled;
    {
        std::lock_guard const lock{m_mutex};
        auto& idle = m_idle[address];
        while (!idle.empty())
        {
            auto it = std::move(idle.back());
            idle.pop_back();
            // A connection whose other end died is closed already; sending on
            // it would turn a request that surely did not run into an unknown
            // one.
            if (!it.socket.spoiled())
            {
                return std::move(it.socket);
            }
            spoiled.push_back(std::move(it));
        }
    }
    return frame_socket::connect(address, timeout);
}

void channel_pool::give_back(std::string const& address, frame_socket socket)
{
    std::lock_guard const lock{m_mutex};
    auto& idle = m_idle[address];
    if (idle.size() < s_most_idle)
    {
        idle.push_back({std::move(socket), now()});
    }
}

void channel_pool::ping_loop(std::stop_token const& stop)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!stop.stop_requested())
    {
        std::unique_lock lock{mutex};
        wake.wait_for(lock, stop, s_ping_interval, [] { return false; });
        ping_idle();
    }
}

/// Guards against a connection that went silent for good: a call on it would
/// only end at its deadline, and its outcome would be unknown. A ping finds it
/// while it is idle, so that a call meets a working one.
void channel_pool::ping_idle()
{
    std::vector<std::pair<std::string, idle_connection>> due;
    {
        std::lock_guard const lock{m_mutex};
        for (auto& [address, idle] : m_idle)
        {
            auto const first_due =
                std::partition(idle.begin(), idle.end(),
                               [](auto const& it)
                               { return now() - it.last_used < s_ping_after; });
            // Half of those unused for long are closed each time, so that a
            // pool shrinks again after a peak; one stays for the next call.
            auto kept = std::size_t{0};
            for (auto it = first_due; it != idle.end(); ++it)
            {
                if (kept++ % 2 == 0)
                {
                    due.emplace_back(address, std::move(*it));
                }
            }
            idle.erase(first_due, idle.end());
        }
    }
    for (auto& [address, it] : due)
    {
        auto const answer = ping(it.socket);
        if (answer)
        {
            give_back(address, std::move(it.socket));
            continue;
        }
        base::log(base::log_level::warning, "connection_replaced",
                  {{"peer", address}, {"cause", answer.error().message}});
        std::lock_guard const lock{m_mutex};
        ++m_replaced;
    }
}

} // namespace berylhill::rpc
