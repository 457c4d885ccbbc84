#include <network/http_client.hpp>
#include <network/http_server.hpp>
#include <platform/instance_calls.hpp>
#include <tests/network/server_fixture.hpp>

#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

struct broken_case
{
    char const* name;
    /// The answer to the same order on the next connection.
    unsigned status;
    char const* body;
};

std::ostream& operator<<(std::ostream& to, broken_case const& it)
{
    return to << it.name;
}

broken_case const broken_cases[] = {
    {"turned away with 503", 503, ""},
    {"turned away with 429", 429, ""},
    {"no room", 409, R"({"clockMs":1,"reason":"room"})"},
    {"no ticket", 409, R"({"clockMs":1,"reason":"ticket"})"},
    {"lease passed", 409, R"({"clockMs":1,"reason":"late"})"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(instance_calls)

/// Guards against running a task twice: the kept connection of a start order
/// broke after the instance had read the order, it was sent once more, and the
/// rejection of the second was taken for the outcome of both.
BOOST_DATA_TEST_CASE(a_rejection_says_nothing_of_an_order_that_had_no_answer,
                     boost::unit_test::data::make(broken_cases))
{
    boost::asio::io_context loop;
    unsigned orders = 0;
    network::http_server server{
        loop, [&](network::http_request, network::responder const& answer)
        {
            ++orders;
            if (orders == 1)
            {
                answer({200, {}, R"({"clockMs":1})", "application/json"});
            }
            else if (orders == 2)
            {
                // Read, and may be carried out at any time.
                boost::asio::post(loop, [&] { server.close_connections(); });
            }
            else
            {
                answer({sample.status, {}, sample.body, "application/json"});
            }
        }};
    network::http_client client{loop, {}};
    network::socket_address const address{
        "127.0.0.1", network_test::server_fixture::free_port()};
    BOOST_REQUIRE(base::capture(
                      [&]() -> base::result<base::done>
                      {
                          BOOST_LEAF_CHECK(server.listen(address));
                          return base::done{};
                      })
                      .has_value());
    platform::instance_calls calls{client};
    auto const answer_to = [&](std::uint32_t run)
    {
        std::optional<cell::start_result> out;
        scheduler::start_order order;
        order.instance = "a";
        order.attempt = {{{{1}, 0, 0}, 0}, run};
        calls.start({address, "a", 1}, order, std::chrono::seconds{2},
                    [&](cell::start_result const& it) { out = it; });
        loop.restart();
        while (!out && loop.run_one_for(std::chrono::seconds{3}) > 0)
        {
        }
        BOOST_REQUIRE(out.has_value());
        return out->answer;
    };
    BOOST_REQUIRE((answer_to(1) == scheduler::start_answer::running));
    auto const second = answer_to(2);
    BOOST_TEST_MESSAGE("orders that arrived: " << orders);
    BOOST_TEST((second == scheduler::start_answer::unanswered));
    server.close_connections();
}

namespace
{

struct report_case
{
    char const* name;
    char const* body;
};

std::ostream& operator<<(std::ostream& to, report_case const& it)
{
    return to << it.name;
}

report_case const unreadable_reports[] = {
    {"no body", ""},
    {"not JSON", R"({"clockMs":1,"running":[["0000000000000001.0.0.0",1,"",)"},
    {"no lists", R"({"clockMs":1})"},
    {"a list that is none", R"({"clockMs":1,"running":"","ended":[]})"},
};

} // namespace

/// Guards against running a task twice: a report that could not be read counted
/// as one of an instance that runs nothing, so all its tasks started elsewhere.
BOOST_DATA_TEST_CASE(an_unreadable_report_says_nothing_of_what_runs,
                     boost::unit_test::data::make(unreadable_reports))
{
    boost::asio::io_context loop;
    network::http_server server{
        loop, [&](network::http_request, network::responder const& answer)
        {
            answer({200, {}, sample.body, "application/json"});
        }};
    network::http_client client{loop, {}};
    network::socket_address const address{
        "127.0.0.1", network_test::server_fixture::free_port()};
    BOOST_REQUIRE(base::capture(
                      [&]() -> base::result<base::done>
                      {
                          BOOST_LEAF_CHECK(server.listen(address));
                          return base::done{};
                      })
                      .has_value());
    platform::instance_calls calls{client};
    std::optional<cell::order_outcome> end;
    calls.hold({address, "a", 1}, {}, std::chrono::seconds{2},
               [&](cell::hold_result const& it) { end = it.outcome; });
    while (!end && loop.run_one_for(std::chrono::seconds{3}) > 0)
    {
    }
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == cell::order_outcome::unanswered));
    server.close_connections();
}

BOOST_AUTO_TEST_SUITE_END()
