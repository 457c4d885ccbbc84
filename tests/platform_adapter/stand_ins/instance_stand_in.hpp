#pragma once

#include <json_codec/reader.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylhill::platform_test
{

/// An instance that runs tasks: each takes a fixed time and ends `done`. It
/// keeps the highest token, leases, and its ends until they are seen. Lives on
/// the test's loop.
class instance_stand_in
{
public:
    /// Told of each task that begins.
    using start_handler = std::function<void(std::string const& task)>;

    instance_stand_in(boost::asio::io_context& loop,
                      network::socket_address const& at,
                      std::string id,
                      std::chrono::milliseconds work,
                      start_handler started);

    [[nodiscard]] std::string const& id() const noexcept
    {
        return m_id;
    }

    /// What it writes of itself into the store.
    [[nodiscard]] std::string heartbeat() const;

private:
    struct running_task
    {
        std::int64_t number{0};
        std::chrono::steady_clock::time_point ends;
    };

    struct waiting_hold
    {
        network::responder answer;
        std::chrono::steady_clock::time_point until;
    };

    void handle(network::http_request const& it,
                network::responder const& answer);
    void start(boost::json::value const& it, network::responder const& answer);
    void hold(boost::json::value const& it, network::responder const& answer);
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] network::http_response report() const;
    void every_tick();

    network::socket_address m_address;
    std::string m_id;
    std::chrono::milliseconds m_work;
    start_handler m_started;
    boost::asio::steady_timer m_timer;
    network::http_server m_server;
    std::int64_t m_token{0};
    std::int64_t m_until_ms{0};
    std::map<std::string, running_task> m_running;
    std::map<std::string, std::int64_t> m_highest;
    std::vector<boost::json::array> m_ended;
    std::int64_t m_next_end{1};
    std::vector<waiting_hold> m_waiting;
};

} // namespace berylhill::platform_test
