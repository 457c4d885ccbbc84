#include "fake_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;
using namespace berylhill::placement_test;

BOOST_AUTO_TEST_SUITE(job_lifecycle)

BOOST_AUTO_TEST_CASE(a_batch_job_runs_to_its_outcome)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
    cell.add_contract(unlimited_contract("kitakaze"));
    cell.step();
    auto request = request_of("kitakaze", "daily", {1'000, 1'024, 0});
    request.tasks = 6;
    BOOST_REQUIRE(cell.queue().submit("job-1", request, cell.now));
    cell.step();
    // Without history each task is planned at 1.6 times its declaration, so two
    // fit.
    BOOST_TEST(cell.running.size() == 2U);
    while (!cell.running.empty())
    {
        cell.end(cell.running.begin()->first, model::task_end::succeeded);
        cell.advance(1);
        cell.step();
        BOOST_TEST(cell.no_worker_is_overcommitted());
    }
    BOOST_CHECK(cell.outcomes.at("job-1") == model::job_state::succeeded);
    BOOST_TEST(cell.queue().job_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_gang_starts_whole_over_two_groups)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
    cell.add_worker("rack-b", "w-2", {4'000, 8'192, 0});
    cell.add_contract(unlimited_contract("cantabrica"));
    cell.step();
    auto request = request_of("cantabrica", "reissue", {1'000, 1'024, 0});
    request.kind = model::job_kind::gang;
    request.tasks = 7;
    BOOST_REQUIRE(cell.queue().submit("job-1", request, cell.now));
    cell.step();
    BOOST_TEST(cell.running.size() == 7U);
}

namespace
{

struct late_success_case
{
    char const* name;
    model::task_end first_end;
    /// Whether the task is started again before the success of its first
    /// attempt is reported.
    bool restarted;
};

std::ostream& operator<<(std::ostream& out, late_success_case const& it)
{
    return out << it.name;
}

std::array const s_late_successes{
    late_success_case{"given up, waits to be placed", model::task_end::lapsed,
                      false},
    late_success_case{"failed, waits out its pause", model::task_end::failed,
                      false},
    late_success_case{"given up, runs again", model::task_end::lapsed, true},
};

} // namespace

// A worker that was considered lost returns and reports the success of a task.
// A waiting task must not be started again after that; a second attempt that is
// already running ends the job as well.
BOOST_DATA_TEST_CASE(a_late_success_ends_a_waiting_task, s_late_successes, it)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
    cell.add_contract(unlimited_contract("kitakaze"));
    cell.step();
    auto const request = request_of("kitakaze", "daily", {1'000, 1'024, 0});
    BOOST_REQUIRE(cell.queue().submit("job-1", request, cell.now));
    cell.step();
    BOOST_REQUIRE(cell.running.size() == 1U);
    cell.end(cell.running.begin()->first, it.first_end);
    if (it.restarted)
    {
        cell.step();
    }
    cell.execute(0, cell.queue().on_late_success({"job-1", 0}, cell.now));
    BOOST_TEST(cell.outcomes.contains("job-1") == !it.restarted);
    // Longer than any pause after a failure.
    cell.advance(400);
    cell.step();
    BOOST_TEST(cell.running.size() == (it.restarted ? 1U : 0U));
    if (it.restarted)
    {
        cell.end(cell.running.begin()->first, model::task_end::succeeded);
    }
    BOOST_CHECK(cell.outcomes.at("job-1") == model::job_state::succeeded);
    BOOST_TEST(cell.queue().waiting_tasks() == 0);
    BOOST_TEST(cell.queue().job_count() == 0U);
}

// Other tasks of the job must still be placed after a late success of one.
BOOST_AUTO_TEST_CASE(a_late_success_leaves_other_tasks_waiting)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
    cell.add_contract(unlimited_contract("kitakaze"));
    auto request = request_of("kitakaze", "daily", {1'000, 1'024, 0});
    request.tasks = 2;
    BOOST_REQUIRE(cell.queue().submit("job-1", request, cell.now));
    cell.execute(0, cell.queue().on_late_success({"job-1", 1}, cell.now));
    BOOST_TEST(cell.queue().waiting_tasks() == 1);
    cell.step();
    BOOST_REQUIRE(cell.running.size() == 1U);
    BOOST_TEST(cell.running.begin()->first.task.index == 0);
    cell.end(cell.running.begin()->first, model::task_end::succeeded);
    BOOST_CHECK(cell.outcomes.at("job-1") == model::job_state::succeeded);
}

BOOST_AUTO_TEST_SUITE_END()
