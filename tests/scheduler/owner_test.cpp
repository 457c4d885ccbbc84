#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;

namespace
{

constexpr base::duration second = std::chrono::seconds{1};

scheduler::ended_attempt_report end_of(std::uint64_t number,
                                       scheduler::start_order const& it,
                                       end_reason reason)
{
    return {number, it.attempt, reason, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(owner)

BOOST_AUTO_TEST_CASE(a_start_is_sent_only_after_its_record_is_stored)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    BOOST_TEST(count_of<scheduler::start_order>(it.decide()) == 0U);
    BOOST_TEST(!it.decisions.phase_of({1}).has_value());
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 1U);
    BOOST_TEST(it.decisions.phase_of({1}).has_value());
}

BOOST_AUTO_TEST_CASE(an_end_is_acknowledged_and_shown_only_after_it_is_stored)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.confirm(start);
    it.advance(second);
    it.report("a", {}, {end_of(1, start, end_reason::done)});
    BOOST_TEST(it.decisions.next_hold("a", it.now).seen_end == 0U);
    BOOST_TEST((it.decisions.phase_of({1}) != job_phase::completed));
    BOOST_TEST(it.store().empty());
    BOOST_TEST(it.decisions.next_hold("a", it.now).seen_end == 1U);
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::completed));
}

/// Guards against a crash of the process: the last failure of a task fails its
/// job, whose details were released while the end was still being processed.
BOOST_AUTO_TEST_CASE(the_last_failure_of_a_task_stops_the_others)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 2), 0, it.now);
    auto const first = it.starts();
    BOOST_REQUIRE(first.size() == 2U);
    it.confirm(first[0]);
    it.confirm(first[1]);
    it.advance(second);
    it.report("a", {{first[1].attempt, {}, 10}},
              {end_of(1, first[0], end_reason::failed)});
    auto const again = it.starts();
    BOOST_REQUIRE(again.size() == 1U);
    it.confirm(again[0]);
    it.advance(second);
    it.report("a", {{first[1].attempt, {}, 20}},
              {end_of(2, again[0], end_reason::failed)});
    BOOST_TEST(count_of<scheduler::stop_order>(it.store()) == 1U);
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::failed));
}

/// Guards against a gang that never restarts after one of its instances has
/// left: each hold request to the unresponsive instance counted as a new lease,
/// so the last lease never expired and the end of its task was never known.
BOOST_AUTO_TEST_CASE(the_leases_of_an_unresponsive_instance_expire)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    it.confirm(it.starts().at(0));
    it.decisions.hold_unanswered("a", it.now);
    for (int n = 0; n < 20; ++n)
    {
        it.advance(second);
        BOOST_TEST(it.decisions.next_hold("a", it.now).until_ms == 0);
        it.decisions.hold_unanswered("a", it.now);
        it.decisions.tick(0, it.now);
    }
    it.list("b");
    it.report("b");
    auto const again = it.starts();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].instance == "b");
}

/// Guards against planning a start repeatedly: an idle instance gets a task,
/// and before its record is stored the former lease is found to have expired,
/// which dropped the plan with it.
BOOST_AUTO_TEST_CASE(an_expired_lease_keeps_planned_starts)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.advance(second * 60);
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    BOOST_TEST(it.decide().empty());
    it.decisions.tick(0, it.now);
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 1U);
}

/// Guards against running a task twice: an instance crashed and reappeared at
/// its address, and a new owner that found the dead incarnation listed after
/// the living one took the living one for dead.
BOOST_AUTO_TEST_CASE(a_second_incarnation_does_not_end_the_first)
{
    scheduler_fixture it;
    it.list("new", "address");
    it.report("new");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    it.confirm(it.starts().at(0));
    it.list("old", "address");
    it.list("other");
    it.report("other");
    BOOST_TEST(it.starts().empty());
}

/// Guards against overcommitting an instance: a new owner finds an attempt of a
/// finished job whose resource need is in no record any more, and its resources
/// counted as free.
BOOST_AUTO_TEST_CASE(nothing_is_placed_beside_an_attempt_of_unknown_need)
{
    scheduler_fixture it;
    it.list("a");
    auto const stray = scheduler::attempt_name{{{{9}, 0, 0}, 0}, 1};
    it.report("a", {{stray, {}, 10}});
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    it.report("a", {}, {{1, stray, end_reason::stopped, {}}});
    BOOST_TEST(it.starts().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unsent_submission_can_be_withdrawn)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    BOOST_TEST(it.decide().empty());
    BOOST_TEST(it.decisions.withdraw({1}));
    BOOST_TEST(it.store().empty());
    BOOST_TEST(it.records.empty());
    BOOST_TEST(it.decisions.pending("q") == 0U);
    it.decisions.submit(scheduler_fixture::job(2, 1), 0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
    BOOST_TEST(!it.decisions.withdraw({2}));
}

/// Guards against reporting an unknown outcome for a job that the store
/// rejected. The store confirms that nothing was stored, so the batch is
/// retried together with the decisions that waited for it.
BOOST_AUTO_TEST_CASE(a_rejected_batch_is_retried)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    BOOST_TEST(it.decide().empty());
    auto const refused = it.decisions.take_batch(it.now);
    BOOST_TEST(!it.decisions.withdraw({1}));
    it.decisions.batch_not_stored();
    BOOST_TEST(!it.decisions.phase_of({1}).has_value());
    BOOST_TEST(it.decisions.batch_pending());
    BOOST_TEST((it.decisions.take_batch(it.now) == refused));
    it.decisions.batch_not_stored();
    BOOST_TEST(count_of<scheduler::start_order>(it.store()) == 1U);
}

BOOST_AUTO_TEST_CASE(a_submission_of_a_rejected_batch_can_be_withdrawn)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    BOOST_TEST(it.decide().empty());
    BOOST_TEST(!it.decisions.take_batch(it.now).empty());
    it.decisions.batch_not_stored();
    BOOST_TEST(it.decisions.withdraw({1}));
    BOOST_TEST(it.store().empty());
    it.decisions.submit(scheduler_fixture::job(2, 4), 0, it.now);
    BOOST_TEST(it.starts().size() == 4U);
}

namespace
{

/// What a new owner finds of a start that the former owner stored.
struct inherited_case
{
    char const* name;
    bool running;
    bool ended;
    std::size_t starts;
    job_phase phase;
};

std::ostream& operator<<(std::ostream& to, inherited_case const& it)
{
    return to << it.name;
}

inherited_case const inherited_cases[] = {
    {"it runs", true, false, 0, job_phase::queued},
    {"it has ended", false, true, 0, job_phase::completed},
    {"it never began", false, false, 1, job_phase::queued},
};

} // namespace

BOOST_DATA_TEST_CASE(a_successor_waits_for_a_report_before_it_restarts_a_task,
                     boost::unit_test::data::make(inherited_cases))
{
    scheduler_fixture former;
    former.list("a");
    former.report("a");
    former.decisions.submit(scheduler_fixture::job(1, 1), 0, former.now);
    auto const start = former.starts().at(0);

    scheduler_fixture it{former.records};
    it.list("a");
    it.list("b");
    it.report("b");
    BOOST_TEST(it.starts().empty());
    it.advance(second);
    std::vector<scheduler::running_attempt_report> running;
    std::vector<scheduler::ended_attempt_report> ended;
    if (sample.running)
    {
        running.push_back({start.attempt, {}, 10});
    }
    if (sample.ended)
    {
        ended.push_back(end_of(1, start, end_reason::done));
    }
    it.report("a", running, ended);
    auto const again = it.starts();
    BOOST_TEST(again.size() == sample.starts);
    for (auto const& each : again)
    {
        BOOST_TEST(each.attempt.run == 2U);
    }
    if (sample.ended)
    {
        BOOST_TEST((it.decisions.phase_of({1}) == sample.phase));
    }
}

namespace
{

/// For how long nothing has confirmed an owner that renews a lease, and for how
/// long before the renewal ends its lease would have begun.
struct unconfirmed_case
{
    base::duration unconfirmed;
    base::duration cut;

    friend std::ostream& operator<<(std::ostream& to,
                                    unconfirmed_case const& it)
    {
        return to << base::seconds_of(it.unconfirmed);
    }
};

constexpr base::duration own_lease = scheduler::policy{}.ownership_lease;

unconfirmed_case const unconfirmed_cases[] = {
    {base::duration{0}, base::duration{0}},
    {own_lease, base::duration{0}},
    {own_lease + second, second},
    {own_lease + 9 * second, 9 * second},
};

/// How often a former owner renews the lease of an instance.
constexpr base::duration renewals[] = {std::chrono::milliseconds{100}, second,
                                       3 * second};

} // namespace

/// Guards against a former owner that keeps tasks running which its successor
/// starts elsewhere.
BOOST_DATA_TEST_CASE(an_unconfirmed_owner_cuts_the_leases_that_it_renews,
                     boost::unit_test::data::make(unconfirmed_cases))
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.confirm(start);
    it.advance_unconfirmed(sample.unconfirmed);
    it.report("a", {{start.attempt, {}, 10}});
    auto const lease = scheduler::policy{}.lease;
    auto const whole = (it.now + lease).time_since_epoch();
    BOOST_TEST(it.decisions.next_hold("a", it.now).until_ms ==
               (whole - sample.cut).count() / 1'000);
}

/// Guards against a lease that a later life of the instance takes by its own
/// clock from an owner that has been replaced.
BOOST_DATA_TEST_CASE(an_unconfirmed_owner_renews_nothing_where_lives_differ,
                     boost::unit_test::data::make({own_lease,
                                                   own_lease + second}),
                     unconfirmed)
{
    std::string const life = "a@5";
    scheduler_fixture it;
    it.list(life);
    it.report(life);
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.confirm(start);
    it.advance_unconfirmed(unconfirmed);
    it.report(life, {{start.attempt, {}, 10}});
    auto const renewed = it.decisions.next_hold(life, it.now).until_ms != 0;
    BOOST_TEST(renewed == (unconfirmed <= own_lease));
}

/// Guards against a task that runs twice: its former owner reaches its
/// instance, the present one does not and starts it elsewhere.
BOOST_DATA_TEST_CASE(a_task_starts_elsewhere_after_its_former_owners_leases,
                     boost::unit_test::data::make(renewals),
                     pause)
{
    scheduler_fixture former;
    former.list("a");
    former.report("a");
    former.decisions.submit(scheduler_fixture::job(1, 1), 0, former.now);
    auto const start = former.starts().at(0);
    former.confirm(start);

    scheduler_fixture it{former.records};
    it.list("a");
    it.list("b");
    it.report("b");
    constexpr base::duration step = std::chrono::milliseconds{100};
    std::int64_t last_until = start.until_ms;
    auto renewed_at = former.now;
    std::vector<scheduler::start_order> again;
    while (again.empty() && it.now < former.now + 60 * second)
    {
        it.advance(step);
        former.advance_unconfirmed(step);
        it.decisions.hold_unanswered("a", it.now);
        it.report("b");
        it.decisions.tick(0, it.now);
        again = it.starts();
        former.decisions.tick(0, former.now);
        if (again.empty() && former.now - renewed_at >= pause &&
            former.clock_ms() < last_until)
        {
            renewed_at = former.now;
            former.report("a", {{start.attempt, {}, 10}});
            auto const renewed =
                former.decisions.next_hold("a", former.now).until_ms;
            last_until = std::max(last_until, renewed);
        }
    }
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].instance == "b");
    BOOST_TEST(it.clock_ms() > last_until);
}

/// Guards against a start by a former owner on an instance that has seen no
/// token of its successor.
BOOST_AUTO_TEST_CASE(an_unconfirmed_owner_starts_nothing)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.answer(start, scheduler::start_answer::unanswered);
    it.decisions.submit(scheduler_fixture::job(2, 1), 0, it.now);
    BOOST_TEST(it.decide().empty());
    it.advance_unconfirmed(own_lease + second);
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(3, 1), 0, it.now);
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(4 * second);
    it.report("a");
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().size() == 3U);
}

/// Guards against a count of pending jobs that is too low for the rest of the
/// ownership: a job that was cancelled while its first start was in flight was
/// subtracted when it was cancelled and again when the instance reported the
/// start.
BOOST_AUTO_TEST_CASE(a_pending_job_is_subtracted_once)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1, 4'000), 0, it.now);
    auto const start = it.starts().at(0);
    it.decisions.submit(scheduler_fixture::job(2, 1, 4'000), 0, it.now);
    BOOST_TEST(it.decisions.pending("q") == 2U);
    it.decisions.cancel({1}, {}, it.now);
    BOOST_TEST(it.decisions.pending("q") == 1U);
    it.confirm(start);
    BOOST_TEST(it.decisions.pending("q") == 1U);
    it.report("a", {{start.attempt, {}, 10}});
    BOOST_TEST(it.decisions.pending("q") == 1U);
}

/// Guards against quarantining a healthy instance: while the store is slow the
/// instance repeats an end in each report, and one failure counted as 3 in a
/// row.
BOOST_AUTO_TEST_CASE(a_repeated_end_counts_once)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.confirm(start);
    it.advance(second);
    auto const end = end_of(1, start, end_reason::failed);
    it.report("a", {}, {end});
    auto const batch = it.decisions.take_batch(it.now);
    BOOST_TEST(!batch.empty());
    it.report("a", {}, {end});
    it.report("a", {}, {end});
    BOOST_TEST(!it.decisions.batch_pending());
    BOOST_TEST(it.decisions.counts().ends_failed == 1U);
    BOOST_TEST(it.decisions.instances().all().at("a")->usable(
        it.now, scheduler_fixture::rules()));
}

BOOST_AUTO_TEST_SUITE_END()
