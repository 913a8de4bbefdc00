#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/http/message.h"
#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

/// A caller's request that was read and checked.
struct CallerRequest {
    CallerName caller;
    ServiceName service;
    ServiceKind kind = ServiceKind::Engine;
    ModelName model; ///< Of the sheet; empty for a plain service.
    std::string version;
    bool idempotent = true;
    std::string idempotencyKey;
    std::string requestId; ///< As the caller sent it, or empty.
    Milliseconds deadline{0}; ///< From receipt.
    bool stream = false;
    std::uint64_t prefixHash = 0; ///< Of the prompt's beginning; 0 for a plain service.
    std::string fingerprint; ///< Equal for requests that would run the same.
    /// Fingerprints of the messages that other requests may share: of a chat, all but the last.
    std::vector<std::uint64_t> sharedParts;
    HttpRequest toServer; ///< Without the headers that belong to one attempt.

    bool operator==(const CallerRequest &) const = default;
};

/// Reads POST /v1/chat/completions; `prefixBytes` of the prompt decide affinity.
/// Errors: MalformedRequest, Unauthorized, UnknownService, MissingIdempotencyKey.
Outcome<CallerRequest> readChatRequest(const HttpRequest &request, const Sheet &sheet,
                                       std::size_t prefixBytes);

/// Reads ANY /services/NAME/PATH. Errors: as readChatRequest().
Outcome<CallerRequest> readPlainRequest(const HttpRequest &request, const Sheet &sheet);

/// Returns the limit that a server names in a response, in requests per 1,000 s; 0 if it names
/// none, nothing if what it names is unreadable.
std::optional<std::uint64_t> requestLimitOf(const HttpResponseHead &head);

/// The headers of a server's answer that go on to the caller, with the caller's request id.
HttpHeaders answerHeaders(const HttpHeaders &fromServer, const std::string &requestId);

} // namespace persimmonlb
