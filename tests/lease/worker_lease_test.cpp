#include <lease/inventory_barrier.hpp>
#include <lease/worker_lease.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;
using namespace berylhill::lease;

namespace
{

constexpr base::instant s_start{std::chrono::seconds{100}};
constexpr std::int64_t s_clock = 5'000'000;

base::instant after(double seconds)
{
    return s_start + base::from_seconds(seconds);
}

lease_options const s_options{.length = std::chrono::seconds{10},
                              .margin = std::chrono::milliseconds{500},
                              .max_drift_ppm = 500};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_lease_suite)

// A frozen worker's tasks are started elsewhere while it still runs them: its
// owner counted the lease from when it sent the last renewal, but the answer
// that the renewal built on was older. The lease has to be counted from the
// last answer, on the worker's clock, with the rates' error.
BOOST_AUTO_TEST_CASE(a_silent_worker_lapses_after_its_last_answer)
{
    worker_lease it{s_options, s_start};
    BOOST_TEST(it.renew_until() == 0);
    it.renewal_sent(it.renew_until());
    it.answer_received("a", s_clock, after(0), after(1));
    BOOST_TEST(it.renew_until() == s_clock + 10'000'000);
    // Sent again and again, unanswered: the lease gets no longer.
    for (int i = 2; i < 9; ++i)
    {
        it.renewal_sent(it.renew_until());
    }
    BOOST_TEST(!it.is_expired(after(11.5)));
    BOOST_TEST(it.is_expired(after(11.6)));
}

// A renewal lay in a buffer, and the worker took it after its next answer had
// been sent. What it renews to was fixed by the older clock.
BOOST_AUTO_TEST_CASE(an_overtaken_answer_changes_nothing)
{
    worker_lease it{s_options, s_start};
    it.answer_received("a", s_clock + 2'000'000, after(2), after(2));
    auto const before = it;
    BOOST_CHECK(it.answer_received("a", s_clock, after(0), after(3)) ==
                answer_status::stale);
    BOOST_CHECK(it == before);
}

// A worker restarts: what ran there is gone, and a late answer of the old
// process must not bring it back.
BOOST_AUTO_TEST_CASE(a_new_process_is_told_from_the_old_one)
{
    worker_lease it{s_options, s_start};
    BOOST_CHECK(it.answer_received("a", s_clock, after(0), after(0)) ==
                answer_status::same_process);
    BOOST_CHECK(it.answer_received("b", 7, after(1), after(1)) ==
                answer_status::new_process);
    BOOST_CHECK(it.answer_received("a", s_clock + 1, after(0), after(2)) ==
                answer_status::stale);
    BOOST_TEST(it.renew_until() == 7 + 10'000'000);
}

// A group changes hands while one of its workers is cut off. The new owner has
// never heard it, and the last owner may have renewed until the very end.
BOOST_AUTO_TEST_CASE(a_worker_never_heard_lapses_after_the_takeover)
{
    worker_lease const it{s_options, s_start};
    BOOST_TEST(!it.is_expired(after(10.4)));
    BOOST_TEST(it.is_expired(after(10.6)));
}

BOOST_AUTO_TEST_CASE(the_workers_clock_is_known_within_the_exchange)
{
    worker_lease it{s_options, s_start};
    BOOST_TEST(!it.estimate_clock(s_start).has_value());
    it.answer_received("a", s_clock, after(0), after(0.25));
    auto const bounds = it.estimate_clock(after(1));
    BOOST_REQUIRE(bounds.has_value());
    BOOST_TEST(bounds->earliest == s_clock + 749'625);
    BOOST_TEST(bounds->latest == s_clock + 1'000'500);
}

// After a takeover the new owner places a task on a worker that is full, or a
// second time, because it has not seen what runs on the silent one.
BOOST_AUTO_TEST_CASE(placing_waits_for_every_workers_inventory)
{
    inventory_barrier it{
        {{"w1", after(10)}, {"w2", after(10)}, {"w3", after(12)}}};
    it.inventory_received("w1");
    BOOST_TEST(it.missing(after(1)).size() == 2U);
    it.worker_removed("w3");
    BOOST_TEST(!it.is_open(after(9)));
    BOOST_TEST(it.is_open(after(10)));
}

BOOST_AUTO_TEST_SUITE_END()
