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

/// The free cores of an instance, and when more of them become free.
struct one_instance
{
    std::int64_t cores{0};
    std::vector<std::pair<milliseconds, std::int64_t>> ends;
    bool planned_before{false};
};

struct plan_case
{
    char const* story;
    /// Number of tasks of 2 cores each.
    std::uint32_t slots;
    std::vector<one_instance> from;
    /// Offset from now; negative if there is no plan.
    milliseconds start;
    std::vector<std::size_t> instances;
};

std::ostream& operator<<(std::ostream& to, plan_case const& it)
{
    return to << it.story;
}

constexpr milliseconds never{-1};

plan_case const plans[] = {
    {"free room is used at once", 2, {{4, {}}}, milliseconds{0}, {0}},
    {"a minimal set of instances", 4, {{4, {}}, {8, {}}}, milliseconds{0}, {1}},
    {"the earliest end is chosen",
     2,
     {{0, {{milliseconds{900}, 4}}}, {0, {{milliseconds{400}, 4}}}},
     milliseconds{400},
     {1}},
    {"slots of several instances are combined",
     3,
     {{2, {}}, {0, {{milliseconds{400}, 2}, {milliseconds{700}, 2}}}},
     milliseconds{700},
     {1, 0}},
    {"parts of a slot add up",
     1,
     {{1, {{milliseconds{300}, 1}}}},
     milliseconds{300},
     {0}},
    {"a plan stays if another is slightly sooner",
     2,
     {{0, {{milliseconds{900}, 4}}, true}, {0, {{milliseconds{700}, 4}}}},
     milliseconds{600},
     {0}},
    {"a plan changes if another is much sooner",
     2,
     {{0, {{milliseconds{900}, 4}}, true}, {0, {{milliseconds{500}, 4}}}},
     milliseconds{500},
     {1}},
    {"a gang too wide for all has no plan",
     9,
     {{8, {}}, {4, {{milliseconds{100}, 4}}}},
     never,
     {}},
    {"no instance is known", 1, {}, never, {}},
};

scheduler::room_forecast room_of(one_instance const& it)
{
    constexpr std::int64_t millis = 1'000;
    scheduler::room_forecast out;
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

/// Guards against the starvation of a wide gang: each slot that became free
/// went to smaller tasks. The slots that are free together soonest are reserved
/// for it.
BOOST_DATA_TEST_CASE(a_gang_is_planned_where_its_slots_are_free_first,
                     boost::unit_test::data::make(plans))
{
    workload::step_spec step;
    step.tasks = sample.slots;
    step.need = {2'000, 10, 0};
    step.gang = true;
    std::vector<scheduler::room_forecast> from;
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
