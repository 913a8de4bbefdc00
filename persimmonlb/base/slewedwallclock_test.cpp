#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/slewedwallclock.h"

using namespace persimmonlb;

namespace
{

struct Fixture {
    MonotonicTime steady{std::chrono::hours(5)};
    WallTime timeOfDay{std::chrono::hours(480000)};
    SlewedWallClock clock{[this] { return steady; },
                          [this] {
                              return timeOfDay;
                          }};

    void pass(Milliseconds time)
    {
        steady += time;
        timeOfDay += time;
    }
    /// How far the clock is from the time of day.
    Milliseconds ahead()
    {
        return clock.now() - timeOfDay;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlewedWallClockTest, Fixture)

BOOST_AUTO_TEST_CASE(BeginsWithTheTimeOfDay)
{
    BOOST_TEST(ahead().count() == 0);
    pass(Milliseconds(1234567));
    BOOST_TEST(ahead().count() == 0);
}

BOOST_AUTO_TEST_CASE(AJumpOfTheTimeOfDayMovesNoDueTime)
{
    for (const Milliseconds jump : {Milliseconds(2000), Milliseconds(-2000)}) {
        const WallTime before = clock.now();
        timeOfDay += jump;
        pass(Milliseconds(10000));
        const Milliseconds passed = clock.now() - before;
        BOOST_TEST(passed.count() >= 9950);
        BOOST_TEST(passed.count() <= 10050);
        timeOfDay -= jump;
    }
}

BOOST_AUTO_TEST_CASE(ATimeOfDayThatWasSetRightIsTakenInTime)
{
    timeOfDay += Milliseconds(2000);
    for (int second = 0; second < 400; ++second) {
        pass(Milliseconds(1000));
        clock.now();
    }
    BOOST_TEST(ahead().count() == 0);
}

BOOST_AUTO_TEST_CASE(NeverGoesBack)
{
    timeOfDay -= Milliseconds(60000);
    WallTime last = clock.now();
    for (int step = 0; step < 5000; ++step) {
        pass(Milliseconds(7));
        const WallTime now = clock.now();
        BOOST_REQUIRE(now >= last);
        last = now;
    }
}

BOOST_AUTO_TEST_CASE(ALongPauseIsFollowedInProportion)
{
    timeOfDay += Milliseconds(2000);
    pass(std::chrono::minutes(10));
    BOOST_TEST(ahead().count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
