#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylhill::clients_test
{

/// What each client of a crowd sends, once it is connected. A value.
struct script
{
    std::string first;
    /// Sent behind `first`, again and again; empty: nothing.
    std::string again;
    /// After so many bytes in all it sends nothing more, and stays.
    std::size_t most_bytes{0};
    /// Between two sends.
    std::chrono::milliseconds pause{0};

    friend bool operator==(script const&, script const&) = default;
};

/// Clients that send what a script says, and keep their connections open until
/// the crowd goes. Lives on the test's loop; the bytes that it sends are
/// bounded.
class crowd
{
public:
    crowd(boost::asio::io_context& loop, script what);
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;
    ~crowd();

    /// Connects so many clients to the port.
    void join(std::uint16_t port, std::size_t clients);

    /// Whether every client has sent all, or its connection was closed.
    [[nodiscard]] bool done() const;

    /// How many connections the other side has closed.
    [[nodiscard]] std::size_t closed() const;

    /// How many clients have had the beginning of an answer.
    [[nodiscard]] std::size_t answered() const;

    /// The status of each answer that has begun, as it came.
    [[nodiscard]] std::vector<unsigned> statuses() const;

private:
    class client;

    boost::asio::io_context& m_loop;
    std::shared_ptr<script const> m_script;
    std::vector<std::shared_ptr<client>> m_clients;
};

} // namespace berylhill::clients_test
