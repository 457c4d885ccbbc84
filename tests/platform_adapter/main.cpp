#define BOOST_TEST_MODULE platform_adapter
#include <boost/test/unit_test.hpp>
