#define BOOST_TEST_MODULE persimmonlb
#include <boost/test/unit_test.hpp>
