#include <network/http_client.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <ostream>
#include <string>

using namespace berylhill;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr std::size_t piece = 4'000;

/// How a server answers: when it begins, how many pieces it sends and how far
/// apart, and how many it has announced.
struct pace
{
    char const* name;
    milliseconds begins;
    std::size_t sent;
    milliseconds apart;
    std::size_t announced;
    network::call_patience patience;
    network::call_end end;
};

std::ostream& operator<<(std::ostream& to, pace const& it)
{
    return to << it.name;
}

using network::call_end;

pace const paces[] = {
    {"within the time for all", milliseconds{0}, 4, milliseconds{10}, 4,
     milliseconds{400}, call_end::answered},
    {"longer than the time for all", milliseconds{0}, 20, milliseconds{30}, 20,
     milliseconds{200}, call_end::unanswered},
    {"the same, and it keeps coming",
     milliseconds{0},
     20,
     milliseconds{30},
     20,
     {milliseconds{200}, milliseconds{200}},
     call_end::answered},
    {"it begins too late",
     milliseconds{400},
     4,
     milliseconds{0},
     4,
     {milliseconds{200}, milliseconds{200}},
     call_end::unanswered},
    {"it stops on the way",
     milliseconds{0},
     4,
     milliseconds{10},
     8,
     {milliseconds{200}, milliseconds{200}},
     call_end::unanswered},
    {"no body",
     milliseconds{0},
     0,
     milliseconds{0},
     0,
     {milliseconds{200}, milliseconds{200}},
     call_end::answered},
};

/// Answers one request at a given pace.
struct fixture
{
    void serve(pace const& it)
    {
        acceptor.async_accept(
            [this, it](auto ec, tcp::socket from)
            {
                if (!ec)
                {
                    socket.emplace(std::move(from));
                    timer.expires_after(it.begins);
                    timer.async_wait([this, it](auto) { begin(it); });
                }
            });
    }

    void begin(pace const& it)
    {
        write("HTTP/1.1 200 OK\r\nContent-Length: " +
              std::to_string(it.announced * piece) + "\r\n\r\n");
        next(it, it.sent);
    }

    void next(pace const& it, std::size_t left)
    {
        if (left == 0)
        {
            return;
        }
        write(std::string(piece, 'x'));
        timer.expires_after(it.apart);
        timer.async_wait(
            [this, it, left](auto ec)
            {
                if (!ec)
                {
                    next(it, left - 1);
                }
            });
    }

    void write(std::string const& it)
    {
        boost::system::error_code ec;
        boost::asio::write(*socket, boost::asio::buffer(it), ec);
    }

    [[nodiscard]] network::socket_address at() const
    {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    network::call_handle ask(network::call_patience const& patience)
    {
        return client.call(
            at(), {network::http_method::get, "/", {}, {}, {}}, patience,
            [this](network::call_result const& it) { got = it; });
    }

    void run(milliseconds span)
    {
        auto const end = std::chrono::steady_clock::now() + span;
        while (!got && std::chrono::steady_clock::now() < end)
        {
            loop.restart();
            loop.run_for(milliseconds{5});
        }
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor{loop,
                           {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    std::optional<tcp::socket> socket;
    boost::asio::steady_timer timer{loop};
    network::http_client client{loop, {}};
    std::optional<network::call_result> got;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_patience, fixture)

/// A response that is larger than a link carries in the time of a call never
/// comes, however often it is asked for.
BOOST_DATA_TEST_CASE(a_response_is_waited_for_while_it_comes,
                     boost::unit_test::data::make(paces))
{
    serve(sample);
    (void)ask(sample.patience);
    run(std::chrono::seconds{3});
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST((got->end == sample.end));
    if (sample.end == call_end::answered)
    {
        BOOST_TEST(got->response.body.size() == sample.announced * piece);
    }
}

BOOST_AUTO_TEST_CASE(what_came_of_a_response_that_stopped_is_told)
{
    auto const& stops = paces[4];
    serve(stops);
    (void)ask(stops.patience);
    run(std::chrono::seconds{3});
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST(got->received == stops.sent * piece);
}

/// A response that is known by another way takes the link to its end.
BOOST_AUTO_TEST_CASE(a_call_that_is_broken_off_says_nothing)
{
    auto const& comes = paces[2];
    serve(comes);
    auto const handle = ask(comes.patience);
    run(milliseconds{100});
    auto const call = handle.lock();
    BOOST_REQUIRE(call != nullptr);
    BOOST_TEST(call->begun());
    call->break_off();
    run(milliseconds{800});
    BOOST_TEST(!got.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
