#include <scheduler/gang_plan.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

base::instant const now{std::chrono::seconds{100}};

/// Free cores of an instance, and when as many more come free.
struct one_instance
{
    std::int64_t cores{0};
    std::vector<std::pair<milliseconds, std::int64_t>> ends;
    bool planned_before{false};
};

struct plan_case
{
    char const* story;
    /// Tasks of two cores each.
    std::uint32_t slots;
    std::vector<one_instance> from;
    /// From now; negative: there is no plan.
    milliseconds start;
    std::vector<std::size_t> instances;
};

std::ostream& operator<<(std::ostream& to, plan_case const& it)
{
    return to << it.story;
}

constexpr milliseconds never{-1};

plan_case const plans[] = {
    {"room that is there is used at once", 2, {{4, {}}}, milliseconds{0}, {0}},
    {"as few instances as hold it",
     4,
     {{4, {}}, {8, {}}},
     milliseconds{0},
     {1}},
    {"what ends first is waited for",
     2,
     {{0, {{milliseconds{900}, 4}}}, {0, {{milliseconds{400}, 4}}}},
     milliseconds{400},
     {1}},
    {"slots of several instances come together",
     3,
     {{2, {}}, {0, {{milliseconds{400}, 2}, {milliseconds{700}, 2}}}},
     milliseconds{700},
     {1, 0}},
    {"parts of a slot add up",
     1,
     {{1, {{milliseconds{300}, 1}}}},
     milliseconds{300},
     {0}},
    {"a plan stays while another is little sooner",
     2,
     {{0, {{milliseconds{900}, 4}}, true}, {0, {{milliseconds{700}, 4}}}},
     milliseconds{600},
     {0}},
    {"it goes where it is much sooner",
     2,
     {{0, {{milliseconds{900}, 4}}, true}, {0, {{milliseconds{500}, 4}}}},
     milliseconds{500},
     {1}},
    {"a gang too wide for all has no plan",
     9,
     {{8, {}}, {4, {{milliseconds{100}, 4}}}},
     never,
     {}},
    {"nothing is known", 1, {}, never, {}},
};

scheduler::coming_room room_of(one_instance const& it)
{
    constexpr std::int64_t millis = 1'000;
    scheduler::coming_room out;
    out.room = {it.cores * millis, 1'000, 0};
    out.planned_before = it.planned_before;
    for (auto const& [at, cores] : it.ends)
    {
        out.ends.emplace_back(now + at,
                              workload::resources{cores * millis, 0, 0});
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gang_plan)

/// A user's wide gang never starts though the cell is not full: of the slots
/// that come free one by one each goes to smaller work. Kept for it are those
/// that will be free together, and soonest.
BOOST_DATA_TEST_CASE(a_gang_is_planned_where_its_slots_come_together_first,
                     boost::unit_test::data::make(plans))
{
    workload::step_spec step;
    step.tasks = sample.slots;
    step.need = {2'000, 10, 0};
    step.gang = true;
    std::vector<scheduler::coming_room> from;
    for (auto const& it : sample.from)
    {
        from.push_back(room_of(it));
    }
    auto const plan = scheduler::plan_gang(step, sample.slots, from, now);
    BOOST_REQUIRE(plan.has_value() == (sample.start != never));
    if (plan)
    {
        BOOST_TEST((plan->start - now == sample.start));
        BOOST_TEST(plan->instances == sample.instances,
                   boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_SUITE_END()
