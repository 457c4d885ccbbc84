#include <calls/side_history.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(side_history)

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
BOOST_DATA_TEST_CASE(the_offset_alone_determines_the_side, s_sides, it)
{
    calls::side_history first;
    first.add_change("kitakaze", 10, "sapporo");
    first.add_change("kitakaze", 20, "santander");
    first.add_change("kitakaze", 30, "sapporo");
    calls::side_history second;
    second.add_change("kitakaze", 30, "sapporo");
    second.add_change("kitakaze", 20, "santander");
    second.add_change("kitakaze", 10, "sapporo");
    second.add_change("kitakaze", 20, "elsewhere");
    BOOST_TEST(first.side_of("kitakaze", it.accepted_at) == it.side);
    BOOST_TEST(second.side_of("kitakaze", it.accepted_at) == it.side);
}

BOOST_AUTO_TEST_CASE(old_changes_except_the_one_in_force_are_removed)
{
    calls::side_history it;
    it.add_change("kitakaze", 10, "sapporo");
    it.add_change("kitakaze", 20, "santander");
    it.remove_before(25);
    BOOST_TEST(it.side_of("kitakaze", 19).empty());
    BOOST_TEST(it.side_of("kitakaze", 25) == "santander");
    BOOST_TEST(it.side_of("cantabrica", 25).empty());
}

BOOST_AUTO_TEST_SUITE_END()
