#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/slotbroker.h"

using namespace persimmonlb;

namespace
{

const ServiceName service{"lm"};
const HostId entryHost{"e"};

/// A broker for servers of two slots each, with batch runs that may be ended.
struct Fixture {
    explicit Fixture(int servers, bool engineStopsRuns = false)
        : stopsRuns(engineStopsRuns)
    {
        std::vector<FleetServer> list;
        for (int i = 0; i < servers; ++i) {
            const std::string id = "s" + std::to_string(i);
            FleetServer server;
            server.id = ServerId{id};
            server.bornMs = 1;
            server.service = service;
            server.address = id + ":80";
            server.slots = 2;
            list.push_back(server);
        }
        broker.setServers(list, [this](const ServiceName &) {
            return SlotCapacity{.slots = 2, .cacheTokens = 10000, .stopsRuns = stopsRuns};
        });
    }

    SlotRequest makeRequest(std::uint64_t ticket, std::uint64_t startWithinMs = 300)
    {
        SlotRequest request;
        request.ticket = ticket;
        request.service = service;
        request.startWithinMs = startWithinMs;
        request.giveUpAfterMs = 5000;
        request.tokens = 100;
        return request;
    }
    void advanceMs(int ms)
    {
        now += Milliseconds(ms);
        broker.tick();
    }
    /// Requests slots for tickets 1 to `count` at intervals of `intervalMs`.
    void requestSlotsInSequence(std::uint64_t count, int intervalMs)
    {
        for (std::uint64_t ticket = 1; ticket <= count; ++ticket) {
            advanceMs(ticket > 1 ? intervalMs : 0);
            broker.request(entryHost, makeRequest(ticket));
        }
    }

    bool stopsRuns;
    MonotonicTime now;
    std::uint64_t clockReads = 0;
    std::vector<SlotGrant> grants;
    std::vector<SlotRefusal> refusals;
    std::vector<BatchRunSlot> batchRuns;
    int batchStartOffers = 0;
    SlotBroker broker{
        SlotBrokerOptions{},
        Clock{.monotonic =
                  [this] {
                      ++clockReads;
                      return now;
                  },
              .wall =
                  [] {
                      return WallTime();
                  }},
        seededRandom(1),
        SlotBrokerHooks{
            .grant =
                [this](const HostId &, const SlotGrant &grant) {
                    if (!grant.server.empty()) {
                        grants.push_back(grant);
                    }
                },
            .refuse
            = [this](const HostId &, const SlotRefusal &refusal) { refusals.push_back(refusal); },
            .yieldBatch = [this](const ServiceName &) -> std::optional<BatchRunSlot> {
                if (batchRuns.empty()) {
                    return std::nullopt;
                }
                const BatchRunSlot run = batchRuns.back();
                batchRuns.pop_back();
                return run;
            },
            .batchMayStart =
                [this](const ServiceName &) {
                    ++batchStartOffers;
                }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotBrokerTest)

/// Peak load of a large fleet: every slot of a hundred engines is held and requests are queued. A
/// decision must not need a clock read, or a look-up, for each engine and each held slot.
BOOST_AUTO_TEST_CASE(readsClockFewTimesForRequestToFullFleetOfHundredEngines)
{
    Fixture fixture(102);
    fixture.requestSlotsInSequence(204, 1);
    for (std::uint64_t ticket = 300; ticket < 400; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket, 2000));
    }
    BOOST_TEST(fixture.broker.waiting(service) == 100U);
    const std::uint64_t before = fixture.clockReads;
    fixture.broker.request(entryHost, fixture.makeRequest(400, 2000));
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 900});
    BOOST_TEST(fixture.clockReads - before < 30U);
    BOOST_TEST(fixture.grants.size() == 205U);
}

/// The estimate uses the oldest grants, also after slots were released out of order.
BOOST_AUTO_TEST_CASE(estimatesWaitFromOldestHeldSlots)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 400);
    // 500 ms of the typical 900 ms remain for the first slot, and more for the second one.
    fixture.broker.request(entryHost, fixture.makeRequest(3, 499));
    BOOST_TEST(fixture.refusals.size() == 1U);
    fixture.broker.request(entryHost, fixture.makeRequest(4, 501));
    BOOST_TEST(fixture.refusals.size() == 1U);
    fixture.broker.end(entryHost,
                       SlotEnd{.ticket = 4, .outcome = SlotOutcome::Abandoned, .heldMs = 0});
    fixture.broker.end(entryHost,
                       SlotEnd{.ticket = 1, .outcome = SlotOutcome::Abandoned, .heldMs = 0});
    fixture.broker.request(entryHost, fixture.makeRequest(5));
    fixture.broker.request(entryHost, fixture.makeRequest(6, 899));
    BOOST_TEST(fixture.refusals.size() == 2U);
    fixture.broker.request(entryHost, fixture.makeRequest(7, 901));
    BOOST_TEST(fixture.refusals.size() == 2U);
}

BOOST_AUTO_TEST_CASE(spreadsRequestsOverServersWithinTheirSlots)
{
    Fixture fixture(2);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket, 2000));
    }
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 4U);
    BOOST_TEST((fixture.grants[0].server != fixture.grants[1].server));
    BOOST_TEST(fixture.broker.waiting(service) == 1U);
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 900});
    BOOST_TEST(fixture.grants.size() == 5U);
    BOOST_TEST((fixture.grants[4].server == fixture.grants[0].server));
}

BOOST_AUTO_TEST_CASE(refusesRequestsOfBurstThatCannotStartInTime)
{
    // Four slots, each held for 900 ms and granted in sequence, free one every 225 ms: one request
    // can start within 300 ms, a second one cannot.
    Fixture fixture(2);
    fixture.requestSlotsInSequence(4, 225);
    for (std::uint64_t ticket = 5; ticket <= 8; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket));
    }
    BOOST_TEST(fixture.grants.size() == 4U);
    BOOST_TEST(fixture.broker.waiting(service) == 1U);
    BOOST_REQUIRE_EQUAL(fixture.refusals.size(), 3U);
    for (const SlotRefusal &refusal : fixture.refusals) {
        BOOST_TEST(refusal.retryAfterMs >= 450U);
    }
}

BOOST_AUTO_TEST_CASE(queuesRetriedRequestBeyondItsObjective)
{
    Fixture fixture(2);
    fixture.requestSlotsInSequence(4, 225);
    fixture.broker.request(entryHost, fixture.makeRequest(5));
    SlotRequest retried = fixture.makeRequest(6);
    retried.cameBack = true;
    fixture.broker.request(entryHost, retried);
    BOOST_TEST(fixture.refusals.empty());
    BOOST_TEST(fixture.broker.waiting(service) == 2U);
}

BOOST_AUTO_TEST_CASE(returnsFullHoldTimeAsRetryDelayWhenAllSlotsWereGrantedAtOnce)
{
    // All slots are granted at the same moment, so none becomes free for 900 ms.
    Fixture fixture(2);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket));
    }
    BOOST_REQUIRE_EQUAL(fixture.refusals.size(), 1U);
    BOOST_TEST(fixture.refusals[0].retryAfterMs >= 900U);
}

BOOST_AUTO_TEST_CASE(servesRequestThatCanMeetItsObjectiveBeforeLateRequest)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 0);
    fixture.advanceMs(500);
    fixture.broker.request(entryHost, fixture.makeRequest(3, 450));
    fixture.advanceMs(500);
    // Ticket 3 is late by now. Serving it first would make ticket 4 late as well.
    fixture.broker.request(entryHost, fixture.makeRequest(4));
    BOOST_REQUIRE(fixture.refusals.empty());
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 1000});
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 3U);
    BOOST_TEST(fixture.grants[2].ticket == 4U);
    fixture.broker.end(entryHost, SlotEnd{.ticket = 2, .heldMs = 1000});
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 4U);
    BOOST_TEST(fixture.grants[3].ticket == 3U);
}

/// In sustained overload, requests that can start in time keep arriving and are served before late
/// ones, so that a late one may never start.
BOOST_AUTO_TEST_CASE(refusesLateRequestThatCannotStartBeforeItsCallerGivesUp)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 0);
    fixture.advanceMs(500);
    SlotRequest late = fixture.makeRequest(3, 450);
    late.giveUpAfterMs = 1500;
    fixture.broker.request(entryHost, late);
    // Ticket 3 is late from 950 ms on; tickets 4 and 5 are served before it.
    fixture.advanceMs(500);
    fixture.broker.request(entryHost, fixture.makeRequest(4));
    fixture.broker.request(entryHost, fixture.makeRequest(5));
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 900});
    fixture.broker.end(entryHost, SlotEnd{.ticket = 2, .heldMs = 900});
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 4U);
    fixture.broker.request(entryHost, fixture.makeRequest(6, 1000));
    fixture.broker.request(entryHost, fixture.makeRequest(7, 1000));
    BOOST_REQUIRE(fixture.refusals.empty());
    // All slots are held until 1900 ms and two requests are served first, but the caller of ticket
    // 3 gives up at 2000 ms.
    fixture.advanceMs(20);
    const auto refused = std::ranges::find(fixture.refusals, 3U, &SlotRefusal::ticket);
    BOOST_REQUIRE(refused != fixture.refusals.end());
    BOOST_TEST(refused->retryAfterMs > 0U);
}

BOOST_AUTO_TEST_CASE(refusesQueuedRequestsWhenLastServerLeaves)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 0);
    fixture.advanceMs(800);
    fixture.broker.request(entryHost, fixture.makeRequest(3));
    BOOST_REQUIRE(fixture.refusals.empty());
    fixture.broker.setServers({}, [](const ServiceName &) { return SlotCapacity{}; });
    fixture.advanceMs(20);
    BOOST_REQUIRE_EQUAL(fixture.refusals.size(), 1U);
    BOOST_TEST(fixture.refusals[0].ticket == 3U);
    BOOST_TEST(fixture.broker.waiting(service) == 0U);
}

/// At peak load many requests are refused within a few milliseconds. With the same retry delay they
/// would all return together and be refused again.
BOOST_AUTO_TEST_CASE(spreadsRetriesOverSlotsThatBecomeFree)
{
    Fixture fixture(10);
    fixture.requestSlotsInSequence(20, 0);
    for (std::uint64_t ticket = 100; ticket < 108; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket));
    }
    BOOST_REQUIRE_EQUAL(fixture.refusals.size(), 8U);
    // 20 slots held for 900 ms free one every 45 ms, and every second one is reserved.
    for (std::size_t number = 1; number < fixture.refusals.size(); ++number) {
        BOOST_TEST(fixture.refusals[number].retryAfterMs
                   == fixture.refusals[number - 1].retryAfterMs + 90U);
    }
}

BOOST_AUTO_TEST_CASE(limitsRetryDelayToWhatCallersAccept)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 0);
    for (std::uint64_t ticket = 100; ticket < 110; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket));
    }
    BOOST_REQUIRE_EQUAL(fixture.refusals.size(), 10U);
    for (const SlotRefusal &refusal : fixture.refusals) {
        BOOST_TEST(refusal.retryAfterMs <= 5000U / 3);
    }
}

BOOST_AUTO_TEST_CASE(servesLateRequestOfHigherPriorityFirst)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 0);
    fixture.advanceMs(500);
    fixture.broker.request(entryHost, fixture.makeRequest(3, 450));
    fixture.advanceMs(500);
    SlotRequest low = fixture.makeRequest(4);
    low.priority = 1;
    fixture.broker.request(entryHost, low);
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 1000});
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 3U);
    BOOST_TEST(fixture.grants[2].ticket == 3U);
}

BOOST_AUTO_TEST_CASE(servesHigherPriorityFirst)
{
    Fixture fixture(1);
    fixture.broker.request(entryHost, fixture.makeRequest(1));
    fixture.broker.request(entryHost, fixture.makeRequest(2));
    SlotRequest low = fixture.makeRequest(3, 3000);
    low.priority = 1;
    fixture.broker.request(entryHost, low);
    fixture.broker.request(entryHost, fixture.makeRequest(4, 3000));
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 900});
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 3U);
    BOOST_TEST(fixture.grants[2].ticket == 4U);
}

BOOST_AUTO_TEST_CASE(grantsSlotOfBatchRunToOnlineRequest)
{
    Fixture fixture(1);
    for (int i = 0; i < 2; ++i) {
        const auto server = fixture.broker.takeForBatch(service, 100, true);
        BOOST_REQUIRE(server.has_value());
        fixture.batchRuns.push_back({*server, 100});
    }
    BOOST_TEST(!fixture.broker.takeForBatch(service, 100, true).has_value());
    fixture.broker.request(entryHost, fixture.makeRequest(1));
    BOOST_TEST(fixture.grants.size() == 1U);
    BOOST_TEST(fixture.batchRuns.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepsReserveFromBatchUnlessUrgent)
{
    Fixture fixture(1);
    BOOST_TEST(fixture.broker.takeForBatch(service, 100, false).has_value());
    BOOST_TEST(!fixture.broker.takeForBatch(service, 100, false).has_value());
    BOOST_TEST(fixture.broker.takeForBatch(service, 100, true).has_value());
}

BOOST_AUTO_TEST_CASE(limitsUnreachableServerToOneRequestAfterBackoff)
{
    Fixture fixture(2);
    fixture.broker.request(entryHost, fixture.makeRequest(1));
    const ServerId lost = fixture.grants[0].server;
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .outcome = SlotOutcome::Unreachable});
    for (std::uint64_t ticket = 2; ticket <= 3; ++ticket) {
        fixture.broker.request(entryHost, fixture.makeRequest(ticket));
        BOOST_TEST((fixture.grants.back().server != lost));
    }
    fixture.advanceMs(500);
    fixture.broker.request(entryHost, fixture.makeRequest(4));
    BOOST_TEST((fixture.grants.back().server == lost));
    // The server gets one request at a time until one succeeds.
    fixture.broker.request(entryHost, fixture.makeRequest(5, 3000));
    BOOST_TEST(fixture.grants.size() == 4U);
    fixture.broker.end(entryHost, SlotEnd{.ticket = 4, .heldMs = 900});
    BOOST_TEST(fixture.grants.size() == 5U);
}

BOOST_AUTO_TEST_CASE(prefersServerThatReceivedTheSamePromptPart)
{
    Fixture fixture(3);
    SlotRequest first = fixture.makeRequest(1);
    first.prompt = {{77, 2000}};
    fixture.broker.request(entryHost, first);
    const ServerId cachedServer = fixture.grants[0].server;
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 900});
    SlotRequest other = fixture.makeRequest(2);
    fixture.broker.request(entryHost, other);
    SlotRequest second = fixture.makeRequest(3);
    second.prompt = {{77, 2000}};
    fixture.broker.request(entryHost, second);
    BOOST_TEST((fixture.grants[2].server == cachedServer));
}

BOOST_AUTO_TEST_CASE(freesSlotsOfLostEntryHost)
{
    Fixture fixture(1);
    fixture.broker.request(entryHost, fixture.makeRequest(1));
    fixture.broker.request(entryHost, fixture.makeRequest(2));
    BOOST_TEST(fixture.broker.freeSlots(service) == 0U);
    fixture.broker.hostLost(entryHost);
    BOOST_TEST(fixture.broker.freeSlots(service) == 2U);
}

BOOST_AUTO_TEST_CASE(restoresHeldSlotsFromReport)
{
    Fixture fixture(1);
    fixture.broker.setHeldSlots(entryHost, SlotsHeld{{{9, ServerId{"s0"}, 100}}});
    BOOST_TEST(fixture.broker.freeSlots(service) == 1U);
    fixture.broker.end(entryHost, SlotEnd{.ticket = 9, .heldMs = 900});
    BOOST_TEST(fixture.broker.freeSlots(service) == 2U);
}

BOOST_AUTO_TEST_CASE(countsOrphanedRequestsUntilTheLoadReportExpires)
{
    Fixture fixture(1);
    fixture.broker.request(entryHost, fixture.makeRequest(1));
    fixture.broker.recordLoad(ServerId{"s0"}, 2);
    BOOST_TEST(fixture.broker.freeSlots(service) == 0U);
    fixture.broker.request(entryHost, fixture.makeRequest(2, 3000));
    BOOST_TEST(fixture.grants.size() == 1U);
    fixture.advanceMs(1300);
    BOOST_TEST(fixture.grants.size() == 2U);
}

BOOST_AUTO_TEST_CASE(comparesLoadReportWithRequestsRunningWhenItWasMade)
{
    Fixture fixture(1);
    fixture.requestSlotsInSequence(2, 0);
    fixture.advanceMs(100);
    fixture.broker.end(entryHost, SlotEnd{.ticket = 1, .heldMs = 100});
    fixture.broker.end(entryHost, SlotEnd{.ticket = 2, .heldMs = 100});
    // The report may still count both requests, as they ended after it was made.
    fixture.broker.recordLoad(ServerId{"s0"}, 2);
    BOOST_TEST(fixture.broker.freeSlots(service) == 2U);
    fixture.advanceMs(900);
    fixture.broker.recordLoad(ServerId{"s0"}, 2);
    BOOST_TEST(fixture.broker.freeSlots(service) == 0U);
}

BOOST_AUTO_TEST_CASE(grantsSlotOfStoppedOrphanToOnlineRequestFirst)
{
    Fixture fixture(2, true);
    fixture.broker.recordLoad(ServerId{"s0"}, 2);
    // The orphaned runs are still to be moved to another server, which needs its free slots.
    BOOST_TEST(!fixture.broker.takeForBatch(service, 10, false).has_value());
    fixture.requestSlotsInSequence(2, 0);
    fixture.broker.request(entryHost, fixture.makeRequest(3, 3000));
    BOOST_TEST(fixture.broker.waiting(service) == 1U);
    fixture.broker.recordOrphanedRequestEnd(ServerId{"s0"});
    BOOST_REQUIRE_EQUAL(fixture.grants.size(), 3U);
    BOOST_TEST(fixture.grants[2].server.value == "s0");
    fixture.broker.recordOrphanedRequestEnd(ServerId{"s0"});
    BOOST_TEST(fixture.broker.takeForBatch(service, 10, true).has_value());
}

BOOST_AUTO_TEST_CASE(grantsBatchSlotBesideOrphansThatCannotBeStopped)
{
    Fixture fixture(2);
    fixture.broker.recordLoad(ServerId{"s0"}, 2);
    BOOST_TEST(fixture.broker.takeForBatch(service, 10, false).has_value());
}

BOOST_AUTO_TEST_CASE(offersSlotsToBatchWithoutOnlineRequests)
{
    // After a leader change at the end of the day, only bulk items may be left.
    Fixture fixture(1);
    fixture.broker.reset();
    const int before = fixture.batchStartOffers;
    fixture.advanceMs(20);
    BOOST_TEST(fixture.batchStartOffers > before);
}

BOOST_AUTO_TEST_CASE(refusesRequestWithoutServers)
{
    Fixture fixture(0);
    fixture.broker.request(entryHost, fixture.makeRequest(1));
    BOOST_TEST(fixture.refusals.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
