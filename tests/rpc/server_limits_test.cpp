#include <rpc/channel_pool.hpp>
#include <rpc/frame_budget.hpp>
#include <rpc/frame_socket.hpp>
#include <rpc/server.hpp>

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using namespace berylhill;
using namespace std::chrono_literals;

namespace
{

/// Long enough for a busy machine; no test waits for it when all is well.
constexpr auto s_patience = 10s;

std::string started(rpc::server& it)
{
    it.add("echo", [](Json::Value const& parameters)
           { return base::result<Json::Value>{parameters}; });
    auto const address = base::capture([&] { return it.start("127.0.0.1:0"); });
    BOOST_REQUIRE(address.has_value());
    return address.value();
}

bool echoes(std::string const& address, std::size_t bytes)
{
    rpc::channel_pool pool;
    Json::Value parameters{Json::objectValue};
    parameters["body"] = std::string(bytes, 'x');
    auto const it = base::capture(
        [&] { return pool.call(address, "echo", parameters, s_patience); });
    return it && it.value() == parameters;
}

std::vector<rpc::frame_socket> connect(std::string const& address,
                                       std::size_t n)
{
    std::vector<rpc::frame_socket> out;
    for (std::size_t k = 0; k < n; ++k)
    {
        auto made = base::capture(
            [&]() -> base::result<base::done>
            {
                BOOST_LEAF_AUTO(
                    it, rpc::frame_socket::connect(address, s_patience));
                out.push_back(std::move(it));
                return base::done{};
            });
        BOOST_REQUIRE(made.has_value());
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_limits)

/// Guards against entries that reach each other no more: idle connections hold
/// all threads.
BOOST_AUTO_TEST_CASE(the_longest_idle_connection_makes_room)
{
    constexpr std::size_t most = 4;
    rpc::server server{{most}};
    auto const address = started(server);
    auto const idle = connect(address, 2 * most);
    for (std::size_t n = 0; n < 2 * most; ++n)
    {
        BOOST_TEST(echoes(address, 10));
    }
}

/// Guards against an entry that runs out of memory over requests of others, and
/// against large ones that keep the small ones out.
BOOST_AUTO_TEST_CASE(large_requests_together_are_bounded)
{
    constexpr std::size_t room = 100'000;
    rpc::server server{{16, room}};
    auto const address = started(server);
    BOOST_TEST(echoes(address, room));
    BOOST_TEST(!echoes(address, 3 * room));
    BOOST_TEST(echoes(address, room / 2));
}

/// Guards against an entry that holds far more than its limit for requests: the
/// buffer of a large one grew, and left copies of it.
BOOST_AUTO_TEST_CASE(a_large_frame_takes_no_more_than_its_size)
{
    constexpr std::size_t size = std::size_t{5} * 1'024 * 1'024;
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    rpc::frame_socket reader{ends[0]};
    rpc::frame_socket writer{ends[1]};
    std::thread sender{
        [&]
        {
            std::ignore = base::capture(
                [&]
                { return writer.write(std::string(size, 'x'), s_patience); });
        }};
    rpc::frame_budget budget;
    rpc::frame_share share{budget};
    auto const frame = base::capture(
        [&] { return reader.read_request(s_patience, s_patience, share); });
    sender.join();
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame.value().size() == size);
    BOOST_TEST(frame.value().capacity() == size);
}

BOOST_AUTO_TEST_CASE(a_frame_gives_back_what_it_took)
{
    constexpr std::size_t room = 1'000;
    constexpr auto first = rpc::frame_share::free_bytes;
    rpc::frame_budget budget{room};
    {
        rpc::frame_share it{budget};
        rpc::frame_share other{budget};
        BOOST_TEST(it.grow_to(first));
        BOOST_TEST(it.grow_to(first + room));
        BOOST_TEST(!it.grow_to(first + room + 1));
        BOOST_TEST(other.grow_to(first));
        BOOST_TEST(!other.grow_to(first + 1));
    }
    rpc::frame_share next{budget};
    BOOST_TEST(next.grow_to(first + room));
}

BOOST_AUTO_TEST_SUITE_END()
