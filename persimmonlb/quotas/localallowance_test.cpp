#include <boost/test/unit_test.hpp>

#include "persimmonlb/quotas/localallowance.h"

using namespace persimmonlb;

namespace
{

const CustomerName customer{"c"};

struct Fixture {
    void grant(int count, std::uint32_t permille)
    {
        for (int i = 0; i < count; ++i) {
            allowance.recordGrant(customer, permille);
        }
    }
    int takeAll()
    {
        int taken = 0;
        while (allowance.take(customer)) {
            ++taken;
        }
        return taken;
    }

    MonotonicTime now{std::chrono::seconds(10)};
    LocalAllowance allowance{Milliseconds(5000),
                             Clock{.monotonic = [this] { return now; },
                                   .wall =
                                       [] {
                                           return WallTime();
                                       }},
                             seededRandom(1)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(LocalAllowanceTest)

BOOST_AUTO_TEST_CASE(admitsShareOfWhatWasSentInWindow)
{
    Fixture fixture;
    fixture.grant(8, 500);
    BOOST_TEST(fixture.takeAll() == 4);
}

// Guards against a host that is cut off for long and goes on admitting.
BOOST_AUTO_TEST_CASE(isSpentOnceUntilNextGrant)
{
    Fixture fixture;
    fixture.grant(8, 500);
    fixture.takeAll();
    fixture.now += std::chrono::seconds(4);
    BOOST_TEST(fixture.takeAll() == 0);
    fixture.grant(1, 500);
    BOOST_TEST(fixture.takeAll() > 0);
}

// Guards against a host that wakes after a suspension with an allowance of long ago.
BOOST_AUTO_TEST_CASE(endsWithWindow)
{
    Fixture fixture;
    fixture.grant(8, 500);
    fixture.now += std::chrono::seconds(6);
    BOOST_TEST(fixture.takeAll() == 0);
}

BOOST_AUTO_TEST_CASE(admitsNothingOfUnknownCustomerOrWithoutShare)
{
    Fixture fixture;
    BOOST_TEST(fixture.takeAll() == 0);
    fixture.grant(100, 0);
    BOOST_TEST(fixture.takeAll() == 0);
}

BOOST_AUTO_TEST_CASE(reportsWhatWasTakenOnce)
{
    Fixture fixture;
    fixture.grant(8, 500);
    fixture.takeAll();
    fixture.now += std::chrono::seconds(20);
    fixture.allowance.tick();
    BOOST_TEST(fixture.allowance.takeReport(customer) == 4U);
    BOOST_TEST(fixture.allowance.takeReport(customer) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
