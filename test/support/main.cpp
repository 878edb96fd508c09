// Entry point shared by the test programs.
#define BOOST_TEST_MODULE bulrushway
#include <boost/test/unit_test.hpp>
