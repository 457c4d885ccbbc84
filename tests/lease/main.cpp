#define BOOST_TEST_MODULE lease
#include <boost/test/unit_test.hpp>
