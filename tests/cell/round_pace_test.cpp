#include <cell/round_pace.hpp>

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
    /// After the beginning of the round.
    milliseconds next;
};

std::ostream& operator<<(std::ostream& to, pace_case const& it)
{
    return to << it.story;
}

pace_case const paces[] = {
    {"short rounds begin at a steady pace", milliseconds{0}, milliseconds{3}},
    {"a round of a millisecond leaves two to others", milliseconds{1},
     milliseconds{3}},
    {"a long one leaves twice its time", milliseconds{8}, milliseconds{24}},
    {"a pause of the process is no reason to wait", milliseconds{2'000},
     milliseconds{2'040}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(round_pace)

/// Users who ask for the state of their jobs get no answer in time, while the
/// owner places other work: each round of decisions begins as soon as the one
/// before has ended, and what came in waits behind both.
BOOST_DATA_TEST_CASE(rounds_leave_the_loop_to_others,
                     boost::unit_test::data::make(paces))
{
    base::instant const began{std::chrono::seconds{10}};
    cell::round_pace it;
    it.began(began);
    it.ended(began + sample.takes);
    BOOST_TEST((it.next() - began == sample.next));
}

BOOST_AUTO_TEST_SUITE_END()
