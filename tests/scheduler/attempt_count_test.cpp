#include <scheduler/attempt_count.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

struct count_case
{
    char const* name;
    std::uint32_t added;
    std::uint32_t removed;
    std::uint32_t left;
};

std::ostream& operator<<(std::ostream& to, count_case const& it)
{
    return to << it.name;
}

count_case const cases[] = {
    {"no attempt", 0, 0, 0},           {"one attempt", 1, 0, 1},
    {"one that has ended", 1, 1, 0},   {"two attempts", 2, 0, 2},
    {"one of two has ended", 2, 1, 1},
};

workload::task_name const task{{{1}, 0, 0}, 0};
workload::task_name const other{{{1}, 0, 0}, 1};

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_counts)

BOOST_DATA_TEST_CASE(attempts_are_counted_by_task,
                     boost::unit_test::data::make(cases))
{
    scheduler::attempt_count it;
    it.add(other);
    for (std::uint32_t n = 0; n < sample.added; ++n)
    {
        it.add(task);
    }
    for (std::uint32_t n = 0; n < sample.removed; ++n)
    {
        it.remove(task);
    }
    BOOST_TEST(it.of(task) == sample.left);
    BOOST_TEST(it.of(other) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
