
#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/slotclient.h"
#include "persimmonlb/testing/laterqueue.h"

using namespace persimmonlb;
using persimmonlb::testing::LaterQueue;

namespace
{

const ServiceName service{"lm"};
const HostId broker{"b1"};

struct Fixture {
    Fixture()
    {
        client.setView(view(broker, 1));
        client.brokerResponded(broker);
    }

    static FleetView view(const HostId &leader, std::uint64_t term)
    {
        FleetView fleetView;
        fleetView.term = term;
        fleetView.version = 1;
        fleetView.leader = leader;
        FleetServer server;
        server.id = ServerId{"s1"};
        server.bornMs = 1;
        server.service = service;
        server.address = "s1:80";
        server.slots = 8;
        fleetView.servers.push_back(server);
        return fleetView;
    }
    std::uint64_t requestSlot()
    {
        SlotRequest request;
        request.service = service;
        request.startWithinMs = 300;
        request.giveUpAfterMs = 5000;
        const std::uint64_t ticket = client.acquire(
            request, [this](const SlotAnswer &answer) { answers.push_back(answer); });
        later.run();
        return ticket;
    }
    void advanceMs(int ms)
    {
        now += Milliseconds(ms);
        client.tick();
        later.run();
    }

    MonotonicTime now;
    bool connected = true;
    LaterQueue later;
    std::vector<std::pair<HostId, SlotRequest>> requests;
    std::vector<SlotEnd> ends;
    std::vector<SlotsHeld> heldReports;
    std::vector<SlotAnswer> answers;
    std::vector<std::pair<HostId, ServerLeaving>> leavingReports;
    std::function<void(std::uint64_t ticket)> onRequest; ///< Called inside the hook.
    SlotClient client{SlotClientOptions{.self = HostId{"e"}},
                      Clock{.monotonic = [this] { return now; },
                            .wall =
                                [] {
                                    return WallTime();
                                }},
                      seededRandom(1),
                      SlotClientHooks{.request =
                                          [this](const HostId &to, const SlotRequest &request) {
                                              requests.emplace_back(to, request);
                                              if (onRequest) {
                                                  onRequest(request.ticket);
                                              }
                                              return connected;
                                          },
                                      .end =
                                          [this](const HostId &, const SlotEnd &end) {
                                              ends.push_back(end);
                                              return connected;
                                          },
                                      .reportHeldSlots =
                                          [this](const HostId &, const SlotsHeld &held) {
                                              heldReports.push_back(held);
                                              return connected;
                                          },
                                      .reportServerLeaving =
                                          [this](const HostId &to, const ServerLeaving &report) {
                                              leavingReports.emplace_back(to, report);
                                              return connected;
                                          },
                                      .capacityOf =
                                          [](const ServiceName &) {
                                              return SlotCapacity{8, 0};
                                          },
                                      .isBrokered = [](const ServiceName &) { return true; },
                                      .later =
                                          [this](std::function<void()> fn) {
                                              later.put(std::move(fn));
                                          }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotClientTest)

BOOST_AUTO_TEST_CASE(returnsGrantedSlotToBroker)
{
    Fixture fixture;
    const std::uint64_t ticket = fixture.requestSlot();
    BOOST_REQUIRE_EQUAL(fixture.requests.size(), 1U);
    fixture.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    BOOST_REQUIRE_EQUAL(fixture.answers.size(), 1U);
    BOOST_TEST(fixture.answers[0].address == "s1:80");
    fixture.now += Milliseconds(900);
    fixture.client.end(ticket, SlotOutcome::Completed);
    BOOST_REQUIRE_EQUAL(fixture.ends.size(), 1U);
    BOOST_TEST(fixture.ends[0].heldMs == 900U);
}

BOOST_AUTO_TEST_CASE(choosesServerLocallyWhenBrokerTimesOut)
{
    Fixture fixture;
    const std::uint64_t ticket = fixture.requestSlot();
    fixture.advanceMs(70);
    BOOST_TEST(fixture.answers.empty());
    fixture.advanceMs(30);
    BOOST_REQUIRE_EQUAL(fixture.answers.size(), 1U);
    BOOST_TEST(fixture.answers[0].server.value == "s1");
    // The next request does not wait for the broker at all.
    fixture.requestSlot();
    BOOST_TEST(fixture.answers.size() == 2U);
    BOOST_TEST(fixture.requests.size() == 1U);
    // A grant that arrives later is returned.
    fixture.ends.clear();
    fixture.client.receive(broker, SlotGrant{ticket + 100, ServerId{"s1"}, "s1:80"});
    BOOST_REQUIRE_EQUAL(fixture.ends.size(), 1U);
    BOOST_TEST((fixture.ends[0].outcome == SlotOutcome::Abandoned));
}

BOOST_AUTO_TEST_CASE(waitsForRequestQueuedByBroker)
{
    Fixture fixture;
    const std::uint64_t ticket = fixture.requestSlot();
    fixture.client.receive(broker, SlotGrant{ticket, {}, {}});
    fixture.advanceMs(1000);
    BOOST_TEST(fixture.answers.empty());
}

BOOST_AUTO_TEST_CASE(reportsHeldSlotsAndRepeatsRequestsToNewBroker)
{
    Fixture fixture;
    const std::uint64_t held = fixture.requestSlot();
    fixture.client.receive(broker, SlotGrant{held, ServerId{"s1"}, "s1:80", 1});
    const std::uint64_t waiting = fixture.requestSlot();
    fixture.client.receive(broker, SlotGrant{waiting, {}, {}});
    fixture.client.setView(Fixture::view(HostId{"b2"}, 2));
    BOOST_REQUIRE(!fixture.heldReports.empty());
    BOOST_REQUIRE_EQUAL(fixture.heldReports.back().slots.size(), 1U);
    BOOST_TEST(fixture.heldReports.back().slots[0].ticket == held);
    BOOST_TEST(fixture.requests.back().first.value == "b2");
    BOOST_TEST(fixture.requests.back().second.ticket == waiting);
}

BOOST_AUTO_TEST_CASE(returnsSlotAfterGrantArrivesForCancelledRequest)
{
    Fixture fixture;
    const std::uint64_t ticket = fixture.requestSlot();
    fixture.client.end(ticket, SlotOutcome::Abandoned);
    BOOST_TEST(fixture.ends.size() == 1U);
    fixture.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    BOOST_TEST(fixture.answers.empty());
    BOOST_TEST(fixture.ends.size() == 2U);
}

BOOST_AUTO_TEST_CASE(excludesLeavingServerWhileBrokerIsUnreachable)
{
    Fixture fixture;
    const std::uint64_t ticket = fixture.requestSlot();
    fixture.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    fixture.answers.clear();
    fixture.connected = false;
    fixture.client.markServerLeaving(ticket);
    fixture.client.brokerLost(broker);
    fixture.requestSlot();
    fixture.advanceMs(20);
    BOOST_REQUIRE_EQUAL(fixture.answers.size(), 1U);
    // It was the only server, so the request is refused immediately with a retry delay.
    BOOST_TEST(fixture.answers[0].server.empty());
    BOOST_TEST(fixture.answers[0].retryAfter.count() > 0);
    // A new leader whose view still lists the server as available is notified until its view marks
    // the server as draining.
    fixture.connected = true;
    fixture.leavingReports.clear();
    fixture.client.setView(Fixture::view(HostId{"b2"}, 2));
    BOOST_REQUIRE(!fixture.leavingReports.empty());
    BOOST_TEST(fixture.leavingReports.back().first.value == "b2");
    BOOST_TEST((fixture.leavingReports.back().second == ServerLeaving{ServerId{"s1"}, 1}));
    fixture.leavingReports.clear();
    fixture.advanceMs(400);
    BOOST_TEST(fixture.leavingReports.size() == 1U);
    FleetView known = Fixture::view(HostId{"b2"}, 2);
    known.servers[0].draining = true;
    fixture.client.setView(known);
    fixture.leavingReports.clear();
    fixture.advanceMs(400);
    BOOST_TEST(fixture.leavingReports.empty());
}

BOOST_AUTO_TEST_CASE(returnsGrantForLeavingServerAndRequestsAnotherSlot)
{
    Fixture fixture;
    const std::uint64_t first = fixture.requestSlot();
    fixture.client.receive(broker, SlotGrant{first, ServerId{"s1"}, "s1:80", 1});
    const std::uint64_t second = fixture.requestSlot();
    fixture.client.markServerLeaving(first);
    fixture.answers.clear();
    fixture.ends.clear();
    fixture.client.receive(broker, SlotGrant{second, ServerId{"s1"}, "s1:80", 1});
    BOOST_TEST(fixture.answers.empty());
    BOOST_REQUIRE_EQUAL(fixture.ends.size(), 1U);
    BOOST_TEST(fixture.ends[0].ticket == second);
    BOOST_TEST(fixture.requests.back().second.ticket == second);
    BOOST_REQUIRE_EQUAL(fixture.requests.back().second.excluded.size(), 1U);
    fixture.client.receive(broker, SlotGrant{second, ServerId{"s2"}, "s2:80", 1});
    BOOST_REQUIRE_EQUAL(fixture.answers.size(), 1U);
    BOOST_TEST(fixture.answers[0].server.value == "s2");
}

BOOST_AUTO_TEST_CASE(usesRestartedServerAfterItsPreviousProcessLeft)
{
    Fixture fixture;
    const std::uint64_t ticket = fixture.requestSlot();
    fixture.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    fixture.client.markServerLeaving(ticket);
    FleetView view = Fixture::view(broker, 1);
    view.servers[0].bornMs = 2;
    fixture.client.setView(view);
    fixture.client.brokerLost(broker);
    fixture.answers.clear();
    fixture.requestSlot();
    fixture.advanceMs(20);
    BOOST_REQUIRE_EQUAL(fixture.answers.size(), 1U);
    BOOST_TEST(fixture.answers[0].server.value == "s1");
}

/// Guards against a walk over the pending requests that goes on with an erased one: a hook that
/// sends a request may find that its caller is gone, or that another one is.
BOOST_AUTO_TEST_CASE(asksNewLeaderForRemainingRequestsWhenHookEndsThem)
{
    Fixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.requestSlot();
    }
    fixture.requests.clear();
    fixture.onRequest = [&fixture](std::uint64_t ticket) {
        fixture.client.end(ticket, SlotOutcome::Abandoned);
        fixture.client.end(ticket + 1, SlotOutcome::Abandoned);
    };
    fixture.client.setView(Fixture::view(HostId{"b2"}, 2));
    std::vector<std::uint64_t> asked;
    for (const auto &[to, request] : fixture.requests) {
        asked.push_back(request.ticket);
    }
    const std::vector<std::uint64_t> expected{1, 3, 5};
    BOOST_TEST(asked == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
