#include <limits>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/fairshares.h"
#include "persimmonlb/slots/slotbroker.h"

using namespace persimmonlb;

namespace
{

constexpr double slotMs = 900;
const CustomerName large{"large"};
const CustomerName small{"small"};
const ServiceName service{"lm"};
const HostId entryHost{"e"};

/// Grants one slot to the customer whose next request starts first and returns its name.
CustomerName grantNext(FairShares &shares,
                       const std::vector<std::pair<CustomerName, double>> &waiting)
{
    CustomerName next;
    double weightOfNext = 0;
    double lowest = std::numeric_limits<double>::max();
    for (const auto &[name, weight] : waiting) {
        const double start = shares.startsOf(name).next(weight, slotMs);
        if (start < lowest) {
            lowest = start;
            next = name;
            weightOfNext = weight;
        }
    }
    shares.grant(next, weightOfNext, slotMs);
    shares.release(next, weightOfNext, 0);
    return next;
}

/// A broker for one server, with the slots that a test needs.
struct Fixture {
    explicit Fixture(std::uint32_t slots)
    {
        FleetServer server;
        server.id = ServerId{"s"};
        server.bornMs = 1;
        server.service = service;
        server.address = "s:80";
        server.slots = slots;
        broker.setServers({server},
                          [slots](const ServiceName &) { return SlotCapacity{.slots = slots}; });
    }
    void request(std::uint64_t ticket, const CustomerName &customer,
                 std::uint64_t startWithinMs = 5000)
    {
        SlotRequest request;
        request.ticket = ticket;
        request.service = service;
        request.startWithinMs = startWithinMs;
        request.giveUpAfterMs = 9000;
        request.customer = customer;
        broker.request(entryHost, request);
    }
    void end(std::uint64_t ticket)
    {
        broker.end(entryHost, {.ticket = ticket, .heldMs = 900});
    }

    MonotonicTime now;
    std::vector<std::uint64_t> granted;
    std::vector<std::uint64_t> refused;
    SlotBroker broker{
        SlotBrokerOptions{},
        Clock{.monotonic = [this] { return now; },
              .wall =
                  [] {
                      return WallTime();
                  }},
        seededRandom(1),
        {.grant =
             [this](const HostId &, const SlotGrant &grant) {
                 if (!grant.server.empty()) {
                     granted.push_back(grant.ticket);
                 }
             },
         .refuse = [this](const HostId &,
                          const SlotRefusal &refusal) { refused.push_back(refusal.ticket); },
         .yieldBatch = nullptr,
         .batchMayStart = nullptr}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FairSharesTest)

/// Guards against shares that do not follow the weights while both customers have waiting requests.
BOOST_AUTO_TEST_CASE(sharesSlotsByWeight)
{
    FairShares shares;
    shares.addWaiting(large);
    shares.addWaiting(small);
    int toLarge = 0;
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round) {
        toLarge += grantNext(shares, {{large, 3}, {small, 1}}) == large ? 1 : 0;
    }
    // The burst of each customer is all that may be missing.
    BOOST_TEST(toLarge >= 3 * rounds / 4 - 8);
    BOOST_TEST(toLarge <= 3 * rounds / 4 + 8);
}

/// Guards against a customer that was idle and then takes all slots until it has caught up.
BOOST_AUTO_TEST_CASE(doesNotSaveUpSharesOfIdleCustomer)
{
    FairShares shares;
    shares.addWaiting(large);
    for (int round = 0; round < 1000; ++round) {
        grantNext(shares, {{large, 1}});
    }
    shares.addWaiting(small);
    int toSmall = 0;
    for (int round = 0; round < 100; ++round) {
        toSmall += grantNext(shares, {{large, 1}, {small, 1}}) == small ? 1 : 0;
    }
    BOOST_TEST(toSmall >= 50);
    BOOST_TEST(toSmall <= 50 + 8);
}

/// Guards against a customer that gains by requests that hold their slots for long.
BOOST_AUTO_TEST_CASE(correctsShareByTimeThatSlotWasHeld)
{
    FairShares shares;
    shares.addWaiting(large);
    shares.addWaiting(small);
    shares.grant(large, 1, slotMs);
    shares.release(large, 1, 20 * slotMs);
    for (int round = 0; round < 20; ++round) {
        BOOST_TEST((grantNext(shares, {{large, 1}, {small, 1}}) == small));
    }
    BOOST_TEST(!shares.isIdle());
    shares.removeWaiting(large);
    shares.removeWaiting(small);
    BOOST_TEST(shares.isIdle());
}

/// Guards against a refusal because of requests that are served later than the refused one.
BOOST_AUTO_TEST_CASE(queuesRequestOfCustomerWithinItsShareBehindLongQueueOfAnother)
{
    Fixture fixture(1);
    for (std::uint64_t ticket = 1; ticket <= 6; ++ticket) {
        fixture.request(ticket, large);
    }
    BOOST_TEST(fixture.broker.waiting(service) == 5U);
    fixture.request(7, small, 1000);
    BOOST_TEST(fixture.refused.empty());
    fixture.request(8, large, 1000);
    const std::vector<std::uint64_t> refused{8};
    BOOST_TEST(fixture.refused == refused, boost::test_tools::per_element());
    fixture.now += Milliseconds(900);
    fixture.end(1);
    const std::vector<std::uint64_t> granted{1, 7};
    BOOST_TEST(fixture.granted == granted, boost::test_tools::per_element());
}

/// Guards against charges that stay with a customer whose entry host or server is lost.
BOOST_AUTO_TEST_CASE(forgetsChargesOfLostHost)
{
    Fixture fixture(2);
    for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
        fixture.request(ticket, large);
    }
    fixture.broker.hostLost(entryHost);
    BOOST_TEST(fixture.broker.waiting(service) == 0U);
    fixture.granted.clear();
    // Both customers start anew: requests are served by deadline until a burst is used up.
    fixture.request(11, small);
    fixture.request(12, small);
    fixture.request(13, large);
    fixture.request(14, small);
    fixture.end(11);
    fixture.end(12);
    const std::vector<std::uint64_t> expected{11, 12, 13, 14};
    BOOST_TEST(fixture.granted == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
