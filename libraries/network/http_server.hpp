#pragma once

#include <network/connection_memory.hpp>
#include <network/http_message.hpp>
#include <network/server_limits.hpp>
#include <network/socket_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_set>

namespace berylhill::network
{

/// Sends the response of one request; call it once, on the event loop.
using responder = std::function<void(http_response)>;

using request_handler = std::function<void(http_request, responder)>;

/// Why a server refuses a request by itself; nothing was done for it.
enum class refused_request : std::uint16_t
{
    malformed = 400,
    /// It did not come whole in time.
    too_slow = 408,
    body_too_large = 413,
    fields_too_large = 431,
    /// It was read whole and finds too many others being answered.
    busy = 503,
};

/// The answer to a refused request; nothing if its connection is to be closed
/// without one.
using refusal_maker =
    std::function<std::optional<http_response>(refused_request)>;

/// The status is that of the reason. A request that is too slow has no answer.
[[nodiscard]] std::optional<http_response> plain_refusal(refused_request it);

/// Serves HTTP/1.1 on one address. A connection carries one request at a
/// time. All members run on the thread of the event loop.
class http_server
{
public:
    /// The server's connections share `memory` with those of other servers; it
    /// has no limit of its own if there is none.
    http_server(boost::asio::io_context& loop,
                request_handler handler,
                std::shared_ptr<connection_memory> memory =
                    std::make_shared<connection_memory>());
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

    /// Answers requests that the server refuses by itself.
    void set_refusals(refusal_maker it)
    {
        m_refusals = std::move(it);
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

    [[nodiscard]] server_counts const& counts() const noexcept
    {
        return m_counts;
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
    std::shared_ptr<connection_memory> m_memory;
    std::unordered_set<std::shared_ptr<session>> m_sessions;
    /// Connections without a whole request, the longest so first.
    std::list<session*> m_without_request;
    refusal_maker m_refusals{plain_refusal};
    server_counts m_counts;
    std::size_t m_unanswered{0};
    bool m_closing{false};
};

} // namespace berylhill::network
