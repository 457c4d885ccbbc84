#include "stand_ins/ports.hpp"

#include <network/http_client.hpp>
#include <network/http_server.hpp>
#include <platform/instance_calls.hpp>
#include <platform/store_log.hpp>
#include <tests/support/run_until.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::platform_test;
using cell::append_outcome;
using cell::order_outcome;
using scheduler::start_answer;

namespace
{

template <class Outcome>
struct answer_case
{
    char const* name;
    unsigned status;
    char const* body;
    Outcome outcome;
};

template <class Outcome>
std::ostream& operator<<(std::ostream& to, answer_case<Outcome> const& it)
{
    return to << it.name;
}

answer_case<append_outcome> const repeated_appends[] = {
    {"unavailable", 503, "", append_outcome::unanswered},
    {"too many calls", 429, "", append_outcome::unanswered},
    {"full", 507, "", append_outcome::unanswered},
    {"malformed", 400, "", append_outcome::unanswered},
    {"stored", 200, R"({"offset":3,"end":4})", append_outcome::stored},
    {"conflict", 412, R"({"end":4})", append_outcome::conflict},
};

answer_case<append_outcome> const appends[] = {
    {"stored", 200, R"({"offset":3,"end":4})", append_outcome::stored},
    {"conflict", 412, R"({"end":4})", append_outcome::conflict},
    {"malformed", 400, "", append_outcome::rejected},
    {"not allowed", 403, "", append_outcome::rejected},
    {"another writer", 409, R"({"reason":"fenced"})", append_outcome::rejected},
    {"too large", 413, "", append_outcome::rejected},
    {"a client error that is not known", 422, "", append_outcome::rejected},
    {"too many calls", 429, "", append_outcome::refused},
    {"an error that is not known", 500, "", append_outcome::unanswered},
    {"an error of a proxy", 502, "", append_outcome::unanswered},
    {"unavailable", 503, "", append_outcome::refused},
    {"full", 507, "", append_outcome::full},
};

answer_case<start_answer> const starts[] = {
    {"running", 200, R"({"clockMs":7})", start_answer::running},
    {"running, without a body", 200, "", start_answer::running},
    {"a newer owner", 409, R"({"clockMs":7,"reason":"fence"})",
     start_answer::fenced},
    {"a later run", 409, R"({"clockMs":7,"reason":"old"})",
     start_answer::outdated},
    {"lease passed", 409, R"({"clockMs":7,"reason":"late"})",
     start_answer::lease_passed},
    {"no room", 409, R"({"clockMs":7,"reason":"room"})", start_answer::no_room},
    {"no ticket", 409, R"({"clockMs":7,"reason":"ticket"})",
     start_answer::no_ticket},
    {"a reason that is not known", 409, R"({"clockMs":7,"reason":"x"})",
     start_answer::unanswered},
    {"no reason", 409, R"({"clockMs":7})", start_answer::unanswered},
    {"conflict, without a body", 409, "", start_answer::unanswered},
    {"conflict, cut off", 409, R"({"clockMs":7,"rea)",
     start_answer::unanswered},
    {"another incarnation", 421, "", start_answer::other_incarnation},
    {"invalid", 400, "", start_answer::invalid},
    {"too many calls", 429, "", start_answer::turned_away},
    {"unavailable", 503, "", start_answer::turned_away},
    {"bad gateway", 502, "", start_answer::unanswered},
    {"gateway timeout", 504, "", start_answer::unanswered},
};

answer_case<start_answer> const repeated_starts[] = {
    {"running", 200, R"({"clockMs":7})", start_answer::running},
    {"a newer owner", 409, R"({"clockMs":7,"reason":"fence"})",
     start_answer::fenced},
    {"a later run", 409, R"({"clockMs":7,"reason":"old"})",
     start_answer::outdated},
    {"lease passed", 409, R"({"clockMs":7,"reason":"late"})",
     start_answer::unanswered},
    {"no room", 409, R"({"clockMs":7,"reason":"room"})",
     start_answer::unanswered},
    {"no ticket", 409, R"({"clockMs":7,"reason":"ticket"})",
     start_answer::unanswered},
    {"another incarnation", 421, "", start_answer::other_incarnation},
    {"invalid", 400, "", start_answer::invalid},
    {"too many calls", 429, "", start_answer::unanswered},
    {"unavailable", 503, "", start_answer::unanswered},
};

answer_case<order_outcome> const holds[] = {
    {"both lists", 200,
     R"({"clockMs":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended":[]})",
     order_outcome::done},
    {"no lists", 200, R"({"clockMs":7})", order_outcome::unanswered},
    {"no body", 200, "", order_outcome::unanswered},
    {"a body that is cut off", 200, R"({"clockMs":7,"running":[["5c0e)",
     order_outcome::unanswered},
    {"a body that is no object", 200, "[]", order_outcome::unanswered},
    {"no clock", 200, R"({"running":[],"ended":[]})",
     order_outcome::unanswered},
    {"running is no list", 200, R"({"clockMs":7,"running":"","ended":[]})",
     order_outcome::unanswered},
    {"ended is no list", 200, R"({"clockMs":7,"running":[],"ended":{}})",
     order_outcome::unanswered},
    {"a row of running is no row", 200,
     R"({"clockMs":7,"running":["5c0e7a21d94b36f8.0.1.17"],"ended":[]})",
     order_outcome::unanswered},
    {"a row of ended is too short", 200,
     R"({"clockMs":7,"running":[],"ended":[[58,"5c0e7a21d94b36f8.0.1.9"]]})",
     order_outcome::unanswered},
    {"a newer owner", 409, R"({"clockMs":7,"reason":"fence"})",
     order_outcome::fenced},
    {"another incarnation", 421, "", order_outcome::other_incarnation},
    {"unavailable", 503, "", order_outcome::refused},
};

/// A server that answers all requests the same way or holds them, and a client.
struct fixture
{
    fixture()
        : server{loop,
                 [this](network::http_request const&, network::responder answer)
                 {
                     ++requests;
                     if (hold)
                     {
                         held.push_back(std::move(answer));
                         return;
                     }
                     answer({status, {}, body, "application/json"});
                 }}
        , client{loop, {}}
        , log{client, address, "keyed.cell"}
        , orders{client}
    {
        network::server_limits limits;
        limits.body_bytes = 10'000;
        limits.header_bytes = 2'000;
        limits.request_time = std::chrono::seconds{2};
        limits.idle_time = std::chrono::seconds{5};
        limits.connections = 20;
        server.set_limits(limits);
        auto const end = base::capture(
            [&]() -> base::result<base::done>
            {
                BOOST_LEAF_CHECK(server.listen(address));
                return base::done{};
            });
        BOOST_REQUIRE(end.has_value());
    }

    template <class Done>
    bool run_until(Done done)
    {
        return test_support::run_until(loop, done, std::chrono::seconds{5});
    }

    /// Leaves a connection open that the next call uses.
    void open_connection()
    {
        auto answered = false;
        client.call(address, {network::http_method::get, "/", {}, {}, {}},
                    timeout, [&](auto const&) { answered = true; });
        BOOST_REQUIRE(run_until([&] { return answered; }));
    }

    /// The request has arrived, and its connection breaks without an answer;
    /// further requests are answered as `status` and `body` say.
    void lose_first_request()
    {
        BOOST_REQUIRE(run_until([&] { return held.size() == 1; }));
        hold = false;
        server.close_connections();
    }

    std::optional<append_outcome> append()
    {
        auto out = std::make_shared<std::optional<append_outcome>>();
        log.append(3, {{"key", "value"}}, timeout,
                   [out](cell::append_result const& it) { *out = it.outcome; });
        if (hold)
        {
            lose_first_request();
        }
        run_until([&] { return out->has_value(); });
        return *out;
    }

    std::optional<start_answer> start()
    {
        scheduler::start_order order;
        order.instance = "i-1";
        order.attempt.run = 1;
        auto out = std::make_shared<std::optional<start_answer>>();
        orders.start({address, order.instance, 1}, order, timeout,
                     [out](cell::start_result const& it) { *out = it.answer; });
        if (hold)
        {
            lose_first_request();
        }
        run_until([&] { return out->has_value(); });
        return *out;
    }

    std::optional<order_outcome> ask_hold()
    {
        auto out = std::make_shared<std::optional<order_outcome>>();
        orders.hold({address, "i-1", 1}, {"i-1"}, timeout,
                    [out](cell::hold_result const& it) { *out = it.outcome; });
        run_until([&] { return out->has_value(); });
        return *out;
    }

    static constexpr base::duration timeout = std::chrono::seconds{3};

    boost::asio::io_context loop;
    network::socket_address address{local(free_ports(port_range::tests, 1))};
    unsigned status{200};
    std::string body;
    bool hold{false};
    std::size_t requests{0};
    std::vector<network::responder> held;
    network::http_server server;
    network::http_client client;
    platform::store_log log;
    platform::instance_calls orders;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answers, fixture)

/// Guards against a job that is refused and runs: the store reset the
/// connection after an append had arrived, the client sent it again on a new
/// connection, and the refusal of the second send was taken for the outcome of
/// both.
BOOST_DATA_TEST_CASE(a_refusal_of_a_repeated_append_leaves_the_first_open,
                     boost::unit_test::data::make(repeated_appends))
{
    open_connection();
    hold = true;
    status = sample.status;
    body = sample.body;
    auto const end = append();
    BOOST_TEST(requests == 3U);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == sample.outcome));
}

/// Guards against records that are appended again without end because their
/// final rejection counts as no answer.
BOOST_DATA_TEST_CASE(append_is_settled_by_its_status,
                     boost::unit_test::data::make(appends))
{
    status = sample.status;
    body = sample.body;
    auto const end = append();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == sample.outcome));
}

/// Guards against an answer that settles more than it says.
BOOST_DATA_TEST_CASE(start_is_settled_by_what_its_answer_says,
                     boost::unit_test::data::make(starts))
{
    status = sample.status;
    body = sample.body;
    auto const end = start();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == sample.outcome));
}

/// Guards against an order that is never answered: its instance is listed
/// without an address.
BOOST_AUTO_TEST_CASE(an_order_without_an_address_is_answered_once)
{
    scheduler::start_order order;
    order.instance = "i-1";
    std::vector<start_answer> told;
    orders.start({{}, order.instance, 1}, order, timeout,
                 [&](cell::start_result const& it)
                 { told.push_back(it.answer); });
    BOOST_TEST(told.empty());
    BOOST_TEST(run_until([&] { return !told.empty(); }));
    loop.restart();
    loop.run_for(std::chrono::milliseconds{20});
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST((told.front() == start_answer::unanswered));
    BOOST_TEST(client.connections_opened() == 1U);
}

/// Guards against a task that runs twice: an instance reset the connection
/// after an order had arrived and rejected the second send, the task was
/// started elsewhere, and the first order was carried out late.
BOOST_DATA_TEST_CASE(a_rejection_of_a_repeated_start_leaves_the_first_open,
                     boost::unit_test::data::make(repeated_starts))
{
    open_connection();
    hold = true;
    status = sample.status;
    body = sample.body;
    auto const end = start();
    BOOST_TEST(requests == 3U);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == sample.outcome));
}

/// Guards against tasks that run twice: a report that can't be read was taken
/// for one of an instance that runs nothing, and all its tasks were started
/// elsewhere.
BOOST_DATA_TEST_CASE(a_report_that_is_not_readable_is_no_report,
                     boost::unit_test::data::make(holds))
{
    status = sample.status;
    body = sample.body;
    auto const end = ask_hold();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == sample.outcome));
}

BOOST_AUTO_TEST_SUITE_END()
