#define BOOST_TEST_MODULE ownership
#include <boost/test/unit_test.hpp>
