#define BOOST_TEST_MODULE scheduler
#include <boost/test/unit_test.hpp>
