#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/prefixcache.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t memory = 1000;

struct Fixture {
    /// Records prompts of one part of 100 tokens.
    void recordParts(std::uint64_t firstKey, std::uint64_t count)
    {
        for (std::uint64_t key = firstKey; key < firstKey + count; ++key) {
            cache.recordPrompt({{key, 100}}, memory);
        }
    }

    PrefixCacheEstimate cache;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PrefixCacheEstimateTest, Fixture)

BOOST_AUTO_TEST_CASE(expectsPartsUpToTheFirstThatWasNotSent)
{
    cache.recordPrompt({{1, 100}, {2, 50}}, memory);
    BOOST_TEST(cache.expectedTokens({{1, 100}, {2, 50}, {3, 10}}, memory) == 150);
    BOOST_TEST(cache.expectedTokens({{1, 100}, {4, 50}, {2, 50}}, memory) == 100);
    BOOST_TEST(cache.expectedTokens({{5, 100}, {2, 50}}, memory) == 0);
}

/// A set without order would expect a part long after the server evicted it.
BOOST_AUTO_TEST_CASE(expectsLessOfPartsNearEvictionAndNothingOfEvictedOnes)
{
    recordParts(1, 10);
    const double recent = cache.expectedTokens({{9, 100}}, memory);
    const double old = cache.expectedTokens({{2, 100}}, memory);
    BOOST_TEST(recent == 100);
    BOOST_TEST(old > 0);
    BOOST_TEST(old < 100);
    recordParts(11, 10);
    BOOST_TEST(cache.expectedTokens({{2, 100}}, memory) == 0);
}

/// Shared parts that are used all the time stay, whatever else is sent.
BOOST_AUTO_TEST_CASE(keepsPartsThatAreUsedAgain)
{
    for (std::uint64_t key = 10; key < 50; ++key) {
        cache.recordPrompt({{1, 100}, {key, 100}}, memory);
    }
    BOOST_TEST(cache.expectedTokens({{1, 100}}, memory) == 100);
}

/// Running requests take memory from the cache.
BOOST_AUTO_TEST_CASE(expectsLessWhenRunningRequestsNeedTheMemory)
{
    recordParts(1, 8);
    BOOST_TEST(cache.expectedTokens({{4, 100}}, memory) == 100);
    BOOST_TEST(cache.expectedTokens({{4, 100}}, memory / 2) < 100);
    BOOST_TEST(cache.expectedTokens({{4, 100}}, 0) == 0);
    cache.recordPrompt({{9, 100}}, 200);
    BOOST_TEST(cache.size() == 2U);
}

/// A server with unlimited memory, or parts of no tokens, must not let the broker grow.
BOOST_AUTO_TEST_CASE(boundsNumberOfParts)
{
    for (std::uint64_t key = 0; key < 3 * PrefixCacheEstimate::maxParts; ++key) {
        cache.recordPrompt({{key, 0}}, UINT64_MAX);
    }
    BOOST_TEST(cache.size() == PrefixCacheEstimate::maxParts);
}

BOOST_AUTO_TEST_SUITE_END()
