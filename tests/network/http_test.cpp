#include "server_fixture.hpp"

#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::network_test;
using network::call_end;

namespace
{

network::http_request post(std::string body)
{
    return {
        network::http_method::post, "/x", {}, std::move(body), "text/plain"};
}

struct raw_case
{
    char const* name;
    std::string bytes;
    /// What the answer begins with; empty: closed without one.
    std::string answer;
};

std::ostream& operator<<(std::ostream& to, raw_case const& it)
{
    return to << it.name;
}

std::string const chunked =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string many_fields()
{
    std::string out = "GET / HTTP/1.1\r\n";
    for (int n = 0; n < 200; ++n)
    {
        out += "a:\r\n";
    }
    return out + "\r\n";
}

std::string trailers()
{
    std::string out;
    for (int n = 0; n < 2'000; ++n)
    {
        out += "a: b\r\n";
    }
    return out;
}

raw_case const raw_cases[] = {
    {"a length below 0",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
     "HTTP/1.1 400"},
    {"a length beyond all limits",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
     "HTTP/1.1 413"},
    {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
    {"headers without end",
     "GET / HTTP/1.1\r\nA: " + std::string(5'000, 'a') + "\r\n",
     "HTTP/1.1 431"},
    {"a whole request", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200"},
    {"a body that asks to be continued",
     "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
     "Content-Length: 1\r\n\r\nx",
     "HTTP/1.1 200"},
    {"a length and chunks",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"more fields than are read", many_fields(), "HTTP/1.1 431"},
    {"a trailer line without end",
     chunked + "1\r\nx\r\n0\r\na: " + std::string(5'000, 'a'), "HTTP/1.1 431"},
    {"trailer fields without end", chunked + "1\r\nx\r\n0\r\n" + trailers(),
     "HTTP/1.1 431"},
    {"a chunk extension without end",
     chunked + "1;a=" + std::string(5'000, 'a'), "HTTP/1.1 431"},
    {"a chunked body with a trailer field",
     chunked + "1\r\nx\r\n0\r\na: b\r\n\r\n", "HTTP/1.1 200"},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, server_fixture)

BOOST_AUTO_TEST_CASE(a_request_is_answered_on_a_kept_connection)
{
    BOOST_REQUIRE(listening);
    for (int n = 0; n < 3; ++n)
    {
        auto const end = call(post("body"));
        BOOST_REQUIRE(end.has_value());
        BOOST_TEST((end->end == call_end::answered));
        BOOST_TEST(end->response.body == "body");
    }
    BOOST_TEST(client.connections_opened() == 1U);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_known_not_to_have_been_sent)
{
    server.stop_listening();
    auto const end = call(post("body"));
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->end == call_end::not_sent));
    BOOST_TEST(end->refused);
}

BOOST_AUTO_TEST_CASE(a_request_without_an_answer_ends_in_time)
{
    hold = true;
    auto const end = call(post("body"), std::chrono::milliseconds{100});
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->end == call_end::unanswered));
    BOOST_TEST(requests == 1U);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_was_closed_is_opened_again)
{
    BOOST_REQUIRE(call(post("one")).has_value());
    run_until([&] { return server.connections() == 0; });
    auto const end = call(post("two"));
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->end == call_end::answered));
    BOOST_TEST(client.connections_opened() == 2U);
}

/// Guards against outcomes that are unknown without need: nothing is sent on a
/// kept connection that is known to be closed.
BOOST_AUTO_TEST_CASE(nothing_is_sent_on_a_connection_that_was_closed)
{
    BOOST_REQUIRE(call(post("one")).has_value());
    run_until([&] { return server.connections() == 0; });
    auto const end = call(post("two"));
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->end == call_end::answered));
    BOOST_TEST(!end->sent_before);
}

/// Guards against an answer to an older request that is taken for the answer
/// to a newer one: a server answers the first request twice.
BOOST_AUTO_TEST_CASE(a_second_answer_to_a_request_is_not_read_for_the_next)
{
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor{
        loop, {asio::ip::make_address_v4("127.0.0.1"), 0}};
    network::socket_address const at{"127.0.0.1",
                                     acceptor.local_endpoint().port()};
    asio::ip::tcp::socket peer{loop};
    acceptor.async_accept(
        peer,
        [&](auto)
        {
            constexpr std::string_view answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
            asio::write(peer, asio::buffer(answer));
            asio::write(peer, asio::buffer(answer));
        });
    std::optional<network::call_result> end;
    auto const note = [&](network::call_result const& it)
    {
        end = it;
    };
    client.call(at, post("one"), std::chrono::seconds{2}, note);
    BOOST_REQUIRE(run_until([&] { return end.has_value(); }));
    BOOST_TEST(end->response.body == "old");
    end.reset();
    client.call(at, post("two"), std::chrono::milliseconds{100}, note);
    BOOST_REQUIRE(run_until([&] { return end.has_value(); }));
    BOOST_TEST((end->end == call_end::unanswered));
}

/// A user is told that a job does not run, and it runs. The request goes out
/// on a kept connection, which breaks before the answer; nothing listens any
/// more for the second try, and the first one was forgotten.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_arrived_is_not_called_unsent)
{
    BOOST_REQUIRE(call(post("one")).has_value());
    hold = true;
    std::optional<network::call_result> end;
    client.call(address, post("two"), std::chrono::seconds{3},
                [&](network::call_result const& it) { end = it; });
    BOOST_TEST(run_until([&] { return held.size() == 1; }));
    server.stop_listening();
    server.close_connections();
    BOOST_TEST(run_until([&] { return end.has_value(); }));
    BOOST_TEST((end->end == call_end::unanswered));
}

/// Guards against a refusal of a second send that is taken for the outcome of
/// both: the first one arrived before its connection broke.
BOOST_AUTO_TEST_CASE(a_request_that_was_sent_twice_is_reported)
{
    auto const first = call(post("one"));
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(!first->sent_before);
    hold = true;
    std::optional<network::call_result> end;
    client.call(address, post("two"), std::chrono::seconds{3},
                [&](network::call_result const& it) { end = it; });
    BOOST_TEST(run_until([&] { return held.size() == 1; }));
    hold = false;
    server.close_connections();
    BOOST_TEST(run_until([&] { return end.has_value(); }));
    BOOST_TEST((end->end == call_end::answered));
    BOOST_TEST(end->sent_before);
    BOOST_TEST(requests == 3U);
}

BOOST_DATA_TEST_CASE(bytes_that_are_no_request_are_refused_at_once,
                     boost::unit_test::data::make(raw_cases))
{
    auto const answer = raw(sample.bytes);
    BOOST_TEST(answer.substr(0, sample.answer.size()) == sample.answer);
}

/// A caller that sends a byte now and then, or nothing, would hold its
/// connection for ever; with enough of them nobody else got in.
BOOST_AUTO_TEST_CASE(a_request_that_does_not_come_is_not_waited_for)
{
    boost::asio::ip::tcp::socket socket{loop};
    socket.connect(
        {boost::asio::ip::make_address_v4(address.host), address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string{"POST / HT"}));
    BOOST_TEST(run_until([&] { return server.connections() == 1; }));
    BOOST_TEST(run_until([&] { return server.connections() == 0; }));
}

/// Guards against callers who get no connection: as many as there may be are
/// held by others who send nothing.
BOOST_AUTO_TEST_CASE(the_longest_silent_connection_makes_room)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t most = 20;
    std::vector<std::unique_ptr<tcp::socket>> silent;
    for (std::size_t n = 0; n < most; ++n)
    {
        silent.push_back(std::make_unique<tcp::socket>(loop));
        silent.back()->connect(
            {boost::asio::ip::make_address_v4(address.host), address.port});
    }
    BOOST_TEST(run_until([&] { return server.connections() == most; }));
    auto const end = call(post("body"));
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->end == call_end::answered));
    BOOST_TEST(server.counts().closed_for_new == 1U);
}

/// Guards against a request that was read whole and gets no answer: its caller
/// sends nothing more, and says so.
BOOST_AUTO_TEST_CASE(a_half_closed_connection_gets_its_answer)
{
    using boost::asio::ip::tcp;
    hold = true;
    tcp::socket socket{loop};
    socket.connect(
        {boost::asio::ip::make_address_v4(address.host), address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string{
                                   "GET / HTTP/1.1\r\nHost: a\r\n\r\n"}));
    socket.shutdown(tcp::socket::shutdown_send);
    BOOST_TEST(run_until([&] { return held.size() == 1; }));
    held.front()({200, {}, {}});
    BOOST_TEST(run_until([&] { return socket.available() > 0; }));
}

/// Guards against a process that runs out of memory over answers that nobody
/// reads.
BOOST_AUTO_TEST_CASE(large_answers_together_are_bounded)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t answer_bytes = 8'000'000;
    constexpr std::size_t clients = 6;
    auto const memory = std::make_shared<network::connection_memory>();
    memory->set_limit(4 * answer_bytes);
    network::http_server large{
        loop,
        [](auto const&, auto answer) {
            answer({200, {}, std::string(answer_bytes, 'x')});
        },
        memory};
    network::socket_address const at{"127.0.0.1", free_port()};
    BOOST_REQUIRE(base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(large.listen(at));
            return base::done{};
        }));
    std::vector<std::unique_ptr<tcp::socket>> idle_readers;
    for (std::size_t n = 0; n < clients; ++n)
    {
        idle_readers.push_back(std::make_unique<tcp::socket>(loop));
        idle_readers.back()->connect(
            {boost::asio::ip::make_address_v4(at.host), at.port});
        boost::asio::write(*idle_readers.back(),
                           boost::asio::buffer(std::string{
                               "GET / HTTP/1.1\r\nHost: a\r\n\r\n"}));
    }
    BOOST_TEST(run_until([&] { return large.counts().closed_for_memory > 0; }));
    BOOST_TEST(memory->held() <= 4 * answer_bytes);
}

/// Guards against a request that was read whole and gets no answer: its
/// connection does not make room.
BOOST_AUTO_TEST_CASE(a_connection_that_waits_for_an_answer_makes_no_room)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t most = 20;
    hold = true;
    std::optional<network::call_result> end;
    client.call(address, post("body"), std::chrono::seconds{3},
                [&](network::call_result const& it) { end = it; });
    BOOST_TEST(run_until([&] { return held.size() == 1; }));
    std::vector<std::unique_ptr<tcp::socket>> silent;
    for (std::size_t n = 0; n < 2 * most; ++n)
    {
        silent.push_back(std::make_unique<tcp::socket>(loop));
        silent.back()->connect(
            {boost::asio::ip::make_address_v4(address.host), address.port});
    }
    BOOST_TEST(
        run_until([&] { return server.counts().closed_for_new > most; }));
    held.front()({200, {}, {}});
    BOOST_TEST(run_until([&] { return end.has_value(); }));
    BOOST_TEST((end->end == call_end::answered));
}

/// An owner is lost, and hundreds of processes come to the next one at once;
/// it is busy, and takes them in one at a time behind all else, so the last of
/// them take it for lost too. Those that wait are taken together.
BOOST_AUTO_TEST_CASE(connections_that_wait_are_taken_together)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t waiting = 18;
    std::vector<std::unique_ptr<tcp::socket>> clients;
    for (std::size_t n = 0; n < waiting; ++n)
    {
        clients.push_back(std::make_unique<tcp::socket>(loop));
        clients.back()->connect(
            {boost::asio::ip::make_address_v4(address.host), address.port});
    }
    loop.restart();
    // One handler runs: that of the first connection.
    BOOST_TEST(loop.run_one_for(std::chrono::seconds{2}) == 1U);
    BOOST_TEST(server.connections() == waiting);
}

/// An owner of thousands of instances reaches none of them any more: idle
/// connections to each have used up its descriptors. So the one that has been
/// idle longest goes when there are more than the limit.
BOOST_AUTO_TEST_CASE(idle_connections_make_room_for_new_ones)
{
    network::client_limits limits;
    limits.open_with_idle = 2;
    network::http_client few{loop, limits};
    std::vector<std::unique_ptr<network::http_server>> servers;
    std::vector<network::socket_address> at;
    for (int n = 0; n < 3; ++n)
    {
        servers.push_back(std::make_unique<network::http_server>(
            loop,
            [](auto const&, auto answer) {
                answer({200, {}, {}});
            }));
        at.push_back({"127.0.0.1", free_port()});
        BOOST_TEST_REQUIRE(base::capture(
                               [&]() -> base::result<base::done>
                               {
                                   BOOST_LEAF_CHECK(
                                       servers.back()->listen(at.back()));
                                   return base::done{};
                               })
                               .has_value());
    }
    auto const opened_after = [&](std::size_t to)
    {
        auto answered = false;
        few.call(at[to], {network::http_method::get, "/", {}, {}, {}},
                 std::chrono::seconds{2},
                 [&](network::call_result const& end)
                 { answered = end.end == network::call_end::answered; });
        BOOST_TEST(run_until([&] { return answered; }));
        return few.connections_opened();
    };
    BOOST_TEST(opened_after(0) == 1U);
    BOOST_TEST(opened_after(1) == 2U);
    BOOST_TEST(opened_after(2) == 3U);
    BOOST_TEST(opened_after(1) == 3U);
    BOOST_TEST(opened_after(2) == 3U);
    BOOST_TEST(opened_after(0) == 4U);
}

BOOST_AUTO_TEST_CASE(calls_to_one_address_share_its_connections)
{
    network::http_client narrow{loop, {2, 2}};
    hold = true;
    std::size_t ended = 0;
    for (int n = 0; n < 4; ++n)
    {
        narrow.call(address, post("body"), std::chrono::seconds{3},
                    [&](auto const&) { ++ended; });
    }
    BOOST_TEST(run_until([&] { return held.size() == 2; }));
    hold = false;
    for (auto const& it : held)
    {
        it({200, {}, {}});
    }
    BOOST_TEST(run_until([&] { return ended == 4; }));
    BOOST_TEST(narrow.connections_opened() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
