#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;

namespace
{

constexpr base::duration second = std::chrono::seconds{1};

/// Why an instance lists an end that was processed and stored before: it is
/// forgotten only when it is acknowledged.
enum class repeated_by : std::uint8_t
{
    another_owner,
    a_new_entry_of_the_instance,
};

struct repeated_case
{
    char const* name;
    repeated_by why;
};

std::ostream& operator<<(std::ostream& to, repeated_case const& it)
{
    return to << it.name;
}

repeated_case const repeated_cases[] = {
    {"the owner ended before it acknowledged the end",
     repeated_by::another_owner},
    {"the instance's entry was away and came back",
     repeated_by::a_new_entry_of_the_instance},
};

/// Starts the only task of a job, which fails on `a`; the end is stored.
scheduler::start_order fail_once(scheduler_fixture& it)
{
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto start = it.starts().at(0);
    it.confirm(start);
    it.advance(second);
    it.report("a", {}, {{1, start.attempt, end_reason::failed, {}}});
    BOOST_TEST(it.store().empty());
    return start;
}

} // namespace

BOOST_AUTO_TEST_SUITE(unexpected_runs)

/// Guards against showing a job as failed without cause: one failed run was
/// counted each time its end was listed. The queue allows two.
BOOST_DATA_TEST_CASE(a_failed_run_counts_once_however_often_it_is_listed,
                     boost::unit_test::data::make(repeated_cases))
{
    scheduler_fixture former;
    auto const start = fail_once(former);
    auto const listed = scheduler::ended_attempt_report{
        1, start.attempt, end_reason::failed, {}};
    if (sample.why == repeated_by::another_owner)
    {
        scheduler_fixture it{former.records};
        it.list("a");
        it.report("a", {}, {listed});
        BOOST_TEST(it.starts().size() == 1U);
        BOOST_TEST((it.decisions.phase_of({1}) != job_phase::failed));
        return;
    }
    auto& it = former;
    it.decisions.instance_unlisted("a", it.now);
    it.decisions.tick(0, it.now);
    it.list("a");
    it.report("a", {}, {listed});
    BOOST_TEST(it.starts().size() == 1U);
    BOOST_TEST((it.decisions.phase_of({1}) != job_phase::failed));
}

/// As for a single task: the end of an earlier run of the gang is listed again
/// after a later run has failed. The queue allows three here.
BOOST_AUTO_TEST_CASE(a_failed_run_of_a_gang_counts_once)
{
    scheduler_fixture former;
    workload::cell_configuration three;
    workload::queue_spec queue;
    queue.name = "q";
    queue.service = "svc";
    queue.max_attempts = 3;
    queue.stretch = 2;
    three.queues = {queue};
    former.decisions.set_configuration(three);
    auto gang = scheduler_fixture::job(1, 1);
    gang.steps[0].gang = true;
    former.list("a");
    former.report("a");
    former.decisions.submit(gang, 0, former.now);
    auto const first = former.starts().at(0);
    former.confirm(first);
    former.advance(second);
    auto const listed = scheduler::ended_attempt_report{
        1, first.attempt, end_reason::failed, {}};
    former.report("a", {}, {listed});
    BOOST_TEST(former.store().empty());
    // The acknowledgement does not reach `a`.
    former.decisions.hold_unanswered("a", former.now);
    former.list("b");
    former.report("b");
    auto const second_run = former.starts().at(0);
    former.confirm(second_run);
    former.advance(second);
    former.report("b", {}, {{1, second_run.attempt, end_reason::failed, {}}});
    BOOST_TEST(former.store().empty());

    scheduler_fixture it{former.records};
    it.decisions.set_configuration(three);
    it.list("a");
    it.report("a", {}, {listed});
    BOOST_TEST(it.starts().size() == 1U);
    BOOST_TEST((it.decisions.phase_of({1}) != job_phase::failed));
}

/// Guards against running a task twice: an unexpected run was counted as ended
/// since no lease of this owner or a former one was known, though the instance
/// had just reported it.
BOOST_AUTO_TEST_CASE(an_unexpected_run_counts_when_all_known_leases_are_over)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.advance(20 * second);
    it.decisions.tick(0, it.now);
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const stray = scheduler::attempt_name{{{{1}, 0, 0}, 0}, 1};
    it.report("a", {{stray, {}, 10}});
    it.advance(std::chrono::milliseconds{10});
    it.decisions.tick(0, it.now);
    it.list("b");
    it.report("b");
    BOOST_TEST(it.starts().empty());
}

/// Guards against running a task twice: the next owner started a task beside an
/// unexpected run that the former owner had found and not yet stopped.
BOOST_AUTO_TEST_CASE(the_next_owner_starts_nothing_beside_an_unexpected_run)
{
    scheduler_fixture former;
    former.list("a");
    former.decisions.submit(scheduler_fixture::job(1, 1), 0, former.now);
    auto const stray = scheduler::attempt_name{{{{1}, 0, 0}, 0}, 1};
    former.report("a", {{stray, {}, 10}});
    former.list("b");
    former.report("b");
    BOOST_TEST(former.starts().empty());

    scheduler_fixture it{former.records};
    it.list("a");
    it.list("b");
    it.report("b");
    BOOST_TEST(it.starts().empty());
}

namespace
{

workload::cell_configuration with_cap()
{
    workload::cell_configuration out;
    workload::queue_spec queue;
    queue.name = "q";
    queue.service = "svc";
    queue.max_attempts = 2;
    queue.stretch = 2;
    out.queues = {queue};
    out.accounts = workload::account_table{{{"small", {}, 0, {1'000, 0, 0}}}};
    return out;
}

struct rest_case
{
    char const* name;
    /// Number of steps; with more than one the job is not completed.
    std::size_t steps;
};

std::ostream& operator<<(std::ostream& to, rest_case const& it)
{
    return to << it.name;
}

rest_case const rest_cases[] = {
    {"the job is completed", 1},
    {"the job goes on", 2},
};

} // namespace

/// Guards against exceeding the cap of an account after a takeover: the current
/// run of a task was left out of the record when an earlier one had ended as
/// done, while it was still being stopped.
BOOST_DATA_TEST_CASE(a_run_that_is_stopped_for_an_earlier_end_is_recorded,
                     boost::unit_test::data::make(rest_cases))
{
    scheduler_fixture former;
    former.decisions.set_configuration(with_cap());
    auto job = scheduler_fixture::job(1, 1);
    job.account = "small";
    for (std::size_t n = 1; n < sample.steps; ++n)
    {
        job.steps.push_back(job.steps[0]);
        job.steps.back().depends_on = {0};
    }
    former.list("b");
    former.report("b");
    former.decisions.submit(job, 0, former.now);
    auto const earlier = former.starts().at(0);
    former.answer(earlier, scheduler::start_answer::turned_away);
    former.advance(second);
    former.report("b");
    auto const current = former.starts().at(0);
    former.confirm(current);
    former.report("b", {{current.attempt, {}, 10}},
                  {{1, earlier.attempt, end_reason::done, {}}});
    // As long as this owner lasts, the cap is used up.
    BOOST_TEST(former.starts().empty());

    scheduler_fixture it{former.records};
    it.decisions.set_configuration(with_cap());
    it.list("c");
    it.report("c");
    auto next = scheduler_fixture::job(2, 1);
    next.account = "small";
    it.decisions.submit(next, 0, it.now);
    BOOST_TEST(it.starts().empty());
}

BOOST_AUTO_TEST_SUITE_END()
