#include <boost/test/unit_test.hpp>

#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/crashes/crashsuspectcache.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t request = 7;
const ServerId s1{"s1"};
const ServerId s2{"s2"};
const ServerId s3{"s3"};
const ServerId s4{"s4"};

struct Fixture {
    void advance(Milliseconds time)
    {
        now += time;
        ledger.tick();
    }
    void recordAbortedRun(std::uint64_t fingerprint, const ServerId &server,
                          std::uint64_t bornMs = 1)
    {
        ledger.recordVerdict(
            {.fingerprint = fingerprint, .server = server, .broken = true, .bornMs = bornMs});
    }
    void recordAbortedRuns(const std::vector<ServerId> &servers)
    {
        for (const ServerId &server : servers) {
            recordAbortedRun(request, server);
        }
    }

    MonotonicTime now{std::chrono::hours(1)};
    Clock clock{.monotonic = [this] { return now; },
                .wall =
                    [] {
                        return WallTime();
                    }};
    CrashLedger ledger{CrashLedgerOptions{}, clock};
    CrashSuspectCache cache{clock, HostId{"e1"}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashLedgerTest, Fixture)

BOOST_AUTO_TEST_CASE(blocksRequestAfterThirdServer)
{
    recordAbortedRuns({s1, s2});
    BOOST_TEST(!ledger.isBlocked(request));
    recordAbortedRuns({s3});
    BOOST_TEST(ledger.isBlocked(request));
    BOOST_TEST(!ledger.isBlocked(request + 1));
}

BOOST_AUTO_TEST_CASE(allowsRequestThatOnlyOneServerAborts)
{
    recordAbortedRuns({s1, s1, s1, s1});
    BOOST_TEST(!ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(blocksRequestThatThreeStartsOfOneServerAbort)
{
    for (const std::uint64_t bornMs : {1, 2, 3}) {
        BOOST_TEST(!ledger.isBlocked(request));
        recordAbortedRun(request, s1, bornMs);
    }
    BOOST_TEST(ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(clearsRequestAfterAnswer)
{
    recordAbortedRuns({s1, s2});
    ledger.recordAnsweredRun(request);
    recordAbortedRuns({s3});
    BOOST_TEST(!ledger.isBlocked(request));
    recordAbortedRuns({s1, s2});
    BOOST_TEST(ledger.isBlocked(request));
    ledger.recordAnsweredRun(request);
    BOOST_TEST(!ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(increasesBlockDurationWithEachBlock)
{
    // The platform counts "more than three retries" after the third server; blocks of one and four
    // minutes allow two in the first five minutes.
    recordAbortedRuns({s1, s2, s3});
    advance(Milliseconds(59000));
    BOOST_TEST(ledger.isBlocked(request));
    advance(Milliseconds(1500));
    BOOST_TEST(!ledger.isBlocked(request));
    recordAbortedRuns({s4});
    BOOST_TEST(ledger.isBlocked(request));
    advance(Milliseconds(239000));
    BOOST_TEST(ledger.isBlocked(request));
    advance(Milliseconds(1500));
    BOOST_TEST(!ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(removesSuspectsAfterRetentionPeriod)
{
    recordAbortedRuns({s1, s2});
    advance(std::chrono::minutes(11));
    BOOST_TEST(ledger.suspects().suspects.empty());
}

BOOST_AUTO_TEST_CASE(limitsNumberOfSuspects)
{
    const std::size_t maxSuspects = CrashLedgerOptions{}.maxSuspects;
    for (std::uint64_t fingerprint = 1; fingerprint <= maxSuspects + 5; ++fingerprint) {
        now += Milliseconds(1);
        recordAbortedRun(fingerprint, s1);
    }
    BOOST_TEST(ledger.suspects().suspects.size() == maxSuspects);
    BOOST_TEST(ledger.suspects().suspects.front().fingerprint == 6U);
}

BOOST_AUTO_TEST_CASE(continuesCountingAfterLeaderChange)
{
    recordAbortedRuns({s1, s2});
    cache.update(ledger.suspects());
    CrashLedger nextLeaderLedger(CrashLedgerOptions{}, clock);
    nextLeaderLedger.adopt(cache.currentSuspects());
    nextLeaderLedger.recordVerdict(
        {.fingerprint = request, .server = s3, .broken = true, .bornMs = 1});
    BOOST_TEST(nextLeaderLedger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(reportsRemainingBlockDurationToHosts)
{
    recordAbortedRuns({s1});
    CrashSuspects suspects = ledger.suspects();
    cache.update(suspects);
    BOOST_TEST(cache.isSuspect(request));
    BOOST_TEST(cache.blockedFor(request).count() == 0);
    recordAbortedRuns({s2, s3});
    suspects = ledger.suspects();
    suspects.term = 2;
    cache.update(suspects);
    now += Milliseconds(1000);
    BOOST_TEST(cache.blockedFor(request).count() == 59000);
    // A delayed list of an earlier leader is ignored.
    cache.update(CrashSuspects{.term = 1, .version = 99, .suspects = {}});
    BOOST_TEST(cache.blockedFor(request).count() == 59000);
    cache.update(CrashSuspects{.term = 3, .version = 1, .suspects = {}});
    BOOST_TEST(!cache.isSuspect(request));
}

BOOST_AUTO_TEST_CASE(distinguishesPathsAndBodiesByFingerprint)
{
    BOOST_TEST(requestFingerprint("/a", "b") == requestFingerprint("/a", "b"));
    BOOST_TEST(requestFingerprint("/a", "b") != requestFingerprint("/a", "c"));
    BOOST_TEST(requestFingerprint("/a", "b") != requestFingerprint("/c", "b"));
    BOOST_TEST(requestFingerprint("/ab", "") != requestFingerprint("/a", "b"));
}

BOOST_AUTO_TEST_SUITE_END()
