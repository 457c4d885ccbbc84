#define BOOST_TEST_MODULE cell_replay
#include <boost/test/unit_test.hpp>
