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

/// The life of one request: waits for a slot, is sent, is answered; possibly several times.
class RelayService::Call : public std::enable_shared_from_this<RelayService::Call>
{
public:
    Call(RelayService &service, std::uint64_t number, RelayRequest request,
         std::shared_ptr<HttpResponder> responder);

    void begin();
    void tick();

private:
    enum class Stage : std::uint8_t { Waiting, Sent, Ended };

    void acquire();
    void slotAnswered(const SlotAnswer &answer);
    void send();
    HttpExchangeHooks exchangeHooks();
    void headArrived(HttpResponseHead head);
    void chunkArrived(std::string_view chunk);
    void passEvents(std::string_view chunk);
    void exchangeEnded(const HttpExchangeEnd &end);
    void wholeAnswerArrived();
    void tellVerdict(bool broken);
    std::uint64_t fingerprint();
    [[nodiscard]] Milliseconds blockedFor();
    void answerComplete();

    /// The attempt is over without an answer for the caller: tries again or gives up.
    void attemptFailed(SlotOutcome outcome, const Error &error);
    void endAttempt(SlotOutcome outcome);
    [[nodiscard]] bool mayTryAgain() const;
    /// Gives the caller the server's own failure.
    void passFailure();
    void giveUp(const Error &error);
    void callerGone();
    void finish(std::string_view outcome, std::string_view why);

    [[nodiscard]] bool streams() const;
    [[nodiscard]] bool isIdempotent() const;
    [[nodiscard]] Milliseconds timeLeft() const;
    /// Until the caller of a stream leaves that has seen nothing of it.
    [[nodiscard]] Milliseconds callerLeavesIn() const;
    [[nodiscard]] Milliseconds patience() const;

    RelayService &service_;
    std::uint64_t number_;
    RelayRequest request_;
    std::shared_ptr<HttpResponder> responder_;
    ServiceName serviceName_;
    std::optional<std::uint64_t> fingerprint_; ///< Taken when it is first needed.
    MonotonicTime startedAt_;
    MonotonicTime deadline_;

    Stage stage_ = Stage::Waiting;
    std::uint64_t ticket_ = 0;
    SlotAnswer slot_;
    std::unique_ptr<HttpExchange> exchange_;
    MonotonicTime progressAt_;
    AnswerClass answerClass_ = AnswerClass::Foreign;
    HttpResponseHead head_; ///< Of the present attempt.
    std::string body_; ///< Of answers that are not streamed.
    EventReader events_;
    std::size_t unwritten_ = 0;

    bool answerStarted_ = false; ///< The caller has the head of an answer.
    std::uint32_t sends_ = 0;
    std::uint32_t mayHaveRun_ = 0; ///< Sendings that ran or may have run.
    std::vector<ServerId> tried_;
};

} // namespace persimmonlb
