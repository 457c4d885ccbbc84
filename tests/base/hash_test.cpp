#include <base/hash.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(hash)

BOOST_AUTO_TEST_CASE(rendezvous_moves_only_the_keys_of_a_lost_candidate)
{
    std::vector<std::string> const all{"a", "b", "c", "d"};
    std::vector<std::string> const fewer{"d", "a", "c"};
    for (int i = 0; i < 200; ++i)
    {
        auto const key = "group-" + std::to_string(i);
        auto const before = base::rendezvous_order(key, all).front();
        auto const after = base::rendezvous_order(key, fewer).front();
        if (before != "b")
        {
            BOOST_TEST(before == after);
        }
    }
}

BOOST_AUTO_TEST_CASE(identifiers_are_long_and_differ)
{
    auto const one = base::random_id();
    BOOST_TEST(one.size() == 32U);
    BOOST_TEST(one != base::random_id());
}

BOOST_AUTO_TEST_SUITE_END()
