#define BOOST_TEST_MODULE scenario
#include <boost/test/unit_test.hpp>
