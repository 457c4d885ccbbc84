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

struct capacity_case
{
    char const* story;
    /// The new capacity of an instance of 4 cores and 4,000 MB while two starts
    /// of 1 core and 100 MB each are being stored.
    workload::resources then;
    std::size_t started;
};

std::ostream& operator<<(std::ostream& to, capacity_case const& it)
{
    return to << it.story;
}

capacity_case const cases[] = {
    {"nothing changes", {4'000, 4'000, 0}, 2},
    {"it grows", {8'000, 8'000, 0}, 2},
    {"it shrinks to what is planned", {2'000, 200, 0}, 2},
    {"cores for one are left", {1'000, 4'000, 0}, 1},
    {"memory for one is left", {4'000, 150, 0}, 1},
    {"no cores are left", {0, 4'000, 0}, 0},
};

void list(scheduler_fixture& it, workload::resources const& capacity)
{
    scheduler::instance_info info;
    info.id = "a";
    info.service = "svc";
    info.address = "a";
    info.capacity = capacity;
    info.labels = {"kind", "rack"};
    it.decisions.instance_listed(info, it.now, it.now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_changes)

/// Guards against overcommitting an instance that does not enforce its
/// capacity: a start was decided before the instance shrank and slowed all
/// tasks there.
BOOST_DATA_TEST_CASE(a_planned_start_needs_room_in_the_new_capacity,
                     boost::unit_test::data::make(cases))
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 2), 0, it.now);
    BOOST_TEST(it.decide().empty());
    list(it, sample.then);
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == sample.started);
    // Starts that were held back happen when there is room again.
    list(it, {4'000, 4'000, 0});
    BOOST_TEST(it.starts().size() == 2U - sample.started);
}

/// An unanswered order must not be sent again to an instance that has shrunk,
/// and must be stopped in case it is carried out late.
BOOST_AUTO_TEST_CASE(an_unanswered_start_is_stopped_where_no_room_is_left)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.answer(start, scheduler::start_answer::unanswered);
    list(it, {500, 4'000, 0});
    it.advance(milliseconds{300});
    it.decisions.tick(0, it.now);
    auto orders = it.decisions.take_orders();
    auto const stored = it.store();
    orders.insert(orders.end(), stored.begin(), stored.end());
    BOOST_TEST(count_of<scheduler::start_order>(orders) == 0U);
    BOOST_TEST(count_of<scheduler::stop_order>(orders) == 1U);
}

/// Running attempts count until they have ended, also while they are being
/// stopped, however small the instance has become.
BOOST_AUTO_TEST_CASE(running_attempts_count_after_the_capacity_shrinks)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 3), 0, it.now);
    auto const running = it.starts();
    BOOST_REQUIRE(running.size() == 3U);
    std::vector<scheduler::running_attempt_report> rows;
    for (auto const& start : running)
    {
        it.confirm(start);
        rows.push_back({start.attempt, {}, 10});
    }
    list(it, {3'000, 4'000, 0});
    it.decisions.cancel({1}, {}, it.now);
    it.decisions.submit(scheduler_fixture::job(2, 1), 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(milliseconds{100});
    it.report("a", {rows[0], rows[1]},
              {{1, running[2].attempt, scheduler::end_reason::stopped, {}}});
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against revoking starts repeatedly after a takeover: attempts found
/// running counted as if their instance had shrunk.
BOOST_AUTO_TEST_CASE(an_attempt_found_running_revokes_no_start)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1, 4'000), 0, it.now);
    BOOST_TEST(it.decide().empty());
    it.decisions.submit(scheduler_fixture::job(2, 1), 0, it.now);
    it.report("a", {{{{{{2}, 0, 0}, 0}, 7}, {}, 10}});
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
