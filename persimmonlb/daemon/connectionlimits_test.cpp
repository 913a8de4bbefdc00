#include <boost/test/unit_test.hpp>

#include "persimmonlb/daemon/connectionlimits.h"

using namespace persimmonlb;

BOOST_AUTO_TEST_SUITE(ConnectionLimitsTest)

// Guards against strangers that take every descriptor, also where they fill all listeners at once:
// connections of callers, a quarter more that are being refused, three other listeners likewise,
// and mesh connections before their upgrade and before their proof.
BOOST_AUTO_TEST_CASE(leavesDescriptorsForTheHostItself)
{
    for (const std::uint64_t descriptors : {256U, 1024U, 4100U, 8200U, 20000U, 1048576U}) {
        const ConnectionLimits limits = shareDescriptors(descriptors);
        const std::uint64_t strangers = limits.callers + limits.callers / 4
            + 3 * (limits.others + limits.others / 4) + 2 * limits.mesh;
        BOOST_TEST(strangers <= descriptors * 9 / 10, descriptors);
    }
}

BOOST_AUTO_TEST_CASE(servesManyCallersWithTheDescriptorsOfOrdinaryHosts)
{
    BOOST_TEST(shareDescriptors(4100).callers >= 1500U);
    BOOST_TEST(shareDescriptors(4100).others >= 100U);
    BOOST_TEST(shareDescriptors(~std::uint64_t(0)).callers == 20000U);
    BOOST_TEST(descriptorLimit() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
