#include "fixtures.hpp"

#include <calls/router.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::required_capacity;

BOOST_AUTO_TEST_SUITE(router)

namespace
{

calls::group_digest loaded(std::string group, std::int32_t busy)
{
    calls::group_digest it;
    it.group = std::move(group);
    it.service = "report-svc";
    it.epoch = 1;
    it.sequence = 1;
    it.slots = 10;
    it.busy = busy;
    it.run_time = std::chrono::milliseconds{20};
    return it;
}

std::map<std::string, int>
chosen(calls::router& it, int calls, base::instant now)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i)
    {
        auto const to =
            it.choose("report-svc", {}, required_capacity::any, now);
        ++counts[to ? to->group : "none"];
    }
    return counts;
}

} // namespace

// Guards against sending every call to one group: its digest, half a second
// old, shows it idle, and it fills up while the others stay idle.
BOOST_AUTO_TEST_CASE(calls_since_the_digest_count)
{
    calls::router it{{}, calls::generator{9}};
    it.update_group(loaded("idle", 0), at_ms(0));
    for (auto const* group : {"g-1", "g-2", "g-3"})
    {
        it.update_group(loaded(group, 5), at_ms(0));
    }
    // All groups are equally loaded at 215 / 4 calls.
    auto const idle = chosen(it, 200, at_ms(400)).at("idle");
    BOOST_TEST(idle >= 50);
    BOOST_TEST(idle <= 58);
}

BOOST_AUTO_TEST_CASE(the_less_loaded_of_two_is_chosen)
{
    calls::router it{{}, calls::generator{9}};
    it.update_group(loaded("full", 10), at_ms(0));
    it.update_group(loaded("idle", 0), at_ms(0));
    BOOST_TEST(chosen(it, 10, at_ms(1)).at("idle") == 10);
}

// Guards against a failed owner whose last digest shows its group idle and
// attracts calls permanently.
BOOST_AUTO_TEST_CASE(a_stale_digest_draws_no_calls_while_there_are_others)
{
    calls::router it{{}, calls::generator{9}};
    it.update_group(loaded("dead", 0), at_ms(0));
    it.update_group(loaded("dead too", 0), at_ms(0));
    it.update_group(loaded("alive", 9), at_ms(3'500));
    BOOST_TEST(chosen(it, 50, at_ms(3'600)).at("alive") == 50);
    it.remove_group("alive");
    it.remove_group("dead too");
    BOOST_TEST(chosen(it, 1, at_ms(3'600)).at("dead") == 1);
    it.expire(at_ms(40'000));
    BOOST_TEST(chosen(it, 1, at_ms(40'000)).at("none") == 1);
}

// Guards against sending calls to a former owner that refuses them: its digest
// arrives after that of the new owner.
BOOST_AUTO_TEST_CASE(a_digest_of_an_earlier_epoch_is_ignored)
{
    calls::router it{{}, calls::generator{9}};
    auto newer = loaded("g-1", 0);
    newer.owner = "e-2";
    newer.epoch = 2;
    it.update_group(newer, at_ms(0));
    auto older = loaded("g-1", 0);
    older.owner = "e-1";
    older.sequence = 99;
    it.update_group(older, at_ms(1));
    auto const to =
        it.choose("report-svc", {}, required_capacity::any, at_ms(1));
    BOOST_REQUIRE(to);
    BOOST_TEST(to->owner == "e-2");
}

BOOST_AUTO_TEST_CASE(a_full_group_is_chosen_for_first_attempts_only)
{
    calls::router it{{}, calls::generator{9}};
    it.update_group(loaded("g-1", 10), at_ms(0));
    BOOST_TEST(
        !it.has_candidate("report-svc", {}, required_capacity::idle, at_ms(1)));
    BOOST_TEST(it.has_candidate("report-svc", {},
                                required_capacity::short_queue, at_ms(1)));
    it.mark_full("g-1");
    BOOST_TEST(!it.has_candidate("report-svc", {},
                                 required_capacity::short_queue, at_ms(1)));
    BOOST_TEST(
        it.has_candidate("report-svc", {}, required_capacity::any, at_ms(1)));
    BOOST_TEST(!it.has_candidate("report-svc", {"g-1"}, required_capacity::any,
                                 at_ms(1)));
}

BOOST_AUTO_TEST_SUITE_END()
