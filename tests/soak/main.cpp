#define BOOST_TEST_MODULE soak
#include <boost/test/unit_test.hpp>
