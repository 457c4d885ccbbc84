#define BOOST_TEST_MODULE configuration
#include <boost/test/unit_test.hpp>
