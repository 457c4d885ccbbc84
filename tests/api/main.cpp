#define BOOST_TEST_MODULE api
#include <boost/test/unit_test.hpp>
