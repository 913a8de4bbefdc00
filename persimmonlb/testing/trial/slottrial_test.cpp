#include <boost/test/unit_test.hpp>

#include "persimmonlb/testing/trial/trial.h"

using namespace persimmonlb;
using namespace persimmonlb::trial;

namespace
{

constexpr std::uint64_t seeds = 3;
constexpr double objectiveMs = 300;

/// The sites' usual day: bursts of 1.84 times the average, batch all the time.
TrialLoad usual(std::uint32_t onlineEvents, std::uint32_t itemEvents)
{
    TrialLoad load;
    load.onlineEvents = onlineEvents;
    load.itemEvents = itemEvents;
    return load;
}

/// A jump of both kinds of work while a fifth of the servers is away.
TrialLoad worst()
{
    TrialLoad load;
    load.onlineJump = 1.5;
    load.batchJump = 6;
    load.serversLost = 2;
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotTrialTest)

BOOST_AUTO_TEST_CASE(BatchLeavesOnlineRequestsTheirObjectiveInBursts)
{
    for (const TrialLoad &load : {usual(31, 216), usual(36, 247)}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const TrialReport report = playTrial(load, seed, makeBrokerScheduler);
            BOOST_TEST(report.firstEventP99Ms <= objectiveMs);
            BOOST_TEST(report.served == report.asked);
            BOOST_TEST(report.pauses == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(BatchUsesNineTenthsOfTheIdleSlots)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const TrialReport report = playTrial(usual(31, 216), seed, makeBrokerScheduler);
        BOOST_TEST(report.batchSlotSeconds >= 0.9 * report.idleSlotSeconds);
    }
}

BOOST_AUTO_TEST_CASE(WhatIsRefusedIsRefusedWithinAQuarterOfItsObjective)
{
    std::uint64_t refusals = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const TrialReport report = playTrial(worst(), seed, makeBrokerScheduler);
        refusals += report.refusals;
        BOOST_TEST(report.refusalsEarly == report.refusals);
    }
    BOOST_TEST(refusals > 0U);
}

BOOST_AUTO_TEST_CASE(OneBrokerServesMoreInTimeThanViewsThatLag)
{
    ViewOptions digests;
    digests.interval = Milliseconds(100);
    digests.lag = Milliseconds(10);
    digests.peers = true;
    const auto makeDigests = [digests](SchedulerWorld world) {
        return makeViewScheduler(std::move(world), digests);
    };
    for (const TrialLoad &load : {usual(31, 216), worst()}) {
        const TrialReport broker = playTrial(load, 1, makeBrokerScheduler);
        const TrialReport views = playTrial(load, 1, makeDigests);
        BOOST_TEST(broker.onTime > views.onTime);
    }
}

/// Engines of unequal speed: the broker that learns speeds must not pay for a shorter tail with
/// prompt tokens that are read again, or with late requests.
BOOST_AUTO_TEST_CASE(LearnedSpeedsShortenTheTailOfUnevenEngines)
{
    TrialLoad load;
    load.unevenEngines = true;
    load.onlinePerSecond = 54.3;
    load.onlineEvents = 25;
    load.jobsPerSecond = 0.0514;
    TrialLoad slow = load;
    slow.serversSlow = 2;
    for (const TrialLoad &each : {load, slow}) {
        TrialReport present;
        TrialReport learned;
        const auto play = [&each](TrialReport &sum, auto make) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const TrialReport report = playTrial(each, seed, make);
                sum.firstEventP99Ms += report.firstEventP99Ms;
                sum.completionP99Ms += report.completionP99Ms;
                sum.late += report.late;
                sum.cachedTokens += report.cachedTokens;
            }
        };
        play(present, makeBrokerScheduler);
        play(learned, makeLearningBrokerScheduler);
        BOOST_TEST(learned.firstEventP99Ms < present.firstEventP99Ms);
        BOOST_TEST(learned.completionP99Ms < present.completionP99Ms);
        BOOST_TEST(learned.late <= present.late);
        BOOST_TEST(learned.cachedTokens >= present.cachedTokens);
    }
}

/// The earlier sites have engines of one speed: there the learned choice must meet the same goal.
BOOST_AUTO_TEST_CASE(LearnedSpeedsKeepTheObjectiveOnEvenEngines)
{
    for (const TrialLoad &load : {usual(31, 216), usual(36, 247)}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const TrialReport report = playTrial(load, seed, makeLearningBrokerScheduler);
            BOOST_TEST(report.firstEventP99Ms <= objectiveMs);
            BOOST_TEST(report.served == report.asked);
            BOOST_TEST(report.pauses == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
