#include "fake_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <set>

using namespace berylhill;
using namespace berylhill::placement_test;

namespace
{

void submit(fake_cell& cell,
            std::string const& id,
            model::job_request const& request)
{
    auto const taken = base::capture(
        [&] { return cell.queue().submit(id, request, cell.now); });
    BOOST_REQUIRE(taken.has_value());
}

std::int64_t running_of(fake_cell const& cell, std::string const& contract)
{
    return std::count_if(cell.running.begin(), cell.running.end(),
                         [&](auto const& it)
                         { return it.first.task.job.starts_with(contract); });
}

/// Workers of 16 cores in up to four racks, and two contracts with high limits.
fake_cell cell_of(std::int32_t workers)
{
    fake_cell cell;
    for (std::int32_t n = 0; n < workers; ++n)
    {
        auto const group =
            "rack-" + std::string(1, static_cast<char>('a' + n % 4));
        cell.add_worker(group, "w-" + std::to_string(n), {16'000, 65'536, 0});
    }
    cell.add_contract(unlimited_contract("kitakaze"));
    cell.add_contract(unlimited_contract("cantabrica"));
    cell.step();
    return cell;
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue)

namespace
{

struct rejected_case
{
    char const* says;
    model::job_kind kind;
    std::int32_t tasks;
    model::resources declared;
};

std::ostream& operator<<(std::ostream& out, rejected_case const& it)
{
    return out << it.says;
}

std::array const s_rejected{
    rejected_case{
        "no worker is large enough", model::job_kind::batch, 1, {17'000, 1, 0}},
    rejected_case{
        "no worker is large enough", model::job_kind::batch, 1, {1, 1, 1}},
    rejected_case{
        "quota is too small", model::job_kind::service, 10, {11'000, 1, 0}},
    rejected_case{"tasks at once", model::job_kind::gang, 51, {1, 1, 0}},
    rejected_case{"all workers together are too small",
                  model::job_kind::gang,
                  9,
                  {9'000, 1, 0}},
    rejected_case{
        "needs at least one task", model::job_kind::batch, 0, {1, 1, 0}},
};

} // namespace

// A job that can never run must be refused with the reason. If it were
// accepted, it would wait forever.
BOOST_DATA_TEST_CASE(impossible_jobs_are_rejected, s_rejected, it)
{
    auto cell = cell_of(8);
    auto narrow = unlimited_contract("narrow");
    narrow.quota = {100'000, 1'000'000, 10};
    narrow.tasks_at_once = 50;
    cell.add_contract(narrow);
    auto request = request_of("narrow", "job", it.declared);
    request.kind = it.kind;
    request.tasks = it.tasks;
    auto const taken = base::capture(
        [&] { return cell.queue().submit("job", request, cell.now); });
    BOOST_REQUIRE(!taken.has_value());
    BOOST_CHECK(taken.error().code == base::failure_code::invalid);
    BOOST_TEST(taken.error().message.find(it.says) != std::string::npos);
}

// Head-of-line blocking: a large job at the front of the queue fits nowhere
// now. Smaller jobs behind it must still start.
BOOST_AUTO_TEST_CASE(a_job_that_does_not_fit_does_not_block_others)
{
    auto cell = cell_of(1);
    submit(cell, "kitakaze-0", request_of("kitakaze", "half", {8'000, 1, 0}));
    cell.step();
    submit(cell, "kitakaze-1", request_of("kitakaze", "whole", {16'000, 1, 0}));
    cell.advance(1);
    submit(cell, "kitakaze-2", request_of("kitakaze", "small", {1'000, 1, 0}));
    cell.step();
    BOOST_TEST(cell.running.size() == 2U);
}

// A worker is lost with its tasks. An idempotent task runs again under a higher
// attempt number, and a late result of the first attempt is ignored. An
// at-most-once task is not run again, and its job ends as `outcome_unknown`.
BOOST_AUTO_TEST_CASE(a_lapsed_attempt_is_placed_again_under_a_new_number)
{
    auto cell = cell_of(1);
    submit(cell, "kitakaze-1", request_of("kitakaze", "daily", {1'000, 1, 0}));
    auto once = request_of("kitakaze", "once", {1'000, 1, 0});
    once.safety = model::rerun::at_most_once;
    submit(cell, "kitakaze-2", once);
    cell.step();
    auto const all = cell.running;
    for (auto const& [attempt, group] : all)
    {
        cell.end(attempt, model::task_end::lapsed);
    }
    cell.step();
    BOOST_REQUIRE(cell.running.size() == 1U);
    auto const again = cell.running.begin()->first;
    BOOST_TEST(again.number == 2);
    BOOST_CHECK(cell.outcomes.at("kitakaze-2") ==
                model::job_state::outcome_unknown);
    auto const late = model::attempt_id{again.task, 1};
    cell.queue().on_finished({late, model::task_end::succeeded, "w", {}, 1, {}},
                             cell.now);
    BOOST_TEST(!cell.outcomes.contains("kitakaze-1"));
    cell.end(again, model::task_end::succeeded);
    BOOST_CHECK(cell.outcomes.at("kitakaze-1") == model::job_state::succeeded);
}

// A task crashes every worker it runs on, together with the other tasks there.
BOOST_AUTO_TEST_CASE(a_task_that_loses_every_worker_fails)
{
    constexpr int most_starts = 5;
    constexpr int rounds = 12;
    auto cell = cell_of(4);
    submit(cell, "kitakaze-1", request_of("kitakaze", "daily", {1'000, 1, 0}));
    int starts = 0;
    for (int n = 0; n < rounds; ++n)
    {
        cell.step();
        if (cell.running.empty())
        {
            break;
        }
        ++starts;
        cell.advance(3);
        cell.end(cell.running.begin()->first, model::task_end::lapsed);
    }
    BOOST_TEST(starts == most_starts);
    BOOST_CHECK(cell.outcomes.at("kitakaze-1") == model::job_state::failed);
}

// A task loses its worker repeatedly, each time after a long run. It must not
// be considered the cause, and must not fail.
BOOST_AUTO_TEST_CASE(a_task_with_long_runs_does_not_fail_for_lost_workers)
{
    constexpr int losses = 20;
    constexpr double long_run_s = 120;
    auto cell = cell_of(4);
    submit(cell, "kitakaze-1", request_of("kitakaze", "daily", {1'000, 1, 0}));
    for (int n = 0; n < losses; ++n)
    {
        cell.step();
        BOOST_REQUIRE(cell.running.size() == 1U);
        cell.advance(long_run_s);
        cell.end(cell.running.begin()->first, model::task_end::lapsed);
    }
    BOOST_TEST(!cell.outcomes.contains("kitakaze-1"));
}

// A job is cancelled while a start order is in flight. When the answer arrives,
// the task must be stopped, or it would run on untracked.
BOOST_AUTO_TEST_CASE(a_start_in_flight_during_cancellation_is_stopped)
{
    auto cell = cell_of(1);
    submit(cell, "kitakaze-1", request_of("kitakaze", "daily", {1'000, 1, 0}));
    auto const order = cell.queue().decide(cell.now, 1).holds.at(0);
    auto const cancelled = cell.queue().cancel("kitakaze-1", cell.now);
    BOOST_TEST(cancelled.releases.size() == 1U);
    BOOST_CHECK(cancelled.outcomes.at(0).state == model::job_state::cancelled);
    auto const late =
        cell.queue().on_started(order.request.attempt, order.group, cell.now);
    BOOST_REQUIRE(late.releases.size() == 1U);
    BOOST_CHECK(late.releases.at(0).attempt == order.request.attempt);
    BOOST_TEST(cell.queue().usage_of("kitakaze").millicores == 0);
}

// Ten thousand jobs are cancelled at once. The other jobs must still be placed,
// no cancelled job may start, the contract's sums must be right afterwards, and
// the cancellations must not take quadratic time.
BOOST_AUTO_TEST_CASE(many_cancellations_leave_the_queue_consistent)
{
    auto cell = cell_of(8);
    auto const request = request_of("kitakaze", "daily", {1'000, 1, 0});
    constexpr std::int32_t jobs = 20'000;
    for (std::int32_t n = 0; n < jobs; ++n)
    {
        submit(cell, "kitakaze-" + std::to_string(n), request);
        cell.advance(0.0001);
    }
    cell.step();
    auto const before = std::chrono::steady_clock::now();
    for (std::int32_t n = 0; n < jobs; n += 2)
    {
        cell.execute(
            0, cell.queue().cancel("kitakaze-" + std::to_string(n), cell.now));
    }
    BOOST_CHECK(std::chrono::steady_clock::now() - before <
                std::chrono::seconds{5});
    cell.step();
    std::int32_t last = 0;
    while (!cell.running.empty())
    {
        auto const all = cell.running;
        for (auto const& [attempt, group] : all)
        {
            auto const n = std::stoi(attempt.task.job.substr(9));
            BOOST_REQUIRE(n % 2 == 1);
            last = std::max(last, n);
            cell.end(attempt, model::task_end::succeeded);
        }
        cell.step();
    }
    BOOST_TEST(last == jobs - 1);
    BOOST_TEST(cell.outcomes.size() == static_cast<std::size_t>(jobs));
    BOOST_TEST(cell.queue().job_count() == 0U);
    BOOST_TEST(cell.queue().usage_of("kitakaze").millicores == 0);
}

// Two contracts with more work than the cell fits share it by their weights:
// the one that uses least of its share is served next.
BOOST_AUTO_TEST_CASE(contracts_share_by_weight)
{
    auto cell = cell_of(8);
    auto heavy = unlimited_contract("cantabrica");
    heavy.weight = 3;
    cell.add_contract(heavy);
    for (std::int32_t n = 0; n < 200; ++n)
    {
        for (auto const* it : {"kitakaze", "cantabrica"})
        {
            submit(cell, std::string{it} + "-" + std::to_string(n),
                   request_of(it, "daily", {1'000, 1, 0}));
        }
    }
    cell.step();
    auto const light = running_of(cell, "kitakaze");
    BOOST_TEST(running_of(cell, "cantabrica") >= light * 3 - 2);
    BOOST_TEST(running_of(cell, "cantabrica") <= light * 3 + 3);
}

// Tasks need more than similar ones did before, while their contract's quota is
// used up. Running tasks are planned again, but never beyond the quota.
BOOST_AUTO_TEST_CASE(replanning_stays_within_the_quota)
{
    auto cell = cell_of(4);
    auto narrow = unlimited_contract("kitakaze");
    narrow.quota = {6'000, 60'000, 0};
    cell.add_contract(narrow);
    auto const request = request_of("kitakaze", "monthly", {1'000, 1'024, 0});
    cell.actual_peaks["monthly"] = {500, 512, 0};
    for (std::int32_t n = 0; n < 40; ++n)
    {
        submit(cell, "kitakaze-" + std::to_string(n), request);
    }
    for (std::int32_t n = 0; n < 20; ++n)
    {
        cell.step();
        BOOST_TEST(cell.queue().usage_of("kitakaze").fits_in(narrow.quota));
        cell.end(cell.running.begin()->first, model::task_end::succeeded);
        cell.actual_peaks["monthly"] = {1'400, 1'400, 0};
        cell.advance(1);
    }
    BOOST_TEST(cell.no_worker_is_overcommitted());
}

// Urgent jobs arrive while the queue is long. Within the urgent quota they
// start first; beyond it they count as normal work, and normal work starts too.
BOOST_AUTO_TEST_CASE(urgent_work_goes_first_within_its_quota)
{
    auto cell = cell_of(1);
    auto narrow = unlimited_contract("cantabrica");
    narrow.urgent_quota = {5'000, 100'000, 0};
    cell.add_contract(narrow);
    for (std::int32_t n = 0; n < 30; ++n)
    {
        submit(cell, "kitakaze-" + std::to_string(n),
               request_of("kitakaze", "daily", {1'000, 1, 0}));
    }
    cell.advance(1);
    auto urgent = request_of("cantabrica", "race", {1'000, 1, 0});
    urgent.urgent = model::urgency::urgent;
    for (std::int32_t n = 0; n < 10; ++n)
    {
        submit(cell, "cantabrica-" + std::to_string(n), urgent);
    }
    cell.execute(0, cell.queue().decide(cell.now, 3));
    BOOST_TEST(running_of(cell, "cantabrica") == 3);
    cell.step();
    BOOST_TEST(running_of(cell, "kitakaze") >= 4);
}

// A job crashes immediately on every worker. It is retried with an exponential
// back-off and fails after a bounded number of starts.
BOOST_AUTO_TEST_CASE(a_crash_loop_backs_off_and_ends)
{
    auto cell = cell_of(4);
    submit(cell, "kitakaze-1", request_of("kitakaze", "crash", {9'000, 1, 0}));
    std::int32_t starts = 0;
    for (std::int32_t n = 0; n < 4'000 && cell.outcomes.empty(); ++n)
    {
        cell.step();
        auto const all = cell.running;
        for (auto const& [attempt, group] : all)
        {
            starts += 1;
            cell.end(attempt, model::task_end::failed);
        }
        cell.advance(0.1);
    }
    BOOST_TEST(starts <= 12);
    BOOST_CHECK(cell.outcomes.at("kitakaze-1") == model::job_state::failed);
}

// A service must survive the loss of a zone, so its tasks are spread over
// zones.
BOOST_AUTO_TEST_CASE(a_service_spreads_over_zones)
{
    auto cell = cell_of(8);
    auto request = request_of("kitakaze", "report", {1'000, 1, 0});
    request.kind = model::job_kind::service;
    request.tasks = 4;
    submit(cell, "kitakaze-1", request);
    cell.step();
    std::set<std::string> groups;
    for (auto const& [attempt, group] : cell.running)
    {
        groups.insert(group);
    }
    BOOST_TEST(groups.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
