#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/membership/directory.h"

namespace persimmonlb
{

namespace
{

EntryHostInfo makeHost(const std::string &name, const std::string &zone,
                       const std::string &region = "sw-ng")
{
    EntryHostInfo info;
    info.host = HostId{name};
    info.address = name + ":80";
    info.availabilityZone = AvailabilityZone{zone};
    info.region = Region{region};
    info.leaseLeftMs = 4000;
    return info;
}

std::vector<EntryHostInfo> makeHosts()
{
    return {makeHost("a1", "ife-a"), makeHost("a2", "ife-a"), makeHost("b1", "ibadan-b"),
            makeHost("c1", "osogbo-c"), makeHost("u1", "ub-north", "ulaanbaatar")};
}

DirectoryQuery fromZone(const std::string &zone, const std::string &caller = "x")
{
    return {.availabilityZone = AvailabilityZone{zone}, .region = {}, .caller = caller};
}

} // namespace

BOOST_AUTO_TEST_SUITE(DirectoryTest)

BOOST_AUTO_TEST_CASE(ownZoneFirstThenOwnRegion)
{
    const auto answer = answerDirectory(makeHosts(), fromZone("ife-a"), {});
    BOOST_REQUIRE(answer.hosts.size() == 5);
    BOOST_TEST(answer.hosts[0].availabilityZone.value == "ife-a");
    BOOST_TEST(answer.hosts[1].availabilityZone.value == "ife-a");
    BOOST_TEST(answer.hosts[4].host.value == "u1");
}

BOOST_AUTO_TEST_CASE(aDrainingOrLapsedHostIsNotNamed)
{
    auto hosts = makeHosts();
    hosts[0].draining = true;
    hosts[2].leaseLeftMs = 0;
    for (const EntryHostInfo &host : answerDirectory(hosts, fromZone("ife-a"), {}).hosts) {
        BOOST_TEST(host.host.value != "a1");
        BOOST_TEST(host.host.value != "b1");
    }
}

BOOST_AUTO_TEST_CASE(callersSpreadOverEqualHostsAndRefreshAtDifferentTimes)
{
    std::map<std::string, int> first;
    std::set<Milliseconds::rep> ttls;
    const DirectoryOptions options;
    for (int i = 0; i < 400; ++i) {
        const auto answer = answerDirectory(
            makeHosts(), fromZone("ife-a", "caller" + std::to_string(i)), options);
        ++first[answer.hosts.front().host.value];
        ttls.insert(answer.ttl.count());
        BOOST_TEST(answer.ttl <= options.ttl);
        BOOST_TEST(answer.ttl >= options.ttl * 4 / 5);
    }
    BOOST_TEST(first["a1"] > 150);
    BOOST_TEST(first["a2"] > 150);
    BOOST_TEST(ttls.size() > 200);
}

BOOST_AUTO_TEST_CASE(aServerAnnouncesToTwoAvailabilityZones)
{
    for (int i = 0; i < 50; ++i) {
        const auto targets = announceTargets(makeHosts(), ServerId{"s" + std::to_string(i)});
        BOOST_REQUIRE(targets.size() == 2);
        BOOST_TEST(targets[0].availabilityZone.value != targets[1].availabilityZone.value);
    }
}

BOOST_AUTO_TEST_CASE(aHostThatLeavesMovesOnlyItsOwnKeys)
{
    const std::vector<HostId> before{HostId{"a"}, HostId{"b"}, HostId{"c"}, HostId{"d"}};
    const std::vector<HostId> after{HostId{"a"}, HostId{"b"}, HostId{"d"}};
    std::set<std::string> winners;
    for (int i = 0; i < 200; ++i) {
        const std::string key = "server" + std::to_string(i);
        const HostId winner = rendezvousHost(key, before);
        winners.insert(winner.value);
        if (winner == HostId{"c"}) {
            continue;
        }
        BOOST_TEST(rendezvousHost(key, after).value == winner.value);
    }
    BOOST_TEST(winners.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
