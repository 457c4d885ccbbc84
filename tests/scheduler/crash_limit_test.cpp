#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::job_phase;
using std::chrono::milliseconds;

namespace
{

/// A task is given up after 3 crashes at its start; 2 more starts are allowed.
constexpr std::uint32_t most_starts = 5;

/// More than any limit.
constexpr std::uint32_t rounds = 12;

/// How the owner detects the loss of the instance.
enum class loss : std::uint8_t
{
    /// Another incarnation answers at its address.
    other_incarnation,
    /// Nothing answers until its leases have expired.
    silence,
    /// The owner is lost with it; its successor finds another incarnation.
    other_incarnation_and_owner,
    /// The owner is lost with it; its successor finds nothing there.
    silence_and_owner,
};

struct crash_case
{
    char const* story;
    loss how;
    std::uint32_t tasks{1};
    bool gang{false};
    bool lasting{false};
    bool copies{false};
    /// The start was answered before the crash.
    bool answered{true};
};

std::ostream& operator<<(std::ostream& to, crash_case const& it)
{
    return to << it.story;
}

crash_case const crash_cases[] = {
    {"another incarnation is found", loss::other_incarnation},
    {"the start is not answered", loss::other_incarnation, 1, false, false,
     false, false},
    {"the leases expire", loss::silence},
    {"the leases expire, the start is not answered", loss::silence, 1, false,
     false, false, false},
    {"the owner is lost each time", loss::other_incarnation_and_owner},
    {"the owner is lost each time, the leases expire", loss::silence_and_owner},
    {"a gang", loss::other_incarnation, 2, true},
    {"a gang, the owner is lost each time", loss::silence_and_owner, 2, true},
    {"a long-running task", loss::other_incarnation, 1, false, true},
    {"a long-running task, the owner is lost each time",
     loss::other_incarnation_and_owner, 1, false, true},
    {"a task that may run in copies", loss::other_incarnation, 1, false, false,
     true},
};

struct harmless_case
{
    char const* story;
    scheduler::ended_attempt end;
    std::uint32_t times;
    /// The next end, and whether the task is given up then.
    scheduler::ended_attempt then;
    bool given_up;
};

std::ostream& operator<<(std::ostream& to, harmless_case const& it)
{
    return to << it.story;
}

using scheduler::end_reason;

constexpr scheduler::ended_attempt crashed{end_reason::instance_crashed, true,
                                           milliseconds{20}};
constexpr scheduler::ended_attempt crashed_later{end_reason::instance_crashed,
                                                 true, milliseconds{1'500}};
constexpr scheduler::ended_attempt crashed_long_after{
    end_reason::instance_crashed, true, milliseconds{6'000}};
constexpr scheduler::ended_attempt never_answered{
    end_reason::instance_crashed, false, {}};
constexpr scheduler::ended_attempt left{end_reason::instance_left, true, {}};
constexpr scheduler::ended_attempt silent{end_reason::instance_silent, true,
                                          milliseconds{1'500}};
constexpr scheduler::ended_attempt failed{end_reason::failed, true,
                                          milliseconds{100}};
constexpr scheduler::ended_attempt lapsed{end_reason::lease_lapsed, true,
                                          milliseconds{100}};
constexpr scheduler::ended_attempt stopped_long_after{end_reason::stopped, true,
                                                      milliseconds{6'000}};

harmless_case const harmless_cases[] = {
    {"two crashes may have another cause", crashed, 2, crashed, true},
    {"crashes during its work", crashed_later, 4, crashed_later, true},
    {"crashes long after its start", crashed_long_after, 50, crashed, false},
    {"unanswered orders", never_answered, 4, never_answered, true},
    {"instances that leave", left, 50, crashed, false},
    {"unresponsive instances", silent, 4, silent, true},
    {"its own failures", failed, 50, crashed, false},
    {"leases that expired on a live instance", lapsed, 50, crashed, false},
    {"a long run resets the count", crashed, 2, crashed_long_after, false},
    {"a long run that was stopped resets it too", crashed, 2,
     stopped_long_after, false},
};

struct draining_case
{
    char const* story;
    /// The shortest time that the instance stays, and when it is gone.
    std::optional<base::duration> stays;
    base::duration gone_after;
    bool given_up;
};

std::ostream& operator<<(std::ostream& to, draining_case const& it)
{
    return to << it.story;
}

draining_case const draining_cases[] = {
    {"gone before the announced time", milliseconds{6'000}, milliseconds{20},
     true},
    {"gone at the announced time", milliseconds{100}, milliseconds{200}, false},
};

workload::job_spec job_of(crash_case const& it)
{
    auto out = scheduler_fixture::job(1, it.tasks);
    out.steps[0].gang = it.gang;
    out.steps[0].long_running = it.lasting;
    out.steps[0].copies_allowed = it.copies;
    return out;
}

bool owner_lost(loss it)
{
    return it == loss::other_incarnation_and_owner ||
           it == loss::silence_and_owner;
}

/// Loses the instance 10 ms after the starts were sent.
void lose(std::unique_ptr<scheduler_fixture>& it,
          std::string const& id,
          loss how)
{
    constexpr milliseconds lapse{12'000};
    it->advance(milliseconds{10});
    it->decisions.hold_unanswered(id, it->now);
    (void)it->store();
    if (owner_lost(how))
    {
        auto const records = it->records;
        it = std::make_unique<scheduler_fixture>(records);
    }
    if (how == loss::other_incarnation ||
        how == loss::other_incarnation_and_owner)
    {
        it->list(id);
        it->decisions.instance_replaced(id, it->now);
    }
    else
    {
        it->advance(lapse);
        it->decisions.tick(0, it->now);
    }
    (void)it->store();
}

/// How often the first task starts if every instance that starts it crashes.
std::uint32_t starts_until_given_up(std::unique_ptr<scheduler_fixture>& it,
                                    crash_case const& of)
{
    it->decisions.submit(job_of(of), 0, it->now);
    for (std::uint32_t n = 0; n < rounds; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        it->list(id);
        it->report(id);
        auto const starts = it->starts();
        if (starts.empty())
        {
            return n;
        }
        for (auto const& start : starts)
        {
            if (of.answered)
            {
                it->confirm(start);
            }
        }
        lose(it, id, of.how);
    }
    return rounds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_limit)

/// Guards against restarting a task that crashes every instance that starts it,
/// with the work of others there, forever.
BOOST_DATA_TEST_CASE(a_task_that_crashes_its_instances_is_given_up,
                     boost::unit_test::data::make(crash_cases))
{
    auto it = std::make_unique<scheduler_fixture>();
    BOOST_TEST(starts_until_given_up(it, sample) <= most_starts);
    BOOST_TEST((it->decisions.phase_of({1}) == job_phase::failed));
}

/// Guards against failing a healthy job because instances were lost while its
/// task ran beside the cause, before the start or long after it.
BOOST_DATA_TEST_CASE(a_task_that_crashes_nothing_is_not_given_up,
                     boost::unit_test::data::make(harmless_cases))
{
    scheduler::policy const rules;
    scheduler::loss_count it;
    for (std::uint32_t n = 0; n < sample.times; ++n)
    {
        it = it.after(sample.end, rules);
    }
    BOOST_TEST(!it.given_up(rules));
    it = it.after(sample.then, rules);
    BOOST_TEST(it.given_up(rules) == sample.given_up);
}

/// Guards against losing the count with the owner, and against giving up a
/// harmless task after a missing count was read.
BOOST_AUTO_TEST_CASE(a_new_owner_continues_the_count)
{
    auto it = std::make_unique<scheduler_fixture>();
    it->decisions.submit(scheduler_fixture::job(1, 2), 0, it->now);
    it->list("a");
    it->report("a");
    auto const starts = it->starts();
    BOOST_REQUIRE(starts.size() == 2U);
    it->confirm(starts[0]);
    lose(it, "a", loss::other_incarnation);
    scheduler_fixture next{it->records};
    auto const& tasks =
        next.decisions.jobs().all().at({1})->occurrences.at(0).steps[0].tasks;
    BOOST_TEST((tasks[0].lost == scheduler::loss_count{1, 1}));
    BOOST_TEST((tasks[1].lost == scheduler::loss_count{1, 0}));
}

/// Guards against giving up two jobs for what one of them does: they lost an
/// instance together, were started together again and lost the next one.
BOOST_AUTO_TEST_CASE(jobs_that_lost_an_instance_together_start_apart)
{
    auto it = std::make_unique<scheduler_fixture>();
    it->list("full");
    it->report("full");
    it->decisions.submit(scheduler_fixture::job(9, 4), 0, it->now);
    auto const others = it->starts();
    BOOST_REQUIRE(others.size() == 4U);
    for (auto const& start : others)
    {
        it->confirm(start);
    }
    it->decisions.submit(scheduler_fixture::job(1, 1), 0, it->now);
    it->decisions.submit(scheduler_fixture::job(2, 1), 0, it->now);
    it->list("a");
    it->report("a");
    for (auto const& start : it->starts())
    {
        BOOST_TEST(start.instance == "a");
        it->confirm(start);
    }
    lose(it, "a", loss::other_incarnation);
    // By room alone both would be placed on the empty instance.
    it->list("empty");
    it->report("empty");
    it->advance(milliseconds{10});
    it->report("full",
               {{others[2].attempt, {}, 10}, {others[3].attempt, {}, 10}},
               {{1, others[0].attempt, end_reason::done, {}},
                {2, others[1].attempt, end_reason::done, {}}});
    auto const again = it->starts();
    BOOST_REQUIRE(again.size() == 2U);
    BOOST_TEST(again[0].instance == "empty");
    BOOST_TEST(again[1].instance == "full");
}

/// Guards against uncounted crashes: an instance that has announced that it
/// leaves and is gone earlier has crashed.
BOOST_DATA_TEST_CASE(an_instance_that_is_gone_before_it_leaves_has_crashed,
                     boost::unit_test::data::make(draining_cases))
{
    scheduler_fixture it;
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    for (std::uint32_t n = 0; n < it.rules().crashes_to_give_up; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        it.list(id);
        it.report(id);
        it.confirm(it.starts().at(0));
        it.list(id, {}, sample.stays);
        it.advance(sample.gone_after);
        it.decisions.instance_replaced(id, it.now);
        (void)it.store();
    }
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::failed) ==
               sample.given_up);
}

/// Guards against uncounted crashes under attempts that the owner did not
/// expect: their task goes on to crash instances.
BOOST_AUTO_TEST_CASE(a_crash_under_an_unexpected_attempt_counts)
{
    scheduler_fixture it;
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    (void)it.store();
    for (std::uint32_t n = 0; n < it.rules().crashes_to_give_up; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        it.list(id);
        it.report(id, {{{{{{1}, 0, 0}, 0}, n + 1}, {}, 0}});
        it.advance(milliseconds{20});
        it.decisions.instance_replaced(id, it.now);
        (void)it.store();
    }
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::failed));
}

/// An order that reached another incarnation never started the task, so the
/// instance was not lost under it.
BOOST_AUTO_TEST_CASE(a_start_that_reached_another_incarnation_counts_no_loss)
{
    auto it = std::make_unique<scheduler_fixture>();
    it->decisions.submit(scheduler_fixture::job(1, 1), 0, it->now);
    it->list("a");
    it->report("a");
    auto const start = it->starts().at(0);
    it->answer(start, scheduler::start_answer::other_incarnation);
    auto const& job = *it->decisions.jobs().all().at({1});
    BOOST_TEST(!job.occurrences.at(0).steps[0].tasks[0].lost.suspect());
}

/// Guards against a gang that neither restarts nor completes: one member
/// crashes its instances and the others end with `done`. One such end completes
/// the gang, whether the loss is known before it or not.
BOOST_DATA_TEST_CASE(a_gang_whose_other_members_end_done_is_completed,
                     boost::unit_test::data::make({false, true}))
{
    constexpr std::size_t instances = 6;
    auto it = std::make_unique<scheduler_fixture>();
    for (std::size_t n = 0; n < instances; ++n)
    {
        it->list("i-" + std::to_string(n));
        it->report("i-" + std::to_string(n));
    }
    auto gang = scheduler_fixture::job(1, 3);
    gang.steps[0].gang = true;
    it->decisions.submit(gang, 0, it->now);
    std::uint32_t crashes = 0;
    while (it->decisions.phase_of({1}) != job_phase::completed)
    {
        auto const starts = it->starts();
        BOOST_REQUIRE(starts.size() == 3U);
        auto const crashing = starts[0].instance;
        ++crashes;
        for (auto const& start : starts)
        {
            it->confirm(start);
        }
        if (sample)
        {
            lose(it, crashing, loss::other_incarnation);
        }
        it->advance(std::chrono::seconds{1});
        for (auto const& start : starts)
        {
            if (start.instance != crashing)
            {
                it->report(start.instance, {},
                           {{1, start.attempt, end_reason::done, {}}});
            }
        }
        if (!sample)
        {
            lose(it, crashing, loss::other_incarnation);
        }
        it->list(crashing + "+");
        it->report(crashing + "+");
        (void)it->store();
    }
    // The members start on one instance first, and apart after it was lost.
    BOOST_TEST(crashes == 2U);
    it->advance(std::chrono::seconds{120});
    BOOST_TEST(it->starts().empty());
}

BOOST_AUTO_TEST_SUITE_END()
