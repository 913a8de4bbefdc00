#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/message.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/membership/servertable.h"
#include "persimmonlb/routing/quota.h"
#include "persimmonlb/routing/retrybudget.h"
#include "persimmonlb/routing/router.h"
#include "persimmonlb/routing/suspects.h"
#include "persimmonlb/sheet/sheet.h"
#include "persimmonlb/state/command.h"

namespace persimmonlb
{

struct OnlineOptions {
    Owner self;
    Milliseconds claimPollInterval{200}; ///< While a resend waits for the first request's outcome.
    std::uint32_t maxResumes = 2; ///< Of one broken stream.
    std::uint32_t maxAttempts = 3; ///< Of one idempotent request.
    std::uint64_t maxRecordedAnswerBytes = 4ULL * 1024 * 1024;
    /// An answer up to this size is passed on whole; a longer one in chunks as it comes.
    std::uint64_t maxHeldAnswerBytes = 8ULL * 1024 * 1024;
    /// A once-only request that its caller no longer waits for is watched this much longer, so that
    /// a resend gets its answer.
    Milliseconds onceOnlyLinger{30000};
    /// The answer of a once-only request waits at most this long for its record in the log.
    Milliseconds recordWait{500};
    RetryBudgetOptions retryBudget;
    Milliseconds defaultRetryAfter{500};
    /// Bytes that may wait for a slow caller before the server's answer is paused.
    std::uint64_t maxUnwrittenBytes = 256ULL * 1024;
    std::uint32_t prefixBytes = 512; ///< Of the prompt, for affinity.
};

/// One ended request, for metrics and logs.
struct RequestEnd {
    ServiceName service;
    CallerName caller;
    std::string requestId;
    ServerId server; ///< The last one that was tried.
    ResultCode code = ResultCode::Ok;
    std::uint16_t status = 0;
    Milliseconds total{0};
    Milliseconds toFirstByte{0};
    std::uint32_t attempts = 0;
    std::uint32_t resumes = 0;

    bool operator==(const RequestEnd &) const = default;
};

struct OnlineHooks {
    /// Calls `fn` once after `delay`, on the decision thread.
    std::function<void(Milliseconds delay, std::function<void()> fn)> after;
    HttpSend sendToServer;
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    std::function<std::shared_ptr<const Sheet>()> sheet;
    /// Why no new request may start here now: NotInForce or Draining.
    std::function<std::optional<Error>()> admission;
    /// A refusal, for the audit trail.
    std::function<void(const CallerName &, const ServiceName &, const Error &)> recordRefusal;
    /// Addresses of other entry hosts, named in refusals of a host that is draining or not in
    /// force.
    std::function<std::vector<std::string>()> otherHosts;
    std::function<void(const RequestEnd &)> ended;
    /// Returns how long a request with these shared parts is blocked, because servers crashed on
    /// one of them; zero if it may run.
    std::function<Milliseconds(const std::vector<std::uint64_t> &parts)> blockedFor
        = [](const std::vector<std::uint64_t> & /*parts*/) {
              return Milliseconds(0);
          };
    /// Called when a request with these shared parts is sent to a server.
    std::function<void(const std::vector<std::uint64_t> &parts)> requestSent
        = [](const std::vector<std::uint64_t> & /*parts*/) {
          };
    /// Called when a server was lost before it began its response to a request with shared parts,
    /// and when a server begins such a response.
    std::function<void(const RunVerdict &verdict)> runJudged = [](const RunVerdict & /*verdict*/) {
    };
};

/// Serves callers' online and plain requests: checks, claim, choice of server, proxying, retry,
/// resuming of streams, and an answer that is whole or says that it is not.
///
/// Example:
///   OnlineService service(options, clock, random, table, router, quota, suspects, hooks);
///   service.handleChat(std::move(request), responder);   // POST /v1/chat/completions
///   service.handlePlain(std::move(request), responder);  // ANY /services/NAME/PATH
///
/// Not thread-safe; must outlive the exchanges and timers that it started.
class OnlineService
{
public:
    OnlineService(const OnlineOptions &options, Clock clock, RandomSource random, Router &router,
                  QuotaLimiter &quota, Suspects &suspects, OnlineHooks hooks);
    OnlineService(const OnlineService &) = delete;
    OnlineService &operator=(const OnlineService &) = delete;
    ~OnlineService();

    void handleChat(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void handlePlain(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);

    /// Requests whose answer has not ended or whose outcome is not yet recorded.
    [[nodiscard]] std::size_t openRequests() const;

    /// A server was lost by silence: its exchanges are ended as broken.
    void serverLost(const ServerId &server);

private:
    struct Parts;
    RandomSource random_;
    std::unique_ptr<Parts> parts_;
};

} // namespace persimmonlb
