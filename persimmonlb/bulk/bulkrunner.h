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
    /// Initial values of the moving averages of events per item and of time per event. A response
    /// has about 2,000 tokens, in events of 8 tokens each.
    double initialEventsPerItem = 250;
    double initialMsPerEvent = 25;
    /// Slack is the time until an item is due less the time that it still needs. An item with less
    /// slack than this may also take slots of the reserve that batch runs leave free for online
    /// requests.
    Milliseconds urgentSlack{2000};
    /// Weight of the slack in an item's cost, which is the remaining work plus the weighted slack;
    /// the item with the lowest cost starts first. Ordering by remaining work alone starves long
    /// items; ordering by slack alone makes all items late under overload.
    double slackWeight = 0.25;
    /// A run does not yield its slot to online requests if its slack is between zero and
    /// `minSlackToYield`, or if its remaining time is below `minRemainingToYield` and can be
    /// estimated (see isOverlong()).
    Milliseconds minSlackToYield{300};
    Milliseconds minRemainingToYield{700};
    /// A run fails if its server sends no event for this long; another run then resumes the item.
    Milliseconds eventTimeout{1500};
    /// Delay before an item is retried after its server reported a failure or sent too long an
    /// output, or after the item could not be read.
    Milliseconds failureBackoff{500};
    /// Delay before an item is retried after its server refused it, or sent a stream in which an
    /// event is missing or too long. After refusals in a row it doubles up to `maxRefusalBackoff`.
    Milliseconds refusalBackoff{100};
    Milliseconds maxRefusalBackoff{2000};
    /// From so many refusals of an item in a row on, they say nothing of the servers, which may be
    /// refusing this item alone.
    std::uint32_t refusalsOfItem = 3;
    /// Servers may abort this many runs of an item before further retries are delayed. The delay
    /// begins at `failureBackoff` and doubles up to `maxAbortBackoff`.
    std::uint32_t abortsWithoutBackoff = 2;
    Milliseconds maxAbortBackoff{4000};
    /// Delay before an unconfirmed outcome is proposed again.
    Milliseconds proposalRetryDelay{500};
    /// Added to the time at which a job's items are abandoned: the clock of the host that accepted
    /// the job, or of the leader, may have been started while the time of day was 2 s off.
    Milliseconds abandonMargin{2500};
    /// Interval at which the progress of items is saved. An item is skipped until it has at least
    /// `minEventsToSave` unsaved events.
    Milliseconds saveInterval{1000};
    std::uint64_t minEventsToSave = 24;
    std::size_t maxStartsPerCall = 16; ///< Maximum number of items that startItems() starts.
    /// Delay before a search over all runs or items that found nothing is repeated: one tick.
    Milliseconds searchRetryDelay{20};
    /// Minimum interval between two searches for data of ended items. After a caller ends its job,
    /// the next tick ends the job's runs without waiting for this interval.
    Milliseconds cleanupInterval{100};
    /// An item with a longer output is restarted from its beginning: a faulty server may send
    /// events without end. About a hundred times the longest output of our backend servers.
    std::size_t maxOutputBytes = 4UL * 1024 * 1024;
    /// Maximum age of a server's report of the requests that it runs.
    Milliseconds runListMaxAge{1000};
};

struct BulkRunnerHooks {
    /// Returns the jobs, or null while this host is not the leader.
    std::function<const BulkTable *()> table;
    /// Returns the routes in force.
    std::function<std::shared_ptr<const RouteTable>()> routes;
    /// Proposes a command to the replicated state and calls `done` with its reply.
    std::function<void(const Command &command, std::function<void(Outcome<Reply>)> done)> propose;
    /// Returns the request for an item of a job that was submitted for `host`.
    std::function<HttpRequest(const std::string &host, const BulkItemSpec &item)> itemRequest;
    RelayCodec codec;
    HttpSend send;
    /// Called when a server announces in a response that it is leaving. The response is still being
    /// read, so the hook must not end the server's runs within the call.
    std::function<void(const ServerLeaving &leaving)> reportServerLeaving;
    /// Called with the limit that each response names, or with its absence. As above, within the
    /// call the hook must not end runs.
    std::function<void(const ServerLimit &limit)> reportServerLimit
        = [](const ServerLimit & /*limit*/) {
          };
};

/// Runs the items of bulk jobs on slots that online requests leave free.
///
/// A run may be ended after any event; a later run, on any server, resumes the item after that
/// event. Items with little remaining work or little slack start first; items that can no longer
/// complete before they are due start after those that can. Progress is saved to the replicated
/// state at intervals, so that another leader resumes from it.
///
/// An item that cannot start now, whatever the reason, delays no other one: a search passes over
/// items that no server has room for, that may not take a slot of the reserve, and that were
/// refused or aborted lately. An item that can never run, as it is larger than the memory of each
/// server or no HTTP request can be made of it, is not sent, and ends when its job is abandoned.
///
/// An accepted item is owed whatever happens to the servers that run it: aborted runs delay its
/// next run, and neither block it nor count as attempts.
///
/// Not thread-safe.
class BulkRunner
{
public:
    BulkRunner(BulkRunnerOptions options, Clock clock, SlotBroker &broker, CrashLedger &crashes,
               Metrics &metrics, BulkRunnerHooks hooks);
    BulkRunner(const BulkRunner &) = delete;
    BulkRunner &operator=(const BulkRunner &) = delete;
    ~BulkRunner();

    /// Starts items on free slots of the service, at most `maxStartsPerCall` of them.
    void startItems(const ServiceName &service);
    /// Ends the service's run with the most slack and returns its slot, or nothing if no run may be
    /// ended. Runs that will be late in any case are ended first; runs on a server that may get no
    /// other request now, by the limit that it named, are kept.
    std::optional<BatchRunSlot> yield(const ServiceName &service);
    /// Ends the runs on all servers outside `usable`, such as draining or lost ones. Their items
    /// resume on other servers.
    void endRunsExceptOn(const std::set<ServerId> &usable);
    /// Returns the orphaned items among `ids`, the requests that the server reports as running:
    /// items that this host neither runs there nor ran there within `runListMaxAge`. Another leader
    /// sent them, and this host sends them again.
    [[nodiscard]] std::vector<std::string> orphansOf(const ServerId &server,
                                                     const std::vector<std::string> &ids) const;
    /// Ends every run and drops all unsaved progress. Call when this host stops being the leader.
    void stop();
    /// Ends runs of ended jobs and runs without progress, dead-letters overdue items, saves
    /// progress and repeats proposals. Call about every 20 ms.
    void tick();

    /// Returns the number of items that are running.
    [[nodiscard]] std::size_t runCount() const;

private:
    struct ItemKey {
        JobId job;
        std::uint32_t index = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
        auto operator<=>(const ItemKey &) const = default;
    };
    struct Progress {
        EventReader events;
        std::string output;
        std::uint64_t eventCount = 0; ///< Events received so far, over all runs.
        std::uint64_t savedEventCount = 0; ///< Events that are saved in the replicated state.
        std::size_t savedBytes = 0; ///< Bytes of `output` that are saved in the replicated state.
        std::uint64_t fingerprint = 0; ///< Identifies the item's request; 0 before its first run.
        std::uint32_t abortedRuns = 0; ///< Runs without an event that servers ended, in a row.
        std::uint32_t refusedRuns = 0; ///< Runs that servers refused, in a row.
        bool isUnsendable = false; ///< No HTTP request can be made of the item.
        MonotonicTime notBefore; ///< Earliest start of the next run.
        ServerId lastServer; ///< Server of the item's latest run from this host.
        MonotonicTime lastRunAt; ///< Time at which that run started or, once it has ended, ended.
    };
    struct Run {
        std::unique_ptr<HttpExchange> exchange;
        ServiceName service;
        BatchRunSlot slot;
        std::uint64_t serverStartedAtMs = 0; ///< Start time of the server's process.
        WallTime dueAt;
        ResponseClass responseClass = ResponseClass::Mismatched;
        std::uint16_t status = 0;
        MonotonicTime startedAt;
        MonotonicTime lastProgressAt; ///< Time of the last event, or of the start.
        std::uint64_t eventCountAtStart = 0; ///< Events received by earlier runs of the item.
        const Progress *progress = nullptr; ///< Owned by progress_, which outlives the run.
        std::uint64_t runNumber = 0; ///< Distinguishes this run from later runs of the item.
    };
    struct Candidate {
        ItemKey key;
        Milliseconds slack{0};
        bool willBeLate = false; ///< The item completes too late even if it starts now.
        Milliseconds cost{0}; ///< The candidate with the lowest cost starts first.
    };

    /// State of an item of an open job on this host. Lets the search for a candidate skip most
    /// items without further lookups.
    enum class LocalState : std::uint8_t {
        Untracked, ///< The item has had no run, event or outcome on this host.
        Idle, ///< Details are in progress_ and unrecordedOutcomes_.
        Running,
    };
    struct LocalItem {
        LocalState state = LocalState::Untracked;
        /// Entry of progress_, so that a search over all items needs no look-up for each; null if
        /// there was none when the state was set.
        const Progress *progress = nullptr;
    };
    using LocalItems = std::map<JobId, std::vector<LocalItem>>;

    /// Returns the estimated time to complete an item that has `events` events.
    [[nodiscard]] Milliseconds remainingTime(std::uint64_t events) const;
    /// Returns true if an item with `events` events has reached the average length of an item, so
    /// that its remaining time cannot be estimated.
    [[nodiscard]] bool isOverlong(std::uint64_t events) const;
    /// What may start at the time of a search.
    struct SearchLimits {
        std::uint64_t maxTokens = 0; ///< The most memory that any server has left.
        bool urgentOnly = false; ///< Only the slots of the reserve are free.
    };
    /// Returns nothing if no item may start on the service now.
    [[nodiscard]] std::optional<SearchLimits> searchLimits(const ServiceName &service);
    /// Returns the route that a job was submitted on, or null if it was removed.
    [[nodiscard]] static const Route *routeOf(const BulkJob &job, const RouteTable &routes);
    /// Returns the item of the service with the lowest cost among those that can start now, or
    /// nothing if none can.
    [[nodiscard]] std::optional<Candidate> nextCandidate(const BulkTable &table,
                                                         const ServiceName &service,
                                                         const RouteTable &routes,
                                                         const SearchLimits &limits) const;
    /// Times and limits of one search, read once for all items.
    struct Search {
        MonotonicTime monotonic;
        WallTime wall;
        SearchLimits limits;
    };
    /// Replaces `best` by the job's best item if that is better.
    void considerJob(const JobId &id, const BulkJob &job, const Search &search,
                     std::optional<Candidate> &best) const;
    /// True if an item with this slack may take a slot of the reserve.
    [[nodiscard]] bool isUrgent(Milliseconds slack) const;
    [[nodiscard]] const Progress *findProgress(const ItemKey &key) const;
    /// Removes the progress of an item that has ended.
    void eraseProgress(const ItemKey &key);
    void setLocalState(const ItemKey &key, LocalState state);
    void eraseRun(std::map<ItemKey, Run>::iterator run);
    enum class StartResult : std::uint8_t {
        Started,
        NoSlot,
        Unreadable, ///< The item is passed over for a while.
    };
    /// Takes a slot and starts a run.
    StartResult startRun(const BulkTable &table, const Candidate &candidate,
                         const ServiceName &service);
    HttpExchangeHooks exchangeHooks(const ItemKey &key, std::uint64_t runNumber);
    /// Returns the item's run if it is still run `runNumber`, or null.
    Run *findRun(const ItemKey &key, std::uint64_t runNumber);
    /// Returns the item from the replicated state, or null if its job has been removed or this host
    /// is not the leader.
    [[nodiscard]] const BulkItem *findItem(const ItemKey &key) const;
    void handleChunk(const ItemKey &key, std::uint64_t runNumber, std::string_view chunk);
    void handleExchangeEnd(const ItemKey &key, std::uint64_t runNumber, const HttpExchangeEnd &end);
    /// Ends the item's run, if any, and returns its slot.
    void endRun(const ItemKey &key, SlotOutcome outcome);
    /// Ends a failed run that does not count as an attempt; the item may start again after
    /// `backoff`.
    void failRun(const ItemKey &key, SlotOutcome outcome, std::string_view why,
                 Milliseconds backoff);
    /// Ends a run that its server refused.
    void handleRefusal(const ItemKey &key);
    /// Ends a run of which no request could be made; there will be no other one.
    void handleUnsendable(const ItemKey &key, std::string_view why);
    /// Returns why an item whose job is abandoned was not completed.
    [[nodiscard]] std::string_view reasonOfAbandoning(const ItemKey &key, const BulkJob &job) const;
    /// Counts a run that its server ended without an event and returns the delay of the next one.
    [[nodiscard]] Milliseconds backoffAfterAbort(Progress &progress) const;
    void completeRun(const ItemKey &key);
    /// Proposes an outcome to the replicated state until it is confirmed. The phase `Waiting` means
    /// a failed attempt; the table dead-letters the item after `maxAttempts` of these.
    void recordOutcome(const ItemKey &key, BulkItemPhase phase, std::string output,
                       std::string_view why);
    void proposeOutcome(const ItemKey &key);
    /// Returns the item's progress, read from the replicated state if this host has none.
    Progress &loadProgress(const BulkTable &table, const ItemKey &key);
    void saveProgress();
    void removeEnded(const BulkTable &table);
    void deadLetterOverdue(const BulkTable &table);
    void updateMsPerEvent(const Run &run, const Progress &progress);
    void updateLastRun(const ItemKey &key, const ServerId &server);

    BulkRunnerOptions options_;
    Clock clock_;
    SlotBroker &broker_;
    CrashLedger &crashes_;
    Metrics &metrics_;
    BulkRunnerHooks hooks_;
    std::map<ItemKey, Run> runs_;
    LocalItems localItems_; ///< Only of open jobs.
    /// Earliest time of the next search for a run that may yield. Set when a search found none;
    /// erased when a run starts.
    std::map<ServiceName, MonotonicTime> nextYieldSearch_;
    /// Earliest time of the next search for an urgent item. Set when no item was started.
    std::map<ServiceName, MonotonicTime> nextUrgentSearch_;
    MonotonicTime nextCleanup_;
    std::map<ItemKey, Progress> progress_;
    /// Outcomes that the replicated state has not confirmed yet.
    std::map<ItemKey, BulkOutcome> unrecordedOutcomes_;
    std::map<ItemKey, MonotonicTime> nextProposal_; ///< When to propose an outcome again.
    MonotonicTime nextSave_;
    std::uint64_t seenVersion_ = 0;
    std::uint64_t seenEndVersion_ = 0;
    std::uint64_t nextRunNumber_ = 1;
    double eventsPerItem_;
    double msPerEvent_;
    /// Expires with this object; callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace persimmonlb
