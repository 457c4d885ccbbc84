#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <rpc/frame_socket.hpp>

#include <json/value.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace berylhill::rpc
{

/// Calls methods of other processes over pooled connections, each of which
/// carries one call at a time. Thread-safe.
class channel_pool
{
public:
    channel_pool();
    ~channel_pool();
    channel_pool(channel_pool const&) = delete;
    channel_pool& operator=(channel_pool const&) = delete;

    /// Runs `method` at `address` (`IP:port`). Fails with what the method
    /// failed with; with `unavailable` when the request surely did not arrive;
    /// with `outcome_unknown` when no whole answer came within `timeout`.
    [[nodiscard]] base::result<Json::Value> call(std::string const& address,
                                                 std::string const& method,
                                                 Json::Value const& parameters,
                                                 base::duration timeout);

    /// Idle connections that were closed because they had gone silent.
    [[nodiscard]] std::size_t replaced() const;

private:
    struct idle_connection
    {
        frame_socket socket;
        base::instant last_used;
    };

    [[nodiscard]] base::result<frame_socket> take(std::string const& address,
                                                  base::duration timeout);
    void give_back(std::string const& address, frame_socket socket);
    void ping_loop(std::stop_token const& stop);
    void ping_idle();

    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<idle_connection>> m_idle;
    std::size_t m_replaced{0};
    std::jthread m_pinger;
};

} // namespace berylhill::rpc
