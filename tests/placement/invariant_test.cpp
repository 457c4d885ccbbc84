#include "fake_cell.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <iterator>
#include <set>
#include <vector>

using namespace berylhill;
using namespace berylhill::placement_test;

namespace
{

/// A random run of two owners on the same groups, with submissions of batch
/// jobs and gangs, ends of every kind, checkpoints and cancellations.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_random{seed}
        , m_cell{2}
    {
        for (std::int32_t n = 0; n < 12; ++n)
        {
            auto const rack = std::string(1, static_cast<char>('a' + n % 3));
            m_cell.add_worker("rack-" + rack, "w-" + std::to_string(n),
                              {pick(4, 16) * 1'000, 32'768, 0});
        }
        for (std::int64_t name = 0; name < 10; ++name)
        {
            // The actual use is 0.3 to 1.2 times the declared one.
            auto const declared = declared_of(name);
            m_cell.actual_peaks["name-" + std::to_string(name)] = {
                declared.millicores * (name + 3) / 10,
                declared.memory_mb * (name + 3) / 10, 0};
        }
        m_cell.add_contract(unlimited_contract("kitakaze"));
        auto narrow = unlimited_contract("cantabrica");
        narrow.quota = {40'000, 200'000, 0};
        narrow.preempted = model::preemption::by_checkpoint;
        m_cell.add_contract(narrow);
        m_cell.step();
    }

    void run(std::int32_t steps)
    {
        for (std::int32_t n = 0; n < steps; ++n)
        {
            act();
            m_cell.step(static_cast<std::int32_t>(pick(1, 20)));
            for (auto const& it : std::exchange(m_cell.checkpoints, {}))
            {
                m_cell.end(it, model::task_end::checkpointed);
            }
            m_cell.advance(0.1);
            check();
        }
    }

    /// Runs until all jobs have ended.
    void drain()
    {
        for (std::int32_t n = 0; n < 20'000 && left() > 0; ++n)
        {
            m_cell.step();
            m_cell.checkpoints.clear();
            if (!m_cell.running.empty())
            {
                end_one(model::task_end::succeeded);
            }
            m_cell.advance(0.5);
        }
        BOOST_TEST(left() == 0U);
        BOOST_TEST(m_cell.running.empty());
        for (auto& it : m_cell.queues)
        {
            BOOST_TEST(it.waiting_tasks() == 0);
            BOOST_CHECK(it.usage_of("kitakaze").empty());
            BOOST_CHECK(it.usage_of("cantabrica").empty());
        }
    }

private:
    std::int64_t pick(std::int64_t least, std::int64_t most)
    {
        return boost::random::uniform_int_distribution<std::int64_t>{
            least, most}(m_random);
    }

    static model::resources declared_of(std::int64_t name)
    {
        return {(1 + name % 5) * 500, (1 + name % 3) * 1'024, 0};
    }

    [[nodiscard]] std::size_t left()
    {
        return m_cell.queue(0).job_count() + m_cell.queue(1).job_count();
    }

    void act()
    {
        switch (pick(0, 9))
        {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit();
        case 4:
            return cancel();
        case 5:
            return end_one(model::task_end::lapsed);
        case 6:
            return end_one(model::task_end::failed);
        default:
            return end_one(model::task_end::succeeded);
        }
    }

    void submit()
    {
        auto const name = pick(0, 9);
        auto request =
            request_of(pick(0, 1) == 0 ? "kitakaze" : "cantabrica",
                       "name-" + std::to_string(name), declared_of(name));
        request.tasks = static_cast<std::int32_t>(pick(1, 6));
        request.kind =
            pick(0, 2) == 0 ? model::job_kind::gang : model::job_kind::batch;
        request.urgent =
            pick(0, 4) == 0 ? model::urgency::urgent : model::urgency::normal;
        auto const id = "job-" + std::to_string(m_next++);
        auto const queue = static_cast<std::size_t>(m_next % 2);
        auto const taken = base::capture(
            [&]
            { return m_cell.queue(queue).submit(id, request, m_cell.now); });
        if (taken)
        {
            m_jobs[id] = {queue, request};
        }
    }

    void cancel()
    {
        if (m_next == 0)
        {
            return;
        }
        auto const id = "job-" + std::to_string(pick(0, m_next - 1));
        auto const it = m_jobs.find(id);
        if (it != m_jobs.end())
        {
            auto const queue = it->second.first;
            m_cell.execute(queue, m_cell.queue(queue).cancel(id, m_cell.now));
        }
    }

    void end_one(model::task_end result)
    {
        if (m_cell.running.empty())
        {
            return;
        }
        auto const at =
            pick(0, static_cast<std::int64_t>(m_cell.running.size()) - 1);
        m_cell.end(std::next(m_cell.running.begin(), at)->first, result);
    }

    void check()
    {
        BOOST_REQUIRE(m_cell.no_worker_is_overcommitted());
        std::set<model::task_id> seen;
        for (auto const& [attempt, group] : m_cell.running)
        {
            // No task runs in two places at once.
            BOOST_REQUIRE(seen.insert(attempt.task).second);
            // No task of a finished job runs.
            BOOST_REQUIRE(!m_cell.outcomes.contains(attempt.task.job));
        }
        for (std::size_t n = 0; n < 2; ++n)
        {
            auto const used = m_cell.queue(n).usage_of("cantabrica");
            BOOST_REQUIRE(used.fits_in({40'000, 200'000, 0}));
        }
    }

    boost::random::mt19937_64 m_random;
    fake_cell m_cell;
    std::map<std::string, std::pair<std::size_t, model::job_request>> m_jobs;
    std::int64_t m_next{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(invariants)

// Invariants that hold for any order of events: no worker is overcommitted, no
// task runs twice at the same time, no contract exceeds its quota, and in the
// end every job has an outcome and all resource sums are 0.
BOOST_DATA_TEST_CASE(random_runs_keep_all_invariants,
                     boost::unit_test::data::make({1, 2, 3, 4, 5, 6, 7, 8}),
                     seed)
{
    random_run it{static_cast<std::uint64_t>(seed)};
    it.run(3'000);
    it.drain();
}

// Replaying a recorded trace has to give the same decisions. They differed when
// running tasks were planned again in the order of their jobs' addresses in
// memory.
BOOST_AUTO_TEST_CASE(the_same_events_give_the_same_decisions)
{
    std::vector<std::vector<model::attempt_id>> resized(2);
    std::vector<std::string> moved;
    for (auto& order : resized)
    {
        fake_cell cell;
        cell.add_worker("rack-a", "w-1", {64'000, 65'536, 0});
        cell.add_contract(unlimited_contract("kitakaze"));
        cell.step();
        for (std::int32_t n = 0; n < 40; ++n)
        {
            auto const id = "job-" + std::to_string(n);
            auto const request =
                request_of("kitakaze", "daily", {1'000, 1'024, 0});
            auto const taken = base::capture(
                [&] { return cell.queue().submit(id, request, cell.now); });
            BOOST_REQUIRE(taken.has_value());
            // Allocations of other sizes give the second run's jobs other
            // addresses.
            moved.emplace_back(order.size() + n * moved.size() % 1'000, 'x');
        }
        cell.step();
        cell.actual_peaks["daily"] = {500, 512, 0};
        cell.end(cell.running.begin()->first, model::task_end::succeeded);
        for (auto const& it : cell.queue().decide(cell.now, 1).resizes)
        {
            order.push_back(it.attempt);
        }
    }
    BOOST_TEST(resized[0].size() > 20U);
    BOOST_CHECK(resized[0] == resized[1]);
}

BOOST_AUTO_TEST_SUITE_END()
