#include <boost/test/unit_test.hpp>

#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/crashes/crashwatch.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t request = 7;
const ServerId s1{"s1"};
const ServerId s2{"s2"};
const ServerId s3{"s3"};
const ServerId s4{"s4"};

struct Fixture {
    void pass(Milliseconds time)
    {
        now += time;
        ledger.tick();
    }
    void breakOff(const std::vector<ServerId> &servers)
    {
        for (const ServerId &server : servers) {
            ledger.noteBroken(request, server);
        }
    }

    MonotonicTime now{std::chrono::hours(1)};
    Clock clock{.monotonic = [this] { return now; },
                .wall =
                    [] {
                        return WallTime();
                    }};
    CrashLedger ledger{CrashLedgerOptions{}, clock};
    CrashWatch watch{clock};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashLedgerTest, Fixture)

BOOST_AUTO_TEST_CASE(ARequestIsBlockedAfterTheThirdServer)
{
    breakOff({s1, s2});
    BOOST_TEST(!ledger.isBlocked(request));
    breakOff({s3});
    BOOST_TEST(ledger.isBlocked(request));
    BOOST_TEST(!ledger.isBlocked(request + 1));
}

BOOST_AUTO_TEST_CASE(OneServerThatBreaksOffAgainAndAgainBlocksNothing)
{
    breakOff({s1, s1, s1, s1});
    BOOST_TEST(!ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsARequest)
{
    breakOff({s1, s2});
    ledger.noteSurvived(request);
    breakOff({s3});
    BOOST_TEST(!ledger.isBlocked(request));
    breakOff({s1, s2});
    BOOST_TEST(ledger.isBlocked(request));
    ledger.noteSurvived(request);
    BOOST_TEST(!ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(ABlockedRequestIsTriedMoreAndMoreSeldom)
{
    // "More than three retries" after the third server: two in the first five minutes.
    breakOff({s1, s2, s3});
    pass(Milliseconds(59000));
    BOOST_TEST(ledger.isBlocked(request));
    pass(Milliseconds(1500));
    BOOST_TEST(!ledger.isBlocked(request));
    breakOff({s4});
    BOOST_TEST(ledger.isBlocked(request));
    pass(Milliseconds(239000));
    BOOST_TEST(ledger.isBlocked(request));
    pass(Milliseconds(1500));
    BOOST_TEST(!ledger.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(SuspectsThatNeverCameAgainAreForgotten)
{
    breakOff({s1, s2});
    pass(std::chrono::minutes(11));
    BOOST_TEST(ledger.suspects().suspects.empty());
}

BOOST_AUTO_TEST_CASE(TheNumberOfSuspectsIsBounded)
{
    const std::size_t most = CrashLedgerOptions{}.maxSuspects;
    for (std::uint64_t fingerprint = 1; fingerprint <= most + 5; ++fingerprint) {
        now += Milliseconds(1);
        ledger.noteBroken(fingerprint, s1);
    }
    BOOST_TEST(ledger.suspects().suspects.size() == most);
    BOOST_TEST(ledger.suspects().suspects.front().fingerprint == 6U);
}

BOOST_AUTO_TEST_CASE(AnotherLeaderGoesOnCounting)
{
    breakOff({s1, s2});
    watch.take(ledger.suspects());
    CrashLedger next(CrashLedgerOptions{}, clock);
    next.adopt(watch.last());
    next.noteBroken(request, s3);
    BOOST_TEST(next.isBlocked(request));
}

BOOST_AUTO_TEST_CASE(HostsKnowForHowLongARequestIsBlocked)
{
    breakOff({s1});
    CrashSuspects told = ledger.suspects();
    watch.take(told);
    BOOST_TEST(watch.isSuspect(request));
    BOOST_TEST(watch.blockedFor(request).count() == 0);
    breakOff({s2, s3});
    told = ledger.suspects();
    told.term = 2;
    watch.take(told);
    now += Milliseconds(1000);
    BOOST_TEST(watch.blockedFor(request).count() == 59000);
    // A list of an earlier leader that was on its way.
    watch.take(CrashSuspects{.term = 1, .version = 99, .suspects = {}});
    BOOST_TEST(watch.blockedFor(request).count() == 59000);
    watch.take(CrashSuspects{.term = 3, .version = 1, .suspects = {}});
    BOOST_TEST(!watch.isSuspect(request));
}

BOOST_AUTO_TEST_CASE(FingerprintsTellPathsAndBodiesApart)
{
    BOOST_TEST(requestFingerprint("/a", "b") == requestFingerprint("/a", "b"));
    BOOST_TEST(requestFingerprint("/a", "b") != requestFingerprint("/a", "c"));
    BOOST_TEST(requestFingerprint("/a", "b") != requestFingerprint("/c", "b"));
    BOOST_TEST(requestFingerprint("/ab", "") != requestFingerprint("/a", "b"));
}

BOOST_AUTO_TEST_SUITE_END()
