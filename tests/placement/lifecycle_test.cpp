#include "fake_cell.hpp"

#include <boost/test/unit_test.hpp>

using namespace berylhill;
using namespace berylhill::placement_test;

BOOST_AUTO_TEST_SUITE(job_lifecycle)

BOOST_AUTO_TEST_CASE(a_batch_job_runs_to_its_outcome)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
    cell.add_contract(wide_contract("kitakaze"));
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
        BOOST_TEST(cell.nothing_overfull());
    }
    BOOST_CHECK(cell.outcomes.at("job-1") == model::job_state::succeeded);
    BOOST_TEST(cell.queue().job_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_gang_starts_whole_over_two_groups)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
    cell.add_worker("rack-b", "w-2", {4'000, 8'192, 0});
    cell.add_contract(wide_contract("cantabrica"));
    cell.step();
    auto request = request_of("cantabrica", "reissue", {1'000, 1'024, 0});
    request.kind = model::job_kind::gang;
    request.tasks = 7;
    BOOST_REQUIRE(cell.queue().submit("job-1", request, cell.now));
    cell.step();
    BOOST_TEST(cell.running.size() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
