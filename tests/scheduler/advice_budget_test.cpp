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
    {"many machines have spare capacity", 100, gang_question, 10, 0, 60},
    {"few machines have none for as many requests", 10, gang_question, 10, 0,
     0},
    {"ended requests free their capacity", 10, gang_question, 10, 4, 1},
    {"one machine serves required requests only", 1, gang_question, 0, 0, 0},
    {"short requests do not count", 10, milliseconds{20}, 100, 0, 7},
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice_budget)

/// Guards against jobs waiting for seconds in a cell with few machines although
/// there is room: gangs requested advice about every instance, and the requests
/// of others waited behind those.
BOOST_DATA_TEST_CASE(optional_requests_use_spare_capacity_only,
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

/// A new owner may receive the end of a request that it did not count; it must
/// not add capacity.
BOOST_AUTO_TEST_CASE(an_end_without_a_request_changes_nothing)
{
    scheduler::advice_budget it;
    it.set_machines(10);
    it.ended({{1}, 0, 0});
    BOOST_TEST(it.spare() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
