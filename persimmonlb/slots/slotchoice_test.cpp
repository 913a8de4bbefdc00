// Tests of the choice of servers by learned speeds (SlotBrokerOptions::learnsSpeeds).
#include <map>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/slotbroker.h"

using namespace persimmonlb;

namespace
{

const ServiceName service{"lm"};
const HostId entryHost{"e"};

/// Servers of eight slots that answer after a hold time of their own.
struct Fixture {
    explicit Fixture(std::vector<int> serverHoldMs)
        : holdMs(std::move(serverHoldMs))
    {
        announce();
    }

    void announce()
    {
        std::vector<FleetServer> list;
        for (std::size_t i = 0; i < holdMs.size(); ++i) {
            FleetServer server;
            server.id = ServerId{std::to_string(i)};
            server.bornMs = i == 0 ? firstServerBornMs : 1;
            server.service = service;
            server.address = "s";
            server.slots = 8;
            list.push_back(server);
        }
        broker.setServers(list, [](const ServiceName &) {
            return SlotCapacity{.slots = 8, .cacheTokens = 72000, .stopsRuns = false};
        });
    }
    /// Requests a slot and returns the server's index.
    std::size_t request(const std::vector<PromptPart> &prompt = {})
    {
        SlotRequest request;
        request.ticket = ++ticket;
        request.service = service;
        request.startWithinMs = 300;
        request.giveUpAfterMs = 5000;
        request.tokens = 500;
        request.prompt = prompt;
        broker.request(entryHost, request);
        const std::size_t server = std::stoul(granted.value);
        ends.emplace(now + Milliseconds(holdMs[server]), Held{ticket, now});
        return server;
    }
    /// Requests a slot every `intervalMs` and returns how often each server was chosen.
    std::vector<int> play(int lengthMs, int intervalMs)
    {
        std::vector<int> chosen(holdMs.size());
        for (int passed = 0; passed < lengthMs; passed += intervalMs) {
            now += Milliseconds(intervalMs);
            endRequests();
            ++chosen[request()];
        }
        return chosen;
    }
    void endRequests()
    {
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [at, held] = *ends.begin();
            ends.erase(ends.begin());
            const auto length = std::chrono::duration_cast<Milliseconds>(at - held.since);
            broker.end(entryHost,
                       SlotEnd{.ticket = held.ticket,
                               .heldMs = static_cast<std::uint64_t>(length.count())});
        }
    }

    struct Held {
        std::uint64_t ticket = 0;
        MonotonicTime since;
    };

    std::vector<int> holdMs;
    std::uint64_t firstServerBornMs = 1;
    MonotonicTime now;
    std::uint64_t clockReads = 0;
    std::uint64_t ticket = 0;
    ServerId granted;
    std::multimap<MonotonicTime, Held> ends;
    SlotBroker broker{
        SlotBrokerOptions{.availabilityZone = {}, .learnsSpeeds = true},
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
            .grant = [this](const HostId &, const SlotGrant &grant) { granted = grant.server; },
            .refuse = {},
            .yieldBatch = {},
            .batchMayStart = {}}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotChoiceTest)

/// Deployment U: with as many requests as the slow engines, the fast one would idle.
BOOST_AUTO_TEST_CASE(sendsMoreRequestsToFasterServers)
{
    Fixture fixture({430, 430, 176});
    fixture.play(5000, 20);
    const std::vector<int> chosen = fixture.play(5000, 20);
    BOOST_TEST(chosen[2] > 2 * chosen[0]);
    BOOST_TEST(chosen[2] > 2 * chosen[1]);
    BOOST_TEST(chosen[0] > 0);
}

/// An engine that becomes six times slower returns no hold time for two seconds. Within one second
/// it must get less than a tenth of its share, which is a quarter.
BOOST_AUTO_TEST_CASE(avoidsServerThatBecameSlowWithinASecond)
{
    Fixture fixture({300, 300, 300, 300});
    fixture.play(5000, 20);
    fixture.holdMs[1] = 1800;
    fixture.play(1000, 20);
    BOOST_TEST(fixture.play(1000, 20)[1] <= 1);
}

/// A new process may run on another machine: what was learned of the old one would mislead.
BOOST_AUTO_TEST_CASE(forgetsSpeedOfRestartedServer)
{
    Fixture fixture({900, 300, 300});
    fixture.play(5000, 40);
    BOOST_TEST(fixture.play(1000, 40)[0] <= 3);
    fixture.holdMs[0] = 300;
    fixture.firstServerBornMs = 2;
    fixture.announce();
    BOOST_TEST(fixture.play(2000, 40)[0] >= 10);
}

/// Half of the slots of a server are worth more than a short shared part; with the cached part
/// alone, requests would queue at one server while others are idle.
BOOST_AUTO_TEST_CASE(spreadsSharedPromptPartBeforeItsServerIsFull)
{
    Fixture fixture({300, 300, 300});
    std::vector<int> chosen(3);
    for (int i = 0; i < 12; ++i) {
        ++chosen[fixture.request({{7, 100}})];
    }
    for (const int count : chosen) {
        BOOST_TEST(count >= 2);
        BOOST_TEST(count <= 6);
    }
}

/// A cached prompt part saves its prefill time as long as the servers are about equally loaded.
BOOST_AUTO_TEST_CASE(prefersServerThatProbablyHoldsThePrompt)
{
    Fixture fixture({300, 300, 300});
    const std::size_t first = fixture.request({{7, 2000}});
    fixture.play(1000, 200);
    for (int i = 0; i < 5; ++i) {
        fixture.now += Milliseconds(1000);
        fixture.endRequests();
        BOOST_TEST(fixture.request({{7, 2000}}) == first);
    }
    const SlotUsage usage = fixture.broker.usage(service);
    BOOST_TEST(usage.promptTokens == 12000U);
    BOOST_TEST(usage.expectedCachedTokens == 10000U);
}

/// With hundreds of servers a choice must not read the clock, or look a ticket up, for each.
BOOST_AUTO_TEST_CASE(readsClockFewTimesForChoiceAmongHundredsOfServers)
{
    Fixture fixture(std::vector<int>(400, 300));
    fixture.play(2000, 1);
    const std::uint64_t before = fixture.clockReads;
    fixture.request({{7, 2000}});
    BOOST_TEST(fixture.clockReads - before < 10U);
}

BOOST_AUTO_TEST_SUITE_END()
