#include <platform/http_pool.hpp>
#include <tests/platform/scripted_server.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <future>

using namespace berylhill;
using namespace std::chrono_literals;
using tests::scripted_server;
using tests::whole_answer;

BOOST_AUTO_TEST_SUITE(http_pool)

namespace
{

constexpr auto s_timeout = 2s;

base::outcome<platform::http_reply> get(platform::http_pool& pool,
                                        std::string const& address,
                                        base::duration timeout = s_timeout)
{
    return base::capture(
        [&] {
            return pool.send(address, {"GET", "/", {}, {}, {}}, timeout);
        });
}

base::failure_code code_of(base::outcome<platform::http_reply> const& it)
{
    BOOST_REQUIRE(!it.has_value());
    return it.error().code;
}

} // namespace

// A caller's payment runs twice. The minion reads the request on a connection
// that was kept from an earlier call, starts it, and dies before answering. A
// client that takes the close for a stale connection sends it again to the
// next process on that port.
BOOST_AUTO_TEST_CASE(a_request_that_was_read_is_never_written_again)
{
    scripted_server* self = nullptr;
    scripted_server server{[&](int socket, int)
                           {
                               self->read_request(socket);
                               scripted_server::write(socket,
                                                      whole_answer("one"));
                               self->read_request(socket);
                           }};
    self = &server;
    platform::http_pool pool;
    BOOST_TEST(get(pool, server.address()).has_value());
    auto const second = get(pool, server.address());
    BOOST_CHECK(code_of(second) == base::failure_code::outcome_unknown);
    BOOST_TEST(server.requests() == 2);
}

// Every call after a quiet while fails: the peer closes connections that it
// thinks idle, and the client writes into one of them.
BOOST_AUTO_TEST_CASE(a_kept_connection_that_was_closed_is_replaced)
{
    std::promise<void> closed;
    scripted_server* self = nullptr;
    scripted_server server{[&](int socket, int number)
                           {
                               self->read_request(socket);
                               scripted_server::write(socket,
                                                      whole_answer("hello"));
                               if (number == 0)
                               {
                                   ::shutdown(socket, SHUT_RDWR);
                                   closed.set_value();
                                   return;
                               }
                               scripted_server::await_close(socket);
                           }};
    self = &server;
    platform::http_pool pool;
    BOOST_TEST(get(pool, server.address()).has_value());
    closed.get_future().wait();
    BOOST_TEST(get(pool, server.address()).has_value());
    BOOST_TEST(server.requests() == 2);
}

// A caller gets somebody else's report. A server writes an answer twice on a
// kept connection; the second copy comes after the first was taken as whole,
// and is read as the answer to the next request.
BOOST_AUTO_TEST_CASE(bytes_left_on_a_connection_answer_nobody)
{
    std::promise<void> first_taken;
    std::promise<void> repeated;
    scripted_server* self = nullptr;
    scripted_server server{[&](int socket, int number)
                           {
                               self->read_request(socket);
                               auto const text =
                                   whole_answer(std::to_string(number));
                               scripted_server::write(socket, text);
                               if (number == 0)
                               {
                                   first_taken.get_future().wait();
                                   scripted_server::write(socket, text);
                                   repeated.set_value();
                               }
                               scripted_server::await_close(socket);
                           }};
    self = &server;
    platform::http_pool pool;
    BOOST_TEST(get(pool, server.address()).value().body == "0");
    first_taken.set_value();
    repeated.get_future().wait();
    BOOST_TEST(get(pool, server.address()).value().body == "1");
}

// A call outlives its deadline by hours: its peer sends a byte of the headers
// now and then, and each byte starts the read timeout anew.
BOOST_AUTO_TEST_CASE(an_answer_that_drips_ends_at_the_deadline)
{
    scripted_server* self = nullptr;
    scripted_server server{[&](int socket, int)
                           {
                               self->read_request(socket);
                               scripted_server::write(socket,
                                                      "HTTP/1.1 200 OK\r\nA: ");
                               pollfd nothing{socket, 0, 0};
                               for (int i = 0; i < 600; ++i)
                               {
                                   if (!scripted_server::write(socket, "x"))
                                   {
                                       return;
                                   }
                                   ::poll(&nothing, 1, 10);
                               }
                           }};
    self = &server;
    platform::http_pool pool;
    base::system_clock const clock;
    auto const start = clock.now();
    auto const it = get(pool, server.address(), 100ms);
    BOOST_CHECK(code_of(it) == base::failure_code::outcome_unknown);
    BOOST_CHECK(clock.now() - start < 2s);
}

// Calls to a healthy minion time out one after the other. A device between the
// two ends forgot all older connections, so each kept one is silent for good;
// new ones work. After the first silence the others are not tried.
BOOST_AUTO_TEST_CASE(one_silent_connection_drops_the_other_kept_ones)
{
    std::promise<void> first_came;
    std::promise<void> second_came;
    scripted_server* self = nullptr;
    scripted_server server{[&](int socket, int number)
                           {
                               self->read_request(socket);
                               if (number == 0)
                               {
                                   first_came.set_value();
                                   second_came.get_future().wait();
                               }
                               if (number == 1)
                               {
                                   second_came.set_value();
                               }
                               scripted_server::write(socket,
                                                      whole_answer("hello"));
                               scripted_server::await_close(socket);
                           }};
    self = &server;
    platform::http_pool pool;
    // Two at once, so that two connections are kept.
    auto other = std::async(std::launch::async,
                            [&] { return get(pool, server.address()); });
    first_came.get_future().wait();
    BOOST_TEST(get(pool, server.address()).has_value());
    BOOST_TEST(other.get().has_value());
    // Both are silent from now on: their scripts answer nothing more.
    auto const silent = get(pool, server.address(), 50ms);
    BOOST_CHECK(code_of(silent) == base::failure_code::outcome_unknown);
    BOOST_TEST(get(pool, server.address()).has_value());
}

BOOST_AUTO_TEST_CASE(nobody_listens_so_surely_nothing_was_sent)
{
    std::string address;
    {
        scripted_server const server{[](int, int) {
        }};
        address = server.address();
    }
    platform::http_pool pool;
    BOOST_CHECK(code_of(get(pool, address)) == base::failure_code::unavailable);
    BOOST_CHECK(code_of(get(pool, "no port")) ==
                base::failure_code::unavailable);
}

namespace
{

struct broken_case
{
    char const* name;
    char const* answer;
};

std::ostream& operator<<(std::ostream& out, broken_case const& it)
{
    return out << it.name;
}

std::array const s_broken{
    broken_case{"nothing", ""},
    broken_case{"half the headers", "HTTP/1.1 200 OK\r\nContent-Le"},
    broken_case{"a short body",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhell"},
    broken_case{"no length", "HTTP/1.1 200 OK\r\n\r\nhello"},
    broken_case{"a short chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n9\r\nhell"},
    broken_case{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n4\r\nhell\r\n"},
    broken_case{"not HTTP", "hello\r\n\r\n"},
};

} // namespace

// A family's report ends in the middle, and nobody notices: the connection
// broke while the answer was on its way, and what had come was passed on.
BOOST_DATA_TEST_CASE(an_answer_that_is_not_whole_is_no_answer, s_broken, it)
{
    scripted_server* self = nullptr;
    scripted_server server{[&](int socket, int)
                           {
                               self->read_request(socket);
                               scripted_server::write(socket, it.answer);
                           }};
    self = &server;
    platform::http_pool pool;
    BOOST_CHECK(code_of(get(pool, server.address())) ==
                base::failure_code::outcome_unknown);
}

BOOST_AUTO_TEST_SUITE_END()
