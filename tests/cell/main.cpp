#define BOOST_TEST_MODULE cell
#include <boost/test/unit_test.hpp>
