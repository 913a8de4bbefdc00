#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/relay/relayservice.h"
#include "persimmonlb/testing/trial/fleetmodel.h"
#include "persimmonlb/testing/virtualtime.h"

namespace persimmonlb::trial
{

/// One attempt of a caller at an entry host.
struct Attempt {
    std::uint64_t number = 0;
    std::size_t entry = 0;
    std::uint32_t priority = 0;
    Milliseconds objective{300}; ///< Until the first event.
    Milliseconds callerWaits{5000};
    bool cameBack = false; ///< Was refused before.
    std::string prompt;
    std::uint32_t events = 0;
    /// As the caller names them; empty: not named.
    std::vector<PromptPart> promptParts = {};
    AvailabilityZone availabilityZone = {}; ///< Of the entry host; empty: none.

    bool operator==(const Attempt &) const = default;
};

struct BatchItem {
    std::string prompt;
    std::uint32_t events = 0;

    bool operator==(const BatchItem &) const = default;
};

/// What a scheduler decides, told to the trial.
struct Decisions {
    std::function<void(std::uint64_t attempt, std::size_t server)> send;
    std::function<void(std::uint64_t attempt, Milliseconds retryAfter)> refuse;
    /// A batch item is complete.
    std::function<void(std::uint64_t item)> itemDone;
};

/// What a scheduler cost.
struct SchedulerCost {
    std::uint64_t messages = 0; ///< Between hosts, for choosing servers.
    std::uint64_t batchEvents = 0; ///< Events of batch runs, each counted once.
    std::uint64_t batchEventsAgain = 0; ///< Made a second time.
    std::chrono::nanoseconds deciding{0}; ///< Real time spent on requests and their ends.

    bool operator==(const SchedulerCost &) const = default;
};

/// Adds the real time of its life to a sum.
class Stopwatch
{
public:
    explicit Stopwatch(std::chrono::nanoseconds &sum)
        : sum_(sum)
    {
    }
    Stopwatch(const Stopwatch &) = delete;
    Stopwatch &operator=(const Stopwatch &) = delete;
    ~Stopwatch()
    {
        sum_ += std::chrono::steady_clock::now() - begin_;
    }

private:
    std::chrono::nanoseconds &sum_;
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
};

/// A way to choose servers for online requests and batch items. Runs of online requests are the
/// trial's, which reports their ends; runs of batch items are the scheduler's own.
struct Scheduler {
    std::function<void(const Attempt &attempt)> arrive;
    /// The attempt was sent and is over. `whole`: its last event came.
    std::function<void(std::uint64_t attempt, std::size_t server, bool whole)> ended;
    std::function<void(std::vector<std::pair<std::uint64_t, BatchItem>> items, Milliseconds dueIn)>
        acceptJob;
    /// A server went away or came back, as discovery tells it.
    std::function<void(std::size_t server, bool up)> serverChanged;
    std::function<std::uint32_t()> batchRunning;
    std::function<SchedulerCost()> cost;
};

/// Makes a Scheduler of an object with a member function for each hook, and begins it.
template <typename Object>
Scheduler schedulerOf(std::shared_ptr<Object> object)
{
    object->begin();
    Scheduler scheduler;
    scheduler.arrive = [object](const Attempt &attempt) {
        object->arrive(attempt);
    };
    scheduler.ended = [object](std::uint64_t attempt, std::size_t server, bool whole) {
        object->ended(attempt, server, whole);
    };
    scheduler.acceptJob = [object](const std::vector<std::pair<std::uint64_t, BatchItem>> &items,
                                   Milliseconds dueIn) {
        object->acceptJob(items, dueIn);
    };
    scheduler.serverChanged = [object](std::size_t server, bool up) {
        object->serverChanged(server, up);
    };
    scheduler.batchRunning = [object] {
        return object->batchRunning();
    };
    scheduler.cost = [object] {
        return object->cost;
    };
    return scheduler;
}

/// From the sending to the first event, as the relay allows for it.
inline Milliseconds firstEventAllowance()
{
    return RelayOptions{}.firstEventAllowance;
}

inline constexpr std::size_t entryHosts = 12; ///< Of each site.

struct SchedulerWorld {
    VirtualTime &time;
    FleetModel &fleet;
    RandomSource random;
    std::size_t entries = entryHosts;
    Microseconds hop{1500}; ///< One way between two hosts.
    Decisions decisions;
};

/// The product's slot broker and bulk runner, in one leader.
Scheduler makeBrokerScheduler(SchedulerWorld world);
/// The same with learned speeds (SlotBrokerOptions::learnsSpeeds).
Scheduler makeLearningBrokerScheduler(SchedulerWorld world);

/// How entry hosts choose without a broker.
struct ViewOptions {
    enum class Choice : std::uint8_t { LeastLoaded, RoundRobin, OwnLeastInFlight };

    Choice choice = Choice::LeastLoaded;
    Milliseconds interval{300}; ///< Between two looks at what others have in flight.
    Milliseconds lag{100}; ///< Age of a look when it arrives.
    bool yields = true; ///< Batch runs give way to online requests.
    bool refuses = true; ///< Of what cannot start in time; else the server's queue takes it.
    bool peers = false; ///< Looks come from other entry hosts, not from servers.

    bool operator==(const ViewOptions &) const = default;
};

/// Every entry host picks by its own view; one batch owner does so too.
Scheduler makeViewScheduler(SchedulerWorld world, ViewOptions options);

} // namespace persimmonlb::trial
