#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>
