#include <scheduler/account_ledger.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

struct room_case
{
    char const* name;
    workload::resources cap;
    workload::resources used;
    workload::resources task;
    std::uint32_t room;
};

std::ostream& operator<<(std::ostream& to, room_case const& it)
{
    return to << it.name;
}

constexpr std::uint32_t asked = 10;

room_case const rooms[] = {
    {"no cap", {}, {9'000, 9'000, 9}, {1'000, 100, 1}, 10},
    {"processor time binds", {4'000, 0, 0}, {1'000, 0, 0}, {1'000, 1, 0}, 3},
    {"memory binds", {9'000, 250, 0}, {0, 50, 0}, {1'000, 100, 0}, 2},
    {"accelerators bind", {0, 0, 4}, {0, 0, 3}, {1'000, 100, 1}, 1},
    {"exact fit", {3'000, 0, 0}, {1'000, 0, 0}, {2'000, 0, 0}, 1},
    {"room for part of a task does not count",
     {3'999, 0, 0},
     {},
     {2'000, 0, 0},
     1},
    {"a cap below the current usage",
     {1'000, 0, 0},
     {5'000, 0, 0},
     {1'000, 0, 0},
     0},
    {"a dimension that the task does not use does not bind",
     {1'000, 100, 0},
     {1'000, 0, 0},
     {0, 10, 0},
     10},
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_ledger)

BOOST_DATA_TEST_CASE(an_account_has_room_up_to_its_cap,
                     boost::unit_test::data::make(rooms))
{
    scheduler::account_ledger it;
    it.set_accounts({{"a", {}, 1, sample.cap}});
    it.add("a", sample.used);
    BOOST_TEST(it.room_for("a", sample.task, asked) == sample.room);
    BOOST_TEST(it.room_for("other", sample.task, asked) == asked);
    it.remove("a", sample.used);
    BOOST_TEST((it.used("a") == workload::resources{}));
}

BOOST_AUTO_TEST_CASE(an_account_that_is_no_longer_named_keeps_its_cap)
{
    scheduler::account_ledger it;
    it.set_accounts({{"a", {}, 1, {2'000, 0, 0}}});
    it.set_accounts({{"b", {}, 1, {}}});
    BOOST_TEST(it.room_for("a", {1'000, 0, 0}, asked) == 2U);
    BOOST_TEST(!it.can_hold("a", {1'000, 0, 0}, 3));
    BOOST_TEST(it.can_hold("a", {1'000, 0, 0}, 2));
}

/// Attempts found running before the configuration was read count.
BOOST_AUTO_TEST_CASE(usage_before_the_cap_was_known_counts)
{
    scheduler::account_ledger it;
    it.add("a", {3'000, 0, 0});
    it.set_accounts({{"a", {}, 1, {4'000, 0, 0}}});
    BOOST_TEST(it.room_for("a", {1'000, 0, 0}, asked) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
