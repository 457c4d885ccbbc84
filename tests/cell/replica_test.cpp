#include <cell/replica.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

struct end_case
{
    char const* name;
    char const* record;
    bool ended;
};

std::ostream& operator<<(std::ostream& to, end_case const& it)
{
    return to << it.name;
}

end_case const ends[] = {
    {"completed", R"({"p":2})", true},
    {"cancelled", R"({"p":4})", true},
    {"running", R"({"p":1,"b":1,"o":[]})", false},
    {"cancelled and never submitted", R"({"p":4,"n":1})", false},
    {"not readable", "{", false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica)

/// Guards against a job that is shown although nobody submitted it.
BOOST_DATA_TEST_CASE(only_a_submitted_job_is_shown_as_ended,
                     boost::unit_test::data::make(ends))
{
    cell::replica it;
    it.set(scheduler::state_key({1}), sample.record);
    BOOST_TEST(it.end_of({1}).has_value() == sample.ended);
}

BOOST_AUTO_TEST_SUITE_END()
