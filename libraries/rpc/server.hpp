#pragma once

#include <base/result.hpp>
#include <rpc/frame_socket.hpp>
#include <rpc/json_rpc.hpp>

#include <json/value.h>

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace berylhill::rpc
{

/// Serves JSON-RPC over framed TCP, a thread for each connection, so that a
/// method may block. Calls beyond what a connection carries at once come over
/// further connections.
class server
{
public:
    using method = std::function<base::result<Json::Value>(Json::Value const&)>;

    server() = default;
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
    };

    void accept_loop(std::stop_token const& stop);
    void serve(connection& it);
    void reap_finished();

    json_rpc_server m_protocol;
    int m_listener{-1};
    std::jthread m_acceptor;
    std::mutex m_mutex;
    std::list<connection> m_connections;
    bool m_stopping{false};
};

} // namespace berylhill::rpc
