#pragma once

#include <network/http_client.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>

namespace berylhill::platform_test
{

/// The store as some processes see it: passes their calls on, or turns them
/// away while it serves the others. Lives on the test's loop.
class store_gate
{
public:
    /// Listens at `at` for calls to the store at `store`. Throws
    /// `std::runtime_error` where it can't.
    store_gate(boost::asio::io_context& loop,
               network::socket_address const& at,
               network::socket_address const& store);

    void set_turning_away(bool it)
    {
        m_turning_away = it;
    }

private:
    void handle(network::http_request const& it, network::responder answer);

    network::socket_address m_store;
    network::http_client m_client;
    network::http_server m_server;
    bool m_turning_away{false};
};

} // namespace berylhill::platform_test
