
#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/slotclient.h"
#include "persimmonlb/testing/laterqueue.h"

using namespace persimmonlb;
using persimmonlb::testing::LaterQueue;

namespace
{

const ServiceName engine{"lm"};
const HostId broker{"b1"};

struct Bench {
    Bench()
    {
        client.setView(view(broker, 1));
        client.brokerHeard(broker);
    }

    static FleetView view(const HostId &leader, std::uint64_t term)
    {
        FleetView made;
        made.term = term;
        made.version = 1;
        made.leader = leader;
        FleetServer server;
        server.id = ServerId{"s1"};
        server.bornMs = 1;
        server.service = engine;
        server.address = "s1:80";
        server.slots = 8;
        made.servers.push_back(server);
        return made;
    }
    std::uint64_t ask()
    {
        SlotRequest request;
        request.service = engine;
        request.startWithinMs = 300;
        request.giveUpAfterMs = 5000;
        const std::uint64_t ticket = client.acquire(
            request, [this](const SlotAnswer &answer) { answers.push_back(answer); });
        later.run();
        return ticket;
    }
    void pass(int ms)
    {
        now += Milliseconds(ms);
        client.tick();
        later.run();
    }

    MonotonicTime now;
    bool connected = true;
    LaterQueue later;
    std::vector<std::pair<HostId, SlotRequest>> asked;
    std::vector<SlotEnd> ends;
    std::vector<SlotsHeld> told;
    std::vector<SlotAnswer> answers;
    SlotClient client{SlotClientOptions{.self = HostId{"e"}},
                      Clock{.monotonic = [this] { return now; },
                            .wall =
                                [] {
                                    return WallTime();
                                }},
                      seededRandom(1),
                      SlotClientHooks{.request =
                                          [this](const HostId &to, const SlotRequest &request) {
                                              asked.emplace_back(to, request);
                                              return connected;
                                          },
                                      .end =
                                          [this](const HostId &, const SlotEnd &end) {
                                              ends.push_back(end);
                                              return connected;
                                          },
                                      .held =
                                          [this](const HostId &, const SlotsHeld &held) {
                                              told.push_back(held);
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

BOOST_AUTO_TEST_CASE(TheBrokerGrantsAndGetsTheSlotBack)
{
    Bench bench;
    const std::uint64_t ticket = bench.ask();
    BOOST_REQUIRE_EQUAL(bench.asked.size(), 1U);
    bench.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80"});
    BOOST_REQUIRE_EQUAL(bench.answers.size(), 1U);
    BOOST_TEST(bench.answers[0].address == "s1:80");
    bench.now += Milliseconds(900);
    bench.client.end(ticket, SlotOutcome::Completed);
    BOOST_REQUIRE_EQUAL(bench.ends.size(), 1U);
    BOOST_TEST(bench.ends[0].heldMs == 900U);
}

BOOST_AUTO_TEST_CASE(ABrokerThatSaysNothingIsPassedBy)
{
    Bench bench;
    const std::uint64_t ticket = bench.ask();
    bench.pass(70);
    BOOST_TEST(bench.answers.empty());
    bench.pass(30);
    BOOST_REQUIRE_EQUAL(bench.answers.size(), 1U);
    BOOST_TEST(bench.answers[0].server.value == "s1");
    // The next request does not wait for the broker at all.
    bench.ask();
    BOOST_TEST(bench.answers.size() == 2U);
    BOOST_TEST(bench.asked.size() == 1U);
    // A grant that comes after all is given back.
    bench.ends.clear();
    bench.client.receive(broker, SlotGrant{ticket + 100, ServerId{"s1"}, "s1:80"});
    BOOST_REQUIRE_EQUAL(bench.ends.size(), 1U);
    BOOST_TEST((bench.ends[0].outcome == SlotOutcome::Abandoned));
}

BOOST_AUTO_TEST_CASE(ARequestThatTheBrokerHasQueuedWaits)
{
    Bench bench;
    const std::uint64_t ticket = bench.ask();
    bench.client.receive(broker, SlotGrant{ticket, {}, {}});
    bench.pass(1000);
    BOOST_TEST(bench.answers.empty());
}

BOOST_AUTO_TEST_CASE(ANewBrokerIsToldWhatIsHeldAndAskedAgain)
{
    Bench bench;
    const std::uint64_t held = bench.ask();
    bench.client.receive(broker, SlotGrant{held, ServerId{"s1"}, "s1:80"});
    const std::uint64_t waiting = bench.ask();
    bench.client.receive(broker, SlotGrant{waiting, {}, {}});
    bench.client.setView(Bench::view(HostId{"b2"}, 2));
    BOOST_REQUIRE(!bench.told.empty());
    BOOST_REQUIRE_EQUAL(bench.told.back().slots.size(), 1U);
    BOOST_TEST(bench.told.back().slots[0].ticket == held);
    BOOST_TEST(bench.asked.back().first.value == "b2");
    BOOST_TEST(bench.asked.back().second.ticket == waiting);
}

BOOST_AUTO_TEST_CASE(AWithdrawnRequestIsTakenBackAtTheBroker)
{
    Bench bench;
    const std::uint64_t ticket = bench.ask();
    bench.client.end(ticket, SlotOutcome::Abandoned);
    BOOST_TEST(bench.ends.size() == 1U);
    bench.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80"});
    BOOST_TEST(bench.answers.empty());
    BOOST_TEST(bench.ends.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
