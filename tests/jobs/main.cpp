#define BOOST_TEST_MODULE jobs
#include <boost/test/unit_test.hpp>
