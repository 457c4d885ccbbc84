#include <cell/advice_dispatcher.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

using namespace berylhill;

namespace
{

class manual_advice_service final : public cell::advice_client
{
public:
    void ask(workload::step_name const& step,
             std::vector<std::string> const&,
             base::duration,
             cell::advice_handler handler) override
    {
        open.emplace_back(step.step_index, std::move(handler));
    }

    /// Answers the oldest request; returns the number of its step.
    std::uint32_t answer()
    {
        auto const [step, handler] = std::move(open.front());
        open.pop_front();
        handler({true, {}, std::chrono::seconds{1}});
        return step;
    }

    std::deque<std::pair<std::uint32_t, cell::advice_handler>> open;
};

struct fixture
{
    void ask(std::uint32_t step, std::chrono::milliseconds expected)
    {
        scheduler::advice_order order;
        order.step.step_index = step;
        order.expected = expected;
        desk.ask(order, [this, step](auto const&) { done.push_back(step); });
    }

    boost::asio::io_context loop;
    base::manual_clock clock;
    network::http_client client{loop, {}};
    cell::peer_client peers{client};
    manual_advice_service own;
    cell::advice_dispatcher desk{clock, own, peers,
                                 []
                                 {
                                     return std::vector<cell::peer>{};
                                 }};
    std::vector<std::uint32_t> done;
};

constexpr std::chrono::milliseconds short_time{13};
constexpr std::chrono::milliseconds long_time{800};

} // namespace

BOOST_FIXTURE_TEST_SUITE(advice_dispatcher, fixture)

/// Guards against urgent work that waits for most of a second: all requests
/// queue up at the owner's machine, short ones behind long ones, and the
/// service answers one at a time.
BOOST_AUTO_TEST_CASE(short_request_overtakes_waiting_long_ones)
{
    ask(1, long_time);
    ask(2, long_time);
    ask(3, long_time);
    ask(4, short_time);
    while (!own.open.empty())
    {
        own.answer();
    }
    BOOST_TEST(done == (std::vector<std::uint32_t>{1, 4, 2, 3}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(every_request_is_answered_once)
{
    for (std::uint32_t n = 0; n < 20; ++n)
    {
        ask(n, n % 3 == 0 ? long_time : short_time);
    }
    while (!own.open.empty())
    {
        own.answer();
    }
    std::ranges::sort(done);
    BOOST_TEST(done.size() == 20U);
    BOOST_TEST((std::ranges::adjacent_find(done) == done.end()));
}

/// Guards against a ticket, or a refusal, that is read for another request of
/// the same step: the newer request is answered first, the older one refused.
BOOST_AUTO_TEST_CASE(answers_that_overtake_each_other_reach_their_requests)
{
    std::vector<cell::advice_result> told(2);
    for (std::size_t n = 0; n < told.size(); ++n)
    {
        scheduler::advice_order order;
        order.instances = {"i-" + std::to_string(n)};
        order.expected = short_time;
        desk.ask(order, [&told, n](auto const& it) { told[n] = it; });
    }
    BOOST_REQUIRE(own.open.size() == told.size());
    own.open[1].second({true, {{"i-1", "ticket"}}, std::chrono::seconds{1}});
    own.open[0].second({});
    BOOST_TEST(!told[0].answered);
    BOOST_TEST(told[1].answered);
    BOOST_REQUIRE(told[1].allowed.size() == 1U);
    BOOST_TEST(told[1].allowed.front().ticket == "ticket");
}

BOOST_AUTO_TEST_SUITE_END()
