#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/dispatch/batchpolicy.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/routing/suspects.h"
#include "persimmonlb/state/command.h"

namespace persimmonlb
{

/// A ready backend server whose batch owner (the host that sends batch items to it) is this host.
struct DispatchServer {
    ServerId server;
    std::string address;
    BatchLoad load;

    bool operator==(const DispatchServer &) const = default;
};

struct DispatcherOptions {
    Owner self;
    std::uint32_t maxInFlightPerServer = 256;
    std::uint32_t maxLeasePerRequest = 512;
    std::uint64_t maxResultBytes = 4ULL * 1024 * 1024;
    Milliseconds itemTimeout{600000}; ///< For one attempt, from sending to the complete response.
    Milliseconds completeInterval{20}; ///< Minimum time between two batches of recorded outcomes.
    Milliseconds maxWait{5000}; ///< An item that waits here longer is returned to the queue
                                ///< of its job.
    Milliseconds serverBackoff{500}; ///< Time without new items for a server, after an attempt
                                     ///< there that failed or was not run.
};

struct DispatcherHooks {
    /// Returns the services that can have batch work.
    std::function<std::vector<ServiceName>()> services;
    std::function<BatchPolicy(const ServiceName &)> policy;
    std::function<ServiceKind(const ServiceName &)> kind;
    /// Returns the ready servers of a service whose batch owner is this host.
    std::function<std::vector<DispatchServer>(const ServiceName &)> servers;
    /// Returns whether this host may start work: false while it is not in force or is draining.
    std::function<bool()> mayStart;
    /// Returns whether earlier runs of a body are suspected of crashing servers, or are quarantined
    /// for it.
    std::function<Suspicion(const std::string &fingerprint)> suspicion;
    /// Requests a permit to run a suspect on a server and returns the id of the permit. `done` may
    /// be called before this returns.
    std::function<std::uint64_t(const std::string &fingerprint, const ServerId &,
                                std::function<void(Outcome<Done>)> done)>
        acquirePermit;
    /// Releases a permit, or cancels the request for it.
    std::function<void(std::uint64_t permit, PermitEnd)> releasePermit;
    std::function<void(const LeaseItems &, std::function<void(Outcome<LeaseReply>)>)> lease;
    std::function<void(const CompleteItems &, std::function<void(Outcome<CompleteReply>)>)>
        complete;
    HttpSend send;
    /// Called when the number of batch items in flight on a server changes by `change`.
    std::function<void(const ServerId &, int change)> inFlightChanged;
    /// Called when a connection to a server broke after requests with these body fingerprints were
    /// sent on it.
    std::function<void(const ServerId &, const std::vector<std::string> &fingerprints)> serverLost;
    /// Called with the head of each response to an item.
    std::function<void(const ServerId &, const HttpResponseHead &head)> headReceived
        = [](const ServerId & /*server*/, const HttpResponseHead & /*head*/) {
          };
};

/// Leases batch items from the control group, sends them to the servers that this host owns, within
/// the limit of the service's policy, and records the outcome of each item.
///
/// Example:
///   Dispatcher dispatcher(options, systemClock(), hooks);
///   dispatcher.tick();                    // every 20 ms
///   dispatcher.yield(server, 2);          // online requests need these slots
///
/// An item that yields goes back to the waiting items of this host, which keeps its lease. Items
/// that are not idempotent are sent at most once per lease and never yield. Not thread-safe. Must
/// outlive the exchanges that it started.
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, Clock clock, DispatcherHooks hooks);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    ~Dispatcher();

    /// Records outcomes that are due, starts waiting items and leases more of them. Call
    /// periodically.
    void tick();

    /// Reports that batch items of these services are waiting to be leased.
    void notifyPendingWork(const std::vector<ServiceName> &services);

    /// Cancels up to `slots` idempotent items that run on a server, the newest first, and requeues
    /// them. Returns the number of cancelled items.
    std::uint32_t yield(const ServerId &server, std::uint32_t slots);

    /// Drops the waiting items of these jobs and cancels the running ones, without recording an
    /// outcome for them.
    void cancelJobs(const std::vector<JobId> &jobs);

    /// Cancels the items that run on a lost server and records their attempts as failed.
    void handleServerLoss(const ServerId &server);

    /// Starts or ends draining. While draining, returns waiting items to the queues of their jobs
    /// and starts no items.
    void setDraining(bool draining);

    /// Returns the number of items that are running, waiting or not yet recorded, plus the number
    /// of lease requests in flight.
    [[nodiscard]] std::size_t heldItems() const;
    [[nodiscard]] std::uint32_t inFlight(const ServerId &server) const;

private:
    struct RunningItem {
        LeasedItem item;
        ServiceName service;
        ServerId server;
        std::string fingerprint;
        std::uint16_t status = 0;
        bool refusedBeforeRun = false;
        bool tooLarge = false;
        std::string body;
        std::unique_ptr<HttpExchange> exchange;
        std::optional<std::uint64_t> permit; ///< Set while a suspect holds or requests one.
    };
    struct WaitingItem {
        LeasedItem item;
        MonotonicTime since;
    };
    struct ServiceQueue {
        std::deque<WaitingItem> waiting;
        bool leaseInFlight = false;
        bool hasPendingItems = false;
        std::uint64_t sequence = 0; ///< Of the last lease request that did not fail.
    };

    void startWaitingItems(const ServiceName &service, ServiceQueue &queue);
    /// Returns items that waited for `maxWait`, or all items if this host owns no server of the
    /// service, to the queues of their jobs.
    void returnStaleItems(ServiceQueue &queue, bool ownsAnyServer);
    /// Puts an item in front of the waiting items; its waiting time starts again.
    void requeue(const ServiceName &service, LeasedItem item);
    /// Returns how many more items may start on a server; 0 while it is in backoff.
    [[nodiscard]] std::uint32_t freeSlots(const DispatchServer &server,
                                          const BatchPolicy &policy) const;
    void leaseMore(const ServiceName &service, ServiceQueue &queue, std::uint32_t wanted);
    void handleLeaseReply(const ServiceName &service, const Outcome<LeaseReply> &reply);
    void startItem(const ServiceName &service, const DispatchServer &server, LeasedItem item);
    void requestPermit(std::uint64_t id, const std::string &address);
    void handlePermitReply(std::uint64_t id, const std::string &address,
                           const Outcome<Done> &granted);
    void send(std::uint64_t id, const std::string &address);
    void recordQuarantined(const LeasedItem &item);
    void handleExchangeEnd(std::uint64_t id, const HttpExchangeEnd &end);
    /// Removes a running item, releases its permit and frees its place on the server.
    void endRun(std::uint64_t id, PermitEnd permitEnd = PermitEnd::NotRun);
    void record(const LeasedItem &item, ItemOutcomeKind kind, std::uint16_t status,
                std::string body);
    void flushOutcomes();
    [[nodiscard]] static ItemOutcomeKind classify(const RunningItem &run,
                                                  const HttpExchangeEnd &end);

    DispatcherOptions options_;
    Clock clock_;
    DispatcherHooks hooks_;
    std::map<ServiceName, ServiceQueue> queues_;
    std::map<std::uint64_t, RunningItem> running_;
    std::map<ServerId, std::uint32_t> inFlight_;
    std::map<ServerId, MonotonicTime> backoffUntil_;
    std::set<JobId> cancelled_;
    std::vector<ItemOutcome> outcomes_;
    std::vector<ItemOutcome> recording_; ///< Sent to the control group, not yet acknowledged.
    MonotonicTime nextFlush_;
    std::uint64_t nextRun_ = 1;
    bool draining_ = false;
};

} // namespace persimmonlb
