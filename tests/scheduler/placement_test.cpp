#include <scheduler/placement.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;
using scheduler::candidate;

namespace
{

candidate instance(char const* id,
                   char const* rack,
                   std::int64_t cpu,
                   std::uint32_t here = 0)
{
    return {id, rack, {cpu, 8'000, 0}, {8'000, 8'000, 0}, here};
}

struct placement_case
{
    char const* name;
    workload::step_spec step;
    std::vector<candidate> from;
    /// The chosen instances, in order.
    std::string expected;
};

std::ostream& operator<<(std::ostream& to, placement_case const& it)
{
    return to << it.name;
}

workload::step_spec step(std::uint32_t tasks, std::int64_t cpu)
{
    workload::step_spec out;
    out.tasks = tasks;
    out.need = {cpu, 100, 0};
    return out;
}

workload::step_spec near(std::string const& rack)
{
    auto out = step(1, 1'000);
    out.preferred_rack = rack;
    return out;
}

workload::step_spec apart()
{
    auto out = step(3, 1'000);
    out.max_per_instance = 1;
    return out;
}

workload::step_spec gang(std::uint32_t tasks, bool same_rack)
{
    auto out = step(tasks, 4'000);
    out.gang = true;
    out.same_rack = same_rack;
    return out;
}

placement_case const task_cases[] = {
    {"the fullest instance that fits",
     step(1, 2'000),
     {instance("a", "r", 8'000), instance("b", "r", 2'500),
      instance("c", "r", 1'000)},
     "b"},
    {"as many as fit",
     step(3, 4'000),
     {instance("a", "r", 4'500), instance("b", "r", 4'000)},
     "ba"},
    {"near the data before a better fit",
     near("far"),
     {instance("a", "r", 1'000), instance("b", "far", 8'000)},
     "b"},
    {"elsewhere where there is no room near the data",
     near("far"),
     {instance("a", "r", 1'000), instance("b", "far", 500)},
     "a"},
    {"not more than allowed on one instance",
     apart(),
     {instance("a", "r", 8'000), instance("b", "r", 8'000, 1)},
     "a"},
};

placement_case const gang_cases[] = {
    {"all tasks",
     gang(2, false),
     {instance("a", "r", 4'000), instance("b", "s", 4'000)},
     "ab"},
    {"or none",
     gang(3, false),
     {instance("a", "r", 4'000), instance("b", "s", 4'000)},
     ""},
    {"on one rack",
     gang(2, true),
     {instance("a", "r", 4'000), instance("b", "s", 4'000),
      instance("c", "s", 4'000)},
     "bc"},
    {"not across racks",
     gang(2, true),
     {instance("a", "r", 4'000), instance("b", "s", 4'000)},
     ""},
};

std::string names(std::vector<candidate> const& from,
                  std::vector<std::size_t> const& chosen)
{
    std::string out;
    for (auto const it : chosen)
    {
        out += from[it].instance;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

BOOST_DATA_TEST_CASE(tasks, boost::unit_test::data::make(task_cases))
{
    auto const chosen = scheduler::choose_for_tasks(
        sample.step, sample.step.tasks, sample.from);
    BOOST_TEST(names(sample.from, chosen) == sample.expected);
}

BOOST_DATA_TEST_CASE(gangs, boost::unit_test::data::make(gang_cases))
{
    auto const chosen =
        scheduler::choose_for_gang(sample.step, sample.from, false);
    BOOST_TEST(names(sample.from, chosen) == sample.expected);
}

BOOST_AUTO_TEST_CASE(a_gang_that_would_be_late_goes_across_racks)
{
    auto const from = gang_cases[3].from;
    auto const chosen = scheduler::choose_for_gang(gang(2, true), from, true);
    BOOST_TEST(names(from, chosen) == "ab");
}

BOOST_AUTO_TEST_SUITE_END()
