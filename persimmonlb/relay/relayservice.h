#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

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
    /// From the sending to the first event at the caller, when nothing waits: an engine's first
    /// step and the network. A slot granted later than the objective less this is too late.
    Milliseconds firstEventAllowance{80};
    /// Callers of streams leave when they have seen no event for this long, or for these multiples
    /// of their objective and of the longest pause that they allow, whichever is longest.
    Milliseconds streamPatience{2000};
    /// Kept of that for a refusal: its caller must hear it while it still waits, to come back.
    Milliseconds refusalMargin{400};
    int patienceObjectives = 4;
    int patiencePauses = 8;
    /// An engine that shows no first event for so long is left for another one.
    Milliseconds firstEventPatience{900};
    /// Likewise between two events. Callers leave after 2 s at the earliest.
    Milliseconds nextEventPatience{1000};
    /// A server of safe requests is left after this multiple of the objective.
    double safePatience = 2.0;
    Milliseconds leastSafePatience{150};
    /// Sendings beyond the route's attempts, for those that surely did not run.
    std::uint32_t extraSends = 3;
    /// A retry with less time left serves nobody.
    Milliseconds leastTimeToRetry{30};
    /// A request that has less of the route's timeout left than this share came before.
    double freshShare = 0.93;
    /// Bytes of an answer that wait for the caller before the server is paused.
    std::size_t maxUnwritten = 256UL * 1024;
    /// A longer answer that is no stream is the server's failure. Ten such answers at once fit
    /// into an entry host of 88 MB.
    std::size_t maxAnswerBytes = 4UL * 1024 * 1024;
    /// Lines for requests that went well, a second; further ones are counted only.
    std::uint32_t successLinesPerSecond = 20;
};

struct RelayHooks {
    RelayCodec codec;
    HttpSend send;
    /// True for services whose slots are few and held for long.
    std::function<bool(const ServiceName &)> isEngine;
    /// True while some request is suspected to crash servers; none is blocked otherwise.
    std::function<bool()> anySuspects;
    /// For how long the request must not run, because it crashes servers; zero: it may.
    std::function<Milliseconds(std::uint64_t fingerprint)> blockedFor;
    /// A server broke a request off or, told while there are suspects, answered it.
    std::function<void(const RunVerdict &verdict)> runEnded;
};

/// Passes requests on to servers, and their answers back.
///
/// A request that may be repeated is sent again, to another server, when its server fails before
/// the answer began; a stream that may be resumed also later, so that its caller sees each event
/// once. Others are sent again only when they surely did not run. Not thread-safe.
class RelayService
{
public:
    RelayService(RelayOptions options, Clock clock, RandomSource random, SlotClient &slots,
                 Metrics &metrics, RelayHooks hooks);
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;
    ~RelayService();

    void relay(RelayRequest request, std::shared_ptr<HttpResponder> responder);
    /// Ends what is past its deadline and leaves servers that have gone silent. Call each 20 ms
    /// or so.
    void tick();
    [[nodiscard]] std::size_t openRequests() const;

private:
    class Call;

    void remove(std::uint64_t number);
    bool mayLogSuccess();

    RelayOptions options_;
    Clock clock_;
    RandomSource random_;
    SlotClient &slots_;
    Metrics &metrics_;
    RelayHooks hooks_;
    std::uint64_t nextCall_ = 1;
    std::map<std::uint64_t, std::shared_ptr<Call>> calls_;
    MonotonicTime logWindow_;
    std::uint32_t loggedInWindow_ = 0;
};

} // namespace persimmonlb
