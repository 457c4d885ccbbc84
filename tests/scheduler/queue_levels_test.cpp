#include <scheduler/queue_levels.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;

namespace
{

constexpr base::duration full_lead = std::chrono::seconds{30};
constexpr base::duration moment = std::chrono::milliseconds{100};

void note_many(scheduler::queue_levels& it,
               std::string const& queue,
               int jobs,
               int late,
               base::instant& now)
{
    for (int n = 0; n < jobs; ++n)
    {
        it.note(queue, n >= late, now);
        now += moment;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue_levels)

/// Where more is asked than fits, gangs are late and all others in time: they
/// lose each race for room against single tasks.
BOOST_AUTO_TEST_CASE(a_queue_that_is_served_worse_gets_a_lead)
{
    scheduler::queue_levels it{full_lead};
    base::instant now{std::chrono::seconds{100}};
    note_many(it, "gangs", 20, 15, now);
    note_many(it, "batch", 20, 0, now);
    BOOST_TEST((it.lead("gangs") > std::chrono::seconds{4}));
    BOOST_TEST((it.lead("batch") < std::chrono::seconds{-4}));
    BOOST_TEST((it.lead("unknown") == base::duration{0}));
}

BOOST_AUTO_TEST_CASE(queues_in_time_have_no_lead)
{
    scheduler::queue_levels it{full_lead};
    base::instant now{std::chrono::seconds{100}};
    note_many(it, "gangs", 20, 0, now);
    note_many(it, "batch", 50, 0, now);
    BOOST_TEST((it.lead("gangs") == base::duration{0}));
    BOOST_TEST((it.lead("batch") == base::duration{0}));
}

BOOST_AUTO_TEST_CASE(what_was_late_long_ago_counts_no_more)
{
    scheduler::queue_levels it{full_lead};
    base::instant now{std::chrono::seconds{100}};
    note_many(it, "gangs", 20, 20, now);
    note_many(it, "batch", 20, 0, now);
    auto const before = it.lead("gangs");
    now += std::chrono::seconds{60};
    note_many(it, "gangs", 5, 0, now);
    BOOST_TEST((it.lead("gangs") < before / 10));
}

BOOST_AUTO_TEST_SUITE_END()
