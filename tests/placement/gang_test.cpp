#include "fake_cell.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace berylhill;
using namespace berylhill::placement_test;

namespace
{

model::job_request gang_of(std::int32_t tasks, model::resources const& each)
{
    auto it = request_of("cantabrica", "reissue", each);
    it.kind = model::job_kind::gang;
    it.tasks = tasks;
    return it;
}

void submit(fake_cell& cell,
            std::size_t queue,
            std::string const& id,
            model::job_request const& request)
{
    auto const taken = base::capture(
        [&] { return cell.queue(queue).submit(id, request, cell.now); });
    BOOST_REQUIRE(taken.has_value());
}

/// The number of running tasks of the job.
std::int64_t running_of(fake_cell const& cell, std::string const& job)
{
    return std::count_if(cell.running.begin(), cell.running.end(),
                         [&](auto const& it)
                         { return it.first.task.job == job; });
}

void add_racks(fake_cell& cell, std::int32_t racks, std::int32_t workers)
{
    for (std::int32_t rack = 0; rack < racks; ++rack)
    {
        auto const group =
            "rack-" + std::string(1, static_cast<char>('a' + rack));
        for (std::int32_t n = 0; n < workers; ++n)
        {
            cell.add_worker(group, group + "-w" + std::to_string(n),
                            {4'000, 8'192, 0});
        }
    }
    cell.add_contract(unlimited_contract("cantabrica"));
    cell.add_contract(unlimited_contract("kitakaze"));
    cell.step();
}

} // namespace

BOOST_AUTO_TEST_SUITE(gang)

// One task of a running gang is checkpointed, so the others are stopped, and
// one of those succeeds before the stop reaches it. If that success doesn't
// count as the last awaited end, the rest of the gang is never restarted.
BOOST_AUTO_TEST_CASE(a_gang_restarts_when_its_last_stop_is_a_success)
{
    fake_cell cell;
    add_racks(cell, 1, 1);
    submit(cell, 0, "job-1", gang_of(2, {1'000, 1'024, 0}));
    cell.step();
    BOOST_REQUIRE(running_of(cell, "job-1") == 2);
    auto const first = cell.running.begin()->first;
    auto const second = cell.running.rbegin()->first;
    auto& ledger = cell.ledgers.at("rack-a");
    // The stop order is in flight while the second task ends.
    ledger.on_finished(first, model::task_end::checkpointed, cell.now);
    auto const actions = cell.queue().on_finished(
        {first, model::task_end::checkpointed, "w", {}, 1, {}}, cell.now);
    BOOST_TEST(actions.releases.size() == 1U);
    cell.running.erase(first);
    cell.end(second, model::task_end::succeeded);
    cell.advance(1);
    cell.step();
    BOOST_TEST(running_of(cell, "job-1") == 1);
    cell.end(cell.running.begin()->first, model::task_end::succeeded);
    BOOST_CHECK(cell.outcomes.at("job-1") == model::job_state::succeeded);
}

// Fragmentation: by its digest a rack has room for three tasks, but its two
// workers fit one each. The third fits into another rack. A gang that asks only
// the first rack releases its holds and asks the same rack again forever.
BOOST_AUTO_TEST_CASE(fragmented_capacity_does_not_block_a_gang)
{
    fake_cell cell;
    cell.add_worker("rack-a", "w-1", {2'400, 8'192, 0});
    cell.add_worker("rack-a", "w-2", {2'400, 8'192, 0});
    cell.add_worker("rack-b", "w-3", {1'600, 8'192, 0});
    cell.add_contract(unlimited_contract("cantabrica"));
    cell.step();
    submit(cell, 0, "job-1", gang_of(3, {1'000, 1'024, 0}));
    for (std::int32_t n = 0; n < 20; ++n)
    {
        cell.step();
        cell.advance(1);
    }
    BOOST_TEST(running_of(cell, "job-1") == 3);
}

// Two gangs arrive at two owners at the same time; each needs more than half of
// the workers. If each kept its holds while waiting for the rest, they would
// deadlock.
BOOST_AUTO_TEST_CASE(two_gangs_of_two_owners_do_not_deadlock)
{
    fake_cell cell{2};
    add_racks(cell, 4, 2);
    submit(cell, 0, "job-1", gang_of(20, {1'000, 1'024, 0}));
    submit(cell, 1, "job-2", gang_of(20, {1'000, 1'024, 0}));
    for (std::int32_t n = 0; n < 200 && cell.outcomes.size() < 2; ++n)
    {
        cell.step();
        for (auto const* job : {"job-1", "job-2"})
        {
            auto const n_running = running_of(cell, job);
            BOOST_TEST((n_running == 0 || n_running == 20));
        }
        BOOST_TEST(cell.no_worker_is_overcommitted());
        cell.advance(0.1);
        if (n % 10 == 9)
        {
            auto const all = cell.running;
            for (auto const& [attempt, group] : all)
            {
                cell.end(attempt, model::task_end::succeeded);
            }
        }
    }
    BOOST_TEST(cell.outcomes.size() == 2U);
}

// Two gangs request holds concurrently, and each gets half of the racks and is
// refused the other half. Both release their holds and retry after a back-off.
// With equal back-offs they would livelock.
BOOST_AUTO_TEST_CASE(concurrent_holds_of_two_gangs_do_not_livelock)
{
    fake_cell cell{2};
    add_racks(cell, 2, 1);
    submit(cell, 0, "job-1", gang_of(6, {1'000, 1'024, 0}));
    submit(cell, 1, "job-2", gang_of(6, {1'000, 1'024, 0}));
    std::int32_t rounds = 0;
    while (cell.running.empty() && rounds < 200)
    {
        rounds += 1;
        std::array<placement::queue_actions, 2> orders;
        for (std::size_t n = 0; n < 2; ++n)
        {
            for (auto const& [name, ledger] : cell.ledgers)
            {
                cell.queue(n).update_group(ledger.digest(), cell.now);
            }
            orders[n] = cell.queue(n).decide(cell.now, 100);
        }
        // The first queue reaches rack a first, the second one rack b.
        orders[0] = cell.deliver(0, orders[0]);
        orders[1] = cell.deliver(1, orders[1]);
        while (!orders[0].empty() || !orders[1].empty())
        {
            orders[1] = cell.deliver(1, orders[1]);
            orders[0] = cell.deliver(0, orders[0]);
        }
        cell.advance(0.01);
    }
    BOOST_TEST(cell.running.size() == 6U);
    BOOST_TEST(rounds < 200);
}

// Small jobs arrive continuously and fill every gap, so a gang that needs most
// of the workers would starve without a reservation.
BOOST_AUTO_TEST_CASE(a_large_gang_is_not_starved_by_a_stream_of_small_jobs)
{
    fake_cell cell;
    add_racks(cell, 4, 2);
    auto small = request_of("kitakaze", "daily", {1'000, 1'024, 0});
    small.declared_run_s = 5;
    cell.actual_peaks["daily"] = small.declared;
    std::map<model::attempt_id, base::instant> ends;
    cell.on_start = [&](placement::start_order const& it)
    {
        ends[it.start.attempt] = cell.now + base::from_seconds(5);
    };
    std::int32_t next = 0;
    auto const pass = [&](double seconds)
    {
        for (double at = 0; at < seconds; at += 0.5)
        {
            for (std::int32_t n = 0; n < 4; ++n)
            {
                submit(cell, 0, "small-" + std::to_string(next++), small);
            }
            auto const all = ends;
            for (auto const& [attempt, end] : all)
            {
                if (cell.now >= end)
                {
                    cell.end(attempt, model::task_end::succeeded);
                    ends.erase(attempt);
                }
            }
            cell.step();
            cell.advance(0.5);
        }
    };
    pass(20);
    // The planned resources exceed the observed peak by a margin, so three
    // tasks fit on each of the 8 workers.
    BOOST_TEST(cell.running.size() == 24U);
    submit(cell, 0, "large", gang_of(28, {1'000, 1'024, 0}));
    std::int64_t most = 0;
    for (std::int32_t n = 0; n < 60 && most == 0; ++n)
    {
        pass(0.5);
        most = running_of(cell, "large");
    }
    BOOST_TEST(most == 28);
}

BOOST_AUTO_TEST_SUITE_END()
