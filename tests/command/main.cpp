#define BOOST_TEST_MODULE command
#include <boost/test/unit_test.hpp>
