#define BOOST_TEST_MODULE network
#include <boost/test/unit_test.hpp>
