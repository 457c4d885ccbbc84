#include <scheduler/start_waits.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;

namespace
{

constexpr base::duration moment = std::chrono::milliseconds{100};
constexpr base::duration second = std::chrono::seconds{1};

void wait_many(scheduler::start_waits& it,
               std::string const& queue,
               std::uint32_t tasks,
               base::duration wait,
               base::instant& now)
{
    for (int n = 0; n < 30; ++n)
    {
        it.ready(queue, tasks, now);
        it.waited(queue, wait, now);
        now += moment;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_waits)

/// Guards against gangs that request advice too late because they were served
/// by their latest start, whatever has to be done before it.
BOOST_AUTO_TEST_CASE(a_queue_with_long_waits_is_served_early)
{
    scheduler::start_waits it;
    base::instant now{std::chrono::seconds{100}};
    wait_many(it, "gangs", 20, 5 * second, now);
    wait_many(it, "urgent", 3, second / 50, now);
    BOOST_TEST((it.lead("gangs", 20) > 5 * second));
    BOOST_TEST((it.lead("urgent", 3) < second / 5));
    BOOST_TEST((it.lead("unknown", 3) == base::duration{0}));
}

/// Guards against the widest gangs being served half as often as the others.
BOOST_AUTO_TEST_CASE(a_wide_step_is_served_before_a_narrow_one)
{
    scheduler::start_waits it;
    base::instant now{std::chrono::seconds{100}};
    wait_many(it, "gangs", 20, 3 * second, now);
    BOOST_TEST((it.lead("gangs", 60) > it.lead("gangs", 20)));
    BOOST_TEST((it.lead("gangs", 5) < it.lead("gangs", 20)));
}

BOOST_AUTO_TEST_CASE(old_waits_no_longer_count)
{
    scheduler::start_waits it;
    base::instant now{std::chrono::seconds{100}};
    wait_many(it, "gangs", 20, 5 * second, now);
    auto const before = it.lead("gangs", 20);
    now += 60 * second;
    wait_many(it, "gangs", 20, second / 10, now);
    BOOST_TEST((it.lead("gangs", 20) < before / 10));
}

BOOST_AUTO_TEST_SUITE_END()
