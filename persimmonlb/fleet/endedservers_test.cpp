#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleet/endedservers.h"

using namespace persimmonlb;

namespace
{

FleetServer start(std::uint64_t born, std::uint64_t sequence)
{
    return FleetServer{.id = {"s"}, .bornMs = born, .sequence = sequence};
}

struct Fixture {
    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }
    /// Announces a start, with rising numbers, each 1.2 s; returns how many were refused first.
    int announceUntilTaken(std::uint64_t born, int most)
    {
        for (int number = 0; number < most; ++number) {
            if (!ended.refuses(start(born, ++sequence))) {
                return number;
            }
            now += Milliseconds(1200);
        }
        return most;
    }

    MonotonicTime now;
    std::uint64_t sequence = 0;
    EndedServers ended{EndedServersOptions{.mostKept = 3}, clock()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndedServersTest)

BOOST_AUTO_TEST_CASE(refusesEarlierStartsAndTakesLaterOnes)
{
    Fixture fixture;
    BOOST_TEST(!fixture.ended.refuses(start(100, 1)));
    fixture.ended.record(ServerId{"s"}, 100);
    // A copy that was held up says nothing of the start that ended later.
    fixture.ended.record(ServerId{"s"}, 50);
    BOOST_TEST(fixture.ended.refuses(start(100, 1)));
    BOOST_TEST(fixture.ended.refuses(start(99, 9)));
    BOOST_TEST(!fixture.ended.refuses(start(101, 1)));
    BOOST_TEST(fixture.ended.contains(ServerId{"s"}, 100));
    BOOST_TEST(!fixture.ended.contains(ServerId{"s"}, 101));
}

/// Guards against a sound start that is kept out for minutes since a call that was held up ended
/// it.
BOOST_AUTO_TEST_CASE(takesAStartThatGoesOnAnnouncingItself)
{
    Fixture fixture;
    fixture.ended.record(ServerId{"s"}, 100);
    // Ten seconds of announcements each 1.2 s.
    BOOST_TEST(fixture.announceUntilTaken(100, 50) == 9);
    BOOST_TEST(!fixture.ended.refuses(start(100, 99)));
    BOOST_TEST(fixture.ended.all().empty());
}

/// Guards against late announcements that bring back a server that has ended.
BOOST_AUTO_TEST_CASE(refusesLateAnnouncementsHoweverManyArrive)
{
    Fixture fixture;
    fixture.ended.record(ServerId{"s"}, 100);
    // Held up by a cut, and then delivered over some seconds.
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        BOOST_TEST(fixture.ended.refuses(start(100, sequence)));
        fixture.now += Milliseconds(400);
    }
    // Copies of what was heard prove nothing, and neither does one of an earlier start.
    fixture.now += Milliseconds(60000);
    BOOST_TEST(fixture.ended.refuses(start(100, 20)));
    BOOST_TEST(fixture.ended.refuses(start(99, 99)));
    // Few announcements over a long time.
    Fixture few;
    few.ended.record(ServerId{"s"}, 100);
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        BOOST_TEST(few.ended.refuses(start(100, sequence)));
        few.now += Milliseconds(9000);
    }
}

BOOST_AUTO_TEST_CASE(forgetsOldEndsAndKeepsABoundedNumber)
{
    Fixture fixture;
    for (const char *id : {"a", "b", "c", "d"}) {
        fixture.ended.record(ServerId{id}, 1);
        fixture.now += Milliseconds(1000);
    }
    BOOST_REQUIRE_EQUAL(fixture.ended.all().size(), 3U);
    BOOST_TEST(fixture.ended.all().front().server.value == "b");
    fixture.now += Milliseconds(118000);
    fixture.ended.tick();
    BOOST_REQUIRE_EQUAL(fixture.ended.all().size(), 2U);
    BOOST_TEST(fixture.ended.all().front().server.value == "c");
}

BOOST_AUTO_TEST_SUITE_END()
