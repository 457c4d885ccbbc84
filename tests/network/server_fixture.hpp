#pragma once

#include <network/http_client.hpp>
#include <network/http_server.hpp>
#include <tests/support/run_until.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace berylhill::network_test
{

/// A server that answers each request with its body, a client, and a loop
/// that the test runs.
class server_fixture
{
public:
    server_fixture()
        : server{loop,
                 [this](network::http_request it, network::responder answer)
                 {
                     ++requests;
                     if (hold)
                     {
                         held.push_back(std::move(answer));
                         return;
                     }
                     answer({200, {}, it.body, "text/plain"});
                 }}
        , client{loop, {}}
    {
        network::server_limits limits;
        limits.body_bytes = 1'000;
        limits.header_bytes = 2'000;
        limits.request_time = std::chrono::milliseconds{300};
        limits.idle_time = std::chrono::milliseconds{600};
        limits.connections = 20;
        server.set_limits(limits);
        address = {"127.0.0.1", free_port()};
        auto const end = base::capture(
            [&]() -> base::result<base::done>
            {
                BOOST_LEAF_CHECK(server.listen(address));
                return base::done{};
            });
        listening = end.has_value();
    }

    /// The answer, or nothing where there was none in time.
    std::optional<network::call_result>
    call(network::http_request const& it,
         base::duration timeout = std::chrono::seconds{2})
    {
        std::optional<network::call_result> out;
        client.call(address, it, timeout,
                    [&](network::call_result const& end) { out = end; });
        run_until([&] { return out.has_value(); });
        return out;
    }

    /// Runs the loop until `done`, for 5 s at most.
    template <class Done>
    bool run_until(Done done)
    {
        return test_support::run_until(loop, done, std::chrono::seconds{5});
    }

    /// What the server sends in answer to raw bytes, until it closes or is
    /// quiet for the time.
    std::string raw(std::string const& bytes)
    {
        boost::asio::ip::tcp::socket socket{loop};
        socket.connect(
            {boost::asio::ip::make_address_v4(address.host), address.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string out;
        auto closed = false;
        std::array<char, 4'096> buf{};
        std::function<void()> read = [&]
        {
            socket.async_read_some(boost::asio::buffer(buf),
                                   [&](auto ec, std::size_t n)
                                   {
                                       if (ec)
                                       {
                                           closed = true;
                                           return;
                                       }
                                       out.append(buf.data(), n);
                                       read();
                                   });
        };
        read();
        run_until([&] { return closed || out.find("\r\n\r\n") != out.npos; });
        socket.close();
        loop.restart();
        loop.run_for(std::chrono::milliseconds{5});
        return out;
    }

    static std::uint16_t free_port()
    {
        boost::asio::io_context own;
        boost::asio::ip::tcp::acceptor acceptor{
            own, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        return acceptor.local_endpoint().port();
    }

    boost::asio::io_context loop;
    std::size_t requests{0};
    bool hold{false};
    std::vector<network::responder> held;
    network::http_server server;
    network::http_client client;
    network::socket_address address;
    bool listening{false};
};

} // namespace berylhill::network_test
