#include <scheduler/advice_budget.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

struct budget_case
{
    char const* story;
    std::size_t machines;
    milliseconds each;
    int asked;
    int ended;
    std::size_t spare;
};

std::ostream& operator<<(std::ostream& to, budget_case const& it)
{
    return to << it.story;
}

constexpr milliseconds gang_question{1'200};

budget_case const budgets[] = {
    {"many machines have time to spare", 100, gang_question, 10, 0, 60},
    {"few have not, for as many questions", 10, gang_question, 10, 0, 0},
    {"what has ended is free again", 10, gang_question, 10, 4, 1},
    {"one machine is for what is needed only", 1, gang_question, 0, 0, 0},
    {"short questions take nothing", 10, milliseconds{20}, 100, 0, 7},
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice_budget)

/// On a cell with few machines the jobs of all users wait for seconds though
/// there is room: gangs ask the service of advice about every instance, and
/// the questions of others wait behind those.
BOOST_DATA_TEST_CASE(what_can_be_left_out_takes_only_time_to_spare,
                     boost::unit_test::data::make(budgets))
{
    scheduler::advice_budget it;
    it.set_machines(sample.machines);
    workload::step_name const step{{1}, 0, 0};
    for (int n = 0; n < sample.asked; ++n)
    {
        it.asked(step, sample.each);
    }
    for (int n = 0; n < sample.ended; ++n)
    {
        it.ended(step);
    }
    BOOST_TEST(it.spare() == sample.spare);
}

/// An end without its question, of an owner that has just begun, gives nothing
/// back.
BOOST_AUTO_TEST_CASE(an_end_without_a_question_changes_nothing)
{
    scheduler::advice_budget it;
    it.set_machines(10);
    it.ended({{1}, 0, 0});
    BOOST_TEST(it.spare() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
