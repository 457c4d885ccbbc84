#include "fake_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace berylhill;
using namespace berylhill::placement_test;
using placement::hold_state;
using placement::ledger_action_kind;

namespace
{

constexpr base::duration s_hold_time{2'000'000};

base::instant at(double seconds)
{
    return base::instant{base::from_seconds(seconds)};
}

placement::hold_request hold_of(std::string const& job,
                                std::string const& name,
                                model::resources const& need)
{
    placement::hold_request it;
    it.attempt = {{job, 0}, 1};
    it.contract = "kitakaze";
    it.name = name;
    it.need = need;
    return it;
}

placement::group_ledger ledger_with(std::int32_t workers)
{
    placement::group_ledger ledger{"rack-a", "sapporo-a", "rack-a"};
    for (std::int32_t n = 0; n < workers; ++n)
    {
        model::endpoint it;
        it.id = "w-" + std::to_string(n);
        it.capacity = {4'000, 8'192, 0};
        ledger.set_worker(it, at(0));
    }
    return ledger;
}

/// Holds and commits an attempt. Returns the worker, or an empty string if the
/// hold is refused.
std::string start(placement::group_ledger& ledger,
                  placement::hold_request const& request,
                  base::instant now)
{
    auto const found = ledger.hold(request, now + s_hold_time, now);
    if (found.answer.state != hold_state::held)
    {
        return {};
    }
    BOOST_REQUIRE(ledger.commit(request.attempt, now).has_value());
    return found.answer.worker;
}

platform::running_task running_of(placement::hold_request const& it,
                                  model::resources const& used)
{
    return {it.attempt, it.contract, it.name, it.need, used};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger)

namespace
{

struct hold_case
{
    char const* what;
    model::resources need;
    hold_state answer;
};

std::ostream& operator<<(std::ostream& out, hold_case const& it)
{
    return out << it.what;
}

std::array const s_holds{
    hold_case{"fits", {2'000, 1'024, 0}, hold_state::held},
    hold_case{
        "larger than the free capacity", {3'000, 1'024, 0}, hold_state::full},
    hold_case{
        "more cores than any worker", {5'000, 1, 0}, hold_state::never_fits},
    hold_case{
        "more memory than any worker", {1, 9'000, 0}, hold_state::never_fits},
    hold_case{
        "no worker with an accelerator", {1, 1, 1}, hold_state::never_fits},
};

} // namespace

BOOST_DATA_TEST_CASE(a_hold_is_answered_by_free_capacity, s_holds, it)
{
    auto ledger = ledger_with(1);
    ledger.hold(hold_of("first", "daily", {2'000, 1'024, 0}), at(2), at(0));
    auto const found =
        ledger.hold(hold_of("job", "daily", it.need), at(2), at(0));
    BOOST_CHECK(found.answer.state == it.answer);
}

// A job owner crashes between hold and commit. The hold expires, so that its
// resources are free for the next job, and a late commit starts nothing.
BOOST_AUTO_TEST_CASE(an_expired_hold_cannot_be_committed)
{
    auto ledger = ledger_with(1);
    auto const lost = hold_of("lost", "daily", {4'000, 1'024, 0});
    auto const next = hold_of("next", "daily", {4'000, 1'024, 0});
    ledger.hold(lost, at(2), at(0));
    BOOST_CHECK(ledger.hold(next, at(3), at(1)).answer.state ==
                hold_state::full);
    BOOST_CHECK(!ledger.commit(lost.attempt, at(2)).has_value());
    BOOST_CHECK(ledger.expire_holds(at(2)).empty());
    BOOST_TEST(start(ledger, next, at(2)) == "w-0");
}

// The answer to a hold is lost and the owner repeats the request. The resources
// must be allocated once, and a repeat after the start must not start the task
// a second time.
BOOST_AUTO_TEST_CASE(a_repeated_hold_is_idempotent)
{
    auto ledger = ledger_with(1);
    auto const it = hold_of("job", "daily", {3'000, 1'024, 0});
    BOOST_TEST(start(ledger, it, at(0)) == "w-0");
    auto const again = ledger.hold(it, at(3), at(1)).answer;
    BOOST_CHECK(again.state == hold_state::repeated);
    BOOST_TEST(again.worker == "w-0");
    BOOST_CHECK(!ledger.commit(it.attempt, at(1)).has_value());
    BOOST_TEST(ledger.worker_summaries().front().planned.millicores == 3'000);
}

// A worker takes a while to stop a task. The task's resources must stay
// allocated until the worker reports its end, or two tasks would share them.
BOOST_AUTO_TEST_CASE(a_stopping_task_keeps_its_resources_until_it_has_ended)
{
    auto ledger = ledger_with(1);
    auto const first = hold_of("first", "daily", {4'000, 1'024, 0});
    auto const next = hold_of("next", "daily", {4'000, 1'024, 0});
    start(ledger, first, at(0));
    auto const actions = ledger.release(first.attempt, at(1));
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_CHECK(actions.front().kind == ledger_action_kind::stop);
    BOOST_CHECK(ledger.hold(next, at(3), at(1)).answer.state ==
                hold_state::full);
    ledger.on_finished(first.attempt, model::task_end::stopped, at(2));
    BOOST_TEST(start(ledger, next, at(2)) == "w-0");
}

// Once the planned stop of a worker is announced it must get no new tasks.
BOOST_AUTO_TEST_CASE(a_leaving_worker_gets_no_tasks)
{
    auto ledger = ledger_with(2);
    model::endpoint it;
    it.id = "w-0";
    it.capacity = {4'000, 8'192, 0};
    it.state = model::listed_state::leaving;
    ledger.set_worker(it, at(1));
    for (std::int32_t n = 0; n < 4; ++n)
    {
        auto const job = "job-" + std::to_string(n);
        BOOST_TEST(start(ledger, hold_of(job, "daily", {1'000, 1, 0}), at(1)) ==
                   "w-1");
    }
    BOOST_CHECK(
        ledger.hold(hold_of("job-5", "daily", {1'000, 1, 0}), at(3), at(1))
            .answer.state == hold_state::full);
}

// A task uses more than planned, and reports lag behind. It is throttled first.
// If memory use still approaches the worker's capacity, the cheapest task is
// checkpointed before the worker is full, and not the urgent one.
BOOST_AUTO_TEST_CASE(growing_use_is_throttled_then_checkpointed)
{
    auto ledger = ledger_with(1);
    auto grows = hold_of("grows", "monthly", {1'000, 2'048, 0});
    auto urgent = hold_of("urgent", "check", {1'000, 2'048, 0});
    urgent.urgent = model::urgency::urgent;
    start(ledger, urgent, at(0));
    start(ledger, grows, at(1));
    auto const first = ledger.on_report("w-0",
                                        {running_of(grows, {1'500, 6'500, 0}),
                                         running_of(urgent, {1'000, 1'024, 0})},
                                        at(3));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_CHECK(first.front().kind == ledger_action_kind::throttle);
    BOOST_CHECK(first.front().attempt == grows.attempt);
    BOOST_TEST(first.front().share < 1);
    BOOST_CHECK(
        ledger.hold(hold_of("next", "daily", {1'000, 1'024, 0}), at(6), at(4))
            .answer.state == hold_state::full);
    auto const second =
        ledger.on_report("w-0",
                         {running_of(grows, {700, 6'900, 0}),
                          running_of(urgent, {1'000, 1'024, 0})},
                         at(5));
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_CHECK(second.front().kind == ledger_action_kind::checkpoint);
    BOOST_CHECK(second.front().attempt == grows.attempt);
}

// A worker process restarts and loses its tasks: they are missing from its
// reports, and their ends are never reported.
BOOST_AUTO_TEST_CASE(a_task_missing_from_reports_is_lost)
{
    auto ledger = ledger_with(1);
    auto const it = hold_of("job", "daily", {4'000, 1'024, 0});
    start(ledger, it, at(0));
    BOOST_CHECK(ledger.on_report("w-0", {}, at(1)).empty());
    ledger.on_report("w-0", {running_of(it, {1, 1, 0})}, at(2));
    auto const actions = ledger.on_report("w-0", {}, at(3));
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_CHECK(actions.front().kind == ledger_action_kind::lost);
    BOOST_TEST(ledger.digest().free.millicores == 4'000);
}

// An attempt whose start may still arrive must not be considered lost because
// its stop was answered: it would run beside the next attempt, on capacity that
// was allocated to another task.
BOOST_AUTO_TEST_CASE(a_stopped_task_that_may_start_late_is_kept)
{
    auto ledger = ledger_with(1);
    auto const it = hold_of("job", "daily", {4'000, 1'024, 0});
    auto const whole = ledger.digest().free.millicores;
    start(ledger, it, at(0));
    ledger.release(it.attempt, at(1));
    BOOST_CHECK(ledger.on_report("w-0", {}, at(2), {it.attempt}).empty());
    BOOST_TEST(ledger.digest().free.millicores == whole - 4'000);
    auto const actions = ledger.on_report("w-0", {}, at(3));
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_CHECK(actions.front().kind == ledger_action_kind::lost);
    BOOST_TEST(ledger.digest().free.millicores == whole);
}

// A new owner takes over a group with running tasks. They must be accounted
// for, even if they exceed the worker's capacity, so that no task is added.
BOOST_AUTO_TEST_CASE(running_tasks_are_accounted_for_on_takeover)
{
    auto ledger = ledger_with(1);
    auto const found = hold_of("found", "daily", {5'000, 1'024, 0});
    ledger.adopt("w-0", running_of(found, {1, 1, 0}), at(0));
    BOOST_CHECK(ledger.hold(hold_of("next", "daily", {1, 1, 0}), at(3), at(1))
                    .answer.state == hold_state::full);
    BOOST_TEST(ledger.worker_of(found.attempt) == "w-0");
}

// A worker that fails every task immediately is always the emptiest and would
// attract every job. It is quarantined, probed later with one task, and
// returned to service when that succeeds.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_is_quarantined)
{
    auto ledger = ledger_with(2);
    ledger.set_cell_failure_rate(0.05);
    std::int32_t on_bad = 0;
    double now = 0;
    for (std::int32_t n = 0; n < 60; ++n, now += 0.1)
    {
        auto const name = "name-" + std::to_string(n % 6);
        auto const it =
            hold_of("job-" + std::to_string(n), name, {1'000, 1, 0});
        auto const worker = start(ledger, it, at(now));
        BOOST_REQUIRE(!worker.empty());
        auto const bad = worker == "w-0";
        on_bad += bad ? 1 : 0;
        ledger.on_finished(it.attempt,
                           bad ? model::task_end::failed
                               : model::task_end::succeeded,
                           at(now));
    }
    BOOST_TEST(on_bad > 2);
    BOOST_TEST(on_bad < 20);
    BOOST_CHECK(ledger.worker_summaries().front().state ==
                placement::health::quarantined);
    now += 60;
    auto const probe = hold_of("probe", "name-1", {1'000, 1, 0});
    auto const other = hold_of("other", "name-1", {1'000, 1, 0});
    BOOST_TEST(start(ledger, probe, at(now)) == "w-0");
    BOOST_TEST(start(ledger, other, at(now)) == "w-1");
    ledger.on_finished(probe.attempt, model::task_end::succeeded, at(now + 1));
    BOOST_CHECK(ledger.worker_summaries().front().state ==
                placement::health::good);
}

// One job fails on every worker. The workers must not be quarantined for it, or
// a crash loop of one contract would take the rack from all others.
BOOST_AUTO_TEST_CASE(a_job_that_fails_everywhere_quarantines_no_worker)
{
    auto ledger = ledger_with(3);
    ledger.set_cell_failure_rate(0.05);
    for (std::int32_t n = 0; n < 60; ++n)
    {
        auto it = hold_of("job-" + std::to_string(n), "crashes", {3'000, 1, 0});
        it.avoid = {"w-" + std::to_string(n % 3),
                    "w-" + std::to_string((n + 1) % 3)};
        BOOST_TEST(start(ledger, it, at(n)) ==
                   "w-" + std::to_string((n + 2) % 3));
        ledger.on_finished(it.attempt, model::task_end::failed, at(n));
    }
    for (auto const& it : ledger.worker_summaries())
    {
        BOOST_CHECK(it.state == placement::health::good);
    }
}

// An urgent task arrives while the rack is full of preemptible batch tasks. The
// youngest is checkpointed, and its resources go to the urgent task and not to
// another request that arrives in between.
BOOST_AUTO_TEST_CASE(an_urgent_task_gets_the_resources_freed_for_it)
{
    auto ledger = ledger_with(1);
    auto old = hold_of("old", "monthly", {2'000, 1'024, 0});
    auto young = hold_of("young", "monthly", {2'000, 1'024, 0});
    old.preempted = model::preemption::by_checkpoint;
    young.preempted = model::preemption::by_checkpoint;
    start(ledger, old, at(0));
    start(ledger, young, at(10));
    ledger.on_report("w-0",
                     {running_of(old, {1, 1, 0}), running_of(young, {1, 1, 0})},
                     at(11));
    auto urgent = hold_of("race", "race", {2'000, 1'024, 0});
    urgent.urgent = model::urgency::urgent;
    urgent.may_preempt = true;
    auto const asked = ledger.hold(urgent, at(14), at(12));
    BOOST_CHECK(asked.answer.state == hold_state::preempting);
    BOOST_REQUIRE(asked.actions.size() == 1U);
    BOOST_CHECK(asked.actions.front().attempt == young.attempt);
    ledger.on_finished(young.attempt, model::task_end::checkpointed, at(12.5));
    auto const between = hold_of("between", "daily", {2'000, 1'024, 0});
    BOOST_CHECK(ledger.hold(between, at(15), at(12.5)).answer.state ==
                hold_state::full);
    urgent.attempt.number = 2;
    BOOST_TEST(start(ledger, urgent, at(12.6)) == "w-0");
}

BOOST_AUTO_TEST_SUITE_END()
