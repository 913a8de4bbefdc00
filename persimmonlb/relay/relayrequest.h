#pragma once

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
    std::string id; ///< As the caller numbered it.
    HttpRequest request; ///< To pass on, without the fields that the encoder writes.
    Route route;
    Milliseconds callerWaits{0}; ///< How long the caller waits for the answer; zero: not said.
    std::uint64_t tokens = 0; ///< Prompt and longest answer; 0 when it is not for an engine.
    std::vector<PromptPart> prompt;
    std::optional<std::uint64_t> lastEventId; ///< The caller has the events up to this one.

    bool operator==(const RelayRequest &) const = default;
};

/// One sending of a request to a server.
struct RelayAttempt {
    ServerId server;
    Milliseconds timeLeft{0};
    std::optional<std::uint64_t> lastEventId; ///< The server goes on behind this event.

    bool operator==(const RelayAttempt &) const = default;
};

/// What the head of a server's answer says.
enum class AnswerClass : std::uint8_t {
    Success,
    NotRun, ///< The server did not run the request and will not.
    Failure, ///< The server's own failure; the request may have run.
    Foreign, ///< Of another request: the connection is out of step.
};

/// How a platform writes requests and reads answers.
struct RelayCodec {
    std::function<HttpRequest(const HttpRequest &request, const RelayAttempt &attempt)> encode;
    std::function<AnswerClass(const std::string &requestId, const HttpResponseHead &head)> classify;
    /// The server that wrote this head takes no new work: it is about to end.
    std::function<bool(const HttpResponseHead &head)> saysLeaving
        = [](const HttpResponseHead & /*head*/) {
              return false;
          };
    /// The answer that a caller gets for a failure of our own.
    std::function<HttpResponse(const std::string &requestId, const Error &error)> refusal;
};

} // namespace persimmonlb
