#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleettree/leaderannouncement.h"

using namespace persimmonlb;

namespace
{

const HostId seed{"seed"};
const HostId member{"member"};

struct Fixture {
    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }

    /// Who is to be told after some time.
    std::vector<HostId> toldAfter(Milliseconds time)
    {
        now += time;
        return announcement.takeUninformed();
    }

    MonotonicTime now{Milliseconds(1000)};
    LeaderAnnouncement announcement{LeaderAnnouncementOptions{.reportWait = Milliseconds(100),
                                                              .changeWait = Milliseconds(1000)},
                                    clock()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderAnnouncementTest, Fixture)

// Guards against a fleet without a leader when the election is faster than the connections: the
// leader's view was lost at hosts that connected later.
BOOST_AUTO_TEST_CASE(tellsHostThatConnectsAfterTheElection)
{
    announcement.begin({seed, member});
    BOOST_TEST(toldAfter(Milliseconds(5000)).empty());
    announcement.hostConnected(seed);
    BOOST_TEST(toldAfter(Milliseconds(99)).empty());
    BOOST_TEST((toldAfter(Milliseconds(1)) == std::vector{seed}));
    BOOST_TEST(toldAfter(Milliseconds(1000)).empty());
}

// Guards against whole views for every connected host at each change of leader, also when the
// leader stands still before it reads their reports.
BOOST_AUTO_TEST_CASE(waitsLongerForHostsThatWereConnectedBeforeTheElection)
{
    announcement.hostConnected(member);
    announcement.hostReported(member);
    now += Milliseconds(5000);
    announcement.begin({seed, member});
    BOOST_TEST(toldAfter(Milliseconds(999)).empty());
    BOOST_TEST((toldAfter(Milliseconds(1)) == std::vector{member}));
}

// Guards against whole views to every host at each change of leader.
BOOST_AUTO_TEST_CASE(tellsNoHostThatReports)
{
    announcement.begin({seed, member});
    announcement.hostConnected(member);
    announcement.hostReported(member);
    BOOST_TEST(toldAfter(Milliseconds(200)).empty());
}

// The process at the other end may have restarted without a view.
BOOST_AUTO_TEST_CASE(tellsHostAgainOnANewConnection)
{
    announcement.begin({seed});
    announcement.hostConnected(seed);
    BOOST_TEST(toldAfter(Milliseconds(100)).size() == 1U);
    announcement.hostLost(seed);
    announcement.hostConnected(seed);
    BOOST_TEST((toldAfter(Milliseconds(100)) == std::vector{seed}));
}

BOOST_AUTO_TEST_CASE(tellsNobodyElseAndNobodyAfterItsEnd)
{
    announcement.begin({seed});
    announcement.hostConnected(seed);
    announcement.hostConnected(HostId{"entry"});
    announcement.end();
    BOOST_TEST(toldAfter(Milliseconds(200)).empty());
    announcement.begin({seed});
    BOOST_TEST((toldAfter(Milliseconds(1000)) == std::vector{seed}));
}

BOOST_AUTO_TEST_SUITE_END()
