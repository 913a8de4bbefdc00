// Guards against a part of prompts that crashes servers again and again while requests of one route
// come at all hosts, some of which are cut off or restarted, and the leader is lost.
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/crashes/runverdictreporter.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t sharedPart = 1;
constexpr std::uint64_t deadlyPart = 2;
constexpr std::uint64_t firstSoundPart = 10;
constexpr int soundParts = 20;
constexpr int hostCount = 12;
constexpr int serverCount = 9;
constexpr int runMs = 30000;
constexpr int connectivityWindowMs = 3000;
constexpr int serverRestartMs = 3000;
constexpr int responseBeginsAfterMs = 40;
constexpr int responseEndsAfterMs = 600;
constexpr int messageDelayMs = 2;
constexpr int crashesUntilKnown = 5;

enum class Disturbance : std::uint8_t {
    None,
    HostCutOff, ///< From the leader and all hosts, for two seconds.
    HostRestarted,
    LeaderLost, ///< Another host leads 1.5 s later.
    AllAtOnce,
};

/// Entry hosts, servers and a leader in steps of one millisecond.
class FleetModel
{
public:
    FleetModel(std::uint64_t seed, Disturbance disturbance, double deadlyShare)
        : random_(seededRandom(seed))
        , disturbance_(disturbance)
        , deadlyShare_(deadlyShare)
        , disturbedAtMs_(500 + static_cast<int>(random_() % 6000))
    {
        for (int number = 0; number < hostCount; ++number) {
            startHost(number);
        }
        servers_.resize(serverCount);
        ledger_ = std::make_unique<CrashLedger>(CrashLedgerOptions{}, clock_);
    }

    void play()
    {
        for (ms_ = 0; ms_ < runMs; ++ms_) {
            now_ += Milliseconds(1);
            disturb();
            if (random_() % 1000 < requestsPerSecond) {
                arrive();
            }
            advanceRuns();
            tickHosts();
            tickLeader();
            deliver();
        }
    }

    int crashes = 0;
    int lateDeadlyRuns
        = 0; ///< By hosts in touch, after the fifth crash and the connectivity window.
    int soundRequests = 0;
    int refusedSoundRequests = 0;

private:
    static constexpr std::uint64_t requestsPerSecond = 35;

    struct Host {
        std::unique_ptr<CrashSuspectCache> cache;
        std::unique_ptr<RunVerdictReporter> reporter;
        int disturbedUntilMs = -connectivityWindowMs; ///< Cut off or restarting until then.
    };
    struct Server {
        std::uint64_t bornMs = 1;
        int backAtMs = 0;
    };
    struct Run {
        int host = 0;
        int server = 0;
        std::uint64_t request = 0;
        std::vector<std::uint64_t> parts;
        int startedAtMs = 0;
        int attempts = 1;
        bool began = false;
    };
    struct Message {
        int atMs = 0;
        int toHost = 0; ///< -1: to the leader.
        std::optional<RunVerdict> verdict;
        std::optional<CrashSuspects> list;
    };

    static bool isDeadly(const std::vector<std::uint64_t> &parts)
    {
        return parts.back() == deadlyPart;
    }

    void startHost(int number)
    {
        Host &host = hosts_[number];
        host.reporter.reset();
        host.cache
            = std::make_unique<CrashSuspectCache>(clock_, HostId{"e" + std::to_string(number)});
        host.reporter = std::make_unique<RunVerdictReporter>(
            RunVerdictReporterOptions{}, clock_, *host.cache,
            [this, number](const RunVerdict &verdict) {
                if (!ledger_ || ms_ < hosts_[number].disturbedUntilMs) {
                    return false;
                }
                messages_.push_back({ms_ + messageDelayMs, -1, verdict, std::nullopt});
                return true;
            });
    }

    void disturb()
    {
        const bool all = disturbance_ == Disturbance::AllAtOnce;
        if (ms_ == disturbedAtMs_) {
            if (all || disturbance_ == Disturbance::HostCutOff) {
                hosts_[0].disturbedUntilMs = ms_ + 2000;
            }
            if (all || disturbance_ == Disturbance::HostRestarted) {
                startHost(1);
                hosts_[1].disturbedUntilMs = ms_ + 300;
            }
            if (all || disturbance_ == Disturbance::LeaderLost) {
                ledger_.reset();
                lostLeaderUntilMs_ = ms_ + 1500;
            }
        }
        if (!ledger_ && ms_ >= lostLeaderUntilMs_) {
            ++term_;
            ledger_ = std::make_unique<CrashLedger>(CrashLedgerOptions{}, clock_);
            // A storage host learns the list as the entry hosts do.
            ledger_->adopt(hosts_[2].cache->currentSuspects());
            pushedVersion_ = 0;
            for (auto &[number, host] : hosts_) {
                host.reporter->leaderChanged();
            }
        }
    }

    [[nodiscard]] bool isInTouch(const Host &host) const
    {
        return ms_ >= host.disturbedUntilMs + connectivityWindowMs
            && ms_ >= lostLeaderUntilMs_ + connectivityWindowMs;
    }

    void arrive()
    {
        const int host = static_cast<int>(random_() % hostCount);
        const bool deadly = static_cast<double>(random_() % 10000) < deadlyShare_ * 10000;
        const std::uint64_t second = deadly ? deadlyPart : firstSoundPart + random_() % soundParts;
        const std::uint64_t request = 1000 + nextRequest_++;
        if (!deadly) {
            ++soundRequests;
        }
        if (!send({host, 0, request, {sharedPart, second}, ms_, 1, false}) && !deadly) {
            ++refusedSoundRequests;
        }
    }

    /// Returns false if the host refuses the request.
    bool send(Run run)
    {
        Host &host = hosts_[run.host];
        std::vector<std::uint64_t> fingerprints{run.request};
        fingerprints.insert(fingerprints.end(), run.parts.begin(), run.parts.end());
        if (host.cache->blockedFor(fingerprints).count() > 0) {
            return false;
        }
        std::vector<int> up;
        for (int number = 0; number < serverCount; ++number) {
            if (ms_ >= servers_[number].backAtMs) {
                up.push_back(number);
            }
        }
        if (up.empty()) {
            return true;
        }
        host.cache->recordSent(fingerprints);
        run.server = up[random_() % up.size()];
        run.startedAtMs = ms_;
        run.began = false;
        const bool late = knownSinceMs_ && ms_ > *knownSinceMs_ + connectivityWindowMs;
        if (isDeadly(run.parts) && late && isInTouch(host)) {
            ++lateDeadlyRuns;
        }
        runs_.push_back(std::move(run));
        return true;
    }

    void advanceRuns()
    {
        std::set<int> crashed;
        for (Run &run : runs_) {
            if (run.began || ms_ < run.startedAtMs + responseBeginsAfterMs) {
                continue;
            }
            if (isDeadly(run.parts)) {
                crashed.insert(run.server);
                continue;
            }
            run.began = true;
            hosts_[run.host].reporter->record({.fingerprint = 0,
                                               .server = serverId(run.server),
                                               .broken = false,
                                               .bornMs = servers_[run.server].bornMs,
                                               .parts = run.parts});
        }
        std::vector<Run> aborted;
        std::erase_if(runs_, [&](const Run &run) {
            if (crashed.contains(run.server)) {
                aborted.push_back(run);
            }
            return crashed.contains(run.server) || ms_ >= run.startedAtMs + responseEndsAfterMs;
        });
        for (const Run &run : aborted) {
            RunVerdict verdict{.fingerprint = run.request,
                               .server = serverId(run.server),
                               .broken = true,
                               .bornMs = servers_[run.server].bornMs};
            if (!run.began) {
                verdict.parts = run.parts;
            }
            hosts_[run.host].reporter->record(verdict);
        }
        for (const int number : crashed) {
            ++crashes;
            servers_[number].backAtMs = ms_ + serverRestartMs;
            ++servers_[number].bornMs;
            if (crashes == crashesUntilKnown) {
                knownSinceMs_ = ms_;
            }
        }
        for (Run &run : aborted) {
            if (run.attempts < 2) {
                ++run.attempts;
                send(std::move(run));
            }
        }
    }

    static ServerId serverId(int number)
    {
        return ServerId{"s" + std::to_string(number)};
    }

    void tickHosts()
    {
        if (ms_ % 20 != 0) {
            return;
        }
        for (auto &[number, host] : hosts_) {
            host.reporter->tick();
        }
    }

    void tickLeader()
    {
        if (!ledger_ || ms_ % 100 != 0) {
            return;
        }
        ledger_->tick();
        if (ledger_->version() == pushedVersion_ && ms_ % 1000 != 0) {
            return;
        }
        pushedVersion_ = ledger_->version();
        std::vector<HostId> probers;
        probers.reserve(hostCount);
        for (int number = 0; number < hostCount; ++number) {
            probers.push_back(HostId{"e" + std::to_string(number)});
        }
        CrashSuspects list = ledger_->suspects(probers);
        list.term = term_;
        for (int number = 0; number < hostCount; ++number) {
            messages_.push_back({ms_ + messageDelayMs, number, std::nullopt, list});
        }
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(messages_, [&](const Message &message) {
            if (message.atMs <= ms_) {
                due.push_back(message);
            }
            return message.atMs <= ms_;
        });
        for (const Message &message : due) {
            if (message.verdict && ledger_) {
                ledger_->recordVerdict(*message.verdict);
            }
            if (message.list && ms_ >= hosts_[message.toHost].disturbedUntilMs) {
                hosts_[message.toHost].cache->update(*message.list);
            }
        }
    }

    RandomSource random_;
    Disturbance disturbance_;
    double deadlyShare_;
    int disturbedAtMs_;
    int ms_ = 0;
    MonotonicTime now_{std::chrono::hours(1)};
    Clock clock_{.monotonic = [this] { return now_; },
                 .wall =
                     [] {
                         return WallTime();
                     }};
    std::map<int, Host> hosts_;
    std::vector<Server> servers_;
    std::vector<Run> runs_;
    std::vector<Message> messages_;
    std::unique_ptr<CrashLedger> ledger_;
    std::uint64_t term_ = 1;
    std::uint64_t pushedVersion_ = 0;
    int lostLeaderUntilMs_ = -connectivityWindowMs;
    std::uint64_t nextRequest_ = 0;
    std::optional<int> knownSinceMs_;
};

constexpr std::uint64_t seeds = 20;
constexpr int maxLateRuns = 3;

void checkFleet(Disturbance disturbance, double deadlyShare)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetModel model(seed, disturbance, deadlyShare);
        model.play();
        BOOST_TEST_CONTEXT("seed " << seed << ", " << model.crashes << " crashes")
        {
            BOOST_TEST(model.lateDeadlyRuns <= maxLateRuns);
            BOOST_TEST(model.refusedSoundRequests == 0);
            BOOST_TEST(model.soundRequests > 0);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptPartsLoadTest)

BOOST_AUTO_TEST_CASE(blocksOnlyTheDeadlyPartInACalmFleet)
{
    for (const double share : {0.02, 0.05, 0.2}) {
        checkFleet(Disturbance::None, share);
    }
}

BOOST_AUTO_TEST_CASE(blocksOnlyTheDeadlyPartWhileAHostIsCutOff)
{
    checkFleet(Disturbance::HostCutOff, 0.05);
}

BOOST_AUTO_TEST_CASE(blocksOnlyTheDeadlyPartWhileAHostRestarts)
{
    checkFleet(Disturbance::HostRestarted, 0.05);
}

BOOST_AUTO_TEST_CASE(blocksOnlyTheDeadlyPartWhileTheLeaderIsLost)
{
    for (const double share : {0.05, 0.2}) {
        checkFleet(Disturbance::LeaderLost, share);
    }
}

BOOST_AUTO_TEST_CASE(blocksOnlyTheDeadlyPartWhileAllOfThatHappens)
{
    for (const double share : {0.05, 0.2}) {
        checkFleet(Disturbance::AllAtOnce, share);
    }
}

BOOST_AUTO_TEST_SUITE_END()
