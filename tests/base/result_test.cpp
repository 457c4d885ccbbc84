#include <base/finding.hpp>
#include <base/result.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <stdexcept>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(result)

BOOST_AUTO_TEST_CASE(capture_keeps_the_failure_as_a_value)
{
    auto const it = base::capture(
        []() -> base::result<int>
        { return base::fail(base::failure_code::refused, "full", 1.5); });
    BOOST_REQUIRE(!it.has_value());
    BOOST_CHECK(it.error() ==
                (base::failure{base::failure_code::refused, "full", 1.5}));
}

BOOST_AUTO_TEST_CASE(an_exception_of_a_library_is_an_unknown_outcome)
{
    auto const it = base::capture([]() -> base::result<int>
                                  { throw std::runtime_error{"broken pipe"}; });
    BOOST_REQUIRE(!it.has_value());
    BOOST_CHECK(it.error().code == base::failure_code::outcome_unknown);
}

namespace
{

struct name_case
{
    char const* written;
    char const* meant;
};

std::ostream& operator<<(std::ostream& out, name_case const& it)
{
    return out << it.written;
}

std::array const s_names{
    name_case{"adress", "address"},
    name_case{"zome", "zone"},
    name_case{"completely-other", ""},
};

} // namespace

BOOST_DATA_TEST_CASE(the_nearest_known_name, s_names, it)
{
    BOOST_TEST(base::nearest_name(it.written, {"address", "zone", "port"}) ==
               it.meant);
}

BOOST_AUTO_TEST_SUITE_END()
