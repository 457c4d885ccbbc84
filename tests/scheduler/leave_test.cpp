#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using std::chrono::milliseconds;

namespace
{

struct leave_case
{
    char const* story;
    bool checkpoints;
    bool lasting;
    /// Its progress after 1 s.
    int percent;
    milliseconds stays;
    bool stopped;
};

std::ostream& operator<<(std::ostream& to, leave_case const& it)
{
    return to << it.story;
}

leave_case const cases[] = {
    {"work that ends in time stays", false, false, 90, milliseconds{2'000},
     false},
    {"work that cannot end in time restarts elsewhere at once", false, false,
     10, milliseconds{2'000}, true},
    {"unless the instance may stay long enough", false, false, 10,
     milliseconds{9'000}, false},
    {"work of unknown progress stays", false, false, 0, milliseconds{2'000},
     false},
    {"work with checkpoints continues until shortly before", true, false, 10,
     milliseconds{3'000}, false},
    {"and is then stopped", true, false, 10, milliseconds{1'400}, true},
    {"unless it ends before", true, false, 90, milliseconds{1'400}, false},
    {"a long-running task is moved in time", false, true, 100,
     milliseconds{1'400}, true},
    {"and not before", false, true, 100, milliseconds{4'000}, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_instances)

/// Guards against a delay of 8 s: attempts left on an instance that leaves as
/// announced end without a report, and their successors have to wait until the
/// lease has expired.
BOOST_DATA_TEST_CASE(attempts_are_evacuated_from_a_leaving_instance,
                     boost::unit_test::data::make(cases))
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    auto job = scheduler_fixture::job(1, 1);
    job.steps[0].can_checkpoint = sample.checkpoints;
    job.steps[0].long_running = sample.lasting;
    it.decisions.submit(job, 0, it.now);
    auto const starts = it.starts();
    BOOST_REQUIRE(starts.size() == 1U);
    it.confirm(starts[0]);
    it.advance(milliseconds{1'000});
    it.report("a", {{starts[0].attempt, {}, sample.percent}});
    it.list("a", {}, sample.stays);
    it.decisions.tick(0, it.now);
    BOOST_TEST(count_of<scheduler::stop_order>(it.store()) ==
               (sample.stopped ? 1U : 0U));
    // The stop is ordered once.
    it.advance(milliseconds{100});
    it.decisions.tick(0, it.now);
    BOOST_TEST(count_of<scheduler::stop_order>(it.store()) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
