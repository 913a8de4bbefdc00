#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/relay/eventreader.h"
#include "persimmonlb/relay/relayservice.h"

namespace persimmonlb
{

/// One request: acquires a slot, sends the request and forwards the response, with retries.
class RelayService::Call : public std::enable_shared_from_this<RelayService::Call>
{
public:
    Call(RelayService &service, std::uint64_t number, RelayRequest request,
         std::shared_ptr<HttpResponder> responder);

    void start();
    /// Handles expired timeouts, see RelayService::tick().
    void tick();
    /// Ends the request because the host stops, unless its response has begun.
    void endIfUnanswered();
    /// Bytes of a response that is not complete yet.
    [[nodiscard]] std::size_t bufferedBytes() const;
    /// Ends the current attempt because the responses together use too much memory.
    void failForMemory();

private:
    enum class Stage : std::uint8_t { Waiting, Sent, Ended };

    void acquire();
    void slotRequestEnded(const SlotAnswer &answer);
    void send();
    HttpExchangeHooks exchangeHooks();
    void headArrived(HttpResponseHead head);
    void chunkArrived(std::string_view chunk);
    void forwardEvents(std::string_view chunk);
    void bufferBody(std::string_view chunk);
    void dropBody();
    /// Gives the complete response to the caller.
    void respondWithBody();
    /// Ends an attempt whose response is too long.
    void responseTooLong(const char *why);
    void exchangeEnded(const HttpExchangeEnd &end);
    /// Handles a response that arrived to its end.
    void responseEnded();
    /// Reports that the server ended the current run before its response was complete.
    void reportAbortedRun();
    /// Reports that the server began its response, once for each attempt.
    void reportResponseBegan();
    /// Reports that the response is complete, while there are suspects.
    void reportAnsweredRun();
    /// Returns the fingerprint of the request, see requestFingerprint(), and those of its parts.
    const std::vector<std::uint64_t> &fingerprints();
    /// Refuses the request if it is blocked because it crashes servers.
    bool refuseIfBlocked();
    void handleSuccess();

    /// Ends an attempt that produced no response for the caller; retries or gives up.
    void attemptFailed(SlotOutcome outcome, const Error &error);
    /// Releases the slot (or cancels the request for it), reports `outcome` and closes the
    /// exchange.
    void endAttempt(SlotOutcome outcome);
    [[nodiscard]] bool mayRetry() const;
    /// Forwards the server's failure response to the caller.
    void forwardFailure();
    /// Ends the request with an error response, or by aborting a response that has started.
    void giveUp(const Error &error);
    void callerDisconnected();
    /// Counts and logs the outcome of the request, then removes it from the service.
    void finish(std::string_view outcome, std::string_view why);

    [[nodiscard]] bool isStreaming() const;
    [[nodiscard]] bool isIdempotent() const;
    [[nodiscard]] Milliseconds timeLeft() const;
    /// Returns how long the request may still wait for a slot: for a stream whose response has not
    /// started, until refusalMargin before its caller disconnects; otherwise until the deadline.
    [[nodiscard]] Milliseconds timeUntilRefusal() const;
    /// Returns the time without progress after which an attempt may be retried.
    [[nodiscard]] Milliseconds progressTimeout() const;

    RelayService &service_;
    std::uint64_t number_;
    RelayRequest request_;
    std::shared_ptr<HttpResponder> responder_;
    ServiceName serviceName_;
    std::vector<std::uint64_t> fingerprints_; ///< Computed on first use.
    MonotonicTime startedAt_;
    MonotonicTime deadline_;

    Stage stage_ = Stage::Waiting;
    std::uint64_t ticket_ = 0;
    SlotAnswer slot_;
    std::unique_ptr<HttpExchange> exchange_;
    MonotonicTime lastProgressAt_;
    ResponseClass responseClass_ = ResponseClass::Mismatched;
    HttpResponseHead head_; ///< Of the latest response, unless that resumes a stream.
    std::string body_; ///< Of a response that is not forwarded as a stream.
    EventReader events_;
    std::size_t unwrittenBytes_ = 0;

    bool responseBegan_ = false; ///< The server of the current attempt sent the first event.
    bool responseStarted_ = false; ///< The head was sent to the caller.
    std::uint32_t attempts_ = 0;
    bool quotaCharged_ = false; ///< An attempt got a server.
    std::uint32_t possibleRuns_ = 0; ///< Attempts that ran or may have run.
    std::vector<ServerId> triedServers_;
};

} // namespace persimmonlb
