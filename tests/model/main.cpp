#define BOOST_TEST_MODULE model
#include <boost/test/unit_test.hpp>
