#include <entry/group_outbox.hpp>
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

// A rack that read another number would forget ended attempts too early.
BOOST_AUTO_TEST_CASE(an_answer_to_ends_keeps_what_it_says)
{
    entry::ends_answer const it{{{{"job-1", 2}, 3}}, 9};
    auto const read = base::capture(
        [&] { return entry::ends_answer_from(entry::to_json(it)); });
    BOOST_REQUIRE(read.has_value());
    BOOST_CHECK(read.value() == it);
}

// A repeated order that waits while the attempt's end is taken would start a
// task again that is done; orders of other attempts must go out all the same.
BOOST_AUTO_TEST_CASE(orders_of_an_ended_attempt_are_not_sent)
{
    model::attempt_id const ended{{"job-1", 0}, 1};
    model::attempt_id const other{{"job-1", 1}, 1};
    entry::group_outbox outbox;
    for (auto const& attempt : {ended, other})
    {
        placement::hold_order order;
        order.request.attempt = attempt;
        outbox.waiting.holds.push_back(order);
        outbox.waiting.commits.push_back(attempt);
        outbox.waiting.releases.push_back(attempt);
    }
    outbox.forget(ended);
    BOOST_REQUIRE(outbox.waiting.holds.size() == 1U);
    BOOST_CHECK(outbox.waiting.holds[0].request.attempt == other);
    BOOST_REQUIRE(outbox.waiting.commits.size() == 1U);
    BOOST_CHECK(outbox.waiting.commits[0] == other);
    BOOST_TEST(outbox.waiting.releases.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
