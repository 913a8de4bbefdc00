#pragma once

#include <boost/test/unit_test.hpp>

#include "persimmonlb/agreement/fakegroup.h"

/// A started group of three for tests of the replicated log.
namespace persimmonlb::testing
{

inline constexpr std::uint64_t seed = 20261204;
inline const HostId a{"a"};
inline const HostId b{"b"};
inline const HostId c{"c"};
inline const HostId d{"d"};

inline AgreementOptions smallLimits()
{
    AgreementOptions options;
    options.limits.compactAfterEntries = 50;
    options.limits.retainedEntries = 20;
    options.limits.maxBytesPerSnapshotChunk = 256;
    options.limits.maxEntriesPerAppend = 16;
    return options;
}

inline ResultCode codeOf(const Outcome<Done> &outcome)
{
    return outcome.ok() ? ResultCode::Ok : outcome.error().code;
}

/// Members a, b and c, one of which leads.
struct ThreeMembers : FakeGroup {
    explicit ThreeMembers(std::uint64_t number = seed)
        : FakeGroup(number, smallLimits())
    {
        for (const HostId &host : {a, b, c}) {
            add(host);
        }
        BOOST_TEST_REQUIRE(capture([&] { return agreement(a).initialise({a, b, c}); }).ok());
        scheduler.runFor(Milliseconds(3000));
        BOOST_TEST_REQUIRE(leader().has_value());
    }

    HostId leading()
    {
        BOOST_TEST_REQUIRE(leader().has_value());
        return *leader();
    }

    HostId following()
    {
        return leading() == a ? b : a;
    }

    static HostId thirdOf(const HostId &first, const HostId &second)
    {
        for (const HostId &host : {a, b}) {
            if (host != first && host != second) {
                return host;
            }
        }
        return c;
    }

    /// Cuts a member off from all others, both ways.
    void isolate(const HostId &member)
    {
        for (const HostId &host : hosts()) {
            network.cutOneWay(member, host);
            network.cutOneWay(host, member);
        }
    }

    void settle()
    {
        scheduler.runFor(Milliseconds(3000));
    }

    Outcome<Done> replace(const HostId &lost, const HostId &fresh)
    {
        Outcome<Done> result = makeError(ResultCode::Internal, "never answered");
        agreement(leading()).replaceMember(lost, fresh,
                                           [&](const Outcome<Done> &outcome) { result = outcome; });
        scheduler.runFor(Milliseconds(12000));
        return result;
    }

    void checkAll(const std::vector<HostId> &hosts)
    {
        checkPromises(hosts);
        BOOST_TEST(violations.text() == "");
    }
};

} // namespace persimmonlb::testing
