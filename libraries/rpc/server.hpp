#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <rpc/frame_budget.hpp>
#include <rpc/frame_socket.hpp>
#include <rpc/json_rpc.hpp>

#include <json/value.h>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace berylhill::rpc
{

/// What the connections of a server may take. A value.
struct server_limits
{
    /// For one more, the connection that has been idle for longest is closed.
    std::size_t connections{256};
    /// Requests that are being read hold no more bytes together, beyond the
    /// first ones of each.
    std::size_t request_bytes{std::size_t{64} * 1'024 * 1'024};

    friend bool operator==(server_limits const&,
                           server_limits const&) = default;
};

/// Serves JSON-RPC over framed TCP, a thread for each connection, so that a
/// method may block. Calls beyond what a connection carries at once come over
/// further connections.
class server
{
public:
    using method = std::function<base::result<Json::Value>(Json::Value const&)>;

    explicit server(server_limits limits = {})
        : m_limits{limits}
        , m_request_bytes{limits.request_bytes}
    {
    }
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Precondition: not started yet.
    void add(std::string const& name, method run);

    /// Listens at `IP:port` and returns the address it got. Fails with
    /// `unavailable` or `invalid`.
    [[nodiscard]] base::result<std::string> start(std::string const& address);

    /// Closes all connections and waits for running methods to return.
    void stop();

private:
    struct connection
    {
        explicit connection(int descriptor)
            : socket{descriptor}
        {
        }
        frame_socket socket;
        std::jthread thread;
        bool finished{false};
        /// It is being closed for a newer one.
        bool gives_way{false};
        /// When its last request was answered; nothing while one is run.
        std::optional<base::instant> idle_since;
    };

    [[nodiscard]] bool make_room();
    void set_idle(connection& it, std::optional<base::instant> since);

    void accept_loop(std::stop_token const& stop);
    void serve(connection& it);
    void reap_finished();

    server_limits m_limits;
    frame_budget m_request_bytes;
    base::system_clock m_clock;
    json_rpc_server m_protocol;
    int m_listener{-1};
    std::jthread m_acceptor;
    std::mutex m_mutex;
    std::list<connection> m_connections;
    bool m_stopping{false};
};

} // namespace berylhill::rpc
