#pragma once

#include "fake_log.hpp"

#include <cell/ownership.hpp>
#include <cell/peer_client.hpp>
#include <cell/peer_messages.hpp>
#include <network/http_client.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::cell_test
{

/// A loopback address that nothing listens at.
inline network::socket_address free_address()
{
    boost::asio::io_context own;
    boost::asio::ip::tcp::acceptor acceptor{
        own, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Returns whether the server listens at the address now.
inline bool listens(network::http_server& it, network::socket_address const& at)
{
    return base::capture(
               [&]() -> base::result<base::done>
               {
                   BOOST_LEAF_CHECK(it.listen(at));
                   return base::done{};
               })
        .has_value();
}

/// What a process began to own.
struct takeover
{
    std::map<std::string, std::string> records;
    std::uint64_t token{0};
    std::uint64_t next{0};
};

/// Keeps what ownership reports.
struct recording_listener final : cell::ownership::listener
{
    [[nodiscard]] cell::configuration_age configuration_here() const override
    {
        return {};
    }

    void on_configuration_reported(cell::configuration_age const&,
                                   base::instant,
                                   network::socket_address const&) override
    {
    }

    void on_list_end_reported(cell::log_end_age const&, base::instant) override
    {
    }

    void began(std::map<std::string, std::string> const& records,
               std::uint64_t token,
               std::uint64_t next) override
    {
        takeovers.push_back({records, token, next});
    }

    void claimed() override {}

    void ended() override
    {
        ++ends;
    }

    std::vector<takeover> takeovers;
    std::size_t ends{0};
};

/// One process of a cell that claims, and answers the others' watches. Lives on
/// the test's loop.
struct ownership_process
{
    ownership_process(boost::asio::io_context& loop,
                      fake_log& log,
                      std::string name)
        : self{std::move(name), free_address(), 250}
        , server{loop,
                 [this](auto const&, network::responder answer)
                 {
                     answer_watch(answer);
                 }}
        , http{loop, {}}
        , owner{loop, clock, log, peers, latency, self, self.instance, listener}
    {
        if (!listens(server, self.address))
        {
            throw std::runtime_error{"no listener at " +
                                     network::text_of(self.address)};
        }
    }

    [[nodiscard]] bool owns() const
    {
        return owner.state() == cell::ownership_state::owning ||
               owner.state() == cell::ownership_state::restoring;
    }

    void answer_watch(network::responder const& answer)
    {
        cell::watch_answer out;
        out.owns = owns();
        out.leaving = owner.released() && !out.owns;
        out.owner = owner.owner();
        out.owner_heard = owner.owner_heard();
        if (answers)
        {
            answer({200, {}, cell::text_of(out)});
        }
    }

    cell::peer self;
    network::http_server server;
    base::system_clock clock;
    network::http_client http;
    cell::peer_client peers{http};
    cell::store_latency latency;
    recording_listener listener;
    cell::ownership owner;
    /// Whether it answers watches.
    bool answers{true};
};

} // namespace berylhill::cell_test
