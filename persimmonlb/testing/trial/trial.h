#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/testing/latency.h"
#include "persimmonlb/testing/trial/scheduler.h"

namespace persimmonlb::trial
{

/// What callers ask for, and what happens to the fleet.
struct TrialLoad {
    std::string name;
    Milliseconds length{60000};
    double onlinePerSecond = 41.9; ///< On average; a quarter of it between bursts.
    std::uint32_t onlineEvents = 31; ///< On average.
    double jobsPerSecond = 0.514; ///< 0: no batch.
    std::uint32_t itemEvents = 216; ///< On average.
    Milliseconds batchDueIn{18000};
    double onlineJump = 1; ///< Factor from `jumpAt` on, for 4 s.
    double batchJump = 1; ///< Likewise, for 3 s.
    Milliseconds jumpAt{20000};
    std::size_t serversLost = 0; ///< From `lossAt` on, for 6 s.
    Milliseconds lossAt{22000};
    std::size_t servers = 9;
    bool unevenEngines = false; ///< Engines and prompts as on deployment U.
    std::size_t serversSlow = 0; ///< Slower by `slowFactor` from `lossAt` on, for 6 s.
    double slowFactor = 6;
    std::size_t longParts = 1; ///< Factor of the size of shared prompt parts.

    bool operator==(const TrialLoad &) const = default;
};

struct TrialReport {
    std::uint64_t asked = 0; ///< Requests, however often their callers came.
    std::uint64_t onTime
        = 0; ///< First event within the objective of the first attempt, no long pause.
    std::uint64_t onTimeAfterRefusal = 0; ///< Within the objective of the attempt that was served.
    std::uint64_t served = 0;
    std::uint64_t pauses = 0; ///< Served with a pause over 250 ms.
    std::uint64_t refusals = 0; ///< Attempts.
    std::uint64_t refusalsEarly = 0; ///< Of these, within a quarter of the objective.
    std::uint64_t cameBack = 0;
    std::uint64_t cameBackServed = 0;
    std::uint64_t items = 0;
    std::uint64_t itemsOnTime = 0;
    double idleSlotSeconds = 0; ///< Left by online requests while items waited or ran.
    double batchSlotSeconds = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t late = 0; ///< First event after the objective of the first attempt.
    std::uint64_t otherZone = 0; ///< Sent to a server outside the zone of the entry host.
    std::uint64_t newPromptTokens = 0; ///< Shared parts counted once. The rest is read again.
    double completionP50Ms = 0; ///< Last event after the first attempt.
    double completionP99Ms = 0;
    double firstEventP50Ms = 0;
    double firstEventP99Ms = 0;
    SchedulerCost cost;

    bool operator==(const TrialReport &) const = default;
};

/// Plays a load in virtual time. The same seed gives the same load for every scheduler.
TrialReport playTrial(const TrialLoad &load, std::uint64_t seed,
                      const std::function<Scheduler(SchedulerWorld)> &makeScheduler);

} // namespace persimmonlb::trial
