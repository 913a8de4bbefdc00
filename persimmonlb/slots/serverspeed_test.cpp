#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/serverspeed.h"

using namespace persimmonlb;

namespace
{

constexpr double meanMs = 300;

struct Fixture {
    /// Records a response each 100 ms.
    void recordResponses(int count, double holdMs)
    {
        for (int i = 0; i < count; ++i) {
            now += Milliseconds(100);
            speed.recordHoldTime(holdMs, now);
        }
    }
    [[nodiscard]] double expectedMs(double slowdown = 1) const
    {
        return speed.expectedHoldMs(meanMs, slowdown, now);
    }

    MonotonicTime now;
    ServerSpeed speed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerSpeedTest, Fixture)

/// A single long response must not mark a server as slow.
BOOST_AUTO_TEST_CASE(staysNearMeanOfServiceAfterOneObservation)
{
    BOOST_TEST(expectedMs() == meanMs);
    recordResponses(1, 600);
    BOOST_TEST(expectedMs() > meanMs);
    BOOST_TEST(expectedMs() <= 400);
}

/// Deployment U: servers of 0.7 and 1.7 times the mean speed must be told apart.
BOOST_AUTO_TEST_CASE(learnsSpeedFromFewTensOfResponses)
{
    recordResponses(20, meanMs / 0.7);
    BOOST_TEST(expectedMs() > 1.3 * meanMs);
    speed = ServerSpeed();
    recordResponses(20, meanMs / 1.7);
    BOOST_TEST(expectedMs() < 0.75 * meanMs);
}

/// A server that was avoided because it was slow would otherwise never be tried again.
BOOST_AUTO_TEST_CASE(returnsToMeanOfServiceWithoutNewObservations)
{
    recordResponses(20, 3 * meanMs);
    now += Milliseconds(60000);
    BOOST_TEST(expectedMs() < 1.1 * meanMs);
}

/// A server that stops responding gives no hold times at all; its requests are the evidence.
BOOST_AUTO_TEST_CASE(countsOverdueRequestsBeforeTheyEnd)
{
    recordResponses(20, meanMs);
    for (int i = 0; i < 4; ++i) {
        speed.requestGranted(now);
    }
    now += Milliseconds(500);
    BOOST_TEST(expectedMs() < 1.1 * meanMs);
    now += Milliseconds(500);
    BOOST_TEST(expectedMs() > 1.5 * meanMs);
    BOOST_TEST(expectedMs(2) < 1.1 * meanMs); // Expected on a server so slow by its load.
    for (int i = 0; i < 4; ++i) {
        speed.requestReleased(now - Milliseconds(1000));
    }
    BOOST_TEST(expectedMs() < 1.1 * meanMs);
}

/// After another process was the broker, grants that it does not know have no end here.
BOOST_AUTO_TEST_CASE(forgetsHeldRequestsAndKeepsSpeedWhenCleared)
{
    recordResponses(20, meanMs / 2);
    const double learnedMs = expectedMs();
    speed.requestGranted(now);
    speed.clearHeld();
    now += Milliseconds(1000);
    BOOST_TEST(expectedMs() < 1.1 * learnedMs);
}

/// A mean that started at 0 would make the first responses look slow.
BOOST_AUTO_TEST_CASE(averagesFirstHoldTimesOfService)
{
    ServiceHoldTime service;
    BOOST_TEST(service.meanMs() == 0);
    service.record(200);
    service.record(400);
    BOOST_TEST(service.meanMs() == 300);
}

BOOST_AUTO_TEST_SUITE_END()
