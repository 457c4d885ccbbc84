#include <calls/side_rule.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(side_rule)

namespace
{

struct side_case
{
    std::int64_t accepted_at;
    char const* side;
};

std::ostream& operator<<(std::ostream& out, side_case const& it)
{
    return out << "accepted at " << it.accepted_at;
}

std::array const s_sides{
    side_case{9, ""},           side_case{10, "sapporo"},
    side_case{19, "sapporo"},   side_case{20, "santander"},
    side_case{29, "santander"}, side_case{30, "sapporo"},
};

} // namespace

// Guards against work done on both sides during a move: two entries read the
// change of side at different times, and each decided by its own clock.
BOOST_DATA_TEST_CASE(the_offset_alone_says_the_side, s_sides, it)
{
    calls::side_rule first;
    first.learn("kitakaze", 10, "sapporo");
    first.learn("kitakaze", 20, "santander");
    first.learn("kitakaze", 30, "sapporo");
    calls::side_rule second;
    second.learn("kitakaze", 30, "sapporo");
    second.learn("kitakaze", 20, "santander");
    second.learn("kitakaze", 10, "sapporo");
    second.learn("kitakaze", 20, "elsewhere");
    BOOST_TEST(first.side_of("kitakaze", it.accepted_at) == it.side);
    BOOST_TEST(second.side_of("kitakaze", it.accepted_at) == it.side);
}

BOOST_AUTO_TEST_CASE(old_changes_are_forgotten_but_for_the_one_in_force)
{
    calls::side_rule it;
    it.learn("kitakaze", 10, "sapporo");
    it.learn("kitakaze", 20, "santander");
    it.forget_before(25);
    BOOST_TEST(it.side_of("kitakaze", 19).empty());
    BOOST_TEST(it.side_of("kitakaze", 25) == "santander");
    BOOST_TEST(it.side_of("cantabrica", 25).empty());
}

BOOST_AUTO_TEST_SUITE_END()
