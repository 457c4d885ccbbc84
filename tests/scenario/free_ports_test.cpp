#include <scenario/cell.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(free_ports)

// Guards against a run beside the soak or the tests that takes the port of a
// process which they have killed and start again.
BOOST_AUTO_TEST_CASE(a_run_takes_no_port_of_the_soak_or_the_tests)
{
    constexpr int count = 200;
    constexpr int first_of_others = 20'000;
    auto const ports = berylhill::scenario::free_ports(count);
    BOOST_TEST(ports.size() == std::size_t{count});
    for (auto const it : ports)
    {
        BOOST_TEST(it < first_of_others);
    }
}

BOOST_AUTO_TEST_SUITE_END()
