
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
    std::vector<std::pair<HostId, ServerLeaving>> leaving;
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
                                      .serverLeaves =
                                          [this](const HostId &to, const ServerLeaving &told) {
                                              leaving.emplace_back(to, told);
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
    bench.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
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
    bench.client.receive(broker, SlotGrant{held, ServerId{"s1"}, "s1:80", 1});
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
    bench.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    BOOST_TEST(bench.answers.empty());
    BOOST_TEST(bench.ends.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AServerThatSaysThatItLeavesGetsNothingMoreFromAHostThatIsCutOff)
{
    Bench bench;
    const std::uint64_t ticket = bench.ask();
    bench.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    bench.answers.clear();
    bench.connected = false;
    bench.client.serverLeaves(ticket);
    bench.client.brokerLost(broker);
    bench.ask();
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.answers.size(), 1U);
    // It was the last server: refused at once, with a time to come back.
    BOOST_TEST(bench.answers[0].server.empty());
    BOOST_TEST(bench.answers[0].retryAfter.count() > 0);
    // Another leader that still counts on the server is told, until its view says the same.
    bench.connected = true;
    bench.leaving.clear();
    bench.client.setView(Bench::view(HostId{"b2"}, 2));
    BOOST_REQUIRE(!bench.leaving.empty());
    BOOST_TEST(bench.leaving.back().first.value == "b2");
    BOOST_TEST((bench.leaving.back().second == ServerLeaving{ServerId{"s1"}, 1}));
    bench.leaving.clear();
    bench.pass(400);
    BOOST_TEST(bench.leaving.size() == 1U);
    FleetView known = Bench::view(HostId{"b2"}, 2);
    known.servers[0].draining = true;
    bench.client.setView(known);
    bench.leaving.clear();
    bench.pass(400);
    BOOST_TEST(bench.leaving.empty());
}

BOOST_AUTO_TEST_CASE(AGrantThatCrossesTheNewsIsGivenBackAndAskedForAgain)
{
    Bench bench;
    const std::uint64_t first = bench.ask();
    bench.client.receive(broker, SlotGrant{first, ServerId{"s1"}, "s1:80", 1});
    const std::uint64_t second = bench.ask();
    bench.client.serverLeaves(first);
    bench.answers.clear();
    bench.ends.clear();
    bench.client.receive(broker, SlotGrant{second, ServerId{"s1"}, "s1:80", 1});
    BOOST_TEST(bench.answers.empty());
    BOOST_REQUIRE_EQUAL(bench.ends.size(), 1U);
    BOOST_TEST(bench.ends[0].ticket == second);
    BOOST_TEST(bench.asked.back().second.ticket == second);
    BOOST_REQUIRE_EQUAL(bench.asked.back().second.excluded.size(), 1U);
    bench.client.receive(broker, SlotGrant{second, ServerId{"s2"}, "s2:80", 1});
    BOOST_REQUIRE_EQUAL(bench.answers.size(), 1U);
    BOOST_TEST(bench.answers[0].server.value == "s2");
}

BOOST_AUTO_TEST_CASE(ALaterStartOfAServerThatLeftIsUsed)
{
    Bench bench;
    const std::uint64_t ticket = bench.ask();
    bench.client.receive(broker, SlotGrant{ticket, ServerId{"s1"}, "s1:80", 1});
    bench.client.serverLeaves(ticket);
    FleetView view = Bench::view(broker, 1);
    view.servers[0].bornMs = 2;
    bench.client.setView(view);
    bench.client.brokerLost(broker);
    bench.answers.clear();
    bench.ask();
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.answers.size(), 1U);
    BOOST_TEST(bench.answers[0].server.value == "s1");
}

BOOST_AUTO_TEST_SUITE_END()
