#include <stream/keyed_state.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;
using namespace berylhill::stream;

namespace
{

base::instant minute(int n)
{
    return base::instant{std::chrono::minutes{n}};
}

keyed_entry entry(std::string const& key, std::int64_t version, int value)
{
    return {key, version, Json::Value{value}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(keyed)

// An operator's change is in force, then a contract falls back to last week's
// limits: another entry wrote the old record again, to save it from retention,
// and had not yet read the change.
BOOST_AUTO_TEST_CASE(a_record_written_again_does_not_revert_a_later_one)
{
    keyed_state it;
    BOOST_TEST(it.apply({0, 0}, entry("a", 1, 10), minute(0)));
    BOOST_TEST(it.apply({1, 0}, entry("a", 2, 20), minute(1)));
    BOOST_TEST(!it.apply({2, 0}, entry("a", 1, 10), minute(2)));
    BOOST_TEST(it.find("a")->asInt() == 20);
    BOOST_TEST(it.apply({3, 0}, {"a", 3, {}}, minute(3)));
    BOOST_TEST(!it.apply({4, 0}, entry("a", 2, 20), minute(4)));
    BOOST_TEST(it.find("a") == nullptr);
}

// A contract that nobody changes for a month disappears, because retention
// drops its only record.
BOOST_AUTO_TEST_CASE(live_keys_are_written_again_in_time)
{
    keyed_state it;
    for (int i = 0; i < 8; ++i)
    {
        it.apply({i, 0}, entry(std::to_string(i), 1, i), minute(i));
    }
    it.apply({8, 0}, {"0", 2, {}}, minute(8));
    BOOST_TEST(it.due(0, 9, 10, minute(9)).empty());
    // By age: 1 and 2 are ten minutes old, and 0 is gone.
    auto const old = it.due(0, 9, 10, minute(12));
    BOOST_REQUIRE(old.size() == 2U);
    BOOST_CHECK(old.front() == entry("1", 1, 1));
    // Not twice, unless the append failed.
    BOOST_TEST(it.due(0, 9, 10, minute(12)).empty());
    it.not_rewritten("1");
    BOOST_TEST(it.due(0, 9, 10, minute(12)).size() == 1U);
    BOOST_TEST(it.apply({9, 0}, old.front(), minute(12)));
    // By place: retention has begun, and 3 lies in its oldest quarter.
    auto const near_edge = it.due(2, 10, 10, minute(12));
    BOOST_REQUIRE(near_edge.size() == 1U);
    BOOST_TEST(near_edge.front().key == "3");
}

BOOST_AUTO_TEST_CASE(the_key_of_the_first_record_is_written_again)
{
    keyed_state it;
    it.apply({0, 0}, entry("a", 1, 1), minute(0));
    it.apply({1, 0}, entry("b", 1, 1), minute(0));
    BOOST_TEST(it.due(0, 2, 10, minute(10)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(erased_keys_are_forgotten_later)
{
    keyed_state it;
    it.apply({0, 0}, entry("a", 1, 1), minute(0));
    it.apply({1, 0}, {"a", 2, {}}, minute(1));
    it.expire(minute(60));
    BOOST_TEST(it.size() == 1U);
    it.expire(minute(61));
    BOOST_TEST(it.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
