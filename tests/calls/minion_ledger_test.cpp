#include "fixtures.hpp"

#include <calls/minion_ledger.hpp>

#include <boost/test/unit_test.hpp>

#include <tuple>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::call_end;
using calls::ran;
using calls::refusal_code;

BOOST_AUTO_TEST_SUITE(minion_ledger)

namespace
{

calls::minion_ledger ledger_with(std::vector<model::endpoint> const& minions,
                                 calls::ledger_settings settings = {})
{
    calls::minion_ledger it{"g-1", "report-svc", settings, calls::generator{7}};
    for (auto const& each : minions)
    {
        BOOST_TEST(it.set_minion(each, at_ms(0)).empty());
    }
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_is_sent_and_its_answer_delivered)
{
    auto it = ledger_with({minion("m-1")});
    auto const sent = only<calls::send_to_minion>(
        it.offer(call_of("r-1", at_ms(0)), at_ms(0)));
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].minion == "m-1");
    BOOST_TEST(it.minion_of("r-1") == "m-1");
    auto const out = it.answered("r-1", call_end::good, at_ms(10));
    BOOST_TEST(only<calls::deliver_answer>(out).size() == 1U);
    BOOST_TEST(it.find("m-1")->busy() == 0);
}

// A minion with 8 slots gets a ninth call and slows all nine down: calls that
// their callers gave up on were taken off the count while the minion was
// still at them. The slot has to stay taken until the minion has answered, or
// the longest run since the send is over.
BOOST_AUTO_TEST_CASE(a_call_given_up_on_keeps_its_slot)
{
    calls::ledger_settings settings;
    settings.longest_run = std::chrono::seconds{5};
    auto it = ledger_with({minion("m-1", 1)}, settings);
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    auto const gone = only<calls::refuse_call>(it.give_up("r-1", at_ms(100)));
    BOOST_REQUIRE(gone.size() == 1U);
    BOOST_CHECK(gone[0].why.work == ran::unknown);
    BOOST_TEST(only<calls::send_to_minion>(
                   it.offer(call_of("r-2", at_ms(100)), at_ms(100)))
                   .empty());
    std::ignore = it.unknown("r-1", at_ms(200));
    BOOST_TEST(it.find("m-1")->open_connections() == 0);
    std::ignore = it.expire(at_ms(4'980));
    auto const late = call_of("r-3", at_ms(4'980));
    BOOST_TEST(
        only<calls::send_to_minion>(it.offer(late, at_ms(4'980))).empty());
    BOOST_TEST(only<calls::send_to_minion>(it.expire(at_ms(4'999))).empty());
    auto const sent = only<calls::send_to_minion>(it.expire(at_ms(5'000)));
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].request_id == "r-3");
}

BOOST_AUTO_TEST_SUITE_END()
