#include <string>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/customers/customerkeys.h"

using namespace persimmonlb;

BOOST_AUTO_TEST_SUITE(CustomerKeysTest)

BOOST_AUTO_TEST_CASE(findsCustomerOfEachOfItsKeys)
{
    CustomerKeys keys;
    BOOST_TEST(keys.add("first", 3));
    BOOST_TEST(keys.add("second", 3));
    BOOST_TEST(keys.add("third", 4));
    BOOST_TEST(keys.find("second").value_or(0) == 3U);
    BOOST_TEST(keys.find("third").value_or(0) == 4U);
    BOOST_TEST(!keys.find("fourth").has_value());
    BOOST_TEST(!keys.find("").has_value());
}

// Guards against a key that opens two customers: the first one listed would answer for both.
BOOST_AUTO_TEST_CASE(refusesKeyOfAnotherCustomerAndEmptyKey)
{
    CustomerKeys keys;
    BOOST_TEST(keys.add("shared", 0));
    BOOST_TEST(keys.add("shared", 0));
    BOOST_TEST(!keys.add("shared", 1));
    BOOST_TEST(!keys.add("", 1));
    BOOST_TEST(keys.size() == 1U);
}

BOOST_AUTO_TEST_CASE(findsAmongManyKeys)
{
    constexpr std::size_t count = 10000;
    CustomerKeys keys;
    for (std::size_t i = 0; i < count; ++i) {
        BOOST_REQUIRE(keys.add("key-" + std::to_string(i), i));
    }
    BOOST_TEST(keys.find("key-9999").value_or(0) == count - 1);
    BOOST_TEST(!keys.find("key-10000").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
