#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/slots/fairshares.h"
#include "persimmonlb/slots/prefixcache.h"
#include "persimmonlb/slots/requestlimiter.h"
#include "persimmonlb/slots/serverspeed.h"

namespace persimmonlb
{

struct SlotBrokerOptions {
    AvailabilityZone availabilityZone; ///< Zone of this host, which sends the batch runs.
    /// Share of a service's slots that is kept free of batch runs, so that ordinary variation of
    /// the online load does not interrupt them. Ignored for runs that would miss their due time.
    double batchReserve = 0.06;
    /// Assumed hold time of a slot until the first one is released: a response of about 300 tokens.
    Milliseconds initialHoldTime{900};
    /// Extra time that a retried request may wait beyond its objective: a second refusal is worse
    /// for its caller than a late response.
    Milliseconds retryGrace{600};
    /// Backoff of a server that is unreachable or fails repeatedly; doubles with each consecutive
    /// failure, up to `maxBackoff`.
    Milliseconds initialBackoff{400};
    Milliseconds maxBackoff{4000};
    /// Backoff of a server that refused a request although the broker counted a free slot.
    Milliseconds refusalBackoff{40};
    /// How long the orphaned requests derived from a server's load report are counted.
    Milliseconds orphanedLoadTtl{1200};
    /// Greatest age of a server's load report; the platform specifies "some hundred milliseconds".
    Milliseconds maxLoadReportAge{400};
    /// Consecutive failures until a server is in backoff; a single one may be caused by the
    /// request.
    std::uint32_t failuresUntilBackoff = 2;
    std::size_t maxQueued = 4096; ///< Queued requests of all services together.
    /// Requests that a server with a limit may get at once after a pause: as many as its limit
    /// allows in `burstTime`, but at least `minBurst`. A batch run is started only if all of them
    /// are allowed, so that bursts of online requests find the server ready.
    Milliseconds burstTime{1500};
    double minBurst = 2;
    /// A limit becomes known to several hosts at once; those that choose locally must not all send
    /// a request then. If true, a server allows the first request after a random part of the
    /// interval between two.
    bool staggersFirstRequest = false;
    /// Servers are chosen by the expected completion time of the request, from learned speeds and
    /// from the prompt parts that each server probably still holds (docs/design/server-choice.md).
    bool learnsSpeeds = false;
};

/// The server and the cache tokens that a batch run occupies.
struct BatchRunSlot {
    ServerId server;
    std::uint64_t tokens = 0;

    bool operator==(const BatchRunSlot &) const = default;
};

/// The hooks may call the broker. They are called after its state is consistent, never while it
/// iterates over it; except for yieldBatch(), one after the other in the order of the decisions.
struct SlotBrokerHooks {
    /// Delivers a grant. Also called, with a grant without a server, when a request is queued.
    std::function<void(const HostId &to, const SlotGrant &grant)> grant;
    std::function<void(const HostId &to, const SlotRefusal &refusal)> refuse;
    /// Ends the batch run of the service that loses the least work and returns its slot, which the
    /// broker then counts as free. Returns nothing when no run may be ended. Other hooks that are
    /// due because of broker calls inside this one are called later.
    std::function<std::optional<BatchRunSlot>(const ServiceName &service)> yieldBatch;
    /// Called when no request of the service is queued, so that batch runs may take free slots.
    std::function<void(const ServiceName &service)> batchMayStart;
};

/// Limits of a service's servers, from the routes in force.
struct SlotCapacity {
    std::uint32_t slots = 0; ///< Per server; 0: the number that the server announces.
    std::uint64_t cacheTokens = 0; ///< Per server; 0: unlimited.
    bool stopsRuns = false; ///< The servers can stop orphaned runs by id.

    bool operator==(const SlotCapacity &) const = default;
};

/// Current use of a service's slots.
struct SlotUsage {
    std::uint32_t slots = 0; ///< On servers that are neither draining nor in backoff.
    std::uint32_t online = 0; ///< Slots held by online requests.
    std::uint32_t batch = 0; ///< Slots held by batch runs.
    std::uint32_t orphaned = 0; ///< Slots occupied by requests whose sender is gone.
    std::uint32_t servers = 0;
    std::uint32_t unusable = 0; ///< Servers that are draining or in backoff.
    std::size_t waiting = 0; ///< Queued requests.
    /// Since the start, with learned speeds only: tokens of the named prompt parts granted, and how
    /// many of them were expected in the cache of the chosen server.
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedCachedTokens = 0;

    bool operator==(const SlotUsage &) const = default;
};

/// Allocates the slots of all engine servers; each slot runs one request.
///
/// A single broker manages all slots of a service, so it can decide immediately whether a request
/// can start in time. It grants a slot, queues the request by priority and start deadline, or
/// refuses it when the expected wait exceeds its objective. Batch runs use free slots and are
/// ended when online requests need them.
///
/// Queued requests of one priority that can start in time are served by customer (FairShares); a
/// customer's requests, and all of them where requests name no customer, by start deadline.
///
/// The state is not persisted: entry hosts report the slots that they hold to a new broker. Not
/// thread-safe. All times come from the clock that is passed in.
class SlotBroker
{
public:
    SlotBroker(SlotBrokerOptions options, Clock clock, RandomSource random, SlotBrokerHooks hooks);
    SlotBroker(const SlotBroker &) = delete;
    SlotBroker &operator=(const SlotBroker &) = delete;

    /// Replaces the set of servers. A server that is new or has restarted begins without history.
    void setServers(const std::vector<FleetServer> &servers,
                    const std::function<SlotCapacity(const ServiceName &)> &capacityOf);
    /// Discards all granted slots, queued requests and the average hold times of the services. Call
    /// when another process was the broker in the meantime.
    void reset();

    /// Grants a slot, queues the request or refuses it; calls the hooks accordingly.
    void request(const HostId &from, const SlotRequest &request);
    /// True if the limit that the server named allows another request now.
    [[nodiscard]] bool allowsRequest(const ServerId &server) const;
    /// Counts a request that another broker granted against the limit of its server.
    void countRequest(const ServerId &server);
    /// Releases a slot, or removes a queued request. No hook is called for this ticket afterwards.
    void end(const HostId &from, const SlotEnd &end);
    /// Replaces the slots and drops the queued requests of an entry host.
    void setHeldSlots(const HostId &from, const SlotsHeld &held);
    /// Releases the slots and drops the queued requests of an entry host that is gone.
    void hostLost(const HostId &host);
    /// Refuses requests that waited too long and serves the queues, also from servers whose backoff
    /// has ended. Call about every 20 ms.
    void tick();

    /// Takes a slot for a batch run and returns its server, or nothing when no slot is available.
    /// `urgent`: the run would miss its due time by waiting.
    std::optional<ServerId> takeForBatch(const ServiceName &service, std::uint64_t tokens,
                                         bool urgent);
    /// Releases the slot of a batch run that ended without being yielded.
    void batchEnded(const BatchRunSlot &run, SlotOutcome outcome);
    /// Records how many requests run or wait on a server, from any sender. Requests beyond the
    /// broker's own count are orphaned: the broker or entry host that sent them is gone. They
    /// occupy slots for `orphanedLoadTtl`.
    void recordLoad(const ServerId &server, std::uint32_t requests);
    /// Frees the slot of an orphaned request that was stopped.
    void recordOrphanedRequestEnd(const ServerId &server);
    /// Returns the number of slots that batch runs may take now; `urgent` as in takeForBatch().
    [[nodiscard]] std::uint32_t freeSlotsForBatch(const ServiceName &service, bool urgent) const;
    /// Returns the most tokens that a batch run may need to start now: the largest memory that a
    /// server with a free slot has left. Nothing if no server accepts a batch run.
    [[nodiscard]] std::optional<std::uint64_t> maxBatchTokens(const ServiceName &service) const;
    /// Returns the memory of the service's largest server in tokens, or nothing if that of one of
    /// them is unknown or there is none. A request that needs more can never run.
    [[nodiscard]] std::optional<std::uint64_t> largestMemory(const ServiceName &service) const;
    /// Returns the address of a server, or an empty string if it is unknown.
    [[nodiscard]] std::string addressOf(const ServerId &server) const;
    /// Returns the start time of the server process in milliseconds (FleetServer::bornMs), or 0 if
    /// the server is unknown.
    [[nodiscard]] std::uint64_t startTimeMsOf(const ServerId &server) const;

    /// Returns the number of requests queued for the service.
    [[nodiscard]] std::size_t waiting(const ServiceName &service) const;
    [[nodiscard]] SlotUsage usage(const ServiceName &service) const;
    [[nodiscard]] std::vector<ServiceName> services() const;
    /// Returns the number of free slots of the service, on servers that accept requests.
    [[nodiscard]] std::uint32_t freeSlots(const ServiceName &service) const;

private:
    struct Server {
        FleetServer info;
        SlotCapacity capacity;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint32_t orphaned = 0; ///< Requests whose sender is gone.
        /// Highest number of requests that the broker counted in the current and in the previous
        /// window of `maxLoadReportAge`, as a load report may be that old.
        std::uint32_t peakRequests = 0;
        std::uint32_t previousPeakRequests = 0;
        MonotonicTime peakWindowStart;
        MonotonicTime orphanedUntil;
        std::uint64_t tokens = 0;
        std::uint32_t consecutiveFailures = 0;
        RequestLimiter limiter; ///< By the limit that the server named.
        bool halfOpen = false; ///< After a backoff: one request at a time until one succeeds.
        MonotonicTime backoffUntil;
        double averageHoldMs = 0; ///< Exponentially smoothed; 0: no observation.
        /// Keys of the prompt parts sent to the server. Once the recent set is full, it replaces
        /// the previous one.
        std::unordered_set<std::uint64_t> recentPromptParts;
        std::unordered_set<std::uint64_t> previousPromptParts;
        ServerSpeed speed = ServerSpeed(); ///< Used if the broker learns speeds, as `prefixes`.
        PrefixCacheEstimate prefixes = {};
    };
    struct WaitingRequest {
        HostId host;
        SlotRequest request;
        MonotonicTime startBy;
        MonotonicTime giveUpAt;
        bool isShared = false; ///< Counted in the shares of its service.
    };
    /// What a granted slot was charged to its customer.
    struct SlotCharge {
        ServiceName service;
        std::uint32_t priority = 0;
        CustomerName customer;
        double weight = 0;
        double estimateMs = 0;
    };
    /// Key of a request: its entry host and the ticket number that this host chose.
    struct Ticket {
        HostId host;
        std::uint64_t number = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
        auto operator<=>(const Ticket &) const = default;
    };
    struct GrantedSlot {
        ServerId server;
        std::uint64_t tokens = 0;
        MonotonicTime grantedAt;
        std::optional<SlotCharge> charge = {};
    };
    struct SendGrant {
        HostId to;
        SlotGrant grant;
    };
    struct SendRefusal {
        HostId to;
        SlotRefusal refusal;
    };
    struct OfferToBatch {
        ServiceName service;
    };
    /// A hook call that is due.
    using Effect = std::variant<SendGrant, SendRefusal, OfferToBatch>;
    using Queue = std::list<WaitingRequest>;
    struct Service {
        Queue queue; ///< Ordered by priority and startBy.
        /// By priority; only where a request named its customer. Apart, as the requests of a higher
        /// priority are served first whatever their customers' virtual times are.
        std::map<std::uint32_t, FairShares> shares;
        double averageHoldMs = 0;
        /// Slots for retrying callers are reserved up to this time.
        MonotonicTime nextReservation;
        std::vector<Server *> servers; ///< Point into servers_.
        /// Grant times of the held slots in ascending order. The oldest is expected to be released
        /// first, as hold times are about equal.
        std::vector<MonotonicTime> grantTimes;
        ServiceHoldTime holdTime = {};
        std::uint64_t promptTokens = 0; ///< As in SlotUsage.
        double expectedCachedTokens = 0;
    };

    /// True if the server is neither draining nor in backoff.
    [[nodiscard]] static bool isUsable(const Server &server, MonotonicTime now);
    [[nodiscard]] static bool canAccept(const Server &server, std::uint64_t tokens,
                                        MonotonicTime now);
    /// Returns the lower of the announced and the configured slots, or 1 if the server is
    /// half-open.
    [[nodiscard]] static std::uint32_t slotLimit(const Server &server);
    /// Returns the orphaned requests on the server, or 0 once its load report has expired.
    [[nodiscard]] static std::uint32_t orphanedRequestsOn(const Server &server, MonotonicTime now);
    /// Counts online, batch and orphaned requests.
    [[nodiscard]] static std::uint32_t occupiedSlots(const Server &server, MonotonicTime now);
    /// As canAccept(), for a batch run: it is not sent to a server that is too small for it, and
    /// the limit of the server must allow a whole burst.
    [[nodiscard]] static bool canAcceptBatch(const Server &server, std::uint64_t tokens,
                                             MonotonicTime now);
    [[nodiscard]] static double serverCostMs(const Server &server, const SlotRequest &request,
                                             double serviceAverageHoldMs, MonotonicTime now);
    /// Returns the expected time to the first event and to completion, as a weighted sum.
    [[nodiscard]] static double learnedCostMs(const Server &server, const SlotRequest &request,
                                              double meanHoldMs, MonotonicTime now);
    /// Returns the tokens of the server's memory that running requests leave for prompt parts.
    [[nodiscard]] static std::uint64_t prefixMemory(const Server &server);
    /// Returns by how much requests on the server last longer than alone.
    [[nodiscard]] static double slowdown(const Server &server, std::uint32_t requests);
    /// Returns an empty list for an unknown service.
    [[nodiscard]] const std::vector<Server *> &serversOf(const ServiceName &service) const;
    [[nodiscard]] Server *bestServerFor(const SlotRequest &request, bool isBatch = false);
    void updateLimit(Server &server);
    /// Returns the requests per second that the service's usable servers can begin, or 0 if none of
    /// them has a limit.
    [[nodiscard]] double limitedRequestRate(const ServiceName &service) const;
    /// Returns the occupied and free slots of servers that are neither draining nor in backoff.
    [[nodiscard]] std::uint32_t usableSlots(const ServiceName &service) const;
    [[nodiscard]] Milliseconds typicalHoldTime(const ServiceName &service) const;
    /// Returns the time until a slot becomes free for a request with `ahead` requests before it, or
    /// Milliseconds::max() if no server is usable.
    [[nodiscard]] Milliseconds expectedWait(const ServiceName &service, std::size_t ahead) const;
    /// Returns the number of queued requests that are served before `request`.
    [[nodiscard]] std::size_t queuedAhead(const Service &service, const SlotRequest &request) const;
    /// Makes a change and then calls the hooks that are due, unless an outer call does so.
    void changeState(const std::function<void()> &change);
    void callDueHooks();
    void callHook(const Effect &effect);
    /// Drops the due answers to a host, or only those to one of its tickets.
    void dropAnswers(const HostId &host, std::optional<std::uint64_t> ticket);
    void decide(const HostId &from, const SlotRequest &request);
    /// Grants a slot if a server has a free one. Calls no hook.
    bool tryGrant(const HostId &host, const SlotRequest &request);
    /// Returns the shares of the requests that compete with `request`; nothing if no customer is
    /// named.
    [[nodiscard]] FairShares *sharesFor(const SlotRequest &request);
    void dropIdleShares(Service &service, std::uint32_t priority);
    /// Corrects the charge of a slot that is released or lost.
    void settleCharge(const GrantedSlot &held);
    /// Removes a queued request and returns the next one.
    Queue::iterator removeFromQueue(Service &service, Queue::iterator position);
    /// Removes the queued requests of a host, or only that of one of its tickets.
    void removeFromQueues(const HostId &host, std::optional<std::uint64_t> ticket);
    /// Sorts requests of one priority, given by start deadline, into the order of their customers'
    /// shares.
    void sortByShare(const Service &service, std::vector<Queue::iterator> &requests) const;
    [[nodiscard]] std::size_t queuedAheadByShare(const Service &service, const SlotRequest &request,
                                                 MonotonicTime now) const;
    /// Ends a batch run to free a slot. Calls yieldBatch(): no iterator may be in use.
    bool freeSlotOfBatch(const ServiceName &service);
    void grant(const HostId &host, const SlotRequest &request, Server &server);
    void refuse(const HostId &host, const SlotRequest &request, Milliseconds wait);
    /// Returns the delay after which the caller of a refused request should retry, and reserves
    /// that time: the first one that is not yet reserved for other callers.
    Milliseconds reserveRetryDelay(const SlotRequest &request, Milliseconds wait);
    void enqueue(const HostId &host, const SlotRequest &request);
    /// Grants free slots by priority, and within a priority first to requests that can still start
    /// in time: serving a late one first would make the next ones late as well.
    void serveQueue(const ServiceName &service);
    /// A queued request that no server accepts.
    struct BlockedRequest {
        Ticket ticket;
        bool excludesServers = false;
    };
    /// Grants free slots to queued requests. Returns the first one that no server accepts, unless a
    /// batch run was ended for it already. Calls no hook.
    std::optional<BlockedRequest> grantFreeSlots(Service &service,
                                                 const std::set<Ticket> &yieldedFor);
    /// Grants slots to the requests of `range`; calls no hook. Returns false once no slot is left.
    bool serveRange(Service &service, const std::vector<Queue::iterator> &range,
                    const std::set<Ticket> &yieldedFor, std::optional<BlockedRequest> &blocked);
    /// Refuses queued requests whose callers have given up.
    void refuseExpiredRequests(const ServiceName &name);
    /// Refuses queued requests that are no longer expected to start before their callers give up,
    /// because slots were lost or requests that can start in time are served first.
    void refuseRequestsThatCannotStart(const ServiceName &name, Service &service);
    void recordGrantTime(const Server &server, MonotonicTime at);
    void release(const GrantedSlot &held);
    void releaseBatch(const BatchRunSlot &run);
    /// Call after each increase and before each decrease of the server's request counts.
    void updatePeak(Server &server);
    void recordOutcome(Server &server, SlotOutcome outcome);
    void recordHoldTime(Server &server, double heldMs);
    void recordPromptParts(Server &server, const SlotRequest &request);

    SlotBrokerOptions options_;
    Clock clock_;
    RandomSource random_;
    SlotBrokerHooks hooks_;
    std::map<ServerId, Server> servers_;
    std::map<ServiceName, Service> services_;
    std::map<Ticket, GrantedSlot> grantedSlots_;
    std::size_t queuedCount_ = 0;
    std::deque<Effect> dueEffects_;
    std::set<Ticket> undecided_; ///< Requests for which yieldBatch() is being called.
    int changeDepth_ = 0; ///< Nested calls of changeState().
    int hooksCalled_ = 0; ///< 1 within callDueHooks().
};

} // namespace persimmonlb
