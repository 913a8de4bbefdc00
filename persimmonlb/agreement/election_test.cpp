#include <boost/test/unit_test.hpp>

#include "persimmonlb/agreement/threemembers.h"

/// Cold start: all members lose their power at once. How long the group is without a leader, and
/// that the shorter way is taken only where no lease can be held.
namespace persimmonlb
{

using namespace testing;

namespace
{

constexpr std::uint64_t repetitions = 20; ///< With one seed each.
/// Two round trips and two syncs of the fakes, and a heartbeat to ask in.
constexpr Milliseconds withoutWait{200};

} // namespace

BOOST_AUTO_TEST_SUITE(ElectionTest)

BOOST_AUTO_TEST_CASE(aGroupWhoseMembersAllStartElectsWithoutWaitingForALease)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        group.startCallers();
        group.scheduler.runFor(Milliseconds(300));
        for (const HostId &host : group.hosts()) {
            group.crash(host);
        }
        group.scheduler.runFor(Milliseconds(20));
        for (const HostId &host : group.hosts()) {
            group.restart(host);
            group.scheduler.runFor(Milliseconds(10));
        }
        group.scheduler.runFor(withoutWait);
        BOOST_TEST(group.leader().has_value());
        group.stopCallers();
        group.settle();
        group.checkAll({a, b, c});
    }
}

// Guards against a group that waits for its slowest store after a loss of power: two members whose
// stores took long to open need no further wait, whatever the third one does.
BOOST_AUTO_TEST_CASE(electsSoonAfterStoresThatTookLongToOpen)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        group.startCallers();
        group.scheduler.runFor(Milliseconds(300));
        for (const HostId &host : group.hosts()) {
            group.crash(host);
        }
        const MonotonicTime openingSince = group.scheduler.now();
        group.scheduler.runFor(AgreementTimeouts{}.electionTimeoutMin);
        group.restart(a, openingSince);
        group.restart(b, openingSince);
        group.scheduler.runFor(2 * withoutWait);
        BOOST_TEST(group.leader().has_value(), "seed " << seed + number);
        group.restart(c, openingSince);
        group.stopCallers();
        group.settle();
        group.checkAll({a, b, c});
    }
}

// Guards against two leaders: members whose stores open fast withhold their votes while a leader
// that they cannot reach may hold a lease from before.
BOOST_AUTO_TEST_CASE(membersThatOpenFastWaitForALease)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        const HostId leads = group.leading();
        group.startCallers();
        group.scheduler.runFor(Milliseconds(200));
        group.isolate(leads);
        for (const HostId &host : group.hosts()) {
            if (host != leads) {
                group.crash(host);
                group.restart(host, group.scheduler.now());
            }
        }
        group.scheduler.runFor(AgreementTimeouts{}.electionTimeoutMin - Milliseconds(50));
        BOOST_TEST((group.leader() == std::optional(leads)), "seed " << seed + number);
        group.settle();
        BOOST_TEST((group.leading() != leads));
        group.network.heal();
        group.stopCallers();
        group.settle();
        group.checkAll({a, b, c});
    }
}

BOOST_AUTO_TEST_CASE(twoRestartedMembersLeaveALivingLeaderAlone)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        const HostId leads = group.leading();
        const std::uint64_t term = group.agreement(leads).status().term;
        for (const HostId &host : group.hosts()) {
            if (host == leads) {
                continue;
            }
            group.crash(host);
            group.restart(host);
        }
        group.settle();
        BOOST_TEST((group.leading() == leads));
        BOOST_TEST(group.agreement(leads).status().term == term);
    }
}

BOOST_AUTO_TEST_CASE(twoRestartedMembersWaitForTheLeaseOfOneThatTheyCannotReach)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        const HostId leads = group.leading();
        group.startCallers();
        group.scheduler.runFor(Milliseconds(200));
        group.isolate(leads);
        for (const HostId &host : group.hosts()) {
            if (host != leads) {
                group.crash(host);
                group.restart(host);
            }
        }
        group.scheduler.runFor(AgreementTimeouts{}.electionTimeoutMin - Milliseconds(50));
        BOOST_TEST((group.leader() == std::optional(leads)));
        group.settle();
        BOOST_TEST((group.leading() != leads));
        group.network.heal();
        group.stopCallers();
        group.settle();
        group.checkAll({a, b, c});
    }
}

BOOST_AUTO_TEST_CASE(aGroupThatStartsWithOneMemberMissingElectsAfterTheWait)
{
    ThreeMembers group;
    const HostId missing = group.following();
    for (const HostId &host : group.hosts()) {
        group.crash(host);
    }
    for (const HostId &host : group.hosts()) {
        if (host != missing) {
            group.restart(host);
        }
    }
    group.scheduler.runFor(AgreementTimeouts{}.electionTimeoutMin - Milliseconds(50));
    BOOST_TEST(!group.leader().has_value());
    group.settle();
    BOOST_TEST(group.leader().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
