#include <cell/advice_queue.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;
using cell::advice_queue;

namespace
{

constexpr std::chrono::milliseconds short_time{13};
constexpr std::chrono::milliseconds long_time{800};
base::instant const start{std::chrono::seconds{100}};

/// An advice request whose answer is needed after `needed_in`.
scheduler::advice_order
order(base::duration expected, base::duration needed_in = {}, bool late = false)
{
    scheduler::advice_order out;
    out.expected = expected;
    out.needed_by = start + needed_in;
    out.late = late;
    return out;
}

std::vector<cell::peer> machines(std::size_t n)
{
    std::vector<cell::peer> out;
    for (std::size_t i = 0; i < n; ++i)
    {
        out.push_back(
            {"n", {"10.0.0.1", static_cast<std::uint16_t>(i + 1)}, 250});
    }
    return out;
}

/// The requests in flight, in the order in which they were sent.
std::vector<std::uint64_t> sent(advice_queue& queue, std::size_t others)
{
    std::vector<std::uint64_t> out;
    while (auto const it = queue.next(machines(others), start))
    {
        out.push_back(it->request);
    }
    return out;
}

struct spread_case
{
    char const* story;
    std::size_t others;
    std::chrono::milliseconds expected;
    int questions;
    /// How many are in flight at once, and how many of them from this process.
    std::size_t under_way;
    std::size_t own;
};

std::ostream& operator<<(std::ostream& to, spread_case const& it)
{
    return to << it.story;
}

spread_case const spreads[] = {
    {"a single process has one long request in flight", 0, long_time, 3, 1, 1},
    {"a single process has two short requests in flight", 0, short_time, 3, 2,
     2},
    {"the first short request is sent by this process", 6, short_time, 1, 1, 1},
    {"concurrent short requests are spread", 6, short_time, 7, 7, 1},
    {"two machines are reserved for short requests", 6, long_time, 20, 5, 0},
    {"a large cell reserves a fifth for short requests", 36, long_time, 80, 30,
     0},
    {"few machines all take long requests", 2, long_time, 3, 3, 1},
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice_request_order)

BOOST_DATA_TEST_CASE(requests_are_spread_over_machines,
                     boost::unit_test::data::make(spreads))
{
    advice_queue queue;
    for (int n = 0; n < sample.questions; ++n)
    {
        queue.add(static_cast<std::uint64_t>(n), order(sample.expected));
    }
    std::size_t under_way = 0;
    std::size_t own = 0;
    while (auto const it = queue.next(machines(sample.others), start))
    {
        ++under_way;
        own += it->sender == network::socket_address{} ? 1 : 0;
    }
    BOOST_TEST(under_way == sample.under_way);
    BOOST_TEST(own == sample.own);
}

/// Guards against urgent work that waits 0.8 s after a change of owner: the
/// steps of all gangs ask at once, each answer takes a second, and a later
/// urgent request queues behind them at its machine.
BOOST_AUTO_TEST_CASE(urgent_request_overtakes_a_hundred_long_ones)
{
    advice_queue queue;
    for (std::uint64_t n = 0; n < 100; ++n)
    {
        queue.add(n, order(long_time, -std::chrono::seconds{1}));
    }
    BOOST_TEST(sent(queue, 36).size() == 30U);
    queue.add(1'000, order(short_time));
    auto const it = queue.next(machines(36), start);
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->request == 1'000U);
}

BOOST_AUTO_TEST_CASE(earliest_deadline_first_and_late_work_last)
{
    advice_queue queue;
    queue.add(1, order(long_time, std::chrono::seconds{1}, true));
    queue.add(2, order(long_time, std::chrono::seconds{2}));
    queue.add(3, order(long_time, std::chrono::seconds{1}));
    queue.add(4, order(short_time));
    BOOST_TEST(sent(queue, 6) == (std::vector<std::uint64_t>{4, 3, 2, 1}),
               boost::test_tools::per_element());
}

/// Guards against urgent work that waits for an unreachable machine: without
/// answers it has no requests in flight and seems the least busy.
BOOST_AUTO_TEST_CASE(machine_that_did_not_answer_is_avoided)
{
    advice_queue queue;
    queue.add(1, order(short_time));
    auto const first = queue.next(machines(6), start);
    BOOST_REQUIRE(first.has_value());
    queue.ended(first->sender, false, start);
    queue.add(2, order(short_time));
    auto const second = queue.next(machines(6), start);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((second->sender != first->sender));
}

BOOST_AUTO_TEST_CASE(one_machine_is_used_if_all_are_avoided)
{
    advice_queue queue;
    for (std::uint64_t n = 1; n < 4; ++n)
    {
        queue.add(n, order(long_time));
        auto const it = queue.next({}, start);
        BOOST_REQUIRE(it.has_value());
        queue.ended(it->sender, false, start);
    }
}

BOOST_AUTO_TEST_SUITE_END()
