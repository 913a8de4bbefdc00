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

namespace persimmonlb
{

struct RouterOptions {
    std::uint32_t maxQueuePerService = 256;
    Milliseconds ejection{2000}; ///< A server that just failed gets no work for this long.
    Milliseconds peakWindow{10000}; ///< onlinePeak() looks back this far.
    std::uint32_t errorsToEject = 3; ///< Errors in a row; a broken connection ejects at once.
    ConcurrencyOptions concurrency;
};

/// What a request needs of a backend server.
struct RouteQuery {
    ServiceName service;
    ModelName model; ///< Of the sheet in force; empty: any (plain services).
    std::string version; ///< Of the sheet in force; empty: any.
    std::uint64_t prefixHash = 0; ///< Of the prompt's beginning.
    std::vector<ServerId> exclude; ///< Tried already; never chosen again.
    ServerId preferred; ///< Chosen when it has room; empty: none.
    bool suspect = false; ///< Only servers that run no other suspect of this host.
    MonotonicTime deadline; ///< Until when the answer must be whole.

    bool operator==(const RouteQuery &) const = default;
};

/// A chosen server. Its place is counted as in flight until Router::finished().
struct Choice {
    ServerId server;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;

    bool operator==(const Choice &) const = default;
};

/// How an exchange with a chosen server ended, for the router.
enum class RouteEnd : std::uint8_t {
    Succeeded,
    Refused, ///< 429 or 503 before admission.
    ServerError, ///< Another 5xx.
    ConnectFailed,
    Lost, ///< The connection broke before or during the answer.
    Abandoned, ///< Cancelled by the caller or its deadline; says nothing of the server.
};

struct RouterHooks {
    /// The choosing policy; affinityPolicy() when empty.
    RoutingPolicy policy;
    /// An online request goes to a server that batch work has filled.
    std::function<void(const ServerId &server, std::uint32_t slots)> wantYield;
};

/// Chooses a backend server for each request, within a bound of requests in flight per server, and
/// queues for a short time what finds no room.
///
/// Example:
///   const std::uint64_t waiter = router.acquire(query, [&](Outcome<Choice> choice) { ... });
///   router.finished(choice, RouteEnd::Succeeded);
///
/// A request that cannot be answered before its deadline is refused at once (Overloaded, not run,
/// with a retry time), and one for which no server is ready too (NoBackendServer). Not thread-safe;
/// `done` may be called before acquire() returns.
class Router
{
public:
    using Acquired = std::function<void(Outcome<Choice>)>;

    Router(RouterOptions options, Clock clock, RandomSource random, ServerTable &table,
           RouterHooks hooks);

    /// Chooses now, or fails with Overloaded or NoBackendServer.
    Outcome<Choice> choose(const RouteQuery &query);

    /// Chooses now or as soon as there is room. Returns a waiter for cancel(), 0 when `done` was
    /// called already.
    std::uint64_t acquire(const RouteQuery &query, Acquired done);
    /// Drops a waiter; its `done` is not called.
    void cancel(std::uint64_t waiter);

    /// Gives the place back and learns from the end.
    void finished(const Choice &choice, RouteEnd end);
    /// A server that was ejected turned out to live.
    void readmit(const ServerId &server);
    /// The first byte of the answer came: the basis of the adaptive bound.
    void firstByte(const Choice &choice);

    /// Serves and expires waiters. Call each 20 ms, and after table changes.
    void tick();

    /// Batch work of this host started (+1) or ended (-1) on a server.
    void batchChanged(const ServerId &server, int change);

    /// Requests that the server runs at once without harm to latency.
    [[nodiscard]] std::uint32_t capacity(const ServerId &server) const;
    /// Online requests in flight on the server, of every entry host as far as known.
    [[nodiscard]] std::uint32_t onlineInFlight(const ServerId &server) const;
    /// The highest onlineInFlight() within the peak window.
    [[nodiscard]] std::uint32_t onlinePeak(const ServerId &server) const;
    /// True while the server is ejected after a failure.
    [[nodiscard]] bool ejected(const ServerId &server) const;
    /// Online requests that wait for a server.
    [[nodiscard]] std::size_t queued() const;

private:
    struct Ticket {
        ServerId server;
        ServiceName service;
        bool suspect = false;
        bool answered = false;
        MonotonicTime startedAt;
    };
    struct PeakSample {
        MonotonicTime at;
        std::uint32_t value = 0;
    };
    struct ServerNotes {
        std::optional<ConcurrencyLimit> limit;
        std::uint64_t incarnation = 0;
        MonotonicTime ejectedUntil;
        std::uint32_t errorsInRow = 0;
        std::uint32_t suspects = 0;
        std::deque<PeakSample> peak; ///< Falling values, oldest first.
    };
    struct Waiter {
        std::uint64_t id = 0;
        RouteQuery query;
        Acquired done;
    };
    /// A ready server with its bound and load.
    struct Option {
        KnownServer known;
        std::uint32_t limit = 1;
        std::uint32_t suspects = 0;
        bool ejected = false;

        [[nodiscard]] std::uint32_t online() const;
        [[nodiscard]] std::uint32_t total() const;
    };

    std::vector<Option> optionsFor(const RouteQuery &query);
    Outcome<Choice> chooseAmong(const RouteQuery &query, const std::vector<Option> &ready);
    [[nodiscard]] const Option &pick(const RouteQuery &query,
                                     const std::vector<const Option *> &open) const;
    Choice take(const RouteQuery &query, const Option &option);
    ServerNotes &notes(const KnownServer &known);
    void notePeak(const ServerId &server, ServerNotes &notes);
    void noteEnd(const Ticket &ticket, RouteEnd end);
    void serveWaiters(const ServiceName &service);
    void expireWaiters();
    [[nodiscard]] Milliseconds expectedWait(const ServiceName &service, std::size_t ahead,
                                            const std::vector<Option> &ready) const;

    RouterOptions options_;
    Clock clock_;
    RandomSource random_;
    ServerTable &table_;
    RouterHooks hooks_;
    std::map<ServerId, ServerNotes> notes_;
    std::map<std::uint64_t, Ticket> tickets_;
    std::map<ServiceName, std::list<Waiter>> waiting_;
    std::map<ServiceName, double> heldMs_; ///< Recent mean time that a request holds its place.
    std::uint64_t nextTicket_ = 1;
    std::uint64_t nextWaiter_ = 1;
};

} // namespace persimmonlb
