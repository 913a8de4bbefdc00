#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/http/message.h"
#include "persimmonlb/routes/routetable.h"

namespace persimmonlb
{

/// A caller's request on a route.
struct RelayRequest {
    std::string id; ///< Chosen by the caller.
    HttpRequest request; ///< Forwarded request, without the headers that RelayCodec::encode writes.
    Route route;
    Milliseconds callerTimeout{0}; ///< How long the caller waits for the response; zero: unknown.
    std::uint64_t tokens = 0; ///< Of the prompt plus the longest response; 0 if not for an engine.
    std::vector<PromptPart> prompt;
    /// Fingerprints of the prompt's parts that other requests may share, each independent of the
    /// parts before it, in order.
    std::vector<std::uint64_t> sharedParts;
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller has received.
    CustomerName customer = {}; ///< Empty: none.
    /// Share of the slots of a service that has too few, relative to other customers; 0 counts
    /// as 1.
    double customerWeight = 0;

    bool operator==(const RelayRequest &) const = default;
};

/// Returns how long a request may take: the shorter of the caller's and the route's timeout; zero
/// or less if neither is limited.
[[nodiscard]] inline Milliseconds requestTimeout(const RelayRequest &request)
{
    const Milliseconds caller = request.callerTimeout;
    const Milliseconds route = request.route.timeout;
    return caller.count() <= 0 || route.count() <= 0 ? std::max(caller, route)
                                                     : std::min(caller, route);
}

/// One attempt to run a request on a server.
struct RelayAttempt {
    ServerId server;
    Milliseconds timeLeft{0};
    std::optional<std::uint64_t> lastEventId; ///< The server resumes after this event.

    bool operator==(const RelayAttempt &) const = default;
};

/// Classification of a server's response by its head.
enum class ResponseClass : std::uint8_t {
    Success,
    NotRun, ///< The server did not run the request and will not.
    Failure, ///< The server failed; the request may have run.
    Mismatched, ///< Response to another request: the connection is out of sync.
};

/// Encodes requests and decodes responses in the format of a platform.
struct RelayCodec {
    /// Returns the request as sent to the server of `attempt`.
    std::function<HttpRequest(const HttpRequest &request, const RelayAttempt &attempt)> encode;
    /// Returns the class of a response to the request `requestId`.
    std::function<ResponseClass(const std::string &requestId, const HttpResponseHead &head)>
        classify;
    /// Returns true if the server reports that it is shutting down and accepts no new requests.
    std::function<bool(const HttpResponseHead &head)> reportsLeaving
        = [](const HttpResponseHead & /*head*/) {
              return false;
          };
    /// Returns the requests that the server takes from all hosts together in 1,000 s, 0 if it names
    /// no limit, or nothing if what it names is unreadable.
    std::function<std::optional<std::uint64_t>(const HttpResponseHead &head)> requestLimitPerKs
        = [](const HttpResponseHead & /*head*/) {
              return std::optional<std::uint64_t>(0);
          };
    /// Returns the response for a request that the relay refused or that failed in the relay.
    std::function<HttpResponse(const std::string &requestId, const Error &error)> encodeError;
};

} // namespace persimmonlb
