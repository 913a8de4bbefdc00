#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/customers/routesproof.h"

using namespace persimmonlb;

namespace
{

struct Fixture {
    Fixture()
    {
        freshness.setVersion(1);
    }
    [[nodiscard]] Milliseconds age() const
    {
        return freshness.age().value_or(Milliseconds::max());
    }

    MonotonicTime now{std::chrono::seconds(100)};
    RoutesFreshness freshness{Clock{.monotonic = [this] { return now; },
                                    .wall =
                                        [] {
                                            return WallTime();
                                        }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutesProofTest)

// Guards against a reply that the network held up: it must not prove more than at the sending of
// the report.
BOOST_AUTO_TEST_CASE(countsAgeFromSendingOfReport)
{
    Fixture fixture;
    BOOST_TEST(!fixture.freshness.age().has_value());
    const std::uint64_t stamp = fixture.freshness.stamp();
    fixture.now += Milliseconds(3000);
    fixture.freshness.confirm(stamp, 1, Milliseconds(200));
    BOOST_TEST(fixture.age().count() == 3200);
}

// Guards against a host that goes on with keys of version 1 while its parent knows version 2.
BOOST_AUTO_TEST_CASE(proofOfNewerVersionCountsOnlyOnceItIsInForce)
{
    Fixture fixture;
    fixture.freshness.confirm(fixture.freshness.stamp(), 1, Milliseconds(0));
    fixture.now += Milliseconds(1000);
    fixture.freshness.confirm(fixture.freshness.stamp(), 2, Milliseconds(0));
    BOOST_TEST(fixture.age().count() == 1000);
    fixture.freshness.setVersion(2);
    BOOST_TEST(fixture.age().count() == 0);
}

// Guards against an echo of the process that ran on this host before a restart.
BOOST_AUTO_TEST_CASE(ignoresStampsOfOtherProcesses)
{
    Fixture fixture;
    const std::uint64_t stamp = fixture.freshness.stamp();
    fixture.now += Milliseconds(1000);
    for (const std::uint64_t other : {std::uint64_t{0}, stamp - 1, stamp + 1000001}) {
        fixture.freshness.confirm(other, 1, Milliseconds(0));
    }
    BOOST_TEST(!fixture.freshness.age().has_value());
}

// Guards against a key that runs later than its revocation allows. A chain of three hosts with
// clocks of their own, delays and suspensions: whatever an entry host takes for the age of its
// proof, no newer version had been acknowledged when it says.
BOOST_AUTO_TEST_CASE(neverUnderestimatesTimeSinceNewerVersionAlongChain)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const RandomSource random = seededRandom(seed);
        MonotonicTime now{std::chrono::seconds(50)};
        const auto clockAhead = [&now](int seconds) {
            return Clock{.monotonic
                         = [&now, seconds] { return now + std::chrono::seconds(seconds); },
                         .wall =
                             [] {
                                 return WallTime();
                             }};
        };
        RoutesFreshness parent(clockAhead(7));
        RoutesFreshness entry(clockAhead(900));
        entry.setVersion(1);
        const auto pass = [&](std::uint64_t most) {
            now += Milliseconds(static_cast<std::int64_t>(random() % most));
        };
        MonotonicTime acknowledgedAt = MonotonicTime::max();
        std::uint64_t leaderVersion = 1;
        for (int step = 0; step < 20; ++step) {
            const std::uint64_t parentStamp = parent.stamp();
            pass(400);
            if (leaderVersion == 1 && random() % 10 == 0) {
                leaderVersion = 2;
                acknowledgedAt = now;
            }
            const std::uint64_t told = leaderVersion;
            pass(400);
            parent.confirm(parentStamp, told, Milliseconds(0));
            const std::uint64_t entryStamp = entry.stamp();
            pass(400);
            const MonotonicTime receivedAt = now + std::chrono::seconds(7);
            pass(400);
            const auto proofAge = std::chrono::ceil<Milliseconds>(
                std::max(receivedAt - parent.newest().provenAt, MonotonicTime::duration(0)));
            entry.confirm(entryStamp, parent.newest().version, proofAge);
            pass(2000);
            if (entry.age() && acknowledgedAt < now) {
                BOOST_TEST((now - *entry.age() <= acknowledgedAt), "seed " << seed);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
