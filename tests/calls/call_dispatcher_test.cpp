#include "fixtures.hpp"

#include <calls/call_dispatcher.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <ostream>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::attempt_end;
using calls::ran;
using calls::refusal_code;

BOOST_AUTO_TEST_SUITE(call_dispatcher)

namespace
{

calls::group_digest digest_of(std::string group, std::int64_t sequence = 1)
{
    calls::group_digest it;
    it.group = std::move(group);
    it.service = "report-svc";
    it.owner = "e-" + it.group;
    it.epoch = 1;
    it.sequence = sequence;
    it.slots = 48;
    it.run_time = std::chrono::milliseconds{20};
    return it;
}

calls::call_dispatcher dispatcher()
{
    calls::call_dispatcher it{{}, {}, calls::generator{5}};
    for (auto const* group : {"g-1", "g-2", "g-3"})
    {
        it.update_group(digest_of(group), at_ms(0));
    }
    return it;
}

/// Starts and answers calls, so that the contract has resends in its budget.
void save_up(calls::call_dispatcher& it, int calls)
{
    for (int i = 0; i < calls; ++i)
    {
        auto const id = "saved-" + std::to_string(i);
        std::ignore = it.start(call_of(id, at_ms(0)), "report-svc", at_ms(0));
        std::ignore =
            it.attempt_ended({id + "/1", attempt_end::answered, {}}, at_ms(0));
    }
}

calls::call safe_call(std::string id)
{
    auto it = call_of(std::move(id), at_ms(0));
    it.safety = model::rerun::idempotent;
    return it;
}

calls::refusal const s_full{ran::not_run, refusal_code::overloaded, "full", 2};

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_is_delivered_once)
{
    auto it = dispatcher();
    auto const sent = only<calls::send_to_owner>(
        it.start(call_of("r-1", at_ms(0)), "report-svc", at_ms(0)));
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].to.owner == "e-" + sent[0].to.group);
    BOOST_CHECK(sent[0].attempt.deadline < at_ms(1'000));
    calls::attempt_report const answer{"r-1/1", attempt_end::answered, {}};
    BOOST_TEST(only<calls::deliver_attempt>(it.attempt_ended(answer, at_ms(9)))
                   .size() == 1U);
    BOOST_TEST(it.attempt_ended(answer, at_ms(10)).empty());
    BOOST_TEST(it.in_flight() == 0U);
}

// Guards against a non-idempotent call running twice: the connection to the
// owner broke while it held the call, and the entry tried another owner.
BOOST_AUTO_TEST_CASE(a_call_that_may_have_run_is_not_sent_again)
{
    auto it = dispatcher();
    save_up(it, 50);
    std::ignore = it.start(call_of("r-1", at_ms(0)), "report-svc", at_ms(0));
    auto const out =
        it.attempt_ended({"r-1/1", attempt_end::owner_lost, {}}, at_ms(5));
    auto const refused = only<calls::refuse_request>(out);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_CHECK(refused[0].why.execution == ran::unknown);
    BOOST_TEST(it.expire(at_ms(500)).empty());
}

BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_goes_to_another_group)
{
    auto it = dispatcher();
    save_up(it, 50);
    auto const first = only<calls::send_to_owner>(
        it.start(call_of("r-1", at_ms(0)), "report-svc", at_ms(0)));
    BOOST_TEST(it.attempt_ended({"r-1/1", attempt_end::owner_refused, s_full},
                                at_ms(5))
                   .empty());
    BOOST_TEST(it.expire(at_ms(5)).empty());
    auto const again = only<calls::send_to_owner>(it.expire(at_ms(20)));
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].to.group != first[0].to.group);
    BOOST_TEST(again[0].attempt.request_id == "r-1/2");
    BOOST_TEST(it.resends("r-1") == 1);
}

// Guards against a retry storm: the minions are slow for a second, every call
// is sent three times, and the tripled load keeps them slow permanently.
BOOST_AUTO_TEST_CASE(a_storm_of_failures_is_resent_within_the_budget_only)
{
    auto it = dispatcher();
    int sends = 0;
    std::vector<std::string> open;
    auto const act = [&](calls::dispatch_actions const& actions)
    {
        for (auto const& each : only<calls::send_to_owner>(actions))
        {
            ++sends;
            open.push_back(each.attempt.request_id);
        }
    };
    for (int i = 0; i < 2'000; ++i)
    {
        act(it.start(safe_call("r-" + std::to_string(i)), "report-svc",
                     at_ms(i / 10)));
        for (auto const& id : std::exchange(open, {}))
        {
            act(it.attempt_ended({id, attempt_end::connection_lost, {}},
                                 at_ms(i / 10)));
        }
        act(it.expire(at_ms(i / 10)));
    }
    BOOST_TEST(sends > 2'000);
    BOOST_TEST(sends <= 2'200);
}

// Guards against a needless wait: every group is full, and the caller gets its
// final answer only after the back-off of a resend that has no candidate group.
BOOST_AUTO_TEST_CASE(with_every_group_full_the_answer_comes_at_once)
{
    auto it = dispatcher();
    save_up(it, 200);
    for (auto const* group : {"g-1", "g-2", "g-3"})
    {
        auto digest = digest_of(group, 2);
        digest.busy = 48;
        digest.queued = 48;
        it.update_group(digest, at_ms(1));
    }
    std::ignore = it.start(call_of("r-1", at_ms(1)), "report-svc", at_ms(1));
    auto const refused = only<calls::refuse_request>(it.attempt_ended(
        {"r-1/1", attempt_end::owner_refused, s_full}, at_ms(2)));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_CHECK(refused[0].why == s_full);
}

BOOST_AUTO_TEST_CASE(a_slow_idempotent_call_is_hedged_once)
{
    auto it = dispatcher();
    save_up(it, 50);
    auto const first = only<calls::send_to_owner>(
        it.start(safe_call("r-1"), "report-svc", at_ms(0)));
    std::ignore = it.start(call_of("r-2", at_ms(0)), "report-svc", at_ms(0));
    auto const hedges = only<calls::send_to_owner>(it.expire(at_ms(100)));
    BOOST_REQUIRE(hedges.size() == 1U);
    BOOST_TEST(hedges[0].attempt.request_id == "r-1/2");
    BOOST_TEST(hedges[0].to.group != first[0].to.group);
    auto const won =
        it.attempt_ended({"r-1/2", attempt_end::answered, {}}, at_ms(120));
    BOOST_TEST(only<calls::deliver_attempt>(won).size() == 1U);
    auto const cancelled = only<calls::cancel_attempt>(won);
    BOOST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST(cancelled[0].attempt_id == "r-1/1");
    BOOST_TEST(
        it.attempt_ended({"r-1/1", attempt_end::answered, {}}, at_ms(130))
            .empty());
}

BOOST_AUTO_TEST_CASE(a_failed_attempt_leaves_the_hedge_to_answer)
{
    auto it = dispatcher();
    save_up(it, 50);
    std::ignore = it.start(safe_call("r-1"), "report-svc", at_ms(0));
    BOOST_TEST(it.expire(at_ms(100)).size() == 1U);
    BOOST_TEST(it.attempt_ended({"r-1/1", attempt_end::connection_lost, {}},
                                at_ms(110))
                   .empty());
    BOOST_TEST(
        only<calls::deliver_attempt>(
            it.attempt_ended({"r-1/2", attempt_end::answered, {}}, at_ms(120)))
            .size() == 1U);
}

namespace
{

/// How the two attempts of a hedged call end, in order, before its deadline.
struct hedged_case
{
    char const* name;
    std::vector<std::pair<char const*, attempt_end>> ends;
    ran expected;
};

std::ostream& operator<<(std::ostream& out, hedged_case const& it)
{
    return out << it.name;
}

std::array const s_hedged{
    hedged_case{"the hedge is refused, the first stays open",
                {{"r-1/2", attempt_end::minion_refused}},
                ran::unknown},
    hedged_case{"the first is refused, the hedge stays open",
                {{"r-1/1", attempt_end::owner_refused}},
                ran::unknown},
    hedged_case{"the hedge is refused, then the first breaks",
                {{"r-1/2", attempt_end::minion_refused},
                 {"r-1/1", attempt_end::connection_lost}},
                ran::unknown},
    hedged_case{"the first breaks, then the hedge is refused",
                {{"r-1/1", attempt_end::owner_lost},
                 {"r-1/2", attempt_end::minion_refused}},
                ran::unknown},
    hedged_case{
        "the first breaks, then the hedge is not sent",
        {{"r-1/1", attempt_end::timed_out}, {"r-1/2", attempt_end::not_sent}},
        ran::unknown},
    hedged_case{"both are refused",
                {{"r-1/2", attempt_end::minion_refused},
                 {"r-1/1", attempt_end::minion_refused}},
                ran::not_run},
};

} // namespace

// A refusal of one attempt must not be given to the caller as the outcome of a
// call of which another attempt may run: a caller that is told "not run" sends
// it again.
BOOST_DATA_TEST_CASE(a_refused_attempt_does_not_speak_for_the_other,
                     s_hedged,
                     it)
{
    auto board = dispatcher();
    save_up(board, 50);
    std::ignore = board.start(safe_call("r-1"), "report-svc", at_ms(0));
    BOOST_REQUIRE(board.expire(at_ms(100)).size() == 1U);
    // So late that no resend follows.
    auto const late = at_ms(999);
    std::vector<calls::refuse_request> refusals;
    for (auto const& [attempt, end] : it.ends)
    {
        auto const surely = calls::attempt_rules::surely_not_run(end);
        auto const out = board.attempt_ended(
            {attempt, end,
             surely ? std::optional{s_full} : std::optional<calls::refusal>{}},
            late);
        std::ranges::copy(only<calls::refuse_request>(out),
                          std::back_inserter(refusals));
    }
    std::ranges::copy(only<calls::refuse_request>(board.expire(at_ms(1'000))),
                      std::back_inserter(refusals));
    BOOST_REQUIRE(refusals.size() == 1U);
    BOOST_CHECK(refusals[0].why.execution == it.expected);
}

// The owner's process is suspended while it holds the call. The caller gets its
// answer at its deadline, and the answer says that the call may have run.
BOOST_AUTO_TEST_CASE(a_silent_owner_is_given_up_on_at_the_deadline)
{
    auto it = dispatcher();
    std::ignore = it.start(call_of("r-1", at_ms(0)), "report-svc", at_ms(0));
    BOOST_TEST(it.expire(at_ms(999)).empty());
    auto const out = it.expire(at_ms(1'000));
    auto const refused = only<calls::refuse_request>(out);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_CHECK(refused[0].why.execution == ran::unknown);
    BOOST_TEST(only<calls::cancel_attempt>(out).size() == 1U);
}

BOOST_AUTO_TEST_CASE(without_any_group_the_call_did_not_run)
{
    auto it = dispatcher();
    auto const refused = only<calls::refuse_request>(
        it.start(call_of("r-1", at_ms(0)), "handicap-engine", at_ms(0)));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_CHECK(refused[0].why.execution == ran::not_run);
    BOOST_TEST(it.in_flight() == 0U);
}

// Guards against refusals during a planned stop: an entry hands its group over,
// and the calls that waited there are refused because the contract has no
// resends in its budget and the group counts as tried.
BOOST_AUTO_TEST_CASE(
    a_group_that_changes_its_owner_is_asked_again_without_charge)
{
    calls::call_dispatcher it{{}, {}, calls::generator{5}};
    it.update_group(digest_of("g-1"), at_ms(0));
    std::ignore = it.start(call_of("r-1", at_ms(0)), "report-svc", at_ms(0));
    calls::refusal const stopping{ran::not_run, refusal_code::stopping, "", 0};
    std::string attempt = "r-1/1";
    std::int64_t ms = 0;
    for (int i = 0; i < 4; ++i)
    {
        BOOST_TEST(it.attempt_ended(
                         {attempt, calls::attempt_end_of(stopping), stopping},
                         at_ms(ms))
                       .empty());
        ms += 100;
        auto const again = only<calls::send_to_owner>(it.expire(at_ms(ms)));
        BOOST_REQUIRE(again.size() == 1U);
        attempt = again[0].attempt.request_id;
    }
    auto const out =
        it.attempt_ended({attempt, attempt_end::answered, {}}, at_ms(ms));
    BOOST_TEST(only<calls::deliver_attempt>(out).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
