#pragma once

#include <base/time.hpp>
#include <network/http_message.hpp>
#include <network/socket_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

namespace berylhill::network
{

/// Sends the response of one request; call it once, on the event loop.
using responder = std::function<void(http_response)>;

using request_handler = std::function<void(http_request, responder)>;

/// What one connection may hold back, and how many there may be.
struct server_limits
{
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{262'144};
    /// From the first byte of a request to its last.
    base::duration request_time{std::chrono::seconds{3}};
    /// Between requests.
    base::duration idle_time{std::chrono::seconds{15}};
    /// Connections above it are closed at once.
    std::size_t connections{3'000};

    friend bool operator==(server_limits const&,
                           server_limits const&) = default;
};

/// Serves HTTP/1.1 on one address. A connection carries one request at a
/// time. All members run on the thread of the event loop.
class http_server
{
public:
    http_server(boost::asio::io_context& loop, request_handler handler);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server();

    /// Fails with `unavailable` where the address cannot be bound.
    [[nodiscard]] base::result<void> listen(socket_address const& at);

    /// Holds for requests that begin afterwards.
    void set_limits(server_limits it)
    {
        m_limits = it;
    }

    /// From now on each response asks the caller to close, and idle
    /// connections are closed when `idle_time` has passed.
    void set_closing();

    /// Closes the listening socket.
    void stop_listening();

    /// Breaks all connections, whatever they are at.
    void close_connections();

    /// Requests read and not yet answered.
    [[nodiscard]] std::size_t unanswered() const noexcept
    {
        return m_unanswered;
    }

    [[nodiscard]] std::size_t connections() const noexcept
    {
        return m_sessions.size();
    }

private:
    class session;
    friend class session;

    void accept();
    void accept_more();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    server_limits m_limits;
    std::unordered_set<std::shared_ptr<session>> m_sessions;
    std::size_t m_unanswered{0};
    bool m_closing{false};
};

} // namespace berylhill::network
