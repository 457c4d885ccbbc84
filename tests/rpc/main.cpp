#define BOOST_TEST_MODULE rpc
#include <boost/test/unit_test.hpp>
