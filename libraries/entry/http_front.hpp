#pragma once

#include <base/result.hpp>
#include <entry/http_router.hpp>
#include <entry/io_pool.hpp>
#include <network/http_server.hpp>
#include <settings/entry_settings.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace berylhill::entry
{

/// Serves callers: one thread reads requests, so that slow ones hold up nobody,
/// and others handle those that were read whole.
class http_front
{
public:
    /// `router` must outlive it and not change.
    http_front(settings::limit_settings const& limits,
               http_router const& router);
    /// Stops.
    ~http_front();
    http_front(http_front const&) = delete;
    http_front& operator=(http_front const&) = delete;

    /// Fails with `invalid` or `unavailable`. Precondition: not started yet.
    [[nodiscard]] base::result<base::done> bind(std::string const& address);

    /// Precondition: `bind` has succeeded.
    void start();

    /// Takes no more connections, and returns once the requests that were read
    /// have been answered. May be called repeatedly.
    void stop();

    /// How often a limit was met. Of the thread that reads requests: handlers
    /// that answer at once may call it.
    [[nodiscard]] network::server_counts const& counts() const noexcept
    {
        return m_server.counts();
    }

private:
    void handle(network::http_request it, network::responder answer);
    void begin_stop();
    void watch_stop();

    http_router const& m_router;
    std::size_t m_most_waiting;
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work{m_loop.get_executor()};
    std::shared_ptr<network::connection_memory> m_memory{
        std::make_shared<network::connection_memory>()};
    network::http_server m_server;
    boost::asio::steady_timer m_stop_timer{m_loop};
    /// Requests that wait for a thread or have one. Of the loop's thread.
    std::size_t m_handling{0};
    io_pool m_threads;
    std::thread m_reader;
};

} // namespace berylhill::entry
