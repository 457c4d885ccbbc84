#include <cell/token_bucket.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(token_bucket)

/// Guards against calls that are delayed behind copies of the configuration
/// when hundreds of processes fetch it from one process.
BOOST_AUTO_TEST_CASE(copies_are_limited_to_their_share_of_the_link)
{
    constexpr std::size_t copy = 40'000;
    cell::token_bucket it{1'000'000, 64'000};
    base::instant now{std::chrono::seconds{100}};
    std::size_t sent = 0;
    for (int n = 0; n < 1'000; ++n)
    {
        sent += it.try_take(copy, now) ? copy : 0;
        now += std::chrono::milliseconds{1};
    }
    BOOST_TEST(sent <= 1'000'000U + 64'000U + copy);
    BOOST_TEST(sent >= 900'000U);
}

/// Guards against a bucket of few tokens that never fills because it is looked
/// at more often than a token is earned.
BOOST_AUTO_TEST_CASE(a_slow_rate_is_reached_by_frequent_attempts)
{
    cell::token_bucket it{100, 1};
    base::instant now{std::chrono::seconds{100}};
    int taken = 0;
    for (int n = 0; n < 1'000; ++n)
    {
        taken += it.try_take(1, now) ? 1 : 0;
        now += std::chrono::milliseconds{1};
    }
    BOOST_TEST(taken >= 95);
    BOOST_TEST(taken <= 101);
}

BOOST_AUTO_TEST_SUITE_END()
