#include <entry/order_gate.hpp>
#include <model/job.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <ostream>
#include <vector>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(order_gate)

namespace
{

struct message
{
    char const* shard;
    std::int64_t epoch;
    std::int64_t number;
};

struct arrivals_case
{
    char const* name;
    std::vector<message> earlier;
    message last;
    bool admitted;
};

std::ostream& operator<<(std::ostream& out, arrivals_case const& it)
{
    return out << it.name;
}

std::array const s_arrivals{
    arrivals_case{"the first", {}, {"jobs/0", 3, 1}, true},
    arrivals_case{"the next", {{"jobs/0", 3, 1}}, {"jobs/0", 3, 2}, true},
    arrivals_case{
        "one after a lost one", {{"jobs/0", 3, 1}}, {"jobs/0", 3, 3}, true},
    arrivals_case{"a late one", {{"jobs/0", 3, 2}}, {"jobs/0", 3, 1}, false},
    arrivals_case{
        "the same twice", {{"jobs/0", 3, 2}}, {"jobs/0", 3, 2}, false},
    arrivals_case{"a late one after another late one",
                  {{"jobs/0", 3, 3}, {"jobs/0", 3, 1}},
                  {"jobs/0", 3, 2},
                  false},
    arrivals_case{
        "of another shard", {{"jobs/0", 3, 2}}, {"jobs/1", 3, 1}, true},
    arrivals_case{"of the shard's next owner",
                  {{"jobs/0", 3, 2}},
                  {"jobs/0", 4, 1},
                  true},
    arrivals_case{"a late one of the shard's next owner",
                  {{"jobs/0", 3, 2}, {"jobs/0", 4, 2}},
                  {"jobs/0", 4, 1},
                  false},
    arrivals_case{
        "without a number", {{"jobs/0", 3, 2}}, {"jobs/0", 3, 0}, true},
};

} // namespace

// An order that arrives after a later message was answered would start a task
// whose release has been carried out, or that was placed elsewhere or has ended
// since.
BOOST_DATA_TEST_CASE(a_late_message_is_refused, s_arrivals, it)
{
    entry::order_gate gate;
    for (auto const& each : it.earlier)
    {
        gate.admit(each.shard, each.epoch, each.number);
    }
    BOOST_TEST(gate.admit(it.last.shard, it.last.epoch, it.last.number) ==
               it.admitted);
}

namespace
{

struct ended_case
{
    char const* name;
    /// The highest number that was seen before the end.
    std::int64_t seen;
    /// The messages that the shard had sent when it took note of the end.
    std::int64_t orders_sent;
    /// The message after the end, and whether it must not start the attempt.
    message next;
    bool known;
};

std::ostream& operator<<(std::ostream& out, ended_case const& it)
{
    return out << it.name;
}

std::array const s_ended{
    ended_case{"one that was under way", 4, 5, {"jobs/0", 3, 5}, true},
    ended_case{"the last of several under way", 4, 6, {"jobs/0", 3, 6}, true},
    ended_case{"one sent later", 4, 5, {"jobs/0", 3, 6}, false},
    ended_case{"nothing was under way", 5, 5, {"jobs/0", 3, 6}, false},
    ended_case{"another shard's", 4, 5, {"jobs/1", 3, 9}, true},
    ended_case{"the next owner's", 4, 5, {"jobs/0", 4, 1}, false},
};

} // namespace

// A repeated order that is under way while the shard takes note of the
// attempt's end would start a task again that is done.
BOOST_DATA_TEST_CASE(an_ended_attempt_is_known_while_it_may_be_ordered,
                     s_ended,
                     it)
{
    model::attempt_id const attempt{{"job-1", 0}, 1};
    entry::order_gate gate;
    gate.admit("jobs/0", 3, it.seen);
    gate.ended("jobs/0", attempt, it.orders_sent);
    BOOST_TEST(gate.admit(it.next.shard, it.next.epoch, it.next.number));
    BOOST_TEST(gate.has_ended("jobs/0", attempt) == it.known);
}

BOOST_AUTO_TEST_SUITE_END()
