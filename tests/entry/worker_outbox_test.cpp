#include <entry/worker_outbox.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(worker_outbox)

namespace
{

constexpr std::int64_t s_epoch = 3;
/// On the worker's clock, in microseconds.
constexpr std::int64_t s_lease_end = 10'000'000;
constexpr std::int64_t s_next_lease_end = 11'000'000;

model::attempt_id const s_attempt{{"job-1", 0}, 1};
std::vector<model::attempt_id> const s_only{s_attempt};

/// An outbox whose start of `s_attempt` was sent without an answer.
entry::worker_outbox with_unanswered_start()
{
    entry::worker_outbox it;
    platform::task_start start;
    start.attempt = s_attempt;
    it.start(start);
    it.unanswered(it.request(s_epoch, s_lease_end));
    return it;
}

/// Sends the next request, which is answered at once at `clock`.
platform::worker_request exchange(entry::worker_outbox& it, std::int64_t clock)
{
    auto request = it.request(s_epoch, s_next_lease_end);
    it.taken(request, clock);
    return request;
}

} // namespace

// A stop that is answered before the start arrives would count as carried out,
// and the task would be started elsewhere beside the late start.
BOOST_AUTO_TEST_CASE(a_stop_is_repeated_while_a_start_may_arrive)
{
    auto it = with_unanswered_start();
    it.stop(s_attempt);
    BOOST_TEST(exchange(it, s_lease_end - 2).stops.size() == 1U);
    BOOST_TEST(it.late_starts().contains(s_attempt));
    BOOST_TEST(exchange(it, s_lease_end - 1).stops.size() == 1U);
    // Answered when the start has lapsed: this stop settles it.
    BOOST_TEST(exchange(it, s_lease_end).stops.size() == 1U);
    BOOST_TEST(it.late_starts().empty());
    BOOST_TEST(exchange(it, s_lease_end + 1).stops.empty());
}

// A worker forgets an attempt with its acknowledgement; a start that arrives
// afterwards would run a task again that is done.
BOOST_AUTO_TEST_CASE(no_result_is_acknowledged_while_a_start_may_arrive)
{
    auto it = with_unanswered_start();
    exchange(it, s_lease_end - 2);
    it.forget(s_attempt);
    it.acknowledge(s_attempt);
    BOOST_TEST(exchange(it, s_lease_end - 1).acknowledged.empty());
    BOOST_TEST(it.acknowledges(s_attempt));
    BOOST_TEST(exchange(it, s_lease_end).acknowledged.empty());
    BOOST_CHECK(exchange(it, s_lease_end + 1).acknowledged == s_only);
    BOOST_TEST(!it.acknowledges(s_attempt));
}

// A later repetition without an answer lapses later than the first.
BOOST_AUTO_TEST_CASE(the_last_unanswered_start_counts)
{
    auto it = with_unanswered_start();
    it.unanswered(it.request(s_epoch, s_next_lease_end));
    exchange(it, s_lease_end);
    BOOST_TEST(it.late_starts().contains(s_attempt));
    exchange(it, s_next_lease_end);
    BOOST_TEST(it.late_starts().empty());
}

// Nothing waits for a start that was answered, surely not taken, or sent to a
// process that is gone: a stop would be repeated and a result kept for nothing.
BOOST_AUTO_TEST_CASE(other_starts_do_not_arrive_late)
{
    entry::worker_outbox answered;
    platform::task_start start;
    start.attempt = s_attempt;
    answered.start(start);
    BOOST_TEST(exchange(answered, 1).starts.size() == 1U);
    BOOST_TEST(answered.late_starts().empty());

    entry::worker_outbox not_taken;
    not_taken.start(start);
    static_cast<void>(not_taken.request(s_epoch, s_lease_end));
    not_taken.not_taken();
    BOOST_TEST(not_taken.late_starts().empty());

    auto replaced = with_unanswered_start();
    replaced.process_replaced();
    BOOST_TEST(replaced.late_starts().empty());
}

BOOST_AUTO_TEST_SUITE_END()
