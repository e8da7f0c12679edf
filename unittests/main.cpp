#define BOOST_TEST_MODULE camphorlug
#include <boost/test/unit_test.hpp>
