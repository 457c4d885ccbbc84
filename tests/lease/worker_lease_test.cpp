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

// Tasks of an unresponsive worker must not be started elsewhere while it may
// still run them. A renewal extends the lease from the clock in the last
// answer, not from when the renewal was sent; the expiry has to include clock
// drift.
BOOST_AUTO_TEST_CASE(lease_expires_after_last_answer)
{
    worker_lease it{s_options, s_start};
    BOOST_TEST(it.renew_until() == 0);
    it.renewal_sent(it.renew_until());
    it.answer_received("a", s_clock, after(0), after(1));
    BOOST_TEST(it.renew_until() == s_clock + 10'000'000);
    // Unanswered renewals do not extend the lease.
    for (int i = 2; i < 9; ++i)
    {
        it.renewal_sent(it.renew_until());
    }
    BOOST_TEST(!it.is_expired(after(11.5)));
    BOOST_TEST(it.is_expired(after(11.6)));
}

// Answers can arrive out of order. An older clock reading must not replace a
// newer one.
BOOST_AUTO_TEST_CASE(stale_answer_changes_nothing)
{
    worker_lease it{s_options, s_start};
    it.answer_received("a", s_clock + 2'000'000, after(2), after(2));
    auto const before = it;
    BOOST_CHECK(it.answer_received("a", s_clock, after(0), after(3)) ==
                answer_status::stale);
    BOOST_CHECK(it == before);
}

// After a worker's restart its old tasks are gone; a late answer of the old
// process must not restore them.
BOOST_AUTO_TEST_CASE(restarted_process_is_detected)
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

// A group is taken over while one of its workers is unreachable. The new owner
// has no answer from it, and the previous owner may have renewed its lease
// until the takeover.
BOOST_AUTO_TEST_CASE(unreachable_worker_expires_after_takeover)
{
    worker_lease const it{s_options, s_start};
    BOOST_TEST(!it.is_expired(after(10.4)));
    BOOST_TEST(it.is_expired(after(10.6)));
}

BOOST_AUTO_TEST_CASE(worker_clock_bounds_cover_round_trip_and_drift)
{
    worker_lease it{s_options, s_start};
    BOOST_TEST(!it.estimate_clock(s_start).has_value());
    it.answer_received("a", s_clock, after(0), after(0.25));
    auto const bounds = it.estimate_clock(after(1));
    BOOST_REQUIRE(bounds.has_value());
    BOOST_TEST(bounds->earliest == s_clock + 749'625);
    BOOST_TEST(bounds->latest == s_clock + 1'000'500);
}

// After a takeover the new owner must not place a task twice, or on a full
// worker, because it does not yet know what runs on an unreachable worker.
BOOST_AUTO_TEST_CASE(placement_waits_for_all_inventories)
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
