// Guards against a part of prompts that crashes one server after the other, because no two requests
// with it are alike, and against the block of parts that sound requests share.
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/crashes/runverdictreporter.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t shared = 100; ///< First part of all prompts.
constexpr std::uint64_t deadly = 101;
constexpr std::uint64_t rare = 102; ///< Sound part that only aborted requests have.

struct VirtualClock {
    MonotonicTime now{std::chrono::hours(1)};
    Clock clock{.monotonic = [this] { return now; },
                .wall =
                    [] {
                        return WallTime();
                    }};
};

struct Fixture : VirtualClock {
    void advance(int ms)
    {
        now += Milliseconds(ms);
        ledger.tick();
    }
    /// A new request is aborted by a new server process.
    void abort(const std::vector<std::uint64_t> &parts, std::uint64_t ageMs = 0)
    {
        abortRequest(nextRequest++, parts, ageMs);
    }
    void abortRequest(std::uint64_t request, const std::vector<std::uint64_t> &parts,
                      std::uint64_t ageMs = 0)
    {
        ledger.recordVerdict({.fingerprint = request,
                              .server = ServerId{"s" + std::to_string(nextServer++)},
                              .broken = true,
                              .bornMs = 1,
                              .parts = parts,
                              .ageMs = ageMs});
    }
    void answer(const std::vector<std::uint64_t> &parts, std::uint64_t ageMs = 0)
    {
        ledger.recordVerdict({.fingerprint = 0,
                              .server = ServerId{"sound"},
                              .broken = false,
                              .bornMs = 1,
                              .parts = parts,
                              .ageMs = ageMs});
    }
    /// Three incidents, 300 ms apart, with different requests.
    void abortThreeRequests(const std::vector<std::uint64_t> &parts)
    {
        for (int count = 0; count < 3; ++count) {
            abort(parts);
            advance(300);
        }
    }

    std::uint64_t nextRequest = 1000;
    int nextServer = 1;
    CrashLedger ledger{CrashLedgerOptions{}, clock};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromptPartsTest, Fixture)

BOOST_AUTO_TEST_CASE(blocksPartAfterThreeIncidentsOfDifferentRequests)
{
    abort({shared, deadly});
    answer({shared});
    advance(300);
    abort({shared, deadly});
    answer({shared});
    advance(300);
    BOOST_TEST(!ledger.isBlocked(deadly));
    abort({shared, deadly});
    answer({shared});
    advance(20);
    BOOST_TEST(ledger.isBlocked(deadly));
    BOOST_TEST(!ledger.isBlocked(shared));
}

BOOST_AUTO_TEST_CASE(allowsPartThatAServerBeganToAnswer)
{
    abortThreeRequests({shared});
    BOOST_TEST(ledger.isBlocked(shared));
    answer({shared});
    BOOST_TEST(!ledger.isBlocked(shared));
    abort({shared});
    advance(1000);
    BOOST_TEST(!ledger.isBlocked(shared));
}

/// A lost zone or link aborts runs of many servers at once; nothing answers until they are back.
BOOST_AUTO_TEST_CASE(allowsPartWhoseRunsWereAbortedAtOnce)
{
    for (int count = 0; count < 20; ++count) {
        abort({shared});
    }
    advance(10000);
    BOOST_TEST(!ledger.isBlocked(shared));
}

BOOST_AUTO_TEST_CASE(allowsPartsOfOneRequestThatIsRepeated)
{
    for (int count = 0; count < 6; ++count) {
        abortRequest(7, {shared, rare});
        advance(300);
    }
    BOOST_TEST(ledger.isBlocked(7));
    BOOST_TEST(!ledger.isBlocked(shared));
    BOOST_TEST(!ledger.isBlocked(rare));
}

/// Late reports arrive at once at a new leader, before the responses that clear the part.
BOOST_AUTO_TEST_CASE(waitsForReportsOfResponsesBeforeItBlocksAPart)
{
    abort({shared}, 3000);
    abort({shared}, 2000);
    abort({shared}, 1000);
    advance(400);
    BOOST_TEST(!ledger.isBlocked(shared));
    answer({shared}, 50);
    advance(1000);
    BOOST_TEST(!ledger.isBlocked(shared));
}

BOOST_AUTO_TEST_CASE(ignoresAbortedRunsThatEndedBeforeAKnownResponse)
{
    answer({shared}, 100);
    for (const std::uint64_t age : {3000, 2000, 1000}) {
        abort({shared}, age);
    }
    advance(1000);
    BOOST_TEST(!ledger.isBlocked(shared));
}

BOOST_AUTO_TEST_CASE(ignoresResponsesBeforeTheAbortedRuns)
{
    // The part was sound until servers were updated.
    abortThreeRequests({deadly});
    answer({deadly}, 5000);
    BOOST_TEST(ledger.isBlocked(deadly));
}

BOOST_AUTO_TEST_CASE(blocksOnlyTheLastOfPartsThatAlwaysOccurTogether)
{
    abortThreeRequests({shared, rare, deadly});
    BOOST_TEST(ledger.isBlocked(deadly));
    BOOST_TEST(!ledger.isBlocked(rare));
    BOOST_TEST(!ledger.isBlocked(shared));
    // A run that was already on its way says nothing of the other parts.
    abort({shared, rare, deadly});
    advance(300);
    BOOST_TEST(!ledger.isBlocked(rare));
}

BOOST_AUTO_TEST_CASE(blocksAnotherPartThatIsAbortedWithoutTheBlockedOne)
{
    abortThreeRequests({deadly, rare});
    BOOST_TEST(ledger.isBlocked(rare));
    BOOST_TEST(!ledger.isBlocked(deadly));
    abort({deadly});
    advance(20);
    BOOST_TEST(ledger.isBlocked(deadly));
}

BOOST_AUTO_TEST_CASE(blocksThePartWithTheMostAbortedRuns)
{
    abortThreeRequests({deadly, rare});
    answer({rare});
    abortThreeRequests({deadly, rare});
    BOOST_TEST(ledger.isBlocked(deadly));
    BOOST_TEST(!ledger.isBlocked(rare));
}

BOOST_AUTO_TEST_CASE(letsOneHostAtATimeProbeAfterABlock)
{
    abortThreeRequests({deadly});
    const std::vector<HostId> hosts{{"e1"}, {"e2"}, {"e3"}};
    std::vector<std::unique_ptr<CrashSuspectCache>> caches;
    caches.reserve(hosts.size());
    for (const HostId &host : hosts) {
        caches.push_back(std::make_unique<CrashSuspectCache>(clock, host));
    }
    const auto mayRun = [&] {
        int count = 0;
        for (const auto &cache : caches) {
            cache->update(ledger.suspects(hosts));
            count += cache->blockedFor(deadly).count() == 0 ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(mayRun() == 0);
    advance(61000);
    BOOST_TEST(mayRun() == 1);
    for (const auto &cache : caches) {
        if (cache->blockedFor(deadly).count() == 0) {
            cache->recordSent({deadly});
            BOOST_TEST(cache->blockedFor(deadly).count() > 0);
        }
    }
    BOOST_TEST(mayRun() == 0);
    abort({deadly});
    advance(239000);
    BOOST_TEST(mayRun() == 0);
    advance(2000);
    BOOST_TEST(mayRun() == 1);
    answer({deadly});
    BOOST_TEST(mayRun() == 3);
}

BOOST_AUTO_TEST_CASE(endsNoBlockWithoutTheLeader)
{
    abortThreeRequests({deadly});
    CrashSuspectCache cache(clock, HostId{"e1"});
    cache.update(ledger.suspects({{"e1"}}));
    now += std::chrono::minutes(2);
    BOOST_TEST(cache.blockedFor(deadly).count() > 0);
}

BOOST_AUTO_TEST_CASE(continuesCountingPartsAfterLeaderChange)
{
    abort({deadly});
    advance(300);
    abort({deadly});
    CrashSuspectCache cache(clock, HostId{"h"});
    cache.update(ledger.suspects());
    now += Milliseconds(600);
    ledger = CrashLedger(CrashLedgerOptions{}, clock);
    ledger.adopt(cache.currentSuspects());
    abort({deadly});
    advance(500);
    BOOST_TEST(ledger.isBlocked(deadly));
}

/// Guards against a new leader that blocks the sound parts which occurred beside a deadly one.
BOOST_AUTO_TEST_CASE(blocksNoPartBesideADeadlyOneAfterLeaderChange)
{
    abortThreeRequests({shared, rare, deadly});
    CrashSuspectCache cache(clock, HostId{"h"});
    cache.update(ledger.suspects());
    ledger = CrashLedger(CrashLedgerOptions{}, clock);
    ledger.adopt(cache.currentSuspects());
    advance(1000);
    BOOST_TEST(ledger.isBlocked(deadly));
    BOOST_TEST(!ledger.isBlocked(rare));
    BOOST_TEST(!ledger.isBlocked(shared));
}

BOOST_AUTO_TEST_CASE(keepsBlockedSuspectsWhenManyOthersAppear)
{
    abortThreeRequests({deadly});
    for (std::size_t count = 0; count < 2 * CrashLedgerOptions{}.maxSuspects; ++count) {
        abort({});
    }
    BOOST_TEST(ledger.isBlocked(deadly));
    BOOST_TEST(ledger.suspects().suspects.size() == CrashLedgerOptions{}.maxSuspects);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct ReporterFixture : VirtualClock {
    void record(bool broken, std::uint64_t request, std::vector<std::uint64_t> parts)
    {
        reporter.record({.fingerprint = request,
                         .server = ServerId{"s1"},
                         .broken = broken,
                         .bornMs = 1,
                         .parts = std::move(parts)});
    }
    void list(std::vector<CrashSuspect> suspects)
    {
        cache.update({.term = 1, .version = ++version, .suspects = std::move(suspects)});
        reporter.tick();
    }

    std::uint64_t version = 0;
    bool reachable = true;
    std::vector<RunVerdict> sent;
    CrashSuspectCache cache{clock, HostId{"e1"}};
    RunVerdictReporter reporter{RunVerdictReporterOptions{}, clock, cache,
                                [this](const RunVerdict &verdict) {
                                    if (reachable) {
                                        sent.push_back(verdict);
                                    }
                                    return reachable;
                                }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunVerdictReporterTest, ReporterFixture)

BOOST_AUTO_TEST_CASE(keepsAbortedRunsUntilTheLeaderIsReachable)
{
    reachable = false;
    record(true, 7, {deadly});
    now += Milliseconds(700);
    reachable = true;
    reporter.tick();
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    BOOST_TEST(sent[0].broken);
    BOOST_TEST(sent[0].ageMs == 700U);
    reporter.tick();
    BOOST_TEST(sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(repeatsAbortedRunsToTheNextLeaderUntilAListNamesThem)
{
    record(true, 7, {deadly});
    reporter.leaderChanged();
    BOOST_TEST(sent.size() == 2U);
    list({{.fingerprint = 7, .processes = {{ServerId{"s1"}, 1}}}});
    reporter.leaderChanged();
    BOOST_TEST(sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(reportsResponseThatCameBeforeItsPartBecameASuspect)
{
    record(false, 7, {shared});
    BOOST_TEST(sent.empty());
    now += Milliseconds(30);
    list({{.fingerprint = shared, .processes = {}, .isPart = true}});
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    BOOST_TEST(sent[0].fingerprint == 0U);
    BOOST_TEST(sent[0].ageMs == 30U);
    BOOST_TEST((sent[0].parts == std::vector<std::uint64_t>{shared}));
    list({{.fingerprint = shared, .processes = {}, .isPart = true}});
    BOOST_TEST(sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(reportsResponsesOfSuspectsThatCouldNotBeSent)
{
    list({{.fingerprint = shared, .processes = {}, .isPart = true}});
    reachable = false;
    record(false, 7, {shared});
    reachable = true;
    reporter.tick();
    BOOST_TEST(sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(remembersABoundedNumberOfParts)
{
    for (std::uint64_t part = 1; part <= 20000; ++part) {
        now += Milliseconds(1);
        record(false, 7, {part});
    }
    // The latest ones are remembered.
    list({{.fingerprint = 20000, .processes = {}, .isPart = true}});
    BOOST_TEST(sent.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
