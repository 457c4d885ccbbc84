#include "fixtures.hpp"

#include <calls/minion_pool.hpp>

#include <boost/test/unit_test.hpp>

#include <tuple>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::call_end;
using calls::ran;
using calls::refusal_code;

BOOST_AUTO_TEST_SUITE(minion_pool)

namespace
{

calls::minion_pool pool_with(std::vector<model::endpoint> const& minions,
                             calls::minion_pool_settings settings = {})
{
    calls::minion_pool it{"g-1", "report-svc", settings, calls::generator{7}};
    for (auto const& each : minions)
    {
        BOOST_TEST(it.set_minion(each, at_ms(0)).empty());
    }
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_is_sent_and_its_answer_delivered)
{
    auto it = pool_with({minion("m-1")});
    auto const sent = only<calls::send_to_minion>(
        it.offer(call_of("r-1", at_ms(0)), at_ms(0)));
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].minion == "m-1");
    BOOST_TEST(it.minion_of("r-1") == "m-1");
    auto const out = it.answered("r-1", call_end::succeeded, at_ms(10));
    BOOST_TEST(only<calls::deliver_answer>(out).size() == 1U);
    BOOST_TEST(it.find("m-1")->busy() == 0);
}

// Guards against overloading a minion: calls that their callers gave up on were
// no longer counted while the minion still ran them, so that a minion with 8
// slots got a ninth call and all nine were slow. The slot stays taken until the
// minion has answered or the maximum running time since the send has passed.
BOOST_AUTO_TEST_CASE(a_call_given_up_on_keeps_its_slot)
{
    calls::minion_pool_settings settings;
    settings.max_run_time = std::chrono::seconds{5};
    auto it = pool_with({minion("m-1", 1)}, settings);
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    auto const gone = only<calls::refuse_call>(it.give_up("r-1", at_ms(100)));
    BOOST_REQUIRE(gone.size() == 1U);
    BOOST_CHECK(gone[0].why.execution == ran::unknown);
    BOOST_TEST(only<calls::send_to_minion>(
                   it.offer(call_of("r-2", at_ms(100)), at_ms(100)))
                   .empty());
    std::ignore = it.connection_closed("r-1", at_ms(200));
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

// Guards against an answer delivered to another caller: an answer arrived after
// its own caller had been told "unknown", and was passed on to the next one.
BOOST_AUTO_TEST_CASE(a_late_answer_reaches_nobody_and_frees_the_slot)
{
    auto it = pool_with({minion("m-1", 1)});
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    auto const over = only<calls::refuse_call>(it.expire(at_ms(1'000)));
    BOOST_REQUIRE(over.size() == 1U);
    BOOST_CHECK(over[0].why.execution == ran::unknown);
    BOOST_TEST(it.find("m-1")->busy() == 1);
    std::ignore = it.offer(call_of("r-2", at_ms(1'100)), at_ms(1'100));
    auto const out = it.answered("r-1", call_end::succeeded, at_ms(1'110));
    BOOST_TEST(only<calls::deliver_answer>(out).empty());
    BOOST_TEST(only<calls::drop_answer>(out).size() == 1U);
    auto const sent = only<calls::send_to_minion>(out);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].request_id == "r-2");
}

// Two answers arrive in the opposite order of their calls, and one arrives
// twice: each goes to its own request id, and the duplicate is dropped.
BOOST_AUTO_TEST_CASE(crossed_and_doubled_answers_go_to_their_own_calls)
{
    auto it = pool_with({minion("m-1")});
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    std::ignore = it.offer(call_of("r-2", at_ms(0)), at_ms(0));
    auto const second = only<calls::deliver_answer>(
        it.answered("r-2", call_end::succeeded, at_ms(5)));
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].request_id == "r-2");
    BOOST_TEST(only<calls::drop_answer>(
                   it.answered("r-2", call_end::succeeded, at_ms(6)))
                   .size() == 1U);
    BOOST_TEST(it.find("m-1")->busy() == 1);
    auto const first = only<calls::deliver_answer>(
        it.answered("r-1", call_end::succeeded, at_ms(7)));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].request_id == "r-1");
}

// Guards against a call running twice: the offer reached the owner twice, and
// the second one was sent to another minion.
BOOST_AUTO_TEST_CASE(an_attempt_offered_twice_is_sent_once)
{
    auto it = pool_with({minion("m-1"), minion("m-2")});
    auto const call = call_of("r-1/1", at_ms(0));
    BOOST_TEST(it.offer(call, at_ms(0)).size() == 1U);
    BOOST_TEST(it.offer(call, at_ms(1)).empty());
    std::ignore = it.answered("r-1/1", call_end::succeeded, at_ms(5));
    BOOST_TEST(it.offer(call, at_ms(10)).empty());
}

BOOST_AUTO_TEST_CASE(slots_and_connections_are_never_exceeded)
{
    auto few = minion("m-2");
    few.connections = 4;
    auto it = pool_with({minion("m-1", 2), few});
    int sent = 0;
    for (int i = 0; i < 20; ++i)
    {
        auto const call = call_of("r-" + std::to_string(i), at_ms(0));
        sent += static_cast<int>(
            only<calls::send_to_minion>(it.offer(call, at_ms(0))).size());
    }
    // One connection is kept free for pings.
    BOOST_TEST(sent == 5);
    BOOST_TEST(it.find("m-1")->busy() == 2);
    BOOST_TEST(it.find("m-2")->busy() == 3);
}

// Guards against losing calls with a minion that is being replaced: they were
// sent to it after its stop was announced.
BOOST_AUTO_TEST_CASE(a_leaving_minion_gets_nothing_new)
{
    auto it = pool_with({minion("m-1"), minion("m-2")});
    std::ignore = it.offer(call_of("r-0", at_ms(0)), at_ms(0));
    auto const at = it.minion_of("r-0");
    auto leaving = minion(at);
    leaving.state = model::listed_state::leaving;
    std::ignore = it.set_minion(leaving, at_ms(1));
    for (int i = 1; i < 9; ++i)
    {
        auto const id = "r-" + std::to_string(i);
        std::ignore = it.offer(call_of(id, at_ms(2)), at_ms(2));
        BOOST_TEST(it.minion_of(id) != at);
    }
    auto const out = it.answered("r-0", call_end::succeeded, at_ms(5));
    BOOST_TEST(only<calls::deliver_answer>(out).size() == 1U);
    BOOST_TEST(it.find(at)->busy() == 0);
}

// Guards against overloading a minion that the platform's endpoint list drops
// by mistake and shows again: its running calls were forgotten, and it got
// twice as many as it can hold.
BOOST_AUTO_TEST_CASE(a_minion_missing_from_the_list_keeps_its_slot_count)
{
    auto it = pool_with({minion("m-1", 2)});
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    std::ignore = it.offer(call_of("r-2", at_ms(0)), at_ms(0));
    std::ignore = it.remove_minion("m-1", at_ms(1));
    auto const back = it.set_minion(minion("m-1", 2), at_ms(2));
    BOOST_TEST(only<calls::send_to_minion>(
                   it.offer(call_of("r-3", at_ms(3)), at_ms(3)))
                   .empty());
    std::ignore = it.remove_minion("m-1", at_ms(4));
    std::ignore = it.answered("r-1", call_end::succeeded, at_ms(5));
    std::ignore = it.answered("r-2", call_end::succeeded, at_ms(5));
    BOOST_TEST(it.find("m-1") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_new_owner_counts_what_the_earlier_one_may_have_sent)
{
    auto it = pool_with({minion("m-1", 1)});
    it.adopt("m-1", "old-1", at_ms(500), at_ms(0));
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    BOOST_TEST(it.queued() == 1U);
    auto const sent = only<calls::send_to_minion>(it.expire(at_ms(500)));
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].request_id == "r-1");
}

// Guards against a caller waiting its whole timeout for a refusal that was
// certain from the start: the queue before its call took longer than its
// deadline.
BOOST_AUTO_TEST_CASE(a_call_that_cannot_make_its_deadline_is_refused_at_once)
{
    calls::minion_pool_settings settings;
    settings.initial_run_time = std::chrono::milliseconds{100};
    auto it = pool_with({minion("m-1", 1)}, settings);
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    auto tight = call_of("r-2", at_ms(0));
    tight.deadline = at_ms(150);
    auto const out = only<calls::refuse_call>(it.offer(tight, at_ms(0)));
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_CHECK(out[0].why.execution == ran::not_run);
    BOOST_CHECK(out[0].why.code == refusal_code::deadline_too_short);
    BOOST_TEST(out[0].why.retry_after_s > 0);
}

BOOST_AUTO_TEST_CASE(a_queue_longer_than_its_bound_sheds_at_once)
{
    auto it = pool_with({minion("m-1", 1)});
    std::size_t refused = 0;
    for (int i = 0; i < 10; ++i)
    {
        auto const call = call_of("r-" + std::to_string(i), at_ms(0));
        refused += only<calls::refuse_call>(it.offer(call, at_ms(0))).size();
    }
    BOOST_TEST(it.queued() == 1U);
    BOOST_TEST(refused == 8U);
    auto const stopped = only<calls::refuse_call>(it.stop());
    BOOST_REQUIRE(stopped.size() == 1U);
    BOOST_CHECK(stopped[0].why.execution == ran::not_run);
}

BOOST_AUTO_TEST_CASE(a_call_given_up_on_in_the_queue_did_not_run)
{
    auto it = pool_with({minion("m-1", 1)});
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    std::ignore = it.offer(call_of("r-2", at_ms(0)), at_ms(0));
    auto const out = only<calls::refuse_call>(it.give_up("r-2", at_ms(1)));
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_CHECK(out[0].why.execution == ran::not_run);
    BOOST_TEST(it.queued() == 0U);
}

// Guards against refusing calls with little time permanently: the minions were
// slow for a minute and are fast again, but only calls that are sent can show
// it.
BOOST_AUTO_TEST_CASE(minions_that_are_fast_again_get_calls_with_little_time)
{
    auto it = pool_with({minion("m-1"), minion("m-2")});
    for (std::int64_t i = 0; i < 200; ++i)
    {
        auto const id = "slow-" + std::to_string(i);
        std::ignore = it.offer(call_of(id, at_ms(i * 900)), at_ms(i * 900));
        std::ignore =
            it.answered(id, call_end::succeeded, at_ms(i * 900 + 900));
    }
    std::size_t sent = 0;
    for (int i = 0; i < 200; ++i)
    {
        auto call = call_of("fast-" + std::to_string(i), at_ms(200'000 + i));
        call.deadline = at_ms(200'100 + i);
        auto const out = it.offer(call, at_ms(200'000 + i));
        for (auto const& each : only<calls::send_to_minion>(out))
        {
            ++sent;
            std::ignore = it.answered(each.request_id, call_end::succeeded,
                                      at_ms(200'000 + i));
        }
    }
    BOOST_TEST(sent > 50U);
}

// Guards against a queue that grows until most answers are late. Callers allow
// 60 ms for calls of 20 ms; under load two thirds of the answers were late
// although the minions worked at full speed, because running times were learned
// only from answers in time.
BOOST_AUTO_TEST_CASE(late_answers_count_for_the_run_time)
{
    auto it = pool_with({minion("m-1")});
    auto const before = it.digest(at_ms(0)).run_time;
    std::ignore = it.offer(call_of("r-1", at_ms(0)), at_ms(0));
    BOOST_TEST(only<calls::refuse_call>(it.expire(at_ms(1'000))).size() == 1U);
    std::ignore = it.answered("r-1", call_end::succeeded, at_ms(1'500));
    BOOST_TEST((it.digest(at_ms(1'500)).run_time > before));
}

// Guards against ejecting good minions: calls sent with little time left were
// late, and half of the minions were ejected for it while calls were waiting.
BOOST_AUTO_TEST_CASE(a_call_with_little_time_left_is_not_held_against_a_minion)
{
    auto it = pool_with({minion("m-1"), minion("m-2")});
    for (std::int64_t i = 0; i < 20; ++i)
    {
        auto const id = "r-" + std::to_string(i);
        auto const now = at_ms(i * 100);
        auto tight = call_of(id, now);
        tight.deadline = at_ms(i * 100 + 30);
        std::ignore = it.offer(tight, now);
        auto const slow = it.minion_of(id) == "m-1" ? 40 : 10;
        std::ignore = it.expire(at_ms(i * 100 + slow));
        std::ignore =
            it.answered(id, call_end::succeeded, at_ms(i * 100 + slow));
    }
    BOOST_CHECK(it.find("m-1")->health().state() ==
                calls::health_state::active);
    BOOST_TEST(it.find("m-1")->health().failure_rate() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
