#include <rpc/channel_pool.hpp>
#include <rpc/frame_socket.hpp>
#include <rpc/server.hpp>

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include <chrono>
#include <thread>

using namespace berylhill;
using namespace std::chrono_literals;

namespace
{

/// Long enough for a busy machine; no test waits for it when all is well.
constexpr auto s_patience = 10s;

base::result<Json::Value> echo(Json::Value const& parameters)
{
    return parameters;
}

base::result<Json::Value> refuse(Json::Value const&)
{
    return base::fail(base::failure_code::refused, "full", 2.5);
}

std::string started(rpc::server& it)
{
    it.add("echo", echo);
    it.add("refuse", refuse);
    auto const address = base::capture([&] { return it.start("127.0.0.1:0"); });
    BOOST_REQUIRE(address.has_value());
    return address.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(channel)

BOOST_AUTO_TEST_CASE(a_call_gets_its_own_whole_answer)
{
    rpc::server server;
    auto const address = started(server);
    rpc::channel_pool pool;
    for (int i = 0; i < 20; ++i)
    {
        Json::Value parameters{Json::objectValue};
        parameters["body"] =
            std::string(static_cast<std::size_t>(i) * 10'000, 'x');
        auto const it = base::capture(
            [&] { return pool.call(address, "echo", parameters, s_patience); });
        BOOST_REQUIRE(it.has_value());
        BOOST_CHECK(it.value() == parameters);
    }
}

BOOST_AUTO_TEST_CASE(a_failure_keeps_its_code_and_its_retry_time)
{
    rpc::server server;
    auto const address = started(server);
    rpc::channel_pool pool;
    auto const it = base::capture(
        [&]
        {
            return pool.call(address, "refuse", Json::Value{Json::objectValue},
                             s_patience);
        });
    BOOST_REQUIRE(!it.has_value());
    BOOST_CHECK(it.error() ==
                (base::failure{base::failure_code::refused, "full", 2.5}));
}

BOOST_AUTO_TEST_CASE(nobody_listening_is_surely_not_run)
{
    rpc::channel_pool pool;
    auto const it = base::capture(
        [&]
        {
            return pool.call("127.0.0.1:1", "echo",
                             Json::Value{Json::objectValue}, s_patience);
        });
    BOOST_REQUIRE(!it.has_value());
    BOOST_CHECK(it.error().code == base::failure_code::unavailable);
}

// A caller's request goes to an entry that was restarted a moment ago. The
// pooled connection was closed by the old process. A write to it would succeed
// and the missing answer would make the outcome unknown, although nothing ran.
BOOST_AUTO_TEST_CASE(a_connection_that_the_peer_closed_is_not_used_again)
{
    rpc::channel_pool pool;
    std::string address;
    Json::Value const none{Json::objectValue};
    {
        rpc::server server;
        address = started(server);
        auto const it = base::capture(
            [&] { return pool.call(address, "echo", none, s_patience); });
        BOOST_REQUIRE(it.has_value());
    }
    auto const after = base::capture(
        [&] { return pool.call(address, "echo", none, s_patience); });
    BOOST_REQUIRE(!after.has_value());
    BOOST_CHECK(after.error().code == base::failure_code::unavailable);
}

// A caller waits for an entry that took its request and then went silent: no
// answer, no error, the connection stays open. The call has to end at its
// deadline, and it must not claim that nothing ran.
BOOST_AUTO_TEST_CASE(a_silent_peer_is_an_unknown_outcome_at_the_deadline)
{
    auto const listener =
        base::capture([] { return rpc::listen_at("127.0.0.1:0"); });
    BOOST_REQUIRE(listener.has_value());
    rpc::frame_socket const silent{listener.value()};
    rpc::channel_pool pool;
    auto const address = rpc::bound_address(listener.value());
    auto const it = base::capture(
        [&] {
            return pool.call(address, "echo", Json::Value{Json::objectValue},
                             50ms);
        });
    BOOST_REQUIRE(!it.has_value());
    BOOST_CHECK(it.error().code == base::failure_code::outcome_unknown);
}

// Somebody sends an entry a frame of brackets. The JSON library throws where
// they nest too deep; the exception left the connection's thread, and the whole
// entry ended with all that it owned.
BOOST_AUTO_TEST_CASE(a_frame_nested_too_deep_costs_its_connection_only)
{
    rpc::server server;
    auto const address = started(server);
    auto socket = base::capture(
        [&] { return rpc::frame_socket::connect(address, s_patience); });
    BOOST_REQUIRE(socket.has_value());
    auto const sent = base::capture(
        [&] {
            return socket.value().write(std::string(100'000, '['), s_patience);
        });
    BOOST_REQUIRE(sent.has_value());
    auto const answer =
        base::capture([&] { return socket.value().read(s_patience); });
    static_cast<void>(answer);
    rpc::channel_pool pool;
    Json::Value const none{Json::objectValue};
    auto const it = base::capture(
        [&] { return pool.call(address, "echo", none, s_patience); });
    BOOST_CHECK(it.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
