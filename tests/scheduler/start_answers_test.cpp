#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;
using scheduler::start_answer;
using std::chrono::milliseconds;

namespace
{

constexpr base::duration second = std::chrono::seconds{1};

/// Delay after which an order without an answer has been sent again.
constexpr base::duration until_sent_again = milliseconds{250};

struct rejection_case
{
    char const* name;
    start_answer answer;
    /// Number of the order that is rejected while the answer to the other one
    /// is awaited.
    std::uint32_t rejected;
};

std::ostream& operator<<(std::ostream& to, rejection_case const& it)
{
    return to << it.name;
}

rejection_case const rejection_cases[] = {
    {"turned away, the second", start_answer::turned_away, 2},
    {"turned away, the first", start_answer::turned_away, 1},
    {"no room, the second", start_answer::no_room, 2},
    {"no room, the first", start_answer::no_room, 1},
    {"lease passed, the second", start_answer::lease_passed, 2},
    {"lease passed, the first", start_answer::lease_passed, 1},
    {"no ticket, the second", start_answer::no_ticket, 2},
    {"no ticket, the first", start_answer::no_ticket, 1},
    {"invalid, the second", start_answer::invalid, 2},
    {"invalid, the first", start_answer::invalid, 1},
};

/// An owner that has sent the start of a job's only task to `a` twice and has
/// no answer yet; `b` is idle.
struct sent_twice
{
    sent_twice()
    {
        it.list("a");
        it.report("a");
        it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
        first = it.starts().at(0);
        it.list("b");
        it.report("b");
        it.advance(until_sent_again);
        it.decisions.tick(0, it.now);
        second =
            std::get<scheduler::start_order>(it.decisions.take_orders().at(0));
    }

    [[nodiscard]] scheduler::start_order const& order(std::uint32_t n) const
    {
        return n == 1 ? first : second;
    }

    scheduler_fixture it;
    scheduler::start_order first;
    scheduler::start_order second;
};

/// Delivers all orders of a round: those at once and those that are stored.
std::vector<scheduler::order> round_of(scheduler_fixture& it)
{
    auto out = it.decide();
    auto const stored = it.store();
    out.insert(out.end(), stored.begin(), stored.end());
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_answers)

/// Guards against running a task twice: the rejection of one order was taken
/// for the outcome of an earlier or later one that was still under way.
BOOST_DATA_TEST_CASE(a_rejected_order_leaves_another_one_under_way,
                     boost::unit_test::data::make(rejection_cases))
{
    sent_twice cell;
    auto& it = cell.it;
    it.answer(cell.order(sample.rejected), sample.answer);
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    it.report("a", {{cell.first.attempt, {}, 10}});
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    it.report("a", {}, {{1, cell.first.attempt, end_reason::done, {}}});
    BOOST_TEST(it.starts().empty());
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::completed));
}

/// Guards against running a task twice: as before, and the order that is under
/// way is carried out only after the wait for its answer has ended.
BOOST_DATA_TEST_CASE(a_rejected_order_leaves_an_unanswered_one_under_way,
                     boost::unit_test::data::make(rejection_cases))
{
    sent_twice cell;
    auto& it = cell.it;
    it.answer(cell.order(sample.rejected), sample.answer);
    it.answer(cell.order(3 - sample.rejected), start_answer::unanswered);
    it.advance(milliseconds{50});
    it.report("a");
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    it.report("a", {{cell.first.attempt, {}, 10}});
    BOOST_TEST(it.starts().empty());
}

/// When each order was rejected, the task is free at once.
BOOST_DATA_TEST_CASE(an_attempt_ends_when_all_its_orders_were_rejected,
                     boost::unit_test::data::make(rejection_cases))
{
    sent_twice cell;
    auto& it = cell.it;
    it.answer(cell.order(sample.rejected), sample.answer);
    it.answer(cell.order(3 - sample.rejected), sample.answer);
    auto const again = it.starts();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].attempt.run == 2U);
}

/// Guards against stopping a run that has begun: an earlier order of it was
/// rejected, and its answer came later than that of the next one.
BOOST_DATA_TEST_CASE(a_late_rejection_does_not_stop_a_run,
                     boost::unit_test::data::make(rejection_cases))
{
    sent_twice cell;
    auto& it = cell.it;
    it.confirm(cell.order(3 - sample.rejected));
    it.answer(cell.order(sample.rejected), sample.answer);
    BOOST_TEST(round_of(it).empty());
    it.advance(second);
    it.decisions.tick(0, it.now);
    BOOST_TEST(count_of<scheduler::stop_order>(it.decisions.take_orders()) ==
               0U);
}

namespace
{

/// Where the owner expects the task when an instance reports another run of it.
enum class expected : std::uint8_t
{
    waiting,
    planned,
    sent,
    running,
};

struct unexpected_case
{
    char const* name;
    expected state;
};

std::ostream& operator<<(std::ostream& to, unexpected_case const& it)
{
    return to << it.name;
}

unexpected_case const unexpected_cases[] = {
    {"the task waits", expected::waiting},
    {"another start is being stored", expected::planned},
    {"another start was sent", expected::sent},
    {"another start runs", expected::running},
};

/// An owner of a job with one task; `a` reports runs that the owner does not
/// expect, and the task is on `b` unless it waits.
struct unexpected_run
{
    explicit unexpected_run(expected state)
    {
        it.list("a");
        it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
        if (state == expected::waiting)
        {
            return;
        }
        it.list("b");
        it.report("b");
        BOOST_REQUIRE(it.decide().empty());
        if (state == expected::planned)
        {
            return;
        }
        auto const orders = it.store();
        BOOST_REQUIRE(count_of<scheduler::start_order>(orders) == 1U);
        if (state == expected::running)
        {
            it.confirm(std::get<scheduler::start_order>(orders[0]));
        }
    }

    scheduler_fixture it;
    scheduler::attempt_name stray{{{{1}, 0, 0}, 0}, 5};
};

} // namespace

/// Guards against running a task twice: an instance reported a run that the
/// owner did not expect, and the task was started elsewhere beside it.
BOOST_DATA_TEST_CASE(no_start_is_sent_beside_an_unexpected_run,
                     boost::unit_test::data::make(unexpected_cases))
{
    unexpected_run cell{sample.state};
    auto& it = cell.it;
    it.report("a", {{cell.stray, {}, 10}});
    it.list("b");
    it.report("b");
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    it.decisions.tick(0, it.now);
    BOOST_TEST(count_of<scheduler::start_order>(it.decisions.take_orders()) ==
               0U);
}

/// A task that waited for the end of an unexpected run starts after it, with a
/// higher number.
BOOST_AUTO_TEST_CASE(a_task_starts_after_an_unexpected_run_has_ended)
{
    unexpected_run cell{expected::waiting};
    auto& it = cell.it;
    it.report("a", {{cell.stray, {}, 10}});
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    it.report("a", {}, {{1, cell.stray, end_reason::stopped, {}}});
    auto const again = it.starts();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].attempt.run > cell.stray.run);
}

/// Guards against running a task again after it has ended: the end of a run
/// that the owner did not expect was acknowledged and ignored.
BOOST_DATA_TEST_CASE(an_unexpected_run_that_ended_done_ends_the_task,
                     boost::unit_test::data::make(unexpected_cases))
{
    unexpected_run cell{sample.state};
    auto& it = cell.it;
    it.report("a", {}, {{1, cell.stray, end_reason::done, {}}});
    auto const orders = round_of(it);
    BOOST_TEST(count_of<scheduler::start_order>(orders) == 0U);
    auto const started =
        sample.state == expected::sent || sample.state == expected::running;
    BOOST_TEST(count_of<scheduler::stop_order>(orders) == (started ? 1U : 0U));
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::completed));
    BOOST_TEST(it.decisions.next_hold("a", it.now).seen_end == 1U);
    it.advance(second);
    it.report("b");
    BOOST_TEST(it.starts().empty());
}

/// Guards against failing a job too early: its former owner died after it had
/// counted a failed run and before the instance knew that, so the instance
/// reports the end again.
BOOST_AUTO_TEST_CASE(a_failed_run_that_a_former_owner_counted_is_not_counted)
{
    scheduler_fixture former;
    former.list("a");
    former.report("a");
    former.decisions.submit(scheduler_fixture::job(1, 1), 0, former.now);
    auto const first = former.starts().at(0);
    former.confirm(first);
    former.advance(second);
    auto const end = scheduler::ended_attempt_report{
        1, first.attempt, end_reason::failed, {}};
    former.report("a", {}, {end});
    auto const again = former.starts().at(0);
    BOOST_REQUIRE(again.attempt.run == 2U);

    scheduler_fixture it{former.records};
    it.list("a");
    it.advance(second);
    it.report("a", {{again.attempt, {}, 10}}, {end});
    BOOST_TEST(round_of(it).empty());
    BOOST_TEST(!finished(it.decisions.phase_of({1}).value()));
}

/// Guards against more failed runs than the queue allows: those that the owner
/// did not expect were acknowledged and not counted.
BOOST_DATA_TEST_CASE(unexpected_runs_that_failed_count,
                     boost::unit_test::data::make(unexpected_cases))
{
    unexpected_run cell{sample.state};
    auto& it = cell.it;
    auto next = cell.stray;
    ++next.run;
    it.report("a", {},
              {{1, cell.stray, end_reason::failed, {}},
               {2, next, end_reason::failed, {}}});
    auto const orders = round_of(it);
    BOOST_TEST(count_of<scheduler::start_order>(orders) == 0U);
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::failed));
}

/// As for a single task: one end `done` of any run stands for the whole gang.
BOOST_AUTO_TEST_CASE(an_unexpected_run_that_ended_done_ends_a_gang)
{
    scheduler_fixture it;
    auto gang = scheduler_fixture::job(1, 2);
    gang.steps[0].gang = true;
    it.list("a");
    it.report("a");
    it.decisions.submit(gang, 0, it.now);
    auto const orders = it.starts();
    BOOST_REQUIRE(orders.size() == 2U);
    it.list("b");
    auto stray = orders[0].attempt;
    stray.run = 7;
    it.report("b", {}, {{1, stray, end_reason::done, {}}});
    BOOST_TEST(count_of<scheduler::stop_order>(round_of(it)) == 2U);
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::completed));
}

/// Guards against restarting a task that crashes its instances for ever: the
/// loss was not counted, since after a rejection the attempt passed for one
/// with a single order.
BOOST_AUTO_TEST_CASE(a_crash_counts_when_an_order_may_have_been_carried_out)
{
    sent_twice cell;
    auto& it = cell.it;
    it.advance(milliseconds{150});
    it.answer(cell.first, start_answer::unanswered);
    it.advance(until_sent_again);
    it.decisions.tick(0, it.now);
    auto const third =
        std::get<scheduler::start_order>(it.decisions.take_orders().at(0));
    it.answer(cell.second, start_answer::turned_away);
    it.answer(third, start_answer::other_incarnation);
    BOOST_TEST(it.decisions.counts().ends_lost == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
