#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>
