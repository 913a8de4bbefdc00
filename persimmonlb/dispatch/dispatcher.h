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

/// A ready backend server whose batch owner is this host.
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
    Milliseconds itemTimeout{600000}; ///< One attempt, from sending to its whole answer.
    Milliseconds completeInterval{20}; ///< Outcomes gather this long before they are recorded.
    Milliseconds maxWait{5000}; ///< An item that cannot start here for this long goes back.
    Milliseconds refusedServerPause{500}; ///< After a server refused or could not be reached.
};

struct DispatcherHooks {
    /// Services with batch work, and the policy of each.
    std::function<std::vector<ServiceName>()> services;
    std::function<BatchPolicy(const ServiceName &)> policy;
    std::function<ServiceKind(const ServiceName &)> kind;
    std::function<std::vector<DispatchServer>(const ServiceName &)> servers;
    /// False while this host must not start work (not in force, or draining).
    std::function<bool()> mayStart;
    /// Whether earlier runs of a body may have crashed, or did crash, servers.
    std::function<Suspicion(const std::string &fingerprint)> suspicion;
    /// Asks for the right to run a suspect on a server; returns its id. `done` may be called at
    /// once.
    std::function<std::uint64_t(const std::string &fingerprint, const ServerId &,
                                std::function<void(Outcome<Done>)> done)>
        acquirePermit;
    /// Gives the right back, or stops asking for it.
    std::function<void(std::uint64_t permit, PermitEnd)> releasePermit;
    std::function<void(const LeaseItems &, std::function<void(Outcome<LeaseReply>)>)> lease;
    std::function<void(const CompleteItems &, std::function<void(Outcome<CompleteReply>)>)>
        complete;
    HttpSend send;
    /// The number of batch items in flight on a server changed by `change`.
    std::function<void(const ServerId &, int change)> inFlightChanged;
    /// A server broke connections with these bodies in flight.
    std::function<void(const ServerId &, const std::vector<std::string> &fingerprints)> serverLost;
};

/// Sends leased batch items to the servers that this host owns, within the policy's bound, and
/// records every outcome.
///
/// Example:
///   Dispatcher dispatcher(options, systemClock(), hooks);
///   dispatcher.tick();                    // each 20 ms
///   dispatcher.yield(server, 2);          // an online request would wait there
///
/// An item that yields waits here again; the lease on it stays. Items that are not idempotent are
/// sent at most once per lease and never yield. Not thread-safe; must outlive the exchanges it
/// started.
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, Clock clock, DispatcherHooks hooks);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    ~Dispatcher();

    void tick();

    /// Batch items of these services wait to be leased.
    void noteWork(const std::vector<ServiceName> &services);

    /// Cancels up to `slots` idempotent items on a server, the newest first. Returns how many.
    std::uint32_t yield(const ServerId &server, std::uint32_t slots);

    /// Drops waiting items of these jobs and cancels running ones.
    void cancelJobs(const std::vector<JobId> &jobs);

    /// Cancels what runs on a server that is gone; the attempts count as failed.
    void serverGone(const ServerId &server);

    /// While draining, gives waiting items back and starts nothing new.
    void setDraining(bool draining);

    /// Items running, waiting or not yet recorded.
    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::uint32_t inFlight(const ServerId &server) const;

private:
    struct Running {
        LeasedItem item;
        ServiceName service;
        ServerId server;
        std::string fingerprint;
        std::uint16_t status = 0;
        bool refusedNotRun = false;
        bool tooLarge = false;
        std::string body;
        std::unique_ptr<HttpExchange> exchange;
        std::optional<std::uint64_t> permit; ///< Of a suspect.
    };
    struct WaitingItem {
        LeasedItem item;
        MonotonicTime since;
    };
    struct ServiceQueue {
        std::deque<WaitingItem> waiting;
        bool leasing = false;
        bool moreWaits = false;
        std::uint64_t sequence = 0;
    };

    void startWaiting(const ServiceName &service, ServiceQueue &queue);
    void giveBackStale(ServiceQueue &queue, bool ownsServers);
    void wait(const ServiceName &service, LeasedItem item);
    [[nodiscard]] std::uint32_t freeSlots(const DispatchServer &server,
                                          const BatchPolicy &policy) const;
    void leaseMore(const ServiceName &service, ServiceQueue &queue, std::uint32_t wanted);
    void takeLease(const ServiceName &service, const Outcome<LeaseReply> &reply);
    void startItem(const ServiceName &service, const DispatchServer &server, LeasedItem item);
    void askForPermit(std::uint64_t id, const std::string &address);
    void takePermit(std::uint64_t id, const std::string &address, const Outcome<Done> &granted);
    void send(std::uint64_t id, const std::string &address);
    void convict(const LeasedItem &item);
    void end(std::uint64_t id, const HttpExchangeEnd &end);
    void release(std::uint64_t id, PermitEnd permitEnd = PermitEnd::NotRun);
    void record(const LeasedItem &item, ItemOutcomeKind kind, std::uint16_t status,
                std::string body);
    void flushOutcomes();
    [[nodiscard]] static ItemOutcomeKind classify(const Running &run, const HttpExchangeEnd &end);

    DispatcherOptions options_;
    Clock clock_;
    DispatcherHooks hooks_;
    std::map<ServiceName, ServiceQueue> queues_;
    std::map<std::uint64_t, Running> running_;
    std::map<ServerId, std::uint32_t> inFlight_;
    std::map<ServerId, MonotonicTime> pausedUntil_;
    std::set<JobId> cancelled_;
    std::vector<ItemOutcome> outcomes_;
    std::vector<ItemOutcome> recording_;
    MonotonicTime nextFlush_;
    std::uint64_t nextRun_ = 1;
    bool draining_ = false;
};

} // namespace persimmonlb
