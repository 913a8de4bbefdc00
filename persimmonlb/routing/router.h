#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/membership/servertable.h"
#include "persimmonlb/routing/concurrencylimit.h"
#include "persimmonlb/routing/policy.h"
#include "persimmonlb/slots/requestlimiter.h"

namespace persimmonlb
{

struct RouterOptions {
    std::uint32_t maxQueuePerService = 256;
    Milliseconds ejectionPeriod{2000}; ///< A server gets no requests for this long after a failure.
    Milliseconds peakWindow{10000}; ///< Length of the window of onlinePeak().
    /// Consecutive error responses that eject a server. A broken connection ejects it immediately.
    std::uint32_t consecutiveErrorsToEject = 3;
    ConcurrencyOptions concurrency;
    /// Share of an equal part of a server's limit of requests that this host uses: requests of
    /// hosts that choose for themselves may coincide.
    double limitShare = 0.75;
};

/// The requirements of a request for a backend server.
struct RouteQuery {
    ServiceName service;
    ModelName model; ///< From the sheet in force; empty: any (services without a model).
    std::string version; ///< From the sheet in force; empty: any.
    std::uint64_t prefixHash = 0; ///< Hash of the beginning of the prompt.
    std::vector<ServerId> exclude; ///< Servers already tried; never chosen.
    ServerId preferred; ///< Chosen if it is available; empty: none.
    /// The request is a suspect (see Suspects): choose only servers that run no other suspect of
    /// this host.
    bool suspect = false;
    MonotonicTime deadline; ///< The response must be complete by then.

    bool operator==(const RouteQuery &) const = default;
};

/// A chosen server. The request counts as in flight on it until Router::release().
struct ServerChoice {
    ServerId server;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;

    bool operator==(const ServerChoice &) const = default;
};

/// How the exchange with a chosen server ended.
enum class RouteEnd : std::uint8_t {
    Succeeded,
    Refused, ///< Status 429 or 503 before admission.
    ServerError, ///< Another 5xx status.
    ConnectFailed,
    Lost, ///< The connection broke before or during the response.
    Abandoned, ///< Cancelled by the caller or its deadline; ignored for the server's health.
};

struct RouterHooks {
    /// Chooses among the available servers; affinityPolicy() if empty.
    RoutingPolicy policy;
    /// Requests that batch work yields `slots` slots on a server: an online request was assigned to
    /// it while its online and batch requests together were at its limit.
    std::function<void(const ServerId &server, std::uint32_t slots)> requestYield;
};

/// Chooses a backend server for each request, limits the requests in flight per server, and queues
/// requests for a short time while all servers are at their limits.
///
/// Example:
///   const std::uint64_t waiter = router.acquire(query, [&](Outcome<ServerChoice> choice) { ... });
///   router.release(choice, RouteEnd::Succeeded);
///
/// A request that cannot start before its deadline is refused immediately (Overloaded, not run,
/// with a retry time), and so is a request for which no server is ready (NoBackendServer). Not
/// thread-safe; `done` may be called before acquire() returns.
class Router
{
public:
    using Acquired = std::function<void(Outcome<ServerChoice>)>;

    Router(RouterOptions options, Clock clock, RandomSource random, ServerTable &table,
           RouterHooks hooks);

    /// Chooses a server now. Errors: Overloaded, NoBackendServer.
    Outcome<ServerChoice> choose(const RouteQuery &query);

    /// Chooses a server now or as soon as one is available. Returns an id for cancel(), or 0 if
    /// `done` was already called.
    std::uint64_t acquire(const RouteQuery &query, Acquired done);
    /// Removes a waiting request; its `done` is not called.
    void cancel(std::uint64_t waiter);

    /// Ends the request on the chosen server and updates the server's health from `end`.
    void release(const ServerChoice &choice, RouteEnd end);
    /// Ends the ejection of a server that is alive after all.
    void readmit(const ServerId &server);
    /// Records the limit that a server named in a response, in requests per 1,000 s for all entry
    /// hosts together, or that it named none (0). This host keeps its part of it.
    void noteLimit(const ServerId &server, std::uint64_t incarnation, std::uint64_t requestsPerKs);
    /// Sets the number of entry hosts, at least 1.
    void setHostCount(std::uint32_t hosts);
    /// True if the limit of the server allows this host another request now.
    [[nodiscard]] bool allowsRequest(const ServerId &server) const;
    /// Records the first byte of a response; the time to first byte drives the concurrency limit.
    void recordFirstByte(const ServerChoice &choice);

    /// Serves and expires waiting requests. Call it every 20 ms and after changes of the server
    /// table.
    void tick();

    /// Adds `change` to the batch requests of this host in flight on a server: +1 when one started,
    /// -1 when one ended.
    void changeBatchInFlight(const ServerId &server, int change);

    /// Returns the number of requests that the server can run concurrently without higher latency.
    [[nodiscard]] std::uint32_t capacity(const ServerId &server) const;
    /// Returns the online requests in flight on the server, of all entry hosts as far as known.
    [[nodiscard]] std::uint32_t onlineInFlight(const ServerId &server) const;
    /// Returns the highest onlineInFlight() within the peak window.
    [[nodiscard]] std::uint32_t onlinePeak(const ServerId &server) const;
    /// Returns true while the server is ejected after a failure.
    [[nodiscard]] bool isEjected(const ServerId &server) const;
    /// Returns the number of online requests that wait for a server.
    [[nodiscard]] std::size_t queued() const;

private:
    struct Ticket {
        ServerId server;
        ServiceName service;
        bool suspect = false;
        bool hasFirstByte = false;
        MonotonicTime startedAt;
    };
    struct PeakSample {
        MonotonicTime at;
        std::uint32_t value = 0;
    };
    struct ServerState {
        std::optional<ConcurrencyLimit> limit;
        std::uint64_t incarnation = 0;
        RequestLimiter limiter;
        std::uint64_t requestsPerKs = 0; ///< As the server named it; 0: no limit.
        MonotonicTime ejectedUntil;
        std::uint32_t consecutiveErrors = 0;
        std::uint32_t suspectsInFlight = 0;
        std::deque<PeakSample> peakSamples; ///< Decreasing values, oldest first.
    };
    struct Waiter {
        std::uint64_t id = 0;
        RouteQuery query;
        Acquired done;
    };
    /// A ready server with its limit and load.
    struct ReadyServer {
        KnownServer known;
        std::uint32_t limit = 1;
        std::uint32_t suspectsInFlight = 0;
        bool isEjected = false;
        bool allowsRequest = true; ///< By its limit of requests.

        [[nodiscard]] std::uint32_t online() const;
        [[nodiscard]] std::uint32_t total() const;
    };

    std::vector<ReadyServer> readyServersFor(const RouteQuery &query);
    Outcome<ServerChoice> chooseAmong(const RouteQuery &query,
                                      const std::vector<ReadyServer> &ready);
    [[nodiscard]] const ReadyServer &pick(const RouteQuery &query,
                                          const std::vector<const ReadyServer *> &available) const;
    ServerChoice assign(const RouteQuery &query, const ReadyServer &server);
    ServerState &stateOf(const KnownServer &known);
    void updateLimiter(ServerState &state);
    void recordPeak(const ServerId &server, ServerState &state);
    void recordEnd(const Ticket &ticket, RouteEnd end);
    void serveWaiters(const ServiceName &service);
    void expireWaiters();
    /// Returns the estimated wait of a request with `ahead` waiting requests before it; 0 if the
    /// mean hold time of the service is unknown or no server is ready.
    [[nodiscard]] Milliseconds expectedWait(const ServiceName &service, std::size_t ahead,
                                            const std::vector<ReadyServer> &ready) const;

    RouterOptions options_;
    Clock clock_;
    RandomSource random_;
    ServerTable &table_;
    RouterHooks hooks_;
    std::map<ServerId, ServerState> serverStates_;
    std::map<std::uint64_t, Ticket> tickets_;
    std::map<ServiceName, std::list<Waiter>> waiters_;
    /// Recent mean time from the choice of a server until its release, per service.
    std::map<ServiceName, double> meanHoldTimeMs_;
    std::uint32_t hostCount_ = 1;
    std::uint64_t nextTicket_ = 1;
    std::uint64_t nextWaiter_ = 1;
};

} // namespace persimmonlb
