#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/bulk/bulktable.h"
#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/relay/eventreader.h"
#include "persimmonlb/relay/relayrequest.h"
#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

struct BulkRunnerOptions {
    /// Until enough items have ended: an answer of some 2,000 tokens in events of 8.
    double initialEvents = 250;
    double initialEventMs = 25;
    /// An item with less slack takes slots from the reserve too.
    Milliseconds urgentSlack{2000};
    /// Which item goes first: work left, plus this share of the slack. Work left alone would starve
    /// long items, slack alone makes all items late once there are too many.
    double slackShare = 0.25;
    /// A run with less slack, or that ends this soon, is not ended for online requests.
    Milliseconds keptSlack{300};
    Milliseconds keptRest{700};
    /// A server that shows no event for so long is left for another one.
    Milliseconds eventPatience{1500};
    /// Before an item that failed, or was refused by its server, is tried again.
    Milliseconds failurePause{500};
    Milliseconds refusalPause{100};
    /// Before a record whose fate is unknown is proposed again.
    Milliseconds recordRetry{500};
    /// An item is given up this much later than allowed: the clock of the host that accepted it, or
    /// of the leader, may have been started while the time of day was 2 s off.
    Milliseconds abandonMargin{2500};
    /// What runs have produced is saved this often, if it is at least so many events.
    Milliseconds saveInterval{1000};
    std::uint64_t leastEventsToSave = 24;
    std::size_t maxStartsAtOnce = 16;
    /// Before a search over all runs or items is repeated that found nothing: one tick.
    Milliseconds searchPause{20};
    /// How often what is kept of ended items is looked for; runs of a job that its caller ends are
    /// ended at once.
    Milliseconds dropInterval{100};
    /// An item with a longer output is begun anew: its server sends without end. Some hundred times
    /// the longest output of our engines.
    std::size_t maxOutputBytes = 4UL * 1024 * 1024;
    /// What a server says of its runs may be so old.
    Milliseconds loadAge{1000};
};

struct BulkRunnerHooks {
    /// The jobs, or null while this host does not lead.
    std::function<const BulkTable *()> table;
    /// The routes in force.
    std::function<std::shared_ptr<const RouteTable>()> routes;
    std::function<void(const Command &command, std::function<void(Outcome<Reply>)> done)> propose;
    std::function<HttpRequest(const std::string &host, const BulkItemSpec &item)> itemRequest;
    RelayCodec codec;
    HttpSend send;
    /// A server said in an answer that it leaves. It may be the one whose answer is being read: its
    /// runs must not be ended within this call.
    std::function<void(const ServerLeaving &leaving)> serverLeaves;
};

/// Runs the items of bulk jobs on slots that online requests leave.
///
/// A run may be ended at any event; the item goes on behind that event later, on any server. Items
/// with little work left or little slack come first; those that can no longer be in time come after
/// those that can.
/// What items have so far is saved now and then, so that another leader goes on there. Not
/// thread-safe.
class BulkRunner
{
public:
    BulkRunner(BulkRunnerOptions options, Clock clock, SlotBroker &broker, CrashLedger &crashes,
               Metrics &metrics, BulkRunnerHooks hooks);
    BulkRunner(const BulkRunner &) = delete;
    BulkRunner &operator=(const BulkRunner &) = delete;
    ~BulkRunner();

    /// Starts items of the service while slots are free.
    void startItems(const ServiceName &service);
    /// Ends the run of the service that has the most time to spare.
    std::optional<BatchRunSlot> yield(const ServiceName &service);
    /// Runs on servers that drain or are gone end, to go on elsewhere.
    void keepOnly(const std::set<ServerId> &usable);
    /// Of the requests with these ids that the server runs, items that it does not run for this
    /// host: another one sent them, and they are sent again from here.
    [[nodiscard]] std::vector<std::string> orphansOf(const ServerId &server,
                                                     const std::vector<std::string> &ids) const;
    /// Ends every run: this host does not lead any more.
    void stop();
    /// Ends runs of ended jobs, gives up what is too old. Call each 20 ms or so.
    void tick();

    [[nodiscard]] std::size_t running() const;

private:
    struct Key {
        JobId job;
        std::uint32_t index = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
        auto operator<=>(const Key &) const = default;
    };
    struct Progress {
        EventReader events;
        std::string output;
        std::uint64_t count = 0; ///< Events so far.
        std::uint64_t savedCount = 0; ///< Of these, saved in the replicated state.
        std::size_t savedBytes = 0; ///< Of `output`.
        std::uint64_t fingerprint = 0; ///< Of the item's request; 0 before its first run.
        MonotonicTime notBefore;
        ServerId lastServer; ///< That ran it for this host.
        MonotonicTime lastRunAt; ///< When that run began or ended.
    };
    struct Run {
        std::unique_ptr<HttpExchange> exchange;
        ServiceName service;
        BatchRunSlot slot;
        std::uint64_t bornMs = 0; ///< Which start of the server.
        WallTime dueAt;
        ResponseClass answerClass = ResponseClass::Mismatched;
        std::uint16_t status = 0;
        MonotonicTime startedAt;
        MonotonicTime progressAt;
        std::uint64_t startedWith = 0; ///< Events before this run.
        const Progress *progress = nullptr; ///< Of progress_, which keeps it while the run lasts.
        std::uint64_t number = 0; ///< Tells a run of an item from a later one.
    };
    struct Candidate {
        Key key;
        Milliseconds slack{0};
        bool hopeless = false; ///< Will be late even if it starts now.
        Milliseconds cost{0}; ///< The lowest goes first.
    };

    /// What is known here of an item of an open job, so that a choice looks up few of them.
    enum class Touch : std::uint8_t {
        None, ///< Nothing is known here: no run, no events, no outcome.
        Idle, ///< progress_ and unrecorded_ say more.
        Runs,
    };
    using Touches = std::map<JobId, std::vector<Touch>>;

    /// Time that an item needs which has so many events.
    [[nodiscard]] Milliseconds remaining(std::uint64_t events) const;
    /// True for an item that already has more events than is usual: nobody knows how many it needs.
    [[nodiscard]] bool isOverlong(std::uint64_t events) const;
    [[nodiscard]] std::optional<Candidate> next(const BulkTable &table, const ServiceName &service,
                                                const RouteTable &routes) const;
    /// Puts the job's best item into `best` when it is better.
    void choose(const JobId &id, const BulkJob &job, WallTime now,
                std::optional<Candidate> &best) const;
    [[nodiscard]] bool mayRun(const Key &key) const;
    void touch(const Key &key, Touch touch);
    void eraseRun(std::map<Key, Run>::iterator run);
    bool start(const BulkTable &table, const Candidate &candidate, const ServiceName &service);
    HttpExchangeHooks exchangeHooks(const Key &key, std::uint64_t number);
    Run *find(const Key &key, std::uint64_t number);
    /// The item in the replicated state; null while this host does not lead, or when it is gone.
    [[nodiscard]] const BulkItem *itemOf(const Key &key) const;
    void chunkArrived(const Key &key, std::uint64_t number, std::string_view chunk);
    void exchangeEnded(const Key &key, std::uint64_t number, const HttpExchangeEnd &end);
    void endRun(const Key &key, SlotOutcome outcome);
    void runFailed(const Key &key, SlotOutcome outcome, std::string_view why, Milliseconds pause);
    void completed(const Key &key);
    void record(const Key &key, BulkItemPhase phase, std::string output, std::string_view why);
    void propose(const Key &key);
    Progress &progressOf(const BulkTable &table, const Key &key);
    void saveProgress();
    void dropEnded(const BulkTable &table);
    void abandonOld(const BulkTable &table);
    void noteSpeed(const Run &run, const Progress &progress);
    void noteRun(const Key &key, const ServerId &server);

    BulkRunnerOptions options_;
    Clock clock_;
    SlotBroker &broker_;
    CrashLedger &crashes_;
    Metrics &metrics_;
    BulkRunnerHooks hooks_;
    std::map<Key, Run> runs_;
    Touches touches_; ///< Of open jobs.
    /// Until then no run is looked for that could give way: none was found, and none has begun.
    std::map<ServiceName, MonotonicTime> nothingToYieldUntil_;
    /// Until then no urgent item is looked for: none was found.
    std::map<ServiceName, MonotonicTime> nothingUrgentUntil_;
    MonotonicTime nextDrop_;
    std::map<Key, Progress> progress_;
    std::map<Key, BulkOutcome> unrecorded_; ///< Ended here, not yet in the replicated state.
    std::map<Key, MonotonicTime> proposeAgain_;
    MonotonicTime nextSave_;
    std::uint64_t seenVersion_ = 0;
    std::uint64_t seenEndings_ = 0;
    std::uint64_t nextRun_ = 1;
    double eventsPerItem_;
    double eventMs_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace persimmonlb
