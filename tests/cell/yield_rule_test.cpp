#include <cell/yield_rule.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace berylhill;
using cell::owner_load;
using cell::yield_reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct yield_case
{
    char const* story;
    owner_load load;
    yield_reason expected;
};

std::ostream& operator<<(std::ostream& to, yield_case const& it)
{
    return to << it.story;
}

cell::peer peer_with(std::int64_t millicores)
{
    return {"other", {"10.0.0.2", 7'700}, millicores};
}

std::vector<yield_case> const cases{
    {"without other processes it continues however late it is",
     {120, seconds{9}, seconds{2}, {}},
     yield_reason::none},
    {"an instance with four times the processor takes over",
     {120, seconds{9}, milliseconds{1}, {peer_with(500)}},
     yield_reason::larger_instance},
    {"a little more processor is not worth a change",
     {400, seconds{9}, milliseconds{1}, {peer_with(500)}},
     yield_reason::none},
    {"an owner that has just taken over continues",
     {120, seconds{1}, seconds{2}, {peer_with(500)}},
     yield_reason::none},
    {"an overloaded owner yields to an equal instance",
     {250, seconds{9}, milliseconds{400}, {peer_with(250)}},
     yield_reason::overloaded},
    {"an overloaded owner does not yield to a smaller instance",
     {500, seconds{9}, milliseconds{400}, {peer_with(120)}},
     yield_reason::none},
    {"an owner that is still reaching 3,000 instances continues",
     {250, seconds{9}, milliseconds{400}, {peer_with(250)}, 3'000},
     yield_reason::none},
    {"a larger instance takes over while thousands are being reached",
     {120, seconds{2}, milliseconds{400}, {peer_with(500)}, 3'000},
     yield_reason::larger_instance},
    {"overload after 3,000 instances should have been reached counts",
     {250, seconds{14}, milliseconds{400}, {peer_with(250)}, 3'000},
     yield_reason::overloaded},
    {"a slowed owner of 48 instances yields soon",
     {250, milliseconds{1'700}, milliseconds{400}, {peer_with(250)}, 48},
     yield_reason::overloaded},
    {"a hand-over after which nothing was better is not repeated soon",
     {250, seconds{14}, milliseconds{400}, {peer_with(250)}, 3'000, 1},
     yield_reason::none},
    {"after twice the time it is",
     {250, seconds{28}, milliseconds{400}, {peer_with(250)}, 3'000, 1},
     yield_reason::overloaded},
    {"after many hand-overs a minute is enough",
     {250, seconds{61}, milliseconds{400}, {peer_with(250)}, 3'000, 4'000},
     yield_reason::overloaded},
    {"pauses of a tenth of a second are no overload",
     {250, seconds{9}, milliseconds{50}, {peer_with(250)}},
     yield_reason::none},
};

struct load_case
{
    char const* story;
    owner_load load;
    bool expected;
};

std::ostream& operator<<(std::ostream& to, load_case const& it)
{
    return to << it.story;
}

std::vector<load_case> const load_cases{
    {"without lag, long after its claim",
     {250, seconds{14}, milliseconds{5}, {}, 3'000, 1},
     true},
    {"without lag, before the instances are reached",
     {250, seconds{2}, milliseconds{5}, {}, 3'000, 1},
     false},
    {"late, long after its claim",
     {250, seconds{14}, milliseconds{400}, {}, 3'000, 1},
     false},
};

struct order_case
{
    cell::peer it;
    cell::peer other;
    bool before;
};

std::ostream& operator<<(std::ostream& to, order_case const& it)
{
    return to << it.it.millicores << " before " << it.other.millicores << ": "
              << it.before;
}

std::vector<order_case> const orders{
    {{"a", {"10.0.0.9", 1}, 500}, {"b", {"10.0.0.1", 1}, 120}, true},
    {{"a", {"10.0.0.1", 1}, 120}, {"b", {"10.0.0.9", 1}, 500}, false},
    {{"a", {"10.0.0.1", 1}, 250}, {"b", {"10.0.0.2", 1}, 250}, true},
    {{"a", {"10.0.0.1", 1}, 250}, {"b", {"10.0.0.1", 1}, 250}, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(yield_rule)

/// Guards against a cell that waits for seconds because its owner runs on a
/// small machine, answers late and is considered lost, and the next small
/// machine takes over; and against a takeover that never ends, since each owner
/// of thousands of instances hands over before it has reached them.
BOOST_DATA_TEST_CASE(owner_yields_when_overloaded_or_smaller,
                     boost::unit_test::data::make(cases),
                     it)
{
    BOOST_TEST((should_yield(it.load) == it.expected));
}

BOOST_DATA_TEST_CASE(owner_handles_load_once_it_keeps_up_after_the_takeover,
                     boost::unit_test::data::make(load_cases),
                     it)
{
    BOOST_TEST(handles_load(it.load) == it.expected);
}

BOOST_AUTO_TEST_CASE(an_owner_of_thousands_takes_over_for_seconds)
{
    BOOST_TEST(cell::is_taking_over({250, seconds{9}, {}, {}, 3'000}));
    BOOST_TEST(!cell::is_taking_over({250, seconds{13}, {}, {}, 3'000}));
    BOOST_TEST(!cell::is_taking_over({250, seconds{1}, {}, {}, 48}));
}

BOOST_DATA_TEST_CASE(more_processor_time_comes_first,
                     boost::unit_test::data::make(orders),
                     it)
{
    BOOST_TEST(comes_before(it.it, it.other) == it.before);
}

BOOST_AUTO_TEST_SUITE_END()
