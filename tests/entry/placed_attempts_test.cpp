#include <entry/placed_attempts.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(placed_attempts)

namespace
{

constexpr auto s_group = "workers/a/1";
model::attempt_id const s_attempt{{"job-1", 0}, 1};
std::vector<model::attempt_id> const s_only{s_attempt};

} // namespace

// An attempt that only the rack's next owner reports, as after a worker that
// was given up and came back: if it were not known from then on, its end would
// be acknowledged and ignored, and its job would never end.
BOOST_AUTO_TEST_CASE(an_unexpected_attempt_that_is_counted_is_known)
{
    entry::placed_attempts it;
    BOOST_TEST(!it.counted(s_attempt, s_group, 4));
    BOOST_TEST(it.contains(s_attempt));
    BOOST_TEST(it.counted(s_attempt, s_group, 5));
    BOOST_TEST(it.ended(s_attempt));
    BOOST_TEST(!it.contains(s_attempt));
    BOOST_TEST(!it.ended(s_attempt));
}

// An attempt that a former owner had taken and that the next one does not count
// is nowhere; if it were kept, its task would never be started again.
BOOST_AUTO_TEST_CASE(what_the_next_owner_does_not_count_is_lost)
{
    entry::placed_attempts it;
    it.ordered(s_attempt, s_group);
    it.answered(s_attempt, 3);
    BOOST_TEST(it.end_lost("workers/a/2", 4, {}).empty());
    BOOST_TEST(it.end_lost(s_group, 3, {}).empty());
    BOOST_TEST(it.end_lost(s_group, 4, {s_attempt}).empty());
    BOOST_CHECK(it.end_lost(s_group, 4, {}) == s_only);
    BOOST_TEST(!it.contains(s_attempt));
}

// An order without an answer may be carried out by the next owner yet: it must
// not be taken for lost.
BOOST_AUTO_TEST_CASE(an_order_without_an_answer_is_not_lost)
{
    entry::placed_attempts it;
    it.ordered(s_attempt, s_group);
    BOOST_TEST(it.end_lost(s_group, 4, {}).empty());
    BOOST_TEST(it.contains(s_attempt));
    // An order that is sent again does not hide that it was answered.
    it.answered(s_attempt, 4);
    it.ordered(s_attempt, s_group);
    BOOST_CHECK(it.end_lost(s_group, 5, {}) == s_only);
}

BOOST_AUTO_TEST_SUITE_END()
