#include <scheduler/job.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace berylhill;

namespace
{

constexpr std::uint32_t tasks = 100;

workload::job_spec spec_of(std::uint32_t n)
{
    workload::job_spec out;
    out.id = workload::job_id{1};
    workload::step_spec step;
    step.tasks = n;
    out.steps = {step};
    return out;
}

workload::task_name task_of(std::uint32_t index)
{
    return {{workload::job_id{1}, 0, 0}, index};
}

void end_all(scheduler::job& of, std::uint32_t n)
{
    for (std::uint32_t index = 0; index < n; ++index)
    {
        of.edit(task_of(index)).phase = scheduler::task_phase::done;
        of.compact(task_of(index));
    }
}

scheduler::task_list const& list_of(scheduler::job const& it)
{
    return it.find({workload::job_id{1}, 0, 0})->tasks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(task_list)

/// Guards against an owner that runs out of memory over tasks that wait, or
/// that have ended: a small request can ask for very many.
BOOST_AUTO_TEST_CASE(tasks_that_do_nothing_take_little_memory)
{
    constexpr std::uint32_t many = 10'000;
    constexpr std::size_t few_bytes = 8;
    auto const total = std::make_shared<std::size_t>(0);
    scheduler::job it{spec_of(many), 0, {}, {}, total};
    auto const before = *total;
    it.open_occurrence(0, {});
    BOOST_TEST(*total - before < many * few_bytes);
    end_all(it, many);
    BOOST_TEST(*total - before <
               sizeof(scheduler::task) * many * 2 / few_bytes);
    BOOST_TEST(*total == it.memory());
}

BOOST_AUTO_TEST_CASE(a_change_is_that_of_one_task)
{
    scheduler::job it{spec_of(tasks), 0, {}};
    it.open_occurrence(0, {});
    it.edit(task_of(17)).run = 3;
    std::uint32_t n = 0;
    for (auto const& task : list_of(it))
    {
        BOOST_TEST(task.run == (n == 17 ? 3U : 0U));
        ++n;
    }
    BOOST_TEST(n == tasks);
}

BOOST_AUTO_TEST_CASE(tasks_that_are_done_stay_so_when_another_one_changes)
{
    scheduler::job it{spec_of(tasks), 0, {}};
    it.open_occurrence(0, {});
    end_all(it, tasks);
    it.edit(task_of(tasks - 1)).phase = scheduler::task_phase::waiting;
    for (std::uint32_t index = 0; index + 1 < tasks; ++index)
    {
        BOOST_TEST((list_of(it)[index].phase == scheduler::task_phase::done));
    }
    BOOST_TEST(
        (list_of(it)[tasks - 1].phase == scheduler::task_phase::waiting));
}

BOOST_AUTO_TEST_CASE(a_job_gives_its_memory_back)
{
    auto const total = std::make_shared<std::size_t>(0);
    {
        scheduler::job it{spec_of(tasks), 0, {}, {}, total};
        it.open_occurrence(0, {});
        end_all(it, tasks);
        it.retire_complete_occurrences();
        it.open_occurrence(1, {});
        it.release_details();
        BOOST_TEST(*total == it.memory());
    }
    BOOST_TEST(*total == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
