#include "fixtures.hpp"

#include <calls/call_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace berylhill;
using namespace berylhill::calls::testing;

BOOST_AUTO_TEST_SUITE(call_queue)

namespace
{

calls::call weighed(std::string const& id, std::string contract, double weight)
{
    auto it = call_of(id, at_ms(0), std::move(contract));
    it.weight = weight;
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(turns_follow_the_weights)
{
    calls::call_queue it;
    for (int i = 0; i < 60; ++i)
    {
        it.push(weighed("a" + std::to_string(i), "light", 1));
        it.push(weighed("b" + std::to_string(i), "heavy", 3));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i)
    {
        ++served[it.pop()->contract];
    }
    BOOST_TEST(served["light"] == 10);
    BOOST_TEST(served["heavy"] == 30);
}

// Guards against starvation: one contract keeps a single call waiting, a new
// one as soon as the last is served. If each new call counted as if the
// contract had used nothing, the other contract would never get a slot.
BOOST_AUTO_TEST_CASE(one_call_at_a_time_does_not_starve_those_who_wait)
{
    calls::call_queue it;
    for (int i = 0; i < 20; ++i)
    {
        it.push(weighed("a" + std::to_string(i), "waits", 1));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i)
    {
        it.push(weighed("b" + std::to_string(i), "drips", 1));
        auto const next = it.pop();
        ++served[next->contract];
        if (next->contract == "waits")
        {
            std::ignore = it.remove("b" + std::to_string(i));
        }
    }
    BOOST_TEST(served["waits"] >= 9);
}

BOOST_AUTO_TEST_CASE(urgent_calls_come_first_within_their_contract)
{
    calls::call_queue it;
    it.push(weighed("normal", "c", 1));
    auto urgent = weighed("urgent", "c", 1);
    urgent.urgency = model::urgency::urgent;
    it.push(urgent);
    BOOST_TEST(it.pop()->request_id == "urgent");
    BOOST_TEST(it.pop()->request_id == "normal");
}

// Guards against refusing the calls of a contract with few calls because
// another contract filled the queue.
BOOST_AUTO_TEST_CASE(the_newest_of_the_contract_with_most_is_shed)
{
    calls::call_queue it;
    it.push(weighed("q1", "quiet", 1));
    for (int i = 0; i < 5; ++i)
    {
        it.push(weighed("b" + std::to_string(i), "busy", 2));
    }
    it.push(weighed("q2", "quiet", 1));
    BOOST_TEST(it.shed()->request_id == "b4");
    // Two calls of weight 1 count as much as four of weight 2; one more exceeds
    // them.
    it.push(weighed("q3", "quiet", 1));
    BOOST_TEST(it.shed()->request_id == "q3");
    BOOST_TEST(it.size() == 6U);
}

BOOST_AUTO_TEST_CASE(calls_past_their_deadline_are_taken_from_anywhere)
{
    calls::call_queue it;
    for (std::int64_t i = 0; i < 6; ++i)
    {
        auto each = weighed(std::to_string(i), i % 2 == 0 ? "a" : "b", 1);
        each.deadline = at_ms(100 * (i % 3));
        it.push(each);
    }
    BOOST_TEST(it.take_expiring(at_ms(100)).size() == 2U);
    BOOST_CHECK(it.earliest_deadline() == at_ms(100));
    BOOST_TEST(it.take_expiring(at_ms(1'000)).size() == 4U);
    BOOST_TEST(it.empty());
    BOOST_TEST(!it.earliest_deadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
