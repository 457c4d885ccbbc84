#pragma once

#include <base/time.hpp>
#include <network/http_message.hpp>
#include <network/socket_address.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace berylhill::network
{

/// How a call ended.
enum class call_end : std::uint8_t
{
    /// The response is whole.
    answered,
    /// Surely no byte of the request reached the other side.
    not_sent,
    /// The request may have been carried out.
    unanswered,
};

/// The end of a call and, where it was answered, the response. A value.
struct call_result
{
    call_end end{call_end::not_sent};
    http_response response;
    /// The connection was refused: nothing listens at the address.
    bool refused{false};
    /// Bytes of the body that came, also where the response isn't whole.
    std::uint64_t received{0};
    /// The request was sent before, on a connection that broke. That send may
    /// be carried out at any time; a response to the last one that nothing was
    /// done doesn't hold for it.
    bool sent_before{false};
    /// The number of the connection over which the response came; 0 if it was
    /// not kept open, or there is no response.
    std::uint64_t connection{0};

    friend bool operator==(call_result const&, call_result const&) = default;
};

using call_handler = std::function<void(call_result const&)>;

/// How long a call is waited for. A value.
struct call_patience
{
    /// All of the response within `whole`.
    template <class Rep, class Period>
    call_patience( // NOLINT(google-explicit-constructor)
        std::chrono::duration<Rep, Period> whole)
        : begin{whole}
    {
    }

    /// The response begins within `until_begin`, and then no `without_byte`
    /// passes without a byte of it: a large one takes a slow link as long as
    /// it takes, and a silent connection is noticed all the same.
    call_patience(base::duration until_begin, base::duration without_byte)
        : begin{until_begin}
        , stall{without_byte}
    {
    }

    base::duration begin;
    /// 0: the whole response within `begin`.
    base::duration stall{0};
    /// Idle connections to the address are not trusted, but closed.
    bool on_new_connection{false};

    friend bool operator==(call_patience const&,
                           call_patience const&) = default;
};

/// Which connection a call uses. A value.
struct connection_choice
{
    /// The connection is kept for later calls of this kind to the address and
    /// not used for others.
    bool reserved{false};
    /// Only the connection with this number is used: if it is not idle, nothing
    /// is sent, and if it breaks, nothing is sent again. 0: any connection.
    std::uint64_t only{0};

    friend bool operator==(connection_choice const&,
                           connection_choice const&) = default;
};

/// A call that has not ended. Not thread-safe.
class call_under_way
{
public:
    call_under_way() = default;
    call_under_way(call_under_way const&) = delete;
    call_under_way& operator=(call_under_way const&) = delete;
    virtual ~call_under_way() = default;

    /// The response has begun to come.
    [[nodiscard]] virtual bool begun() const = 0;

    /// Closes the connection, so that no more of the response comes; the
    /// handler is not called any more.
    virtual void break_off() = 0;
};

/// The call while it is under way; expired once it has ended.
using call_handle = std::weak_ptr<call_under_way>;

/// Limits of the connections to other processes.
struct client_limits
{
    /// Idle connections kept for each address, and as many reserved ones.
    std::size_t idle_per_address{4};
    /// Connections in use for each address; further calls wait for one.
    std::size_t in_use_per_address{64};
    /// While more connections than this are open, those longest idle are
    /// closed. A process that calls thousands of addresses would otherwise
    /// run out of descriptors, and then reach none of them.
    std::size_t open_with_idle{4'096};
    /// A response with a larger header, or a larger body, counts as no answer.
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{std::size_t{8} * 1024 * 1024};
};

/// HTTP/1.1 calls over connections that are kept open. All members run on the
/// thread of the event loop; handlers are called on it, never from `call`
/// itself.
class http_client
{
public:
    http_client(boost::asio::io_context& loop, client_limits limits);
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;
    ~http_client();

    /// Sends the request and calls `handler` exactly once, when `patience` is
    /// over at the latest, unless it is broken off. A request on a reused
    /// connection that breaks before any byte of the response is sent once
    /// more on a new one, and the result says so (`sent_before`): the caller
    /// sends only requests that may arrive twice.
    call_handle call(socket_address const& to,
                     http_request request,
                     call_patience const& patience,
                     call_handler handler);

    /// As `call`, over the chosen connection.
    call_handle call_over(connection_choice const& choice,
                          socket_address const& to,
                          http_request request,
                          call_patience const& patience,
                          call_handler handler);

    /// Connections opened so far.
    [[nodiscard]] std::uint64_t connections_opened() const noexcept
    {
        return m_opened;
    }

private:
    class connection;
    class exchange;
    friend class exchange;

    using idle_connections = std::vector<std::unique_ptr<connection>>;

    /// Calls that may use each other's connections.
    struct pool_key
    {
        socket_address to;
        bool reserved{false};

        friend auto operator<=>(pool_key const&, pool_key const&) = default;
    };

    /// Begins, now or when a connection to the address is free.
    void begin(std::shared_ptr<exchange> const& it);
    /// The exchange needs its connection no longer.
    void ended(socket_address const& to);
    [[nodiscard]] std::unique_ptr<connection> take(pool_key const& of);
    [[nodiscard]] std::unique_ptr<connection> take_only(pool_key const& of,
                                                        std::uint64_t number);
    void give_back(pool_key const& to, std::unique_ptr<connection> it);
    void forget(socket_address const& to);
    /// Closes idle connections until no more than the limit are open.
    void close_idle();
    void forget_idle_of(connection const& it);

    boost::asio::io_context& m_loop;
    client_limits m_limits;
    std::map<pool_key, idle_connections> m_idle;
    /// By address: how many exchanges run, and those that wait.
    std::map<socket_address, std::size_t> m_running;
    std::map<socket_address, std::deque<std::weak_ptr<exchange>>> m_waiting;
    std::uint64_t m_opened{0};
    /// All that are open, idle or in use; connections may outlive the client.
    std::shared_ptr<std::size_t> m_open{std::make_shared<std::size_t>(0)};
    /// The pools of the idle connections, the longest idle first.
    std::list<pool_key> m_idle_order;
};

} // namespace berylhill::network
