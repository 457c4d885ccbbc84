#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::start_answer;
using std::chrono::milliseconds;

namespace
{

/// Delay after which an order without an answer has been sent again.
constexpr base::duration until_sent_again = milliseconds{250};

/// After a rejection an instance gets no start for less than this.
constexpr base::duration until_unpaused = milliseconds{600};

/// Why a task may no longer run on the instance for which its start was
/// decided.
enum class forbidden_by : std::uint8_t
{
    too_many_of_its_step,
    another_label,
    another_service,
    a_moved_queue,
};

struct forbidden_case
{
    char const* name;
    forbidden_by why;
};

std::ostream& operator<<(std::ostream& to, forbidden_case const& it)
{
    return to << it.name;
}

forbidden_case const forbidden_cases[] = {
    {"an unexpected run of its step is found there",
     forbidden_by::too_many_of_its_step},
    {"the instance is listed with another label", forbidden_by::another_label},
    {"the instance is listed with another service",
     forbidden_by::another_service},
    {"the queue moves to another service", forbidden_by::a_moved_queue},
};

/// A step that allows one of its two tasks on an instance and requires a label.
workload::job_spec narrow_job()
{
    auto out = scheduler_fixture::job(1, 2);
    out.steps[0].max_per_instance = 1;
    out.steps[0].required_label = "kind";
    return out;
}

/// An owner with such a job, and an idle instance `a` that may run one of its
/// tasks.
struct narrow_cell : scheduler_fixture
{
    narrow_cell()
    {
        list("a");
        report("a");
        decisions.submit(narrow_job(), 0, now);
    }
};

void forbid(scheduler_fixture& it, forbidden_by why)
{
    switch (why)
    {
    case forbidden_by::too_many_of_its_step:
        it.report("a", {{{{{{1}, 0, 0}, 1}, 1}, {}, 10}});
        return;
    case forbidden_by::another_label:
        it.list_as("a", "svc", "other kind");
        return;
    case forbidden_by::another_service:
        it.list_as("a", "other", "kind");
        return;
    case forbidden_by::a_moved_queue:
        it.move_queue("other");
        return;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_places)

/// Guards against starting a task where it may not run: this was looked at when
/// the start was decided, and not when its record was stored.
BOOST_DATA_TEST_CASE(a_stored_start_is_not_sent_where_it_may_not_run,
                     boost::unit_test::data::make(forbidden_cases))
{
    narrow_cell it;
    BOOST_TEST(count_of<scheduler::start_order>(it.decide()) == 0U);
    forbid(it, sample.why);
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 0U);
}

/// Guards against starting a task where it may not run: as before, and not when
/// its order was sent again.
BOOST_DATA_TEST_CASE(an_order_is_not_sent_again_where_the_task_may_not_run,
                     boost::unit_test::data::make(forbidden_cases))
{
    narrow_cell it;
    auto const sent = it.starts();
    BOOST_REQUIRE(sent.size() == 1U);
    forbid(it, sample.why);
    it.advance(until_sent_again);
    it.decisions.tick(0, it.now);
    auto const again = it.decisions.take_orders();
    BOOST_TEST(count_of<scheduler::start_order>(again) == 0U);
    auto const stop =
        scheduler::order{scheduler::stop_order{"a", sent[0].attempt}};
    BOOST_TEST(std::ranges::count(it.store(), stop) == 1);
}

/// Guards against exceeding the bound on tasks of a step: a task was placed
/// beside the late order of another one that counted as rejected.
BOOST_AUTO_TEST_CASE(a_rejected_order_under_way_counts_for_its_step)
{
    narrow_cell it;
    auto const first = it.starts();
    BOOST_REQUIRE(first.size() == 1U);
    it.list("b");
    it.advance(until_sent_again);
    it.decisions.tick(0, it.now);
    auto const again = it.decisions.take_orders();
    BOOST_REQUIRE(count_of<scheduler::start_order>(again) == 1U);
    it.answer(std::get<scheduler::start_order>(again.front()),
              start_answer::turned_away);
    it.report("b");
    auto placed = it.starts();
    it.advance(until_unpaused);
    it.decisions.tick(0, it.now);
    it.report("b");
    auto const later = it.starts();
    placed.insert(placed.end(), later.begin(), later.end());
    for (auto const& each : placed)
    {
        BOOST_TEST(each.instance != "a");
    }
}

/// Guards against exceeding the bound on tasks of a step after a takeover.
BOOST_AUTO_TEST_CASE(the_next_owner_counts_what_the_former_one_decided)
{
    narrow_cell former;
    BOOST_REQUIRE(former.starts().size() == 1U);

    scheduler_fixture it{former.records};
    it.list("a");
    BOOST_TEST(it.starts().empty());
    it.report("a", {{{{{{1}, 0, 0}, 0}, 1}, {}, 10}});
    BOOST_TEST(it.starts().empty());
    it.list("b");
    it.report("b");
    BOOST_TEST(it.starts().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
