#define BOOST_TEST_MODULE calls
#include <boost/test/unit_test.hpp>
