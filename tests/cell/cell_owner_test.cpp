#include "cell_owner_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::job_answer_kind;

namespace
{

enum class job_state : std::uint8_t
{
    unknown,
    stored,
    cancelled,
};

/// A call that an older configuration allowed, at an owner with a newer one.
struct outdated_case
{
    char const* name;
    cell::job_call_kind kind;
    job_state before;
    bool repeated;
    char const* account;
    /// Rejected with the kind of what was removed, if empty.
    std::optional<job_answer_kind> answer;
};

std::ostream& operator<<(std::ostream& to, outdated_case const& it)
{
    return to << it.name;
}

using enum cell::job_call_kind;

outdated_case const outdated[] = {
    {"a submission", submit, job_state::unknown, false, "team", {}},
    {"a repeated submission of a job that is not stored",
     submit,
     job_state::unknown,
     true,
     "team",
     {}},
    {"a repeated submission of a stored job", submit, job_state::stored, true,
     "team", job_answer_kind::accepted},
    {"a repeated submission of a cancelled job", submit, job_state::cancelled,
     true, "team", job_answer_kind::accepted},
    {"a repeated submission of another account's job",
     submit,
     job_state::stored,
     true,
     "other",
     {}},
    {"a submission of a stored job by a new request", submit, job_state::stored,
     false, "team", job_answer_kind::outcome_unknown},
    {"a submission of another account's job by a new request",
     submit,
     job_state::stored,
     false,
     "other",
     {}},
    {"a cancellation", cancel, job_state::stored, false, "team", {}},
    {"a repeated cancellation that had no effect",
     cancel,
     job_state::stored,
     true,
     "team",
     {}},
    {"a repeated cancellation of a cancelled job", cancel, job_state::cancelled,
     true, "team", job_answer_kind::accepted},
    {"a cancellation of a cancelled job by a new request", cancel,
     job_state::cancelled, false, "team", job_answer_kind::outcome_unknown},
    {"a read", status, job_state::stored, true, "team", {}},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cell_owner, cell_owner_fixture)

/// Guards against a job that is rejected and runs: its submission was stored
/// and sent again, and the second send was judged by a newer configuration.
BOOST_DATA_TEST_CASE(
    a_repeated_call_that_took_effect_is_not_judged_anew,
    boost::unit_test::data::make(outdated) *
        boost::unit_test::data::make({job_answer_kind::no_key,
                                      job_answer_kind::no_queue}),
    sample,
    removed)
{
    if (sample.before != job_state::unknown)
    {
        submit_and_wait(1);
    }
    if (sample.before == job_state::cancelled)
    {
        cancel_and_wait(1);
    }
    take_over_records();
    change_configuration(removed);
    auto it = submission(1, long_timeout);
    it.kind = sample.kind;
    it.repeated = sample.repeated;
    it.account = sample.account;
    it.spec.account = sample.account;
    auto const end = call(it);
    BOOST_REQUIRE(run_until([&] { return end->has_value(); }));
    BOOST_TEST((**end == sample.answer.value_or(removed)));
    auto const phase = owner->decisions().phase_of({1});
    BOOST_TEST(phase.has_value() == (sample.before != job_state::unknown));
    BOOST_TEST((phase == scheduler::job_phase::cancelled) ==
               (sample.before == job_state::cancelled));
}

/// The same while the record of the first send is on its way to the store.
BOOST_AUTO_TEST_CASE(a_repeated_call_waits_for_the_record_of_its_first_send)
{
    submit_without_outcome(1);
    change_configuration(job_answer_kind::no_key);
    auto it = submission(1, long_timeout);
    it.repeated = true;
    auto const second = call(it);
    loop.restart();
    loop.run_for(std::chrono::milliseconds{50});
    BOOST_TEST(!second->has_value());
    log.deliver_late();
    log.append_behaviors.clear();
    BOOST_REQUIRE(run_until([&] { return second->has_value(); }));
    BOOST_TEST((**second == job_answer_kind::accepted));
}

/// Guards against a job that is refused and runs: the append of a submission
/// had no answer, its client submitted it again, and the second submission was
/// refused because the store gave no answers.
BOOST_AUTO_TEST_CASE(a_job_that_may_be_stored_is_not_refused)
{
    submit_without_outcome(1);
    BOOST_REQUIRE(run_until([&] { return owner->store_blocked(); }));
    auto const second = submit(1, long_timeout);
    auto const other = submit(2, long_timeout);
    BOOST_TEST(run_until([&] { return other->has_value(); }));
    BOOST_TEST((**other == job_answer_kind::refused));
    BOOST_TEST(!second->has_value());
    log.deliver_late();
    log.append_behaviors.clear();
    BOOST_REQUIRE(run_until([&] { return second->has_value(); }));
    BOOST_TEST((**second == job_answer_kind::accepted));
}

/// Guards against the same fault while the store refuses appends: a batch that
/// is certainly not stored is taken back, and all its clients are refused.
BOOST_AUTO_TEST_CASE(a_job_of_a_batch_that_was_taken_back_is_refused)
{
    log.append_behaviors.assign(log.append_behaviors.size(), fate::refuse);
    auto const first = submit(1, long_timeout);
    BOOST_REQUIRE(run_until([&] { return first->has_value(); }));
    BOOST_TEST((**first == job_answer_kind::refused));
    auto const second = submit(1, long_timeout);
    BOOST_REQUIRE(run_until([&] { return second->has_value(); }));
    BOOST_TEST((**second == job_answer_kind::refused));
    log.append_behaviors.clear();
    run_until([&] { return owner->store_stuck().count() == 0; });
    BOOST_TEST(log.log.empty());
}

/// Guards against a job that is refused and runs: an owner that may have stored
/// the first submission lost ownership, and told the client of the second one
/// that it had done nothing.
BOOST_AUTO_TEST_CASE(a_job_that_may_be_stored_is_interrupted_at_the_end)
{
    submit_without_outcome(1);
    auto const second = submit(1, long_timeout);
    auto const other = submit(2, long_timeout);
    owner.reset();
    BOOST_REQUIRE(second->has_value());
    BOOST_TEST((**second == job_answer_kind::interrupted));
    BOOST_REQUIRE(other->has_value());
    BOOST_TEST((**other == job_answer_kind::not_owner));
}

/// The same for an owner that is releasing ownership.
BOOST_AUTO_TEST_CASE(a_job_that_may_be_stored_is_interrupted_at_a_release)
{
    submit_without_outcome(1);
    owner->release(long_timeout, [] {});
    auto const second = submit(1, long_timeout);
    auto const other = submit(2, long_timeout);
    BOOST_REQUIRE(second->has_value());
    BOOST_TEST((**second == job_answer_kind::interrupted));
    BOOST_REQUIRE(other->has_value());
    BOOST_TEST((**other == job_answer_kind::not_owner));
}

/// Guards against one job stopping all others: the store rejected its record
/// for good, and each owner appended the batch again without end.
BOOST_AUTO_TEST_CASE(a_job_with_rejected_records_stops_no_other_job)
{
    submit_and_wait(1);
    log.rejected_key = text_of(workload::job_id{1});
    auto const cancelled = cancel_of(1);
    std::uint64_t next = 2;
    for (int takeover = 0; takeover < 3; ++takeover)
    {
        auto const other = submit(next++, long_timeout);
        BOOST_REQUIRE(run_until([&] { return other->has_value(); }));
        BOOST_TEST((**other == job_answer_kind::accepted));
        BOOST_TEST(!owner->store_blocked());
        take_over_records();
        // The next owner has the same trouble with the job.
        cancel_of(1);
    }
    BOOST_REQUIRE(cancelled->has_value());
    BOOST_TEST((**cancelled == job_answer_kind::outcome_unknown));
    BOOST_REQUIRE(run_until([&] { return log.rejected_appends > 3; }));
    BOOST_TEST(
        (owner->decisions().phase_of({1}) == scheduler::job_phase::queued));

    log.rejected_key.clear();
    cancel_and_wait(1);
    BOOST_TEST(
        (owner->decisions().phase_of({1}) == scheduler::job_phase::cancelled));
}

/// Guards against a caller who waits until its deadline, or is told that its
/// job was accepted, when the store rejects the job's records.
BOOST_AUTO_TEST_CASE(a_submission_with_rejected_records_is_refused)
{
    log.append_behaviors.clear();
    log.rejected_key = text_of(workload::job_id{1});
    auto const first = submit(1, long_timeout);
    auto const second = submit(1, long_timeout);
    auto const other = submit(2, long_timeout);
    BOOST_REQUIRE(run_until([&] { return other->has_value(); }));
    BOOST_TEST((**other == job_answer_kind::accepted));
    BOOST_REQUIRE(first->has_value());
    BOOST_TEST((**first == job_answer_kind::refused));
    BOOST_REQUIRE(second->has_value());
    BOOST_TEST((**second == job_answer_kind::refused));
    BOOST_TEST(!owner->decisions().account_of({1}).has_value());
}

/// Guards against the same when an append that had no answer may still store
/// the job.
BOOST_AUTO_TEST_CASE(a_rejected_submission_that_may_be_stored_is_not_refused)
{
    auto const first = submit(1, long_timeout);
    BOOST_REQUIRE(run_until([&] { return log.appends > 0; }));
    log.rejected_key = text_of(workload::job_id{1});
    BOOST_REQUIRE(run_until([&] { return first->has_value(); }));
    BOOST_TEST((**first == job_answer_kind::outcome_unknown));
    log.deliver_late();
    BOOST_TEST(log.log.size() == 1U);
}

/// Guards against callers who are told that an accepted job does not exist, by
/// an owner that was overtaken and does not know it yet.
BOOST_DATA_TEST_CASE(an_overtaken_owner_denies_no_job,
                     boost::unit_test::data::make({false, true}),
                     was_confirmed)
{
    if (was_confirmed)
    {
        submit_and_wait(2);
        outlast_confirmation();
    }
    log.append_behaviors.clear();
    log.put({{std::string{cell::owner_key}, "a later claim"}});
    auto const end = status_of(1);
    BOOST_TEST(run_until([&] { return lost; }));
    BOOST_TEST(!end->has_value());
    owner.reset();
    BOOST_TEST((answer_to(end) == job_answer_kind::not_owner));
}

/// An owner asks the store only if nothing else has shown lately that it owns
/// the work, and refuses at once if the store does not tell.
BOOST_AUTO_TEST_CASE(a_job_is_denied_only_by_a_confirmed_owner)
{
    log.append_behaviors.clear();
    auto const before = log.reads;
    auto const begun_at = clock.now();
    auto const first = status_of(1);
    auto const second = status_of(2);
    BOOST_TEST((answer_to(first) == job_answer_kind::unknown_job));
    BOOST_TEST((answer_to(second) == job_answer_kind::unknown_job));
    BOOST_TEST((answer_to(status_of(3)) == job_answer_kind::unknown_job));
    auto const later = (clock.now() - begun_at) / max_unconfirmed;
    BOOST_TEST(log.reads > before);
    BOOST_TEST(log.reads <= before + 1 + static_cast<std::size_t>(later));
    outlast_confirmation();
    log.all_reads_silent = true;
    BOOST_TEST((answer_to(status_of(1)) == job_answer_kind::refused));
}

/// Guards against a task that runs twice: an owner that was paused and
/// overtaken renewed leases that its successor waits for.
BOOST_DATA_TEST_CASE(a_paused_owner_sends_nothing_before_it_is_sure,
                     boost::unit_test::data::make({false, true}),
                     overtaken)
{
    log.append_behaviors.clear();
    listed.put({{"i", "entry"}});
    BOOST_REQUIRE(run_until([&] { return orders.open != nullptr; }));
    auto const before = orders.holds;
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    if (overtaken)
    {
        log.put({{std::string{cell::owner_key}, "a later claim"}});
    }
    orders.answer_hold();
    run_until([&] { return lost || orders.holds > before; });
    BOOST_TEST(lost == overtaken);
    BOOST_TEST((orders.holds > before) == !overtaken);
}

/// Guards against work that lapses, or whose ends nobody reads, on instances of
/// a service that its queue has left.
BOOST_AUTO_TEST_CASE(an_instance_of_a_former_service_is_still_called)
{
    listed.put({{"i", "entry"}});
    BOOST_REQUIRE(run_until([&] { return orders.open != nullptr; }));
    auto moved = configuration;
    moved.queues.front().service = "another service";
    owner->set_configuration(moved);
    auto const before = orders.holds;
    orders.answer_hold();
    BOOST_TEST(run_until([&] { return orders.holds > before; }));
}

/// Guards against an owner that lets its work lapse although the store shows
/// that nobody else owns it: it stores nothing, or its append gets no answer.
BOOST_DATA_TEST_CASE(an_owner_is_confirmed_while_it_stores_nothing,
                     boost::unit_test::data::make({false, true}),
                     appends)
{
    std::shared_ptr<std::optional<job_answer_kind>> end;
    if (appends)
    {
        end = submit(1, long_timeout);
        BOOST_REQUIRE(run_until([&] { return log.appends > 0; }));
    }
    auto const until = clock.now() + 2 * scheduler::policy{}.ownership_lease;
    auto longest = base::duration{0};
    run_until(
        [&]
        {
            longest = std::max(longest, owner->confirmed_ago());
            return clock.now() > until;
        });
    BOOST_TEST((longest < scheduler::policy{}.ownership_lease));
}

/// Guards against a former owner that learns nothing of its successor, since it
/// stores nothing and its instances do not know the successor either.
BOOST_AUTO_TEST_CASE(an_idle_owner_learns_of_its_successor)
{
    log.append_behaviors.clear();
    log.put({{std::string{cell::owner_key}, "a later claim"}});
    BOOST_TEST(run_until([&] { return lost; }));
}

/// While the store tells nothing, running tasks keep their leases.
BOOST_AUTO_TEST_CASE(a_paused_owner_goes_on_if_the_store_does_not_tell)
{
    listed.put({{"i", "entry"}});
    BOOST_REQUIRE(run_until([&] { return orders.open != nullptr; }));
    auto const before = orders.holds;
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    log.silent_reads = 1;
    orders.answer_hold();
    BOOST_TEST(run_until([&] { return orders.holds > before; }));
    BOOST_TEST(!lost);
}

/// Guards against a pause of a heartbeat after each change of owner, and
/// against starts by entries of any age after it.
BOOST_AUTO_TEST_CASE(a_new_owner_knows_the_ages_that_the_former_one_knew)
{
    listed.put({{"old", "entry"}, {"new", "entry"}});
    cell::write_times known;
    known.log_ended(1, clock.now());
    take_over(known);
    BOOST_REQUIRE(run_until(
        [&] { return owner->decisions().instances().all().size() == 2U; }));
    BOOST_TEST(owner->decisions().outdated_instances(clock.now()) == 1U);
}

/// Guards against work that waits for seconds beside free room: the requests of
/// an earlier ownership were sent before those of the present one.
BOOST_AUTO_TEST_CASE(advice_requests_of_an_ended_owner_are_not_sent)
{
    ask_advice(1);
    ask_advice(2);
    ask_advice(3);
    owner.reset();
    take_over({});
    ask_advice(4);
    advice.answer_all();
    BOOST_TEST(advice.asked == (std::vector<std::uint64_t>{1, 4}),
               boost::test_tools::per_element());
}

/// Guards against an accepted job that the store can never take.
BOOST_AUTO_TEST_CASE(a_job_too_large_for_the_store_is_rejected_at_once)
{
    auto it = submission(1, long_timeout);
    constexpr std::size_t steps = 3'000;
    it.spec.steps.assign(steps, it.spec.steps.front());
    for (auto& step : it.spec.steps)
    {
        step.image = std::string(100, 'i');
    }
    auto const end = call(it);
    BOOST_REQUIRE(end->has_value());
    BOOST_TEST((**end == job_answer_kind::too_large));
    BOOST_TEST(!owner->decisions().account_of({1}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
