#include "persimmonlb/testing/trial/trial.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/testing/arrivals.h"

namespace persimmonlb::trial
{

namespace
{

// The sites' engine and callers (users' pages), in the units of EngineModel: one step of the model
// makes one event of eight tokens.
constexpr std::uint32_t engineSlots = 8;
constexpr Microseconds eventTime{12800}; ///< Alone; 24 ms on a full engine.
constexpr Microseconds prefillPerToken{8};
constexpr std::size_t firstParts = 8; ///< Shared prompt parts of 100 tokens, in two levels.
constexpr std::size_t secondParts = 459;
constexpr std::size_t partTokens = 100;
constexpr std::size_t ownTokens = 250;
// Deployment U: events of four tokens.
constexpr Microseconds unevenEventTime{9200};
constexpr Microseconds unevenPrefillPerToken{20};
constexpr std::uint64_t unevenMemoryTokens = 72000;
constexpr std::uint32_t unevenTokensPerEvent = 4;
constexpr double lowShare = 0.377; ///< Of the average rate, between bursts.
constexpr double burstFactor = 1.84 / lowShare;
constexpr Milliseconds burstEvery{6600};
constexpr Milliseconds burstLength{2800};
constexpr Milliseconds onlineJumpLength{4000};
constexpr Milliseconds batchJumpLength{3000};
constexpr Milliseconds lossLength{6000};
constexpr Milliseconds callerHop{3}; ///< One way between a caller and its entry host.
constexpr Milliseconds longestPause{250};
constexpr Milliseconds objective{300};
constexpr Milliseconds deadline{5000};
constexpr Milliseconds sampleInterval{20};
constexpr double itemsPerJob = 10;
constexpr Milliseconds drainTime{25000}; ///< After the load, for what still runs.

/// An open request of a caller.
struct Request {
    MonotonicTime firstAskedAt;
    MonotonicTime askedAt;
    MonotonicTime lastEventAt;
    Attempt attempt;
    std::uint32_t visits = 0;
    bool pause = false;
    bool begun = false;
    std::uint64_t run = 0;
};

std::string tokensOf(std::uint64_t seed, std::size_t tokens)
{
    const auto random = seededRandom(seed);
    std::string text;
    while (text.size() < tokens * engineBytesPerToken) {
        const std::uint64_t word = random();
        text.append(reinterpret_cast<const char *>(&word), sizeof(word));
    }
    text.resize(tokens * engineBytesPerToken);
    return text;
}

class Trial
{
public:
    Trial(const TrialLoad &load, std::uint64_t seed,
          const std::function<Scheduler(SchedulerWorld)> &makeScheduler);
    TrialReport play();

private:
    void scheduleOnline(PoissonArrivals &arrivals);
    void scheduleJobs(PoissonArrivals &arrivals, Microseconds from, Microseconds until);
    void scheduleLoss();
    void scheduleSlowServers();
    void ask(Request request);
    void send(std::uint64_t number, std::size_t server);
    void eventArrived(std::uint64_t number, std::size_t server, bool last);
    void refuse(std::uint64_t number, Milliseconds retryAfter);
    void comeBack(Request request, Milliseconds after);
    void itemDone(std::uint64_t number);
    void sample();
    std::uint32_t spread(std::uint32_t mean);
    [[nodiscard]] MonotonicTime now() const
    {
        return clock_.monotonic();
    }

    TrialLoad load_;
    VirtualTime time_;
    Clock clock_{time_.clock()};
    MonotonicTime begin_{clock_.monotonic()};
    RandomSource random_;
    FleetModel fleet_;
    Scheduler scheduler_;
    LatencyHistogram firstEvents_;
    LatencyHistogram completions_;
    std::set<std::uint64_t> sharedParts_; ///< Sent so far.
    TrialReport report_;
    std::map<std::uint64_t, Request> open_;
    std::map<std::uint64_t, MonotonicTime> itemsDue_;
    std::uint64_t nextNumber_ = 1;
};

FleetModelOptions fleetOptions(const TrialLoad &load)
{
    FleetModelOptions options;
    options.engine.slots = engineSlots;
    options.engine.tokenTime = eventTime;
    options.engine.prefillPerToken = prefillPerToken;
    options.servers = load.servers;
    if (load.unevenEngines) {
        options.engine.tokenTime = unevenEventTime;
        options.engine.prefillPerToken = unevenPrefillPerToken;
        options.engine.memoryTokens = unevenMemoryTokens;
        options.engine.tokensPerStep = unevenTokensPerEvent;
        options.speeds = {0.7, 0.7, 1.7};
        options.zones = 3;
    }
    return options;
}

Trial::Trial(const TrialLoad &load, std::uint64_t seed,
             const std::function<Scheduler(SchedulerWorld)> &makeScheduler)
    : load_(load)
    , random_(seededRandom(seed))
    , fleet_(fleetOptions(load), time_)
{
    Decisions decisions;
    decisions.send = [this](std::uint64_t number, std::size_t server) {
        send(number, server);
    };
    decisions.refuse = [this](std::uint64_t number, Milliseconds retryAfter) {
        refuse(number, retryAfter);
    };
    decisions.itemDone = [this](std::uint64_t number) {
        itemDone(number);
    };
    scheduler_ = makeScheduler({.time = time_,
                                .fleet = fleet_,
                                .random = seededRandom(seed + 1),
                                .decisions = std::move(decisions)});
}

std::uint32_t Trial::spread(std::uint32_t mean)
{
    // Between half and one and a half times the mean.
    const double share = 0.5 + uniformShare(random_);
    return std::max(1U, static_cast<std::uint32_t>(share * mean));
}

void Trial::scheduleOnline(PoissonArrivals &arrivals)
{
    while (true) {
        const Microseconds at = arrivals.next();
        if (at >= load_.length) {
            return;
        }
        const bool jump = at >= load_.jumpAt && at < load_.jumpAt + onlineJumpLength;
        // Arrivals are drawn at the highest rate and thinned out.
        const double share = jump ? 1 : 1 / load_.onlineJump;
        if (uniformShare(random_) > share) {
            continue;
        }
        Request request;
        request.attempt.entry = random_() % entryHosts;
        request.attempt.objective = objective;
        request.attempt.events = spread(load_.onlineEvents);
        const std::uint64_t own = random_();
        const std::uint64_t second = 100 + random_() % secondParts;
        const std::uint64_t first = 1 + random_() % firstParts;
        const std::size_t shared = partTokens * load_.longParts;
        report_.newPromptTokens += ownTokens;
        for (const std::uint64_t part : {first, combineHash(first, second)}) {
            report_.newPromptTokens += sharedParts_.insert(part).second ? shared : 0;
        }
        request.attempt.prompt
            = tokensOf(first, shared) + tokensOf(second, shared) + tokensOf(own, ownTokens);
        if (load_.unevenEngines) {
            request.attempt.availabilityZone
                = AvailabilityZone{std::to_string(request.attempt.entry % fleet_.zones())};
            request.attempt.promptParts
                = {{first, shared},
                   {combineHash(first, second), shared},
                   {combineHash(combineHash(first, second), own), ownTokens}};
        }
        time_.after(at, [this, request = std::move(request)]() mutable {
            ++report_.asked;
            request.firstAskedAt = now();
            ask(std::move(request));
        });
    }
}

void Trial::scheduleJobs(PoissonArrivals &arrivals, Microseconds from, Microseconds until)
{
    while (true) {
        const Microseconds at = arrivals.next();
        if (at >= until) {
            return;
        }
        if (at < from) {
            continue;
        }
        std::vector<std::pair<std::uint64_t, BatchItem>> items;
        const std::uint32_t count = spread(static_cast<std::uint32_t>(itemsPerJob));
        for (std::uint32_t i = 0; i < count; ++i) {
            report_.newPromptTokens += ownTokens;
            items.emplace_back(nextNumber_++,
                               BatchItem{.prompt = tokensOf(1 + random_() % 10, partTokens)
                                             + tokensOf(random_(), ownTokens),
                                         .events = spread(load_.itemEvents)});
        }
        time_.after(at, [this, items = std::move(items)] {
            for (const auto &[number, item] : items) {
                itemsDue_[number] = now() + load_.batchDueIn;
            }
            report_.items += items.size();
            scheduler_.acceptJob(items, load_.batchDueIn);
        });
    }
}

void Trial::scheduleLoss()
{
    for (std::size_t server = 0; server < load_.serversLost; ++server) {
        for (const bool up : {false, true}) {
            time_.after(load_.lossAt + (up ? lossLength : Milliseconds(0)), [this, server, up] {
                fleet_.setUp(server, up);
                scheduler_.serverChanged(server, up);
            });
        }
    }
}

void Trial::scheduleSlowServers()
{
    // From the last on: the first ones are those that `serversLost` takes away.
    for (std::size_t i = 1; i <= load_.serversSlow; ++i) {
        const std::size_t server = fleet_.size() - i;
        time_.after(load_.lossAt, [this, server] { fleet_.setSlowdown(server, load_.slowFactor); });
        time_.after(load_.lossAt + lossLength, [this, server] { fleet_.setSlowdown(server, 1); });
    }
}

void Trial::ask(Request request)
{
    request.askedAt = now();
    ++request.visits;
    request.begun = false;
    request.attempt.number = nextNumber_++;
    request.attempt.callerWaits = std::chrono::duration_cast<Milliseconds>(
        request.firstAskedAt + deadline - request.askedAt);
    const std::uint64_t number = request.attempt.number;
    const auto &opened = open_.emplace(number, std::move(request)).first->second;
    time_.after(callerHop, [this, attempt = opened.attempt] { scheduler_.arrive(attempt); });
}

void Trial::send(std::uint64_t number, std::size_t server)
{
    Request &request = open_.at(number);
    report_.otherZone += request.attempt.availabilityZone != fleet_.zoneOf(server) ? 1 : 0;
    RunHooks hooks;
    hooks.event = [this, number, server](std::uint32_t, bool last) {
        eventArrived(number, server, last);
    };
    hooks.lost = [this, number, server] {
        scheduler_.ended(number, server, false);
        const auto found = open_.find(number);
        Request lost = std::move(found->second);
        open_.erase(found);
        comeBack(std::move(lost), Milliseconds(0));
    };
    request.run
        = fleet_.start(server, request.attempt.prompt, 0, request.attempt.events, std::move(hooks));
}

void Trial::eventArrived(std::uint64_t number, std::size_t server, bool last)
{
    Request &request = open_.at(number);
    const MonotonicTime seen = now() + callerHop;
    if (!request.begun) {
        request.begun = true;
        const auto sinceFirst = seen - request.firstAskedAt;
        firstEvents_.add(sinceFirst);
        report_.late += sinceFirst > objective ? 1 : 0;
        report_.onTime += sinceFirst <= objective ? 1 : 0;
        report_.onTimeAfterRefusal
            += sinceFirst > objective && seen - request.askedAt <= objective ? 1 : 0;
    } else if (seen - request.lastEventAt > longestPause && !request.pause) {
        request.pause = true;
        ++report_.pauses;
    }
    request.lastEventAt = seen;
    if (!last) {
        return;
    }
    completions_.add(seen - request.firstAskedAt);
    ++report_.served;
    report_.cameBackServed += request.visits > 1 ? 1 : 0;
    open_.erase(number);
    scheduler_.ended(number, server, true);
}

void Trial::refuse(std::uint64_t number, Milliseconds retryAfter)
{
    const auto found = open_.find(number);
    Request refused = std::move(found->second);
    open_.erase(found);
    ++report_.refusals;
    report_.refusalsEarly += now() + callerHop - refused.askedAt <= objective / 4 ? 1 : 0;
    comeBack(std::move(refused), retryAfter);
}

void Trial::comeBack(Request request, Milliseconds after)
{
    if (request.visits > 1) {
        return;
    }
    const auto left
        = std::chrono::duration_cast<Milliseconds>(request.firstAskedAt + deadline - now());
    const Milliseconds wait = std::min(after, left / 3) + callerHop;
    request.attempt.cameBack = true;
    ++report_.cameBack;
    time_.after(wait, [this, request = std::move(request)] { ask(request); });
}

void Trial::itemDone(std::uint64_t number)
{
    report_.itemsOnTime += now() <= itemsDue_.at(number) ? 1 : 0;
    itemsDue_.erase(number);
}

void Trial::sample()
{
    const double seconds = std::chrono::duration<double>(sampleInterval).count();
    std::uint32_t slots = 0;
    std::uint32_t taken = 0;
    for (std::size_t server = 0; server < fleet_.size(); ++server) {
        slots += fleet_.isUp(server) ? fleet_.slots() : 0;
        taken += std::min(fleet_.load(server), fleet_.slots());
    }
    const std::uint32_t batch = std::min(scheduler_.batchRunning(), taken);
    // Idle slots are batch's to use only as far as items are there.
    const auto wanted = static_cast<std::uint32_t>(itemsDue_.size());
    report_.idleSlotSeconds += std::min(slots - (taken - batch), wanted) * seconds;
    report_.batchSlotSeconds += batch * seconds;
    if (now() - begin_ < load_.length) {
        time_.after(sampleInterval, [this] { sample(); });
    }
}

TrialReport Trial::play()
{
    PoissonArrivals online({.perSecond = load_.onlinePerSecond * lowShare * load_.onlineJump,
                            .burstEvery = burstEvery,
                            .burstLength = burstLength,
                            .burstFactor = burstFactor},
                           random_);
    scheduleOnline(online);
    if (load_.jobsPerSecond > 0) {
        PoissonArrivals jobs({.perSecond = load_.jobsPerSecond}, random_);
        scheduleJobs(jobs, Microseconds(0), load_.length);
        PoissonArrivals more({.perSecond = load_.jobsPerSecond * (load_.batchJump - 1)}, random_);
        scheduleJobs(more, load_.jumpAt, load_.jumpAt + batchJumpLength);
    }
    scheduleLoss();
    scheduleSlowServers();
    sample();
    time_.run(load_.length + drainTime);
    report_.promptTokens = fleet_.promptTokens();
    report_.cachedTokens = fleet_.cachedTokens();
    report_.completionP50Ms = completions_.quantileMs(0.5);
    report_.completionP99Ms = completions_.quantileMs(0.99);
    report_.firstEventP50Ms = firstEvents_.quantileMs(0.5);
    report_.firstEventP99Ms = firstEvents_.quantileMs(0.99);
    report_.cost = scheduler_.cost();
    return report_;
}

} // namespace

TrialReport playTrial(const TrialLoad &load, std::uint64_t seed,
                      const std::function<Scheduler(SchedulerWorld)> &makeScheduler)
{
    return Trial(load, seed, makeScheduler).play();
}

} // namespace persimmonlb::trial
