#define BOOST_TEST_MODULE stream
#include <boost/test/unit_test.hpp>
