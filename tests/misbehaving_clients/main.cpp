#define BOOST_TEST_MODULE misbehaving_clients
#include <boost/test/unit_test.hpp>
