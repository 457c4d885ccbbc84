#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <utility>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;
using scheduler::rejected_records;

namespace
{

/// Longer than the pause after the second rejection, and shorter than a lease.
constexpr auto pause_after_rejection = std::chrono::milliseconds{2'100};

/// A cell whose store rejects the records of some jobs.
struct rejecting_cell : scheduler_fixture
{
    rejecting_cell()
    {
        list("a");
        report("a");
    }

    /// Stores the next batch but for the records of these jobs; returns the
    /// orders that waited for it.
    std::vector<scheduler::order>
    store_but(std::vector<scheduler::rejected_job> const& rejected)
    {
        std::ignore = decisions.take_batch(now);
        decisions.batch_stored(now, rejected);
        return decisions.take_orders();
    }

    /// Submits a job, stores it and starts its only task.
    scheduler::start_order run(std::uint64_t id)
    {
        decisions.submit(job(id, 1), 0, now);
        auto out = starts().at(0);
        confirm(out);
        return out;
    }

    [[nodiscard]] std::uint64_t acknowledged()
    {
        return decisions.next_hold("a", now).seen_end;
    }

    /// Lets the time pass after which rejected records are tried again.
    void try_again(std::vector<scheduler::running_attempt_report> running = {})
    {
        advance(pause_after_rejection);
        list("a");
        report("a", std::move(running));
        decisions.tick(0, now);
    }
};

scheduler::ended_attempt_report done(std::uint64_t number,
                                     scheduler::start_order const& it)
{
    return {number, it.attempt, end_reason::done, {}};
}

scheduler::rejected_job
rejected(std::uint64_t id, rejected_records it = rejected_records::not_stored)
{
    return {{id}, it};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(held_jobs, rejecting_cell)

/// Guards against a task that runs again: its end was acknowledged although the
/// store had rejected it, and the next owner knew nothing of it.
BOOST_AUTO_TEST_CASE(ends_of_a_held_job_are_not_acknowledged)
{
    auto const first = run(1);
    auto const second = run(2);
    auto const third = run(3);
    report("a", {}, {done(1, first), done(2, second), done(3, third)});
    std::ignore = store_but({rejected(2)});
    BOOST_TEST(acknowledged() == 1U);
    BOOST_TEST((decisions.phase_of({1}) == job_phase::completed));
    BOOST_TEST((decisions.phase_of({2}) == job_phase::running));
    BOOST_TEST((decisions.phase_of({3}) == job_phase::completed));
    BOOST_TEST(decisions.held_jobs_count() == 1U);
    // Later ends of other jobs have to wait for it.
    auto const fourth = run(4);
    report("a", {}, {done(4, fourth)});
    std::ignore = store();
    BOOST_TEST((decisions.phase_of({4}) == job_phase::completed));
    BOOST_TEST(acknowledged() == 1U);

    decisions.tick(0, now + pause_after_rejection);
    std::ignore = store();
    BOOST_TEST((decisions.phase_of({2}) == job_phase::completed));
    BOOST_TEST(decisions.held_jobs_count() == 0U);
    std::ignore = store();
    BOOST_TEST(acknowledged() == 4U);
}

/// Guards against a task of which the next owner does not know that it runs.
BOOST_AUTO_TEST_CASE(starts_of_a_held_job_are_not_sent)
{
    auto two_steps = job(1, 1);
    two_steps.steps.push_back(two_steps.steps.front());
    two_steps.steps.back().depends_on = {0};
    decisions.submit(two_steps, 0, now);
    auto const first = starts().at(0);
    confirm(first);
    report("a", {}, {done(1, first)});
    decisions.submit(job(2, 1), 0, now);
    decisions.decide(now);
    auto const orders = store_but({rejected(1)});
    BOOST_REQUIRE(orders.size() == 1U);
    auto const& start = std::get<scheduler::start_order>(orders.front());
    BOOST_TEST((start.attempt.task.step.job == workload::job_id{2}));
    confirm(start);
    // Nothing of it is decided either while it is held.
    BOOST_TEST(starts().empty());
    try_again({{start.attempt, {}, 10}});
    BOOST_TEST(store().empty());
    BOOST_TEST(starts().size() == 1U);
}

/// Guards against the same for an end that was read, and a start that was
/// decided, while the batch was being stored whose rejection shows that the job
/// has to be held.
BOOST_AUTO_TEST_CASE(what_came_while_the_records_were_rejected_is_held_too)
{
    auto two_tasks = job(1, 2);
    two_tasks.steps.push_back(two_tasks.steps.front());
    two_tasks.steps.back().tasks = 1;
    two_tasks.steps.back().estimate_ms = 1;
    decisions.submit(two_tasks, 0, now);
    auto const started = starts();
    BOOST_REQUIRE(started.size() == 3U);
    report("a", {}, {{1, started[0].attempt, end_reason::failed, {}}});
    std::ignore = decisions.take_batch(now);
    report("a", {}, {{2, started[1].attempt, end_reason::failed, {}}});
    decisions.decide(now);
    decisions.batch_stored(now, {rejected(1)});
    BOOST_TEST(count_of<scheduler::start_order>(decisions.take_orders()) == 0U);
    decisions.submit(job(2, 1), 0, now);
    decisions.decide(now);
    auto const orders = store();
    BOOST_TEST(count_of<scheduler::start_order>(orders) == 1U);
    BOOST_TEST(acknowledged() == 0U);
}

/// Guards against an owner that does nothing but append records which the store
/// rejects.
BOOST_AUTO_TEST_CASE(a_held_job_leaves_nothing_to_store)
{
    auto const first = run(1);
    report("a", {}, {done(1, first)});
    std::ignore = store_but({rejected(1)});
    std::ignore = store();
    BOOST_TEST(!decisions.batch_pending());
    advance(std::chrono::milliseconds{900});
    decisions.tick(0, now);
    BOOST_TEST(!decisions.batch_pending());
    advance(std::chrono::milliseconds{200});
    decisions.tick(0, now);
    BOOST_TEST(decisions.batch_pending());
}

/// Guards against a caller who is told that a job was not accepted, and the job
/// runs.
BOOST_AUTO_TEST_CASE(a_rejected_submission_is_forgotten)
{
    decisions.submit(job(1, 1), 0, now);
    decisions.decide(now);
    BOOST_TEST(store_but({rejected(1)}).empty());
    BOOST_TEST(!decisions.account_of({1}).has_value());
    BOOST_TEST(!decisions.batch_pending());
    BOOST_TEST(decisions.held_jobs_count() == 0U);
    BOOST_TEST((decisions.submit(job(1, 1), 0, now) ==
                scheduler::submission::accepted));
    BOOST_TEST(starts().size() == 1U);
}

/// Guards against the same for a job of which a record may be stored.
BOOST_AUTO_TEST_CASE(a_submission_that_may_be_stored_is_held)
{
    decisions.submit(job(1, 1), 0, now);
    decisions.decide(now);
    BOOST_TEST(
        store_but({rejected(1, rejected_records::may_be_stored)}).empty());
    BOOST_TEST(decisions.account_of({1}).has_value());
    BOOST_TEST(!decisions.withdraw({1}));
    // A certain rejection of the next try does not undo the first one.
    decisions.submit(job(1, 1), 0, now);
    BOOST_TEST(decisions.batch_pending());
    BOOST_TEST(store_but({rejected(1)}).empty());
    BOOST_TEST(decisions.account_of({1}).has_value());
    try_again();
    std::ignore = store();
    BOOST_TEST(records.contains(scheduler::spec_key({1})));
    BOOST_TEST(starts().size() == 1U);
}

/// Guards against a cancellation that is reported as done and is not stored.
BOOST_AUTO_TEST_CASE(a_call_about_a_held_job_tries_its_records_again)
{
    auto const first = run(1);
    report("a", {}, {done(1, first)});
    std::ignore = store_but({rejected(1)});
    std::ignore = store();
    BOOST_TEST(!decisions.batch_pending());
    BOOST_TEST(
        (decisions.cancel({1}, {}, now) == scheduler::cancellation::accepted));
    BOOST_TEST(decisions.batch_pending());
}

/// Guards against an instance that cannot report how other work ends: the ends
/// of a held job, and all after them, fill its reports.
BOOST_AUTO_TEST_CASE(an_instance_full_of_unacknowledged_ends_gets_no_start)
{
    auto const first = run(1);
    report("a", {}, {done(1, first)});
    std::ignore = store_but({rejected(1)});
    std::vector<scheduler::ended_attempt_report> ends{done(1, first)};
    for (std::uint64_t n = 2; n <= 300; ++n)
    {
        ends.push_back(done(n, first));
    }
    decisions.submit(job(2, 1), 0, now);
    report("a", {}, ends);
    BOOST_TEST(starts().empty());
    list("b");
    report("b");
    BOOST_TEST(starts().size() == 1U);
}

/// Guards against a job that is refused and runs: a part of its records is
/// stored, and the batch with the others is taken back.
BOOST_AUTO_TEST_CASE(a_job_that_may_be_stored_is_not_withdrawn)
{
    decisions.submit(job(1, 1), 0, now);
    std::ignore = store_but({rejected(1, rejected_records::may_be_stored)});
    std::ignore = decisions.submit(job(1, 1), 0, now);
    std::ignore = decisions.take_batch(now);
    decisions.batch_not_stored();
    BOOST_TEST(!decisions.withdraw({1}));
    BOOST_TEST(decisions.account_of({1}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
