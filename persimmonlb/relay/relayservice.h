#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/relay/relayrequest.h"
#include "persimmonlb/slots/slotclient.h"

namespace persimmonlb
{

struct RelayOptions {
    AvailabilityZone availabilityZone; ///< Of this host.
    /// Time from sending a request to an idle engine until the caller receives the first event: the
    /// engine's first step and the network. A slot granted later than the objective minus this
    /// allowance is too late.
    Milliseconds firstEventAllowance{80};
    /// Callers of streams disconnect if they receive no event within the longest of this time,
    /// `callerTimeoutObjectives` times the route's objective, and `callerTimeoutPauses`
    /// times the longest pause between events that the route allows.
    Milliseconds minCallerTimeout{2000};
    /// A stream without a slot is refused this long before its caller disconnects, so that the
    /// caller receives the refusal and retries later.
    Milliseconds refusalMargin{400};
    int callerTimeoutObjectives = 4;
    int callerTimeoutPauses = 8;
    /// An attempt whose engine sends no first event within this time is retried on another
    /// engine.
    Milliseconds firstEventTimeout{900};
    /// Like firstEventTimeout, for the time between two events. Callers disconnect after 2 s at the
    /// earliest.
    Milliseconds nextEventTimeout{1000};
    /// An attempt of a `Safe` request is retried on another server after this multiple of the
    /// route's objective, but not before minSafeTimeout.
    double safeTimeoutObjectives = 2.0;
    Milliseconds minSafeTimeout{150};
    /// Additional attempts beyond the route's maxAttempts, to replace those that certainly did not
    /// run.
    std::uint32_t maxExtraAttempts = 3;
    /// A request with less time left is not retried: the response would come too late.
    Milliseconds minTimeToRetry{30};
    /// A request counts as the caller's own retry if its caller's timeout is below this share of
    /// the route's timeout.
    double firstTryMinTimeoutShare = 0.93;
    /// Reading from the server pauses while more bytes than this wait to be written to the caller.
    std::size_t maxUnwrittenBytes = 256UL * 1024;
    /// A longer response counts as a failure of the server, unless it is a stream.
    std::size_t maxResponseBytes = 4UL * 1024 * 1024;
    /// Of all responses that are not complete yet, together. Beyond it the longest one counts as a
    /// failure of its server, so that faulty servers cannot use up the memory of the host.
    std::size_t maxBufferedBytes = 16UL * 1024 * 1024;
    /// Limit of log lines for requests that were served or whose caller disconnected; requests
    /// beyond it are only counted.
    std::uint32_t maxSuccessLinesPerSecond = 20;
};

struct RelayHooks {
    RelayCodec codec;
    HttpSend send;
    /// Returns true for services whose servers have few slots, each occupied for a long time.
    std::function<bool(const ServiceName &)> isEngine;
    /// Returns true while any request is suspected of crashing servers. While it returns false, no
    /// request is blocked.
    std::function<bool()> hasSuspects;
    /// Returns how long a request with these fingerprints, of itself and of the parts of its
    /// prompt, is blocked because it crashes servers; zero if it may run.
    std::function<Milliseconds(const std::vector<std::uint64_t> &fingerprints)> blockedFor;
    /// Called when a request is sent to a server while hasSuspects() returns true.
    std::function<void(const std::vector<std::uint64_t> &fingerprints)> requestSent;
    /// Called when the connection to a server fails after the request was sent and before the
    /// response is complete, when a server begins its response to a prompt of several parts, and,
    /// while hasSuspects() returns true, when a response is complete.
    std::function<void(const RunVerdict &verdict)> runJudged;
};

/// Forwards requests to servers and their responses to the callers.
///
/// Retries an idempotent request on another server if its server fails before the response begins.
/// Retries a resumable stream also after its response has begun; its caller receives each event
/// once. Retries any other request only if it certainly did not run. Not thread-safe.
class RelayService
{
public:
    RelayService(RelayOptions options, Clock clock, RandomSource random, SlotClient &slots,
                 Metrics &metrics, RelayHooks hooks);
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;
    ~RelayService();

    /// Forwards the request and answers it through `responder`, unless the caller disconnects.
    void relay(RelayRequest request, std::shared_ptr<HttpResponder> responder);
    /// Refuses, from now on, each new request that may still run at `end`, by which the host has
    /// stopped: the refusal says that it was not run. Open requests go on.
    void refuseRequestsThatMayOutlast(MonotonicTime end);
    /// Answers every request whose response has not begun with an error.
    void endUnanswered();
    /// Refuses requests that wait for a slot past their deadline and retries those whose server is
    /// unresponsive. Call about every 20 ms.
    void tick();
    /// Returns the number of requests that have not ended.
    [[nodiscard]] std::size_t openRequests() const;

private:
    class Call;

    [[nodiscard]] std::vector<std::shared_ptr<Call>> openCalls() const;
    void remove(std::uint64_t number);
    /// A call holds `bytes` of a response instead of `formerBytes`.
    void bufferedBytesChanged(std::size_t formerBytes, std::size_t bytes);
    /// Ends the attempts with the longest responses until all fit into maxBufferedBytes.
    void limitBufferedBytes();
    /// Returns false if the host is stopping and the time that the request may take ends later.
    [[nodiscard]] bool mayAccept(const RelayRequest &request) const;
    void refuseAsStopping(const RelayRequest &request, HttpResponder &responder);
    /// Counts a log line against maxSuccessLinesPerSecond; returns false if the limit is reached.
    bool mayLogSuccess();

    RelayOptions options_;
    Clock clock_;
    RandomSource random_;
    SlotClient &slots_;
    Metrics &metrics_;
    RelayHooks hooks_;
    std::optional<MonotonicTime> hostStopsAt_;
    std::size_t bufferedBytes_ = 0;
    std::uint64_t nextCall_ = 1;
    std::map<std::uint64_t, std::shared_ptr<Call>> calls_;
    MonotonicTime logWindowStart_;
    std::uint32_t linesInWindow_ = 0;
};

} // namespace persimmonlb
