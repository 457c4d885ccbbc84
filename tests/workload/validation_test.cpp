#include <workload/validation.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <cstdint>
#include <ostream>

using namespace berylhill;

namespace
{

struct size_case
{
    char const* name;
    std::size_t steps;
    std::uint32_t tasks;
    bool valid;
};

std::ostream& operator<<(std::ostream& to, size_case const& it)
{
    return to << it.name;
}

size_case const sizes[] = {
    {"the widest step", 1, 10'000, true},
    {"a wider step", 1, 10'001, false},
    {"the largest job", 10, 10'000, true},
    {"a larger job", 11, 10'000, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(validation)

/// Guards against one accepted job that uses up the memory of each process that
/// owns the work.
BOOST_DATA_TEST_CASE(the_tasks_of_a_job_are_bounded,
                     boost::unit_test::data::make(sizes))
{
    workload::job_spec it;
    workload::step_spec step;
    step.tasks = sample.tasks;
    it.steps.assign(sample.steps, step);
    BOOST_TEST(workload::check(it).empty() == sample.valid);
}

BOOST_AUTO_TEST_SUITE_END()
