#define BOOST_TEST_MODULE workload
#include <boost/test/unit_test.hpp>
