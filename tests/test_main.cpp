#define BOOST_TEST_MODULE fescuenotch
#include <boost/test/unit_test.hpp>
