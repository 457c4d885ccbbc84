#include <soak/ledger.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <string>

using namespace berylhill;
using soak::ledger;

namespace
{

ledger::instant const start{std::chrono::seconds{100}};

struct breach_case
{
    char const* story;
    std::function<void(ledger&)> history;
    /// In the first finding; empty: there is none.
    char const* found;
};

std::ostream& operator<<(std::ostream& to, breach_case const& it)
{
    return to << it.story;
}

void run(ledger& it, char const* instance, char const* task)
{
    it.started(instance, task);
    it.ended(instance, task, "done");
}

void run_all(ledger& it)
{
    run(it, "i-0", "j.0.0.0");
    run(it, "i-1", "j.0.0.1");
    run(it, "i-0", "j.0.1.0");
}

void accept(ledger& it)
{
    it.submit_answered("j", 200, start);
}

/// Its cancelling is acknowledged at `start`.
void cancel(ledger& it)
{
    it.cancel_sent("j");
    it.cancel_acknowledged("j", start);
}

constexpr auto longest_run = ledger::cancel_bound + ledger::stop_bound;
constexpr std::chrono::milliseconds just_later{1};

std::vector<breach_case> const cases{
    {"a job that runs as it should breaks nothing",
     [](ledger& it)
     {
         accept(it);
         run_all(it);
         it.shown("j", "completed", start);
     },
     ""},
    {"a task runs in two places",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         it.started("i-1", "j.0.0.0");
     },
     "runs on i-0 and i-1"},
    {"two runs of a task on one instance",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         it.started("i-0", "j.0.0.0");
     },
     "runs on i-0 and i-0"},
    {"a task starts after its end was acknowledged",
     [](ledger& it)
     {
         accept(it);
         run(it, "i-0", "j.0.0.0");
         it.end_acknowledged("j.0.0.0");
         it.started("i-1", "j.0.0.0");
     },
     "after its end was acknowledged"},
    {"a task starts after its end was acknowledged and the instance crashed",
     [](ledger& it)
     {
         accept(it);
         run(it, "i-0", "j.0.0.0");
         it.end_acknowledged("j.0.0.0");
         it.crashed("i-0");
         it.started("i-1", "j.0.0.0");
     },
     "after its end was acknowledged"},
    {"a task starts again after an end that was not acknowledged",
     [](ledger& it)
     {
         accept(it);
         run(it, "i-0", "j.0.0.0");
         run_all(it);
         it.end_acknowledged("j.0.0.1");
         it.shown("j", "completed", start);
     },
     ""},
    {"a late order leaves an instance with more than it holds",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         it.ended("i-0", "j.0.0.0", "stopped");
         it.started("i-0", "j.0.0.1");
         it.started("i-0", "k.0.0.0");
         it.started("i-0", "k.0.0.1");
     },
     "holds 3 tasks"},
    {"a task starts again elsewhere after its instance crashed",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         it.crashed("i-0");
         it.started("i-1", "j.0.0.0");
         it.ended("i-1", "j.0.0.0", "done");
         run(it, "i-1", "j.0.0.1");
         run(it, "i-0", "j.0.1.0");
         it.shown("j", "completed", start);
     },
     ""},
    {"a late order is carried out by the later life alone",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0@1", "j.0.0.1");
         it.crashed("i-0@1");
         it.started("i-0@2", "j.0.0.0");
         it.ended("i-0@2", "j.0.0.0", "stopped");
         run_all(it);
         it.shown("j", "completed", start);
     },
     ""},
    {"a late order is carried out by the later life and beside another",
     [](ledger& it)
     {
         accept(it);
         it.started("i-1@1", "j.0.0.0");
         it.crashed("i-0@1");
         it.started("i-0@2", "j.0.0.0");
     },
     "runs on i-1@1 and i-0@2"},
    {"a later life does not bring back what the former one ended",
     [](ledger& it)
     {
         accept(it);
         run(it, "i-0@1", "j.0.0.0");
         run(it, "i-0@1", "j.0.0.1");
         it.end_acknowledged("j.0.0.1");
         it.crashed("i-0@1");
         it.started("i-0@2", "j.0.0.1");
     },
     "after its end was acknowledged"},
    {"a later life gets more than it holds",
     [](ledger& it)
     {
         accept(it);
         it.room_changed("i-0@1", 3);
         it.crashed("i-0@1");
         it.started("i-0@2", "j.0.0.0");
         it.started("i-0@2", "j.0.0.1");
         it.started("i-0@2", "k.0.0.0");
     },
     "i-0@2 holds 3 tasks"},
    {"a later life holds as much as it has room for",
     [](ledger& it)
     {
         accept(it);
         it.room_changed("i-0@1", 1);
         it.started("i-0@1", "k.0.0.0");
         it.crashed("i-0@1");
         it.started("i-0@2", "j.0.0.0");
         it.started("i-0@2", "j.0.0.1");
         it.ended("i-0@2", "j.0.0.0", "done");
         it.ended("i-0@2", "j.0.0.1", "done");
         run(it, "i-0@2", "j.0.1.0");
         it.shown("j", "completed", start);
         it.submit_answered("k", 0, start);
     },
     ""},
    {"a task starts after its job was completed",
     [](ledger& it)
     {
         accept(it);
         run_all(it);
         it.shown("j", "completed", start);
         it.started("i-0", "j.0.0.1");
     },
     "after its job was completed"},
    {"an instance gets more than it holds",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         it.started("i-0", "j.0.0.1");
         it.started("i-0", "k.0.0.0");
     },
     "holds 3 tasks"},
    {"a small instance gets more than it holds",
     [](ledger& it)
     {
         accept(it);
         it.room_changed("i-0", 1);
         it.started("i-0", "j.0.0.0");
         it.started("i-0", "j.0.0.1");
     },
     "holds 2 tasks"},
    {"a task that crashes its instances starts a sixth time",
     [](ledger& it)
     {
         accept(it);
         it.crashes_its_instances("j.0.0.0");
         for (int n = 0; n < 6; ++n)
         {
             it.started("i-0", "j.0.0.0");
             it.crashed("i-0");
         }
     },
     "starts after 5 instances"},
    {"a job is given up after two crashes under its task",
     [](ledger& it)
     {
         accept(it);
         for (int n = 0; n < 2; ++n)
         {
             it.started("i-0", "j.0.0.0");
             it.crashed("i-0");
         }
         it.shown("j", "failed", start);
     },
     ""},
    {"a job is given up after one crash",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         it.crashed("i-0");
         it.shown("j", "failed", start);
     },
     "is said to have failed"},
    {"a step starts before the one before it is done",
     [](ledger& it)
     {
         accept(it);
         run(it, "i-0", "j.0.0.0");
         it.started("i-0", "j.0.1.0");
     },
     "before the step before it"},
    {"a task of no job starts",
     [](ledger& it) { it.started("i-0", "j.0.7.0"); }, "of no job"},
    {"a job is completed without all of its steps",
     [](ledger& it)
     {
         accept(it);
         run(it, "i-0", "j.0.0.0");
         run(it, "i-0", "j.0.0.1");
         it.shown("j", "completed", start);
     },
     "completed without step 1"},
    {"a job that was accepted is lost", [](ledger& it) { accept(it); },
     "has not ended"},
    {"a job that was accepted is unknown seconds later",
     [](ledger& it)
     {
         accept(it);
         run_all(it);
         it.unknown("j", start + std::chrono::seconds{4});
     },
     "is unknown"},
    {"a job of which every attempt was refused runs",
     [](ledger& it)
     {
         it.submit_answered("j", 503, start);
         run(it, "i-0", "j.0.0.0");
     },
     "every attempt was refused"},
    {"a job that was refused and may have been taken before runs",
     [](ledger& it)
     {
         it.submit_answered("j", 0, start);
         it.submit_answered("j", 503, start);
         run(it, "i-0", "j.0.0.0");
     },
     ""},
    {"a job runs that nobody handed in",
     [](ledger& it) { run(it, "i-0", "j.0.0.0"); }, "nobody handed it in"},
    {"a state that is final changes",
     [](ledger& it)
     {
         accept(it);
         run_all(it);
         it.shown("j", "completed", start);
         it.shown("j", "running", start);
     },
     "was completed and is running"},
    {"a job is cancelled that nobody cancelled",
     [](ledger& it)
     {
         accept(it);
         it.shown("j", "cancelled", start);
     },
     "nobody asked for it"},
    {"a task of a cancelled job runs on",
     [](ledger& it)
     {
         accept(it);
         it.cancel_sent("j");
         it.started("i-0", "j.0.0.0");
         it.shown("j", "cancelled", start);
     },
     "runs on after its job's end"},
    {"a task starts in time after its job's cancelling",
     [](ledger& it)
     {
         it.submit_sent("j");
         cancel(it);
         it.submit_answered("j", 0, start);
         run(it, "i-0", "j.0.0.0");
         it.started_promptly("j.0.0.0", start + ledger::cancel_bound);
     },
     ""},
    {"a task starts later after its job's cancelling",
     [](ledger& it)
     {
         it.submit_sent("j");
         cancel(it);
         it.submit_answered("j", 0, start);
         run(it, "i-0", "j.0.0.0");
         it.started_promptly("j.0.0.0",
                             start + ledger::cancel_bound + just_later);
     },
     "j.0.0.0 starts 3001 ms after its job's cancelling"},
    {"another acknowledgement gives a task no more time to start",
     [](ledger& it)
     {
         it.submit_answered("j", 0, start);
         cancel(it);
         it.cancel_acknowledged("j", start + ledger::cancel_bound);
         run(it, "i-0", "j.0.0.0");
         it.started_promptly("j.0.0.0",
                             start + ledger::cancel_bound + just_later);
     },
     "starts 3001 ms after"},
    {"a task starts after a cancelling that nobody acknowledged",
     [](ledger& it)
     {
         accept(it);
         it.cancel_sent("j");
         run_all(it);
         it.started_promptly("j.0.1.0", start + longest_run);
         it.shown("j", "completed", start);
         it.cancel_acknowledged("j", start + longest_run);
     },
     ""},
    {"a task of a cancelled job ends in time",
     [](ledger& it)
     {
         accept(it);
         it.started("i-0", "j.0.0.0");
         cancel(it);
         it.check_cancelled(start + longest_run);
         it.ended("i-0", "j.0.0.0", "stopped");
         it.check_cancelled(start + longest_run * 2);
         it.shown("j", "cancelled", start);
     },
     ""},
    {"a task runs on after its job's cancelling, with nothing disturbed",
     [](ledger& it)
     {
         it.submit_answered("j", 0, start);
         it.started("i-0", "j.0.0.0");
         it.disturbed(start - just_later);
         cancel(it);
         it.check_cancelled(start + longest_run + just_later);
     },
     "j.0.0.0 runs on 3901 ms after its job's cancelling"},
    {"a task of a cancelled job runs on beside a disturbance",
     [](ledger& it)
     {
         it.submit_answered("j", 0, start);
         it.started("i-0", "j.0.0.0");
         cancel(it);
         it.disturbed(start + just_later);
         it.check_cancelled(start + longest_run + just_later);
     },
     ""},
    {"a task of a cancelled job runs on long after a disturbance",
     [](ledger& it)
     {
         it.submit_answered("j", 0, start);
         it.started("i-0", "j.0.0.0");
         cancel(it);
         it.disturbed(start + just_later);
         it.check_cancelled(start + longest_run + just_later * 2);
     },
     "runs on 3902 ms after its job's cancelling"},
    {"a task of a job that nobody cancelled runs on",
     [](ledger& it)
     {
         it.submit_answered("j", 0, start);
         it.started("i-0", "j.0.0.0");
         it.check_cancelled(start + longest_run * 2);
     },
     ""},
    {"a job whose cancelling alone was answered is not lost",
     [](ledger& it)
     {
         it.submit_sent("j");
         cancel(it);
         it.submit_answered("j", 0, start);
     },
     ""},
    {"a job that is accepted after its cancelling has to end",
     [](ledger& it)
     {
         it.submit_sent("j");
         cancel(it);
         accept(it);
     },
     "has not ended"},
    {"a cancelling is never acknowledged",
     [](ledger& it) { it.cancel_sent("j"); }, "was never acknowledged"},
};

struct owed_case
{
    char const* story;
    unsigned status;
    std::chrono::milliseconds after;
    bool breach;
};

std::ostream& operator<<(std::ostream& to, owed_case const& it)
{
    return to << it.story;
}

constexpr std::chrono::milliseconds owed_within{1'000};

owed_case const owed_cases[] = {
    {"accepted in time", 200, owed_within, false},
    {"accepted later", 200, owed_within * 2, true},
    {"refused", 503, owed_within / 2, true},
    {"no answer", 0, owed_within * 3, true},
};

unsigned const rejections[] = {401, 403, 404, 429, 503};

/// Answers that leave it open whether the submission took effect.
unsigned const unclear_answers[] = {0, 400, 408, 500, 502, 504};

void attempt(ledger& it, unsigned status)
{
    it.submit_sent("j");
    it.submit_answered("j", status, start);
}

struct rejection_case
{
    char const* story;
    std::function<void(ledger&, unsigned)> history;
    bool breach;
};

std::ostream& operator<<(std::ostream& to, rejection_case const& it)
{
    return to << it.story;
}

std::vector<rejection_case> const rejection_cases{
    {"a task starts after the answer",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         run(it, "i-0", "j.0.0.0");
     },
     true},
    {"a task starts before the answer",
     [](ledger& it, unsigned status)
     {
         it.submit_sent("j");
         run(it, "i-0", "j.0.0.0");
         it.submit_answered("j", status, start);
     },
     true},
    {"two attempts, and a task starts after both",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         attempt(it, status);
         run(it, "i-0", "j.0.0.0");
     },
     true},
    {"a task starts while the second of two attempts is under way",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         it.submit_sent("j");
         run(it, "i-0", "j.0.0.0");
         it.submit_answered("j", status, start);
     },
     true},
    {"a task starts before another attempt that is accepted",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         run_all(it);
         attempt(it, 200);
         it.shown("j", "completed", start);
     },
     true},
    {"a task starts before another attempt that gets no answer",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         run(it, "i-0", "j.0.0.0");
         attempt(it, 0);
     },
     true},
    {"no task starts", [](ledger& it, unsigned status) { attempt(it, status); },
     false},
    {"another attempt is accepted",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         attempt(it, 200);
         run_all(it);
         it.shown("j", "completed", start);
     },
     false},
    {"a task starts before the answer that accepts another attempt",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         it.submit_sent("j");
         run_all(it);
         it.submit_answered("j", 200, start);
         it.shown("j", "completed", start);
     },
     false},
    {"the first attempt got no answer",
     [](ledger& it, unsigned status)
     {
         attempt(it, 0);
         attempt(it, status);
         run(it, "i-0", "j.0.0.0");
     },
     false},
    {"the outcome of the first attempt was unknown",
     [](ledger& it, unsigned status)
     {
         attempt(it, 504);
         attempt(it, status);
         run(it, "i-0", "j.0.0.0");
     },
     false},
    {"another attempt got no answer before a task starts",
     [](ledger& it, unsigned status)
     {
         attempt(it, status);
         attempt(it, 0);
         run(it, "i-0", "j.0.0.0");
     },
     false},
    {"the connection has sent the attempt twice",
     [](ledger& it, unsigned status)
     {
         it.submit_sent("j");
         it.submit_repeated("j");
         it.submit_answered("j", status, start);
         run(it, "i-0", "j.0.0.0");
     },
     false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(soak_ledger)

// Guards against a job that runs although its client was told otherwise.
BOOST_DATA_TEST_CASE(jobs_that_were_only_rejected_never_run,
                     boost::unit_test::data::make(rejections) *
                         boost::unit_test::data::make(rejection_cases),
                     status,
                     it)
{
    ledger seen{2, {{"0.0.0", "0.0.1"}, {"0.1.0"}}};
    it.history(seen, status);
    seen.finish();
    BOOST_REQUIRE(seen.findings().size() == (it.breach ? 1U : 0U));
    BOOST_TEST((!it.breach ||
                seen.findings().front().find("every attempt was refused") !=
                    std::string::npos));
}

// Guards against a breach that is seen where a job may run.
BOOST_DATA_TEST_CASE(unclear_answers_reject_nothing,
                     boost::unit_test::data::make(unclear_answers),
                     status)
{
    ledger seen{2, {{"0.0.0", "0.0.1"}, {"0.1.0"}}};
    attempt(seen, status);
    run(seen, "i-0", "j.0.0.0");
    seen.finish();
    BOOST_TEST(seen.findings().empty());
}

// Guards against a process that refuses although the store serves it.
BOOST_DATA_TEST_CASE(attempts_that_have_to_be_accepted_are,
                     boost::unit_test::data::make(owed_cases),
                     it)
{
    ledger seen{2, {{"0.0.0", "0.0.1"}, {"0.1.0"}}};
    seen.submit_sent("j");
    seen.must_be_accepted("j", start + owed_within);
    seen.submit_answered("j", it.status, start + it.after);
    attempt(seen, 503);
    BOOST_TEST(seen.findings().size() == (it.breach ? 1U : 0U));
}

// Guards against a breach that the soak does not see, and one that is none.
BOOST_DATA_TEST_CASE(breaches_are_found_and_nothing_else,
                     boost::unit_test::data::make(cases),
                     it)
{
    ledger seen{2, {{"0.0.0", "0.0.1"}, {"0.1.0"}}};
    it.history(seen);
    seen.finish();
    std::string const wanted = it.found;
    if (wanted.empty())
    {
        BOOST_TEST(seen.findings().empty());
        return;
    }
    BOOST_REQUIRE(!seen.findings().empty());
    BOOST_TEST(seen.findings().front().find(wanted) != std::string::npos,
               seen.findings().front());
}

BOOST_AUTO_TEST_SUITE_END()
