#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <tuple>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::cancellation;
using scheduler::job_phase;
using scheduler::submission;

namespace
{

enum class step : std::uint8_t
{
    cancel,
    submit,
    /// The batch is sent; its outcome is open.
    take,
    stored,
    not_stored,
};

using enum step;

struct order_case
{
    char const* name;
    std::vector<step> steps;
    /// Whether the status of the job is shown at the end.
    bool shown;
};

std::ostream& operator<<(std::ostream& to, order_case const& it)
{
    return to << it.name;
}

order_case const orders[] = {
    {"the submission comes when the cancellation is stored",
     {cancel, take, stored, submit, take, stored},
     true},
    {"in the same batch", {cancel, submit, take, stored}, true},
    {"while the cancellation is being stored",
     {cancel, take, submit, stored},
     false},
    {"and its own batch is stored",
     {cancel, take, submit, stored, take, stored},
     true},
    {"the batch of both is taken back",
     {cancel, submit, take, not_stored, take, stored},
     true},
    {"no submission comes", {cancel, take, stored}, false},
    {"two cancellations", {cancel, cancel, take, stored, cancel}, false},
};

struct account_case
{
    char const* name;
    std::vector<char const*> cancelled_by;
    char const* submitted_by;
    bool runs;
};

std::ostream& operator<<(std::ostream& to, account_case const& it)
{
    return to << it.name;
}

account_case const accounts[] = {
    {"the same account", {"a"}, "a", false},
    {"another account", {"a"}, "b", true},
    {"both accounts", {"a", "b"}, "b", false},
    {"both accounts, the first one submits", {"a", "b"}, "a", false},
    {"a caller without a key", {""}, "a", false},
    {"a submission without a key", {"a"}, "", false},
};

struct cancelling_cell : scheduler_fixture
{
    cancelling_cell()
    {
        list("a");
        report("a");
    }

    void carry_out(step it)
    {
        switch (it)
        {
        case cancel:
            std::ignore = decisions.cancel({1}, {}, now);
            return;
        case submit:
            std::ignore = decisions.submit(job(1, 1), 0, now);
            return;
        case take:
            std::ignore = decisions.take_batch(now);
            return;
        case stored:
            decisions.batch_stored(now);
            return;
        case not_stored:
            decisions.batch_not_stored();
            return;
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(early_cancellation, cancelling_cell)

/// Guards against a task that starts although its job's cancellation was
/// acknowledged before the submission arrived.
BOOST_DATA_TEST_CASE(a_job_whose_cancellation_came_first_never_runs,
                     boost::unit_test::data::make(orders))
{
    for (auto const it : sample.steps)
    {
        carry_out(it);
    }
    decisions.decide(now);
    BOOST_TEST(decisions.jobs().ready().empty());
    BOOST_TEST(decisions.phase_of({1}).has_value() == sample.shown);
    if (sample.shown)
    {
        BOOST_TEST((decisions.phase_of({1}) == job_phase::cancelled));
    }
    BOOST_TEST(decisions.pending("q") == 0U);
}

/// Guards against callers that cancel ids at random and use up the memory.
BOOST_AUTO_TEST_CASE(cancellations_beyond_the_bound_have_no_effect)
{
    scheduler::policy rules;
    rules.max_early_cancellations = 2;
    decisions.set_policy(rules);
    BOOST_TEST((decisions.cancel({1}, {}, now) == cancellation::unknown));
    BOOST_TEST((decisions.cancel({2}, {}, now) == cancellation::unknown));
    BOOST_TEST((decisions.cancel({3}, {}, now) == cancellation::refused));
    std::ignore = store();
    BOOST_TEST(
        (decisions.cancel({1}, {}, now) == cancellation::unknown_stored));
    BOOST_TEST((decisions.submit(job(3, 1), 0, now) == submission::accepted));
    BOOST_TEST(
        (decisions.submit(job(2, 1), 0, now) == submission::already_cancelled));
    BOOST_TEST((decisions.cancel({4}, {}, now) == cancellation::unknown));
}

/// Guards against a client account that keeps the jobs of another one from
/// running, or whose own cancelled job runs.
BOOST_DATA_TEST_CASE(a_cancellation_holds_for_its_account,
                     boost::unit_test::data::make(accounts))
{
    for (auto const* const it : sample.cancelled_by)
    {
        std::ignore = decisions.cancel({1}, it, now);
    }
    std::ignore = store();
    auto spec = job(1, 1);
    spec.account = sample.submitted_by;
    auto const end = decisions.submit(spec, 0, now);
    std::ignore = store();
    BOOST_TEST((end == submission::accepted) == sample.runs);
    scheduler_fixture next{records};
    BOOST_TEST((next.decisions.phase_of({1}) == job_phase::queued) ==
               sample.runs);
}

/// Guards against a process that ends by itself: the store refused a
/// cancellation for longer than it is kept.
BOOST_AUTO_TEST_CASE(a_cancellation_that_was_never_stored_is_forgotten)
{
    std::ignore = decisions.cancel({1}, {}, now);
    std::ignore = decisions.take_batch(now);
    decisions.batch_not_stored();
    advance(scheduler::policy{}.status_kept + std::chrono::seconds{1});
    decisions.tick(0, now);
    std::ignore = store();
    BOOST_TEST(!decisions.account_of({1}).has_value());
}

BOOST_AUTO_TEST_CASE(a_cancellation_is_forgotten_like_a_finished_job)
{
    std::ignore = decisions.cancel({1}, {}, now);
    std::ignore = store();
    advance(scheduler::policy{}.status_kept + std::chrono::seconds{1});
    decisions.tick(0, now);
    std::ignore = store();
    BOOST_TEST(!decisions.account_of({1}).has_value());
    BOOST_TEST(decisions.jobs().early_cancellations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
