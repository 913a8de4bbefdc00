// Guards against a server that names a limit of requests and gets more: from the broker, from hosts
// that choose for themselves, or from both together.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/namedlimits.h"
#include "persimmonlb/slots/requestlimiter.h"
#include "persimmonlb/slots/slotbroker.h"
#include "persimmonlb/slots/slotclient.h"
#include "persimmonlb/testing/laterqueue.h"

using namespace persimmonlb;
using persimmonlb::testing::LaterQueue;

namespace
{

const MonotonicTime start{std::chrono::hours(1)};
const ServerProcess process{ServerId{"s1"}, 1};
const ServiceName named{"named"};

std::vector<FleetServer> viewWithLimit(std::uint64_t requestsPerKs)
{
    FleetServer server;
    server.id = process.server;
    server.bornMs = process.bornMs;
    server.service = named;
    server.requestsPerKs = requestsPerKs;
    return {server};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLimiterTest)

BOOST_AUTO_TEST_CASE(allowsEverythingWithoutRate)
{
    RequestLimiter limiter;
    for (int count = 0; count < 100; ++count) {
        BOOST_TEST(limiter.allowsRequest(start));
        limiter.take(start);
    }
}

BOOST_AUTO_TEST_CASE(allowsTheRateAndABurst)
{
    RequestLimiter limiter;
    limiter.setRate(2.5, 2, 1, start);
    int sent = 0;
    for (int ms = 0; ms < 10000; ms += 10) {
        const MonotonicTime now = start + Milliseconds(ms);
        while (limiter.allowsRequest(now)) {
            limiter.take(now);
            ++sent;
        }
    }
    BOOST_TEST(sent >= 24);
    BOOST_TEST(sent <= 27);
    const MonotonicTime later = start + std::chrono::minutes(5);
    sent = 0;
    BOOST_TEST(limiter.allowsBurst(later));
    while (limiter.allowsRequest(later)) {
        limiter.take(later);
        BOOST_TEST(!limiter.allowsBurst(later));
        ++sent;
    }
    BOOST_TEST(sent == 2);
}

BOOST_AUTO_TEST_CASE(keepsWhatIsLeftWhenTheRateChanges)
{
    RequestLimiter limiter;
    limiter.setRate(1, 2, 1, start);
    limiter.take(start);
    limiter.setRate(100, 2, 1, start);
    BOOST_TEST(!limiter.allowsRequest(start));
    limiter.setRate(0, 2, 1, start);
    BOOST_TEST(limiter.allowsRequest(start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NamedLimitsTest)

BOOST_AUTO_TEST_CASE(reportsALimitUntilTheViewHasIt)
{
    NamedLimits limits;
    limits.setView(viewWithLimit(0));
    BOOST_TEST(!limits.hasLimit(named));
    BOOST_TEST(limits.note(named, process, 2400, start));
    BOOST_TEST(!limits.note(named, process, 2400, start));
    BOOST_TEST(limits.limitOf(process) == 2400U);
    BOOST_TEST(limits.hasLimit(named));
    BOOST_TEST(limits.takeReports(start, Milliseconds(100)).size() == 1U);
    BOOST_TEST(limits.takeReports(start, Milliseconds(100)).empty());
    BOOST_TEST(limits.takeReports(start + Milliseconds(100), Milliseconds(100)).size() == 1U);
    limits.leaderChanged();
    BOOST_TEST(limits.takeReports(start + Milliseconds(110), Milliseconds(100)).size() == 1U);
    limits.setView(viewWithLimit(2400));
    BOOST_TEST(limits.takeReports(start + std::chrono::seconds(1), Milliseconds(100)).empty());
    BOOST_TEST(limits.limitOf(process) == 2400U);
}

/// Guards against a host that was out of touch and reports what a server named long ago.
BOOST_AUTO_TEST_CASE(reportsNoLimitThatWasNotNamedLately)
{
    NamedLimits limits;
    limits.setView(viewWithLimit(2400));
    limits.note(named, process, 0, start);
    limits.leaderChanged();
    BOOST_TEST(limits.takeReports(start + std::chrono::seconds(3), Milliseconds(100)).empty());
    // What the view says holds again, until a response says otherwise.
    BOOST_TEST(limits.limitOf(process) == 2400U);
    limits.note(named, process, 0, start + std::chrono::seconds(4));
    BOOST_TEST(limits.takeReports(start + std::chrono::seconds(4), Milliseconds(100)).size() == 1U);
}

/// Guards against a host without a leader that forgets a limit, as it rarely sends to that server.
BOOST_AUTO_TEST_CASE(keepsALimitThatTheViewDoesNotHave)
{
    NamedLimits limits;
    limits.setView(viewWithLimit(0));
    limits.note(named, process, 2400, start);
    BOOST_TEST(limits.takeReports(start + std::chrono::minutes(1), Milliseconds(100)).empty());
    BOOST_TEST(limits.limitOf(process) == 2400U);
}

BOOST_AUTO_TEST_CASE(endsALimitThatIsNoLongerNamed)
{
    NamedLimits limits;
    limits.setView(viewWithLimit(2400));
    BOOST_TEST(!limits.note(named, process, 2400, start));
    BOOST_TEST(limits.note(named, process, 0, start));
    BOOST_TEST(limits.limitOf(process) == 0U);
    const auto reports = limits.takeReports(start, Milliseconds(100));
    BOOST_REQUIRE_EQUAL(reports.size(), 1U);
    BOOST_TEST(reports[0].requestsPerKs == 0U);
}

BOOST_AUTO_TEST_CASE(takesALaterViewInPlaceOfAnOlderResponse)
{
    NamedLimits limits;
    limits.setView(viewWithLimit(2400));
    limits.note(named, process, 3000, start);
    limits.setView(viewWithLimit(2400));
    BOOST_TEST(limits.limitOf(process) == 3000U);
    limits.setView(viewWithLimit(0));
    BOOST_TEST(limits.limitOf(process) == 0U);
    BOOST_TEST(limits.takeReports(start, Milliseconds(100)).empty());
}

BOOST_AUTO_TEST_CASE(forgetsServersThatAreGone)
{
    NamedLimits limits;
    limits.setView(viewWithLimit(0));
    limits.note(named, process, 2400, start);
    limits.setView({});
    BOOST_TEST(limits.limitOf(process) == 0U);
    BOOST_TEST(limits.limitOf({process.server, 2}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

const ServiceName service{"lm"};
const HostId leader{"b1"};
constexpr int tickMs = 20;
constexpr int learntAtMs = 1000;
constexpr int runMs = 16000;
constexpr int connectivityWindowMs = 3000;
constexpr int countedMs = 4000;
constexpr int holdMs = 300;

struct FleetOptions {
    int hosts = 12;
    int servers = 6;
    double limitPerSecond = 2.4; ///< Of each server.
    int requestsPerSecond = 60;
    bool brokered = true;
    int leaderLostFromMs = 0; ///< For two seconds; 0: never.
    int restartedAtMs = 0; ///< Of the first host; 0: never.
    int namedUntilMs = runMs; ///< Servers name no limit from then on.
};

/// Entry hosts and the broker of the leader. Servers name their limit from learntAtMs on, in
/// responses that begin at once.
class LimitedFleet
{
public:
    explicit LimitedFleet(FleetOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seededRandom(seed))
        , broker_(SlotBrokerOptions{}, clock_, seededRandom(seed + 1),
                  SlotBrokerHooks{.grant =
                                      [this](const HostId &to, const SlotGrant &grant) {
                                          post([this, to, grant] {
                                              hosts_.at(to)->receive(leader, grant);
                                          });
                                      },
                                  .refuse =
                                      [this](const HostId &to, const SlotRefusal &refusal) {
                                          post([this, to, refusal] {
                                              hosts_.at(to)->receive(leader, refusal);
                                          });
                                      },
                                  .yieldBatch = nullptr,
                                  .batchMayStart = nullptr})
    {
        view_.term = 1;
        view_.leader = leader;
        for (int number = 0; number < options_.servers; ++number) {
            FleetServer server;
            server.id = ServerId{"s" + std::to_string(number)};
            server.bornMs = 1;
            server.service = service;
            server.address = server.id.value + ":80";
            server.slots = 8;
            view_.servers.push_back(server);
        }
        for (int number = 0; number < options_.hosts; ++number) {
            FleetEntry entry;
            entry.host = hostId(number);
            view_.entries.push_back(entry);
        }
        for (int number = 0; number < options_.hosts; ++number) {
            startHost(hostId(number));
        }
        publish();
    }

    void play()
    {
        for (ms_ = 0; ms_ < runMs; ++ms_) {
            now_ += Milliseconds(1);
            later_.run();
            deliver();
            if (options_.restartedAtMs > 0 && ms_ == options_.restartedAtMs) {
                startHost(hostId(0));
            }
            if (random_() % 1000 < static_cast<std::uint64_t>(options_.requestsPerSecond)) {
                arrive();
            }
            if (ms_ % tickMs == 0) {
                tick();
            }
        }
    }

    /// Returns the most requests that a server got in four seconds, from the connectivity window
    /// after it first named its limit.
    [[nodiscard]] std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (const auto &[server, times] : sent_) {
            for (std::size_t first = 0; first < times.size(); ++first) {
                if (times[first] < learntAtMs + connectivityWindowMs) {
                    continue;
                }
                const auto last = std::ranges::upper_bound(times, times[first] + countedMs);
                most = std::max(most, static_cast<std::size_t>(last - times.begin()) - first);
            }
        }
        return most;
    }

    [[nodiscard]] std::size_t sentAfter(int ms) const
    {
        std::size_t count = 0;
        for (const auto &[server, times] : sent_) {
            count += static_cast<std::size_t>(
                std::ranges::count_if(times, [ms](int at) { return at >= ms; }));
        }
        return count;
    }

private:
    static HostId hostId(int number)
    {
        return HostId{"e" + std::to_string(number)};
    }

    [[nodiscard]] bool isLeaderLost() const
    {
        constexpr int lossMs = 2000;
        return options_.leaderLostFromMs > 0 && ms_ >= options_.leaderLostFromMs
            && ms_ < options_.leaderLostFromMs + lossMs;
    }

    void startHost(const HostId &host)
    {
        const auto toLeader = [this](std::function<void()> deliver) {
            if (!isLeaderLost()) {
                post(std::move(deliver));
            }
            return !isLeaderLost();
        };
        SlotClientHooks hooks;
        hooks.request = [this, host, toLeader](const HostId &, const SlotRequest &request) {
            return toLeader([this, host, request] { broker_.request(host, request); });
        };
        hooks.end = [this, host, toLeader](const HostId &, const SlotEnd &end) {
            return toLeader([this, host, end] { broker_.end(host, end); });
        };
        hooks.reportHeldSlots = [this, host, toLeader](const HostId &, const SlotsHeld &held) {
            return toLeader([this, host, held] {
                broker_.setHeldSlots(host, held);
                post([this, host] { hosts_.at(host)->brokerResponded(leader); });
            });
        };
        hooks.reportServerLeaving = [](const HostId &, const ServerLeaving &) {
            return true;
        };
        hooks.reportServerLimit = [this, toLeader](const HostId &, const ServerLimit &limit) {
            return toLeader([this, limit] {
                for (FleetServer &server : view_.servers) {
                    if (server.id == limit.server && server.requestsPerKs != limit.requestsPerKs) {
                        server.requestsPerKs = limit.requestsPerKs;
                        isViewNew_ = true;
                    }
                }
            });
        };
        hooks.capacityOf = [](const ServiceName &) {
            return SlotCapacity{8, 0};
        };
        hooks.isBrokered = [this](const ServiceName &) {
            return options_.brokered;
        };
        hooks.later = [this](std::function<void()> fn) {
            later_.put(std::move(fn));
        };
        hosts_[host] = std::make_unique<SlotClient>(SlotClientOptions{.self = host}, clock_,
                                                    seededRandom(random_()), std::move(hooks));
        broker_.hostLost(host);
        hosts_[host]->setView(view_);
    }

    void arrive()
    {
        constexpr std::uint64_t startWithinMs = 300;
        constexpr std::uint64_t giveUpAfterMs = 1600;
        const HostId host = hostId(static_cast<int>(random_() % options_.hosts));
        SlotRequest request;
        request.service = service;
        request.startWithinMs = startWithinMs;
        request.giveUpAfterMs = giveUpAfterMs;
        SlotClient *client = hosts_.at(host).get();
        const auto ticket = std::make_shared<std::uint64_t>(0);
        *ticket = client->acquire(request, [this, host, client, ticket](const SlotAnswer &answer) {
            if (answer.server.empty()) {
                return;
            }
            sent_[answer.server].push_back(ms_);
            post([this, host, client, ticket] {
                const bool isLimited = ms_ >= learntAtMs && ms_ < options_.namedUntilMs;
                if (hosts_.at(host).get() == client) {
                    client->noteServerLimit(
                        *ticket,
                        isLimited ? static_cast<std::uint64_t>(options_.limitPerSecond * 1000) : 0);
                }
            });
            postAfter(holdMs, [this, host, client, ticket] {
                if (hosts_.at(host).get() == client) {
                    client->end(*ticket, SlotOutcome::Completed);
                }
            });
        });
    }

    void tick()
    {
        for (auto &[id, host] : hosts_) {
            host->tick();
        }
        if (isLeaderLost()) {
            return;
        }
        broker_.tick();
        if (isViewNew_ && ms_ % 100 == 0) {
            isViewNew_ = false;
            publish();
        }
    }

    void publish()
    {
        ++view_.version;
        broker_.setServers(view_.servers, [](const ServiceName &) { return SlotCapacity{8, 0}; });
        for (auto &[id, host] : hosts_) {
            post([this, id = id, view = view_] { hosts_.at(id)->setView(view); });
        }
    }

    void post(std::function<void()> fn)
    {
        constexpr int messageDelayMs = 2;
        postAfter(messageDelayMs, std::move(fn));
    }
    void postAfter(int delayMs, std::function<void()> fn)
    {
        messages_.emplace(ms_ + delayMs, std::move(fn));
    }
    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= ms_) {
            const auto fn = messages_.begin()->second;
            messages_.erase(messages_.begin());
            fn();
            later_.run();
        }
    }

    FleetOptions options_;
    RandomSource random_;
    int ms_ = 0;
    MonotonicTime now_ = start;
    Clock clock_{.monotonic = [this] { return now_; },
                 .wall =
                     [] {
                         return WallTime();
                     }};
    FleetView view_;
    bool isViewNew_ = false;
    LaterQueue later_;
    std::multimap<int, std::function<void()>> messages_;
    SlotBroker broker_;
    std::map<HostId, std::unique_ptr<SlotClient>> hosts_;
    std::map<ServerId, std::vector<int>> sent_; ///< Times of requests, in milliseconds.
};

void checkFleet(const FleetOptions &options)
{
    constexpr double countedSeconds = 4;
    // The users' bound: one and a half times what the limit allows, and five more.
    const double allowed = 1.5 * countedSeconds * options.limitPerSecond + 5;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        LimitedFleet fleet(options, seed);
        fleet.play();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(static_cast<double>(fleet.mostInWindow()) <= allowed);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLimitsLoadTest)

BOOST_AUTO_TEST_CASE(keepsTheLimitOfServersThroughTheBroker)
{
    for (const double limit : {0.5, 2.4, 10.0}) {
        checkFleet({.limitPerSecond = limit});
    }
}

BOOST_AUTO_TEST_CASE(keepsTheLimitWithoutABroker)
{
    for (const double limit : {2.4, 10.0}) {
        checkFleet({.limitPerSecond = limit, .brokered = false});
    }
}

BOOST_AUTO_TEST_CASE(keepsTheLimitOnALargeFleetWithoutABroker)
{
    checkFleet({.hosts = 100, .limitPerSecond = 2.4, .brokered = false});
}

BOOST_AUTO_TEST_CASE(keepsTheLimitWhileTheLeaderIsLostOrAHostRestarts)
{
    for (const int ms : {900, 1100, 4500, 7000}) {
        checkFleet({.leaderLostFromMs = ms});
        checkFleet({.restartedAtMs = ms});
        checkFleet({.leaderLostFromMs = ms, .restartedAtMs = ms + 500});
    }
}

/// Guards against a limit that is kept although the server names it no more.
BOOST_AUTO_TEST_CASE(endsTheLimitWhenServersNameItNoMore)
{
    for (const bool brokered : {true, false}) {
        constexpr int namedUntilMs = 8000;
        LimitedFleet fleet(
            {.limitPerSecond = 2.4, .brokered = brokered, .namedUntilMs = namedUntilMs}, 1);
        fleet.play();
        // Six servers run 60 requests a second without a limit, and 14.4 with it.
        const double seconds = (runMs - namedUntilMs - connectivityWindowMs) / 1000.0;
        const auto sent = static_cast<double>(fleet.sentAfter(namedUntilMs + connectivityWindowMs));
        BOOST_TEST(sent >= 50 * seconds);
    }
}

/// A limit that is kept too strictly refuses callers for whom a server would have had room.
BOOST_AUTO_TEST_CASE(usesMostOfWhatTheLimitsAllow)
{
    for (const bool brokered : {true, false}) {
        const FleetOptions options{.limitPerSecond = 2.4, .brokered = brokered};
        LimitedFleet fleet(options, 1);
        fleet.play();
        const double seconds = (runMs - learntAtMs - connectivityWindowMs) / 1000.0;
        const double allowed = options.servers * options.limitPerSecond * seconds;
        const auto used = static_cast<double>(fleet.sentAfter(learntAtMs + connectivityWindowMs));
        BOOST_TEST(used >= 0.8 * allowed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
