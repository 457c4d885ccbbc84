#include <cell/processor_meter.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(processor_meter)

BOOST_AUTO_TEST_CASE(used_time_is_averaged_over_about_a_second)
{
    cell::processor_meter meter;
    base::instant now{};
    base::duration used{0};
    meter.measured(now, used);
    BOOST_TEST(meter.cores() == 0.0);
    for (int n = 0; n < 20; ++n)
    {
        now += milliseconds{250};
        used += milliseconds{50};
        meter.measured(now, used);
    }
    BOOST_TEST(meter.cores() == 0.2, boost::test_tools::tolerance(0.02));
    now += milliseconds{250};
    meter.measured(now, used);
    BOOST_TEST(meter.cores() == 0.15, boost::test_tools::tolerance(0.02));
    meter.measured(now, used);
    BOOST_TEST(meter.cores() == 0.15, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_SUITE_END()
