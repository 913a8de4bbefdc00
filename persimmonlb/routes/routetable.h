#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/customers/customer.h"
#include "persimmonlb/customers/customerkeys.h"

namespace persimmonlb
{

/// What may be repeated of the requests on a route.
enum class RouteKind : std::uint8_t {
    Safe, ///< May run more than once.
    OnceOnly, ///< Runs at most once for each attempt of a caller.
    Streaming, ///< Answered by a stream of events.
    Batch, ///< Jobs of many items that run later.
};

struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// One rule: the host and the longest matching path prefix choose it.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::OnceOnly;
    Milliseconds timeout{0}; ///< Longest time a caller is kept waiting; zero on batch routes.
    Milliseconds objective{0}; ///< Until the answer, or its first event.
    Milliseconds pauseObjective{0}; ///< Longest pause between events; zero: none is set.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Servers that one request may be sent to.
    bool resumable = false; ///< A stream may go on at another server.
    std::vector<WeightedService> services; ///< Weights add up to at least 1.
    Milliseconds completionTarget{0}; ///< Batch: until every result is due.
    Milliseconds abandonAfter{0}; ///< Batch: until an item may be given up.
    /// Batch: bound over all callers, or over those of each customer if there are any; 0: none.
    std::uint64_t maxWaitingTokens = 0;
    bool isPublic = false; ///< Its callers need no key.

    [[nodiscard]] bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
    bool operator==(const Route &) const = default;
};

struct RoutedService {
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Of all callers to one server; 0: not bounded.
    bool isEngine = false; ///< Runs requests for tokens in batches.
    std::uint32_t slots = 0; ///< Engines: requests at once.
    std::uint64_t cacheTokens = 0; ///< Engines: tokens that running requests and caches share.
    bool stopsRuns = false; ///< Engines: end a run by its id when they are asked to.

    bool operator==(const RoutedService &) const = default;
};

/// Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};

    bool operator==(const CallerLimits &) const = default;
};

/// A customer and the keys of its callers, as an operator lists them.
struct CustomerEntry {
    Customer customer;
    std::vector<std::string> keys;

    bool operator==(const CustomerEntry &) const = default;
};

/// A complete configuration of routes. Immutable.
class RouteTable
{
public:
    RouteTable() = default;

    /// Errors: SheetMalformed, with the route: an unknown service, two routes with the same host
    /// and prefix, weights that add up to 0, a prefix without its slashes, or no timeout; with the
    /// customer, but not the key: an empty key or one of two customers. Without `customers`,
    /// callers need no keys.
    static Result<RouteTable> make(std::uint64_t version, std::vector<Route> routes,
                                   std::vector<RoutedService> services, CallerLimits limits,
                                   const std::optional<std::vector<CustomerEntry>> &customers = {});

    /// The route of a request, or null.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const RoutedService *findService(const ServiceName &name) const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] const std::vector<Route> &routes() const;
    [[nodiscard]] const CallerLimits &limits() const;
    /// True if callers need keys: the configuration lists customers, even if there are none.
    [[nodiscard]] bool requiresKeys() const;
    [[nodiscard]] const std::vector<Customer> &customers() const;
    /// Returns the customer that has this key, or null.
    [[nodiscard]] const Customer *findCustomer(std::string_view key) const;
    /// Returns true if the customer has a quota.
    [[nodiscard]] bool isLimited(const CustomerName &customer) const;

    bool operator==(const RouteTable &) const = default;

private:
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<RoutedService> services_;
    CallerLimits limits_;
    bool requiresKeys_ = false;
    std::vector<Customer> customers_;
    CustomerKeys keys_; ///< To positions in customers_.
    std::set<CustomerName> limitedCustomers_;
    /// Per host, prefix to position in routes_.
    std::map<std::string, std::map<std::string, std::size_t>, std::less<>> byHost_;
};

/// Chooses a service by weight; `random` is any 64-bit number. Empty without services.
ServiceName chooseService(const Route &route, std::uint64_t random);

} // namespace persimmonlb
