#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;

namespace
{

struct preempt_case
{
    char const* name;
    bool checkpoints;
    /// Priority of the queue of the running work; the gang's is 1.
    std::int32_t priority;
    /// How long the gang has waited.
    std::chrono::milliseconds waited;
    std::size_t stops;
};

std::ostream& operator<<(std::ostream& to, preempt_case const& it)
{
    return to << it.name;
}

/// The gang takes 1 s, so it may wait until 1 s after it was accepted.
constexpr std::chrono::milliseconds early{-2'000};
constexpr std::chrono::milliseconds pressing{500};

preempt_case const preempt_cases[] = {
    {"as many attempts as needed", true, 2, pressing, 2},
    {"not while the gang has time", true, 2, early, 0},
    {"no work that would restart from the beginning", false, 2, pressing, 0},
    {"no work of the same priority", true, 1, pressing, 0},
};

workload::queue_spec
queue(char const* name, std::int32_t priority, std::chrono::milliseconds target)
{
    workload::queue_spec out;
    out.name = name;
    out.service = "svc";
    out.max_attempts = 2;
    out.stretch = 2;
    out.priority = priority;
    out.target_latency = target;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(preemption)

/// Guards against a late gang in a cell full of work that could wait: each slot
/// that becomes free is too small for it.
BOOST_DATA_TEST_CASE(a_gang_that_would_be_late_preempts_others,
                     boost::unit_test::data::make(preempt_cases))
{
    scheduler_fixture it;
    workload::cell_configuration configuration;
    auto const target = sample.waited == early ? std::chrono::seconds{60}
                                               : std::chrono::seconds{0};
    configuration.queues = {
        queue("gangs", 1, target),
        queue("others", sample.priority, std::chrono::seconds{60})};
    it.decisions.set_configuration(configuration);
    it.list("a");
    it.list("b");
    it.report("a");
    it.report("b");
    auto others = scheduler_fixture::job(1, 8);
    others.queue = "others";
    others.steps[0].can_checkpoint = sample.checkpoints;
    it.decisions.submit(others, 0, it.now);
    auto const running = it.starts();
    BOOST_REQUIRE(running.size() == 8U);
    for (auto const& each : running)
    {
        it.confirm(each);
    }
    auto gang = scheduler_fixture::job(2, 2);
    gang.queue = "gangs";
    gang.steps[0].gang = true;
    it.decisions.submit(gang, 0, it.now);
    it.advance(pressing);
    auto orders = it.decide();
    auto const stored = it.store();
    BOOST_TEST(count_of<scheduler::stop_order>(orders) +
                   count_of<scheduler::stop_order>(stored) ==
               sample.stops);
    // Attempts that are being stopped count as room that becomes free: nothing
    // more is stopped.
    orders = it.decide();
    BOOST_TEST(count_of<scheduler::stop_order>(orders) +
                   count_of<scheduler::stop_order>(it.store()) ==
               0U);
}

BOOST_AUTO_TEST_SUITE_END()
