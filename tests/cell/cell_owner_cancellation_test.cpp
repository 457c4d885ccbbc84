#include "cell_owner_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::job_answer_kind;

BOOST_FIXTURE_TEST_SUITE(cell_owner_cancellation, cell_owner_fixture)

/// Guards against a cancellation that is acknowledged and not kept, where no
/// log tells what its owner knew.
BOOST_AUTO_TEST_CASE(a_cancellation_is_logged_with_what_its_owner_knew)
{
    submit_and_wait(1);
    cancel_of(1);
    cancel_of(2);
    BOOST_REQUIRE(decisions.count("cancellation_taken") == 2U);
    std::vector<line> said;
    std::ranges::copy_if(decisions.lines, std::back_inserter(said),
                         [](line const& it)
                         { return it.event == "cancellation_taken"; });
    BOOST_TEST(said.front().fields.at("stored") == "queued");
    BOOST_TEST(said.back().fields.at("job") == text_of(workload::job_id{2}));
    BOOST_TEST(said.back().fields.at("known") == "0");
    BOOST_TEST(said.back().fields.at("stored") == "no");
    BOOST_TEST(said.back().fields.at("token") == "1");
}

/// Guards against a task that starts after its job's cancellation was
/// acknowledged: the cancellation came before the submission, and the owner
/// that answered "no such job" kept nothing.
BOOST_DATA_TEST_CASE(a_submission_after_its_cancellation_never_runs,
                     boost::unit_test::data::make(
                         {owner_change::none, owner_change::between_calls,
                          owner_change::after_submission}),
                     change)
{
    log.append_behaviors.clear();
    BOOST_TEST((answer_to(cancel_of(1)) == job_answer_kind::unknown_job));
    if (change == owner_change::between_calls)
    {
        take_over_records();
    }
    BOOST_TEST((answer_to(status_of(1)) == job_answer_kind::unknown_job));
    BOOST_TEST(
        (answer_to(submit(1, long_timeout)) == job_answer_kind::accepted));
    if (change == owner_change::after_submission)
    {
        take_over_records();
    }
    BOOST_TEST(
        (owner->decisions().phase_of({1}) == scheduler::job_phase::cancelled));
    BOOST_TEST(owner->decisions().jobs().ready().empty());
    BOOST_TEST((answer_to(cancel_of(1)) == job_answer_kind::accepted));
}

/// Guards against the same by an owner that was overtaken and does not know it
/// yet: its successor has accepted the job.
BOOST_AUTO_TEST_CASE(an_overtaken_owner_acknowledges_no_cancellation)
{
    log.append_behaviors.clear();
    log.put({{std::string{cell::owner_key}, "a later claim"}});
    auto const end = cancel_of(1);
    BOOST_TEST(run_until([&] { return lost; }));
    BOOST_TEST(!end->has_value());
    owner.reset();
    BOOST_REQUIRE(end->has_value());
    BOOST_TEST((**end == job_answer_kind::interrupted));
}

/// Guards against the same where the submission is refused because the store
/// refuses its batch: nothing was left to store, so the cancellation that
/// waited for the batch was acknowledged without a record.
BOOST_AUTO_TEST_CASE(a_cancellation_outlives_the_refusal_of_its_submission)
{
    log.append_behaviors.assign(log.append_behaviors.size(), fate::refuse);
    auto const first = submit(1, long_timeout);
    auto const cancelled = cancel_of(1);
    BOOST_TEST((answer_to(first) == job_answer_kind::refused));
    BOOST_TEST(!cancelled->has_value());
    log.append_behaviors.clear();
    BOOST_TEST((answer_to(cancelled) == job_answer_kind::accepted));
    BOOST_TEST(!log.log.empty());
    take_over_records();
    BOOST_TEST(
        (answer_to(submit(1, long_timeout)) == job_answer_kind::accepted));
    BOOST_TEST(
        (owner->decisions().phase_of({1}) == scheduler::job_phase::cancelled));
}

BOOST_AUTO_TEST_SUITE_END()
