#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using std::chrono::milliseconds;

namespace
{

workload::cell_configuration with_cap(workload::resources const& cap)
{
    workload::cell_configuration out;
    workload::queue_spec queue;
    queue.name = "q";
    queue.service = "svc";
    queue.max_attempts = 2;
    queue.stretch = 2;
    out.queues = {queue};
    out.accounts =
        workload::account_table{{{"small", {}, 0, cap}, {"large", {}, 0, {}}}};
    return out;
}

workload::job_spec job_of(std::string account,
                          std::uint64_t id,
                          std::uint32_t tasks,
                          std::int64_t cpu = 1'000)
{
    auto out = scheduler_fixture::job(id, tasks, cpu);
    out.account = std::move(account);
    return out;
}

/// Two instances of 4 cores, and an account with a cap of 3 cores.
struct capped_cell : scheduler_fixture
{
    explicit capped_cell(std::map<std::string, std::string> const& stored = {})
        : scheduler_fixture{stored}
    {
        decisions.set_configuration(with_cap({3'000, 0, 0}));
        for (auto const* const id : {"a", "b"})
        {
            list(id);
            report(id);
        }
    }
};

struct lost_case
{
    char const* story;
    std::uint32_t tasks;
    bool gang;
    /// Whether the task of another job that waits, and never ran, lasts too.
    bool other_lasts;
};

std::ostream& operator<<(std::ostream& to, lost_case const& it)
{
    return to << it.story;
}

lost_case const lost_cases[] = {
    {"one of two tasks", 2, false, false},
    {"one of two tasks, another job that lasts waits", 2, false, true},
    {"a gang", 2, true, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_cap)

/// Guards against exceeding the cap with a step that is wider than the cap.
BOOST_AUTO_TEST_CASE(a_step_wider_than_the_cap_runs_in_waves)
{
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 5), 0, it.now);
    auto const first = it.starts();
    BOOST_REQUIRE(first.size() == 3U);
    it.confirm(first[0]);
    BOOST_TEST(it.starts().empty());
    it.report(first[0].instance, {},
              {{1, first[0].attempt, end_reason::done, {}}});
    BOOST_TEST(it.starts().size() == 1U);
    it.decisions.submit(job_of("large", 2, 4), 0, it.now);
    BOOST_TEST(it.starts().size() == 4U);
}

/// Guards against exceeding the cap when a job starts while the tasks of a
/// cancelled job are still being stopped.
BOOST_AUTO_TEST_CASE(stopping_attempts_count_against_the_cap)
{
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 3), 0, it.now);
    auto const first = it.starts();
    BOOST_REQUIRE(first.size() == 3U);
    for (auto const& each : first)
    {
        it.confirm(each);
    }
    it.decisions.cancel({1}, {}, it.now);
    it.decisions.submit(job_of("small", 2, 1), 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.report(first[0].instance, {},
              {{1, first[0].attempt, end_reason::stopped, {}}});
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against exceeding the cap after a takeover, when the new owner does
/// not know yet what the former owner's orders have started.
BOOST_AUTO_TEST_CASE(starts_of_a_former_owner_count_against_the_cap)
{
    capped_cell former;
    former.decisions.submit(job_of("small", 1, 3), 0, former.now);
    BOOST_REQUIRE(former.starts().size() == 3U);

    scheduler_fixture it{former.records};
    it.decisions.set_configuration(with_cap({3'000, 0, 0}));
    it.list("c");
    it.report("c");
    it.decisions.submit(job_of("small", 2, 1), 0, it.now);
    BOOST_TEST(it.starts().empty());
}

/// Guards against starts under an old, higher cap: the newest configuration
/// applies whatever ran before.
BOOST_AUTO_TEST_CASE(nothing_starts_above_a_cap_that_was_lowered)
{
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 5), 0, it.now);
    auto const first = it.starts();
    BOOST_REQUIRE(first.size() == 3U);
    it.decisions.set_configuration(with_cap({2'000, 0, 0}));
    it.report(first[0].instance, {},
              {{1, first[0].attempt, end_reason::done, {}}});
    BOOST_TEST(it.starts().empty());
    it.decisions.set_configuration(with_cap({4'000, 0, 0}));
    BOOST_TEST(it.starts().size() == 2U);
}

/// Guards against the starvation of a gang of an account at its cap: smaller
/// jobs of the account used each part of the cap that became free.
BOOST_AUTO_TEST_CASE(the_cap_is_reserved_for_a_waiting_gang)
{
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 1), 0, it.now);
    auto const first = it.starts();
    BOOST_REQUIRE(first.size() == 1U);
    auto gang = job_of("small", 2, 3);
    gang.steps[0].gang = true;
    it.decisions.submit(gang, 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(std::chrono::milliseconds{10});
    it.decisions.submit(job_of("small", 3, 1), 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.report(first[0].instance, {},
              {{1, first[0].attempt, end_reason::done, {}}});
    auto const next = it.starts();
    BOOST_REQUIRE(next.size() == 3U);
    BOOST_TEST((next[0].attempt.task.step.job == workload::job_id{2}));
}

/// Guards against long-running tasks that are away as long as a gang of their
/// account waits for its cap, and against a gang that waits longer for it.
BOOST_DATA_TEST_CASE(a_lost_long_running_task_starts_beside_a_waiting_gang,
                     boost::unit_test::data::make(lost_cases))
{
    capped_cell it;
    // Keeps a part of the cap, so that the waiting gang never fits.
    it.decisions.submit(job_of("small", 9, 1), 0, it.now);
    auto const kept = it.starts().at(0);
    it.confirm(kept);
    auto lasting = job_of("small", 1, sample.tasks);
    lasting.steps[0].long_running = true;
    lasting.steps[0].gang = sample.gang;
    it.decisions.submit(lasting, 0, it.now);
    auto const first = it.starts();
    BOOST_TEST_REQUIRE(first.size() == sample.tasks);
    for (auto const& start : first)
    {
        it.confirm(start);
    }
    // By now the objective of the lasting job has passed.
    it.advance(std::chrono::seconds{30});
    auto gang = job_of("small", 2, 3);
    gang.steps[0].gang = true;
    it.decisions.submit(gang, 0, it.now);
    auto other = job_of("small", 3, 1);
    other.steps[0].long_running = sample.other_lasts;
    it.decisions.submit(other, 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(milliseconds{10});
    std::vector<scheduler::running_attempt_report> left{{kept.attempt, {}, 10}};
    for (std::size_t n = 1; n < first.size() && !sample.gang; ++n)
    {
        left.push_back({first[n].attempt, {}, 100});
    }
    it.report(first[0].instance, left,
              {{1, first[0].attempt, end_reason::failed, {}}});
    if (sample.gang)
    {
        std::ignore = it.store();
        it.report(first[1].instance, left,
                  {{2, first[1].attempt, end_reason::gang_member_ended, {}}});
    }
    auto const again = it.starts();
    BOOST_TEST(again.size() == (sample.gang ? 2U : 1U));
    for (auto const& start : again)
    {
        BOOST_TEST((start.attempt.task.step.job == workload::job_id{1}));
    }
}

/// Guards against accepting a job that can never start because it needs more at
/// once than its account's cap.
BOOST_AUTO_TEST_CASE(a_job_that_never_fits_the_cap_is_rejected)
{
    capped_cell it;
    auto gang = job_of("small", 1, 4);
    BOOST_TEST((it.decisions.submit(gang, 0, it.now) ==
                scheduler::submission::accepted));
    gang.id = {2};
    gang.steps[0].gang = true;
    BOOST_TEST((it.decisions.submit(gang, 0, it.now) ==
                scheduler::submission::over_cap));
    BOOST_TEST((it.decisions.submit(job_of("small", 3, 1, 3'500), 0, it.now) ==
                scheduler::submission::over_cap));
    BOOST_TEST((it.decisions.submit(job_of("large", 4, 1, 3'500), 0, it.now) ==
                scheduler::submission::accepted));
}

/// Guards against exceeding a lowered cap: starts that had been decided under
/// the former one left when their record was stored.
BOOST_AUTO_TEST_CASE(a_lowered_cap_holds_for_starts_that_were_decided)
{
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 3), 0, it.now);
    BOOST_TEST(count_of<scheduler::start_order>(it.decide()) == 0U);
    it.decisions.set_configuration(with_cap({1'000, 0, 0}));
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 1U);
}

/// Guards against exceeding a lowered cap: orders without an answer were sent
/// again.
BOOST_AUTO_TEST_CASE(a_lowered_cap_holds_for_orders_that_are_sent_again)
{
    constexpr auto until_sent_again = std::chrono::milliseconds{250};
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 3), 0, it.now);
    BOOST_REQUIRE(it.starts().size() == 3U);
    it.decisions.set_configuration(with_cap({1'000, 0, 0}));
    it.advance(until_sent_again);
    it.decisions.tick(0, it.now);
    auto const again = it.decisions.take_orders();
    BOOST_TEST(count_of<scheduler::start_order>(again) == 0U);
    BOOST_TEST(count_of<scheduler::stop_order>(it.store()) == 3U);
}

/// A takeover may find more running than the cap allows; starts that fitted
/// when they were decided still leave.
BOOST_AUTO_TEST_CASE(a_cap_that_was_not_lowered_withholds_nothing)
{
    capped_cell it;
    it.decisions.submit(job_of("small", 1, 3), 0, it.now);
    BOOST_TEST(count_of<scheduler::start_order>(it.decide()) == 0U);
    it.decisions.submit(job_of("small", 2, 1), 0, it.now);
    it.report("a", {{{{{{2}, 0, 0}, 0}, 1}, {}, 10}});
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
