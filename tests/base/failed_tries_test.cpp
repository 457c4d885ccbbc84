#include <base/failed_tries.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <vector>

using namespace berylhill;
using base::failure_code;

BOOST_AUTO_TEST_SUITE(failed_tries)

namespace
{

struct tries_case
{
    char const* name;
    std::vector<failure_code> tries;
    failure_code outcome;
};

std::ostream& operator<<(std::ostream& out, tries_case const& it)
{
    return out << it.name;
}

std::array const s_tries{
    tries_case{"one that was not taken",
               {failure_code::unavailable},
               failure_code::unavailable},
    tries_case{"none was taken",
               {failure_code::superseded, failure_code::unavailable},
               failure_code::unavailable},
    tries_case{"not taken, then refused",
               {failure_code::unavailable, failure_code::refused},
               failure_code::refused},
    tries_case{"one without an answer",
               {failure_code::outcome_unknown},
               failure_code::outcome_unknown},
    tries_case{"no answer, then not taken",
               {failure_code::outcome_unknown, failure_code::unavailable},
               failure_code::outcome_unknown},
    tries_case{"no answer, then another owner",
               {failure_code::outcome_unknown, failure_code::superseded},
               failure_code::outcome_unknown},
    tries_case{"no answer, then refused",
               {failure_code::outcome_unknown, failure_code::refused},
               failure_code::outcome_unknown},
    tries_case{"no answer, then the log is away",
               {failure_code::outcome_unknown, failure_code::log_unavailable},
               failure_code::outcome_unknown},
    tries_case{"no answer, then invalid by now",
               {failure_code::outcome_unknown, failure_code::invalid},
               failure_code::outcome_unknown},
    tries_case{"no answer between two that were not taken",
               {failure_code::unavailable, failure_code::outcome_unknown,
                failure_code::unavailable},
               failure_code::outcome_unknown},
};

} // namespace

// A caller that is told "not run" submits its job a second time; an earlier try
// without an answer may have been accepted.
BOOST_DATA_TEST_CASE(a_refusal_does_not_speak_for_an_earlier_try, s_tries, it)
{
    base::failed_tries tries;
    for (auto const code : it.tries)
    {
        tries.add({code, "why", 0.5});
    }
    BOOST_CHECK(tries.outcome().code == it.outcome);
    BOOST_TEST(tries.outcome().retry_after_s == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
