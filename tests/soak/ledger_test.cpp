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
};

} // namespace

BOOST_AUTO_TEST_SUITE(soak_ledger)

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
