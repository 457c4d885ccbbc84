#include <cell/round_throttle.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

struct pace_case
{
    char const* story;
    milliseconds takes;
    /// Time from the start of the round to the next one.
    milliseconds next;
};

std::ostream& operator<<(std::ostream& to, pace_case const& it)
{
    return to << it.story;
}

pace_case const paces[] = {
    {"short rounds start at the minimum interval", milliseconds{0},
     milliseconds{3}},
    {"a round of one millisecond leaves two for others", milliseconds{1},
     milliseconds{3}},
    {"a long round leaves twice its duration", milliseconds{8},
     milliseconds{24}},
    {"the pause after a suspension of the process is limited",
     milliseconds{2'000}, milliseconds{2'040}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(round_throttle)

/// Guards against job status calls that time out while the owner places other
/// work: each round started as soon as the one before had ended, and calls
/// waited behind both.
BOOST_DATA_TEST_CASE(rounds_leave_time_for_others,
                     boost::unit_test::data::make(paces))
{
    base::instant const began{std::chrono::seconds{10}};
    cell::round_throttle it;
    it.began(began);
    it.ended(began + sample.takes);
    BOOST_TEST((it.next() - began == sample.next));
}

BOOST_AUTO_TEST_SUITE_END()
