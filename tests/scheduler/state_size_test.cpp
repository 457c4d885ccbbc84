#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;

namespace
{

/// The largest record that the platform's store takes, in bytes.
constexpr std::size_t record_bytes = 262'144;

/// Bytes of a record in the store beside its key and its value.
constexpr std::size_t record_overhead = 1;

constexpr std::size_t tasks_per_instance = 100;

/// A cell with one job, whose tasks all start and end when the test says so.
class one_job_cell
{
public:
    explicit one_job_cell(workload::job_spec const& it)
        : m_id{it.id}
    {
        std::size_t tasks = 0;
        for (auto const& step : it.steps)
        {
            tasks += step.tasks;
        }
        for (std::size_t n = 0; n * tasks_per_instance < tasks; ++n)
        {
            m_instances.push_back("instance-" + std::to_string(n));
            m_cell.list(m_instances.back());
            m_cell.report(m_instances.back());
        }
        m_next_end.resize(m_instances.size());
        std::ignore = m_cell.decisions.submit(it, 0, m_cell.now);
        std::ignore = store();
    }

    /// Lets the time of day be `wall_ms`, starts all tasks that can start and
    /// lets them end.
    void run(std::int64_t wall_ms)
    {
        m_cell.decisions.tick(wall_ms, m_cell.now);
        for (auto started = start(); !started.empty(); started = start())
        {
            end(started);
        }
    }

    /// Starts all tasks that can start; returns their orders.
    std::vector<scheduler::start_order> start()
    {
        std::vector<scheduler::start_order> out;
        std::size_t before = 0;
        do
        {
            before = out.size();
            for (auto const& it : m_cell.decide())
            {
                note(it, out);
            }
            for (auto const& it : store())
            {
                note(it, out);
            }
        } while (out.size() != before || !m_cell.decisions.round_complete());
        for (auto const& it : out)
        {
            m_cell.confirm(it);
        }
        return out;
    }

    void end(std::vector<scheduler::start_order> const& all)
    {
        for (std::size_t n = 0; n < m_instances.size(); ++n)
        {
            std::vector<scheduler::ended_attempt_report> ended;
            for (auto const& it : all)
            {
                if (it.instance == m_instances[n])
                {
                    ended.push_back(
                        {++m_next_end[n], it.attempt, end_reason::done, {}});
                }
            }
            m_cell.report(m_instances[n], {}, std::move(ended));
        }
        std::ignore = store();
    }

    void end_one(scheduler::start_order const& it)
    {
        end({it});
    }

    void cancel()
    {
        m_cell.decisions.cancel(m_id, {}, m_cell.now);
        std::ignore = store();
    }

    [[nodiscard]] std::optional<scheduler::job_phase> phase() const
    {
        return m_cell.decisions.phase_of(m_id);
    }

    /// The largest record so far, as the store counts it.
    [[nodiscard]] std::size_t largest_record() const noexcept
    {
        return m_largest_record;
    }

    /// Bytes of the records of the last batch that had any.
    [[nodiscard]] std::size_t last_batch() const noexcept
    {
        return m_last_batch;
    }

    [[nodiscard]] std::map<std::string, std::string> const& records() const
    {
        return m_cell.records;
    }

private:
    static void note(scheduler::order const& it,
                     std::vector<scheduler::start_order>& to)
    {
        if (auto const* const start = std::get_if<scheduler::start_order>(&it);
            start != nullptr)
        {
            to.push_back(*start);
        }
    }

    std::vector<scheduler::order> store()
    {
        auto const batch = m_cell.decisions.take_batch(m_cell.now);
        if (!batch.empty())
        {
            m_last_batch = 0;
        }
        for (auto const& it : batch)
        {
            auto const bytes =
                record_overhead + it.key.size() + it.value.size();
            m_largest_record = std::max(m_largest_record, bytes);
            m_last_batch += bytes;
            if (it.value.empty())
            {
                m_cell.records.erase(it.key);
            }
            else
            {
                m_cell.records[it.key] = it.value;
            }
        }
        m_cell.decisions.batch_stored(m_cell.now);
        return m_cell.decisions.take_orders();
    }

    workload::job_id m_id;
    scheduler_fixture m_cell;
    std::vector<std::string> m_instances;
    std::vector<std::uint64_t> m_next_end;
    std::size_t m_largest_record{0};
    std::size_t m_last_batch{0};
};

constexpr std::int64_t interval_ms = 200;

/// A job of some steps, each of which follows the one before.
workload::job_spec
job_of(std::size_t steps, std::uint32_t tasks, std::uint32_t occurrences = 0)
{
    workload::job_spec out;
    out.id = {0xb2};
    out.queue = "q";
    for (std::size_t n = 0; n < steps; ++n)
    {
        workload::step_spec step;
        step.tasks = tasks;
        step.need = {4'000 / static_cast<std::int64_t>(tasks_per_instance), 0,
                     0};
        step.estimate_ms = 300;
        if (n > 0)
        {
            step.depends_on = {static_cast<std::uint32_t>(n - 1)};
        }
        out.steps.push_back(step);
    }
    out.repeats = {occurrences, 0, occurrences == 0 ? 0 : interval_ms};
    return out;
}

struct size_case
{
    char const* name;
    std::size_t steps;
    std::uint32_t tasks;
    std::uint32_t occurrences;
};

std::ostream& operator<<(std::ostream& to, size_case const& it)
{
    return to << it.name;
}

size_case const size_cases[] = {
    {"often", 3, 60, 400},
    {"wide", 2, 8'000, 0},
    {"wide and often", 1, 1'000, 20},
};

} // namespace

BOOST_AUTO_TEST_SUITE(state_size)

/// Guards against a record that the store rejects because the job has run often
/// or has many tasks.
BOOST_DATA_TEST_CASE(no_record_is_larger_than_the_store_takes,
                     boost::unit_test::data::make(size_cases))
{
    one_job_cell it{job_of(sample.steps, sample.tasks, sample.occurrences)};
    for (std::uint32_t n = 0; n < std::max(sample.occurrences, 1U); ++n)
    {
        it.run(n * interval_ms);
    }
    BOOST_TEST(it.largest_record() <= record_bytes);
    BOOST_TEST((it.phase() == scheduler::job_phase::completed));
}

/// Guards against a cancelled job whose attempts, which may still run, do not
/// fit into a record.
BOOST_AUTO_TEST_CASE(the_end_of_a_wide_job_fits_into_a_record)
{
    one_job_cell it{job_of(1, 8'000)};
    BOOST_TEST(it.start().size() == 8'000U);
    it.cancel();
    BOOST_TEST(it.largest_record() <= record_bytes);
    BOOST_TEST((it.phase() == scheduler::job_phase::cancelled));
}

/// Guards against changes that cost the more the longer a job has been
/// repeated: the occurrences that are complete were written again each time.
BOOST_AUTO_TEST_CASE(an_old_job_is_as_cheap_to_store_as_a_young_one)
{
    constexpr std::uint32_t occurrences = 1'000;
    constexpr std::uint32_t young = 10;
    one_job_cell it{job_of(3, 60, occurrences)};
    std::size_t young_batch = 0;
    std::size_t young_records = 0;
    for (std::uint32_t n = 0; n + 1 < occurrences; ++n)
    {
        it.run(n * interval_ms);
        if (n == young)
        {
            young_batch = it.last_batch();
            young_records = it.records().size();
        }
    }
    // The numbers of the occurrences have more digits.
    constexpr std::size_t more_digits = 2;
    constexpr std::size_t numbers_in_batch = 20;
    BOOST_TEST(it.last_batch() <= young_batch + more_digits * numbers_in_batch);
    BOOST_TEST(it.records().size() == young_records);
}

/// Guards against changes that cost the more the more tasks a job has.
BOOST_AUTO_TEST_CASE(one_task_of_a_wide_job_is_as_cheap_to_store_as_of_a_small)
{
    auto const bytes_of_one_end = [](std::uint32_t tasks)
    {
        one_job_cell it{job_of(1, tasks)};
        auto const started = it.start();
        it.end_one(started.front());
        return it.last_batch();
    };
    auto const small = bytes_of_one_end(100);
    BOOST_TEST(bytes_of_one_end(1'000) <= small + small / 10);
    BOOST_TEST(bytes_of_one_end(10'000) <= small + small / 10);
}

/// Guards against records that nobody deletes any more: each would be read by
/// every process that starts, for ever.
BOOST_DATA_TEST_CASE(a_job_that_has_ended_leaves_only_its_end_behind,
                     boost::unit_test::data::make({false, true}))
{
    one_job_cell it{job_of(2, 100, 3)};
    it.run(0);
    it.run(interval_ms);
    if (sample)
    {
        it.cancel();
    }
    else
    {
        it.run(2 * interval_ms);
    }
    BOOST_TEST(it.records().size() == 1U);
    BOOST_TEST(it.records().contains(scheduler::state_key({0xb2})));
}

/// Guards against attempts that nobody stops: what may still run of a cancelled
/// job has to be known to the next owner, and nothing of it once the job is
/// forgotten.
BOOST_AUTO_TEST_CASE(a_cancelled_wide_job_is_known_until_it_is_deleted_whole)
{
    constexpr std::uint32_t tasks = 100;
    one_job_cell it{job_of(1, tasks)};
    BOOST_TEST(it.start().size() == tasks);
    it.cancel();
    scheduler_fixture next{it.records()};
    auto const stops = next.store();
    BOOST_TEST(count_of<scheduler::stop_order>(stops) == tasks);
    BOOST_TEST(
        (next.decisions.phase_of({0xb2}) == scheduler::job_phase::cancelled));
    next.advance(scheduler_fixture::rules().status_kept +
                 std::chrono::seconds{1});
    next.decisions.tick(0, next.now);
    std::ignore = next.store();
    BOOST_TEST(next.records.empty());
}

BOOST_AUTO_TEST_SUITE_END()
