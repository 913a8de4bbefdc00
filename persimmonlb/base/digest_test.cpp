#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(DigestTest)

BOOST_AUTO_TEST_CASE(sha256OfAbc)
{
    BOOST_TEST(sha256Hex("abc")
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(hmacOfTheSecondRfc4231Vector)
{
    BOOST_TEST(hmacSha256Hex("Jefe", "what do ya want for nothing?")
               == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(constantTimeComparison)
{
    BOOST_TEST(equalInConstantTime("key", "key"));
    BOOST_TEST(!equalInConstantTime("key", "kez"));
    BOOST_TEST(!equalInConstantTime("key", "keys"));
}

BOOST_AUTO_TEST_CASE(stableHashIsTheSameInEveryRelease)
{
    BOOST_TEST(stableHash("") == 17280346270528514342ULL);
    BOOST_TEST(stableHash("a") != stableHash("b"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
