#include <entry/orders.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(orders)

// A message that lost its number on the way would be admitted late.
BOOST_AUTO_TEST_CASE(a_message_keeps_its_number)
{
    entry::group_orders it;
    it.unit = "workers/a/1";
    it.shard = "jobs/0";
    it.shard_epoch = 3;
    it.number = 7;
    auto const read = base::capture(
        [&] { return entry::group_orders_from(entry::to_json(it)); });
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().number == 7);
    BOOST_TEST(read.value().shard_epoch == 3);
}

// An owner of an older version sends no number; its orders must be carried out.
BOOST_AUTO_TEST_CASE(a_message_without_a_number_has_number_0)
{
    auto message = entry::to_json(entry::group_orders{});
    message.removeMember("number");
    auto const read =
        base::capture([&] { return entry::group_orders_from(message); });
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().number == 0);
}

BOOST_AUTO_TEST_SUITE_END()
