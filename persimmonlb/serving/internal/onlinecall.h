#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/serving/answerwriter.h"
#include "persimmonlb/serving/callerrequest.h"
#include "persimmonlb/serving/onceonlyclaim.h"
#include "persimmonlb/serving/onlineservice.h"
#include "persimmonlb/serving/tokenstream.h"

namespace persimmonlb
{

/// What the calls of one service share.
struct OnlineContext {
    OnlineOptions options;
    Clock clock;
    Router &router;
    Suspects &suspects;
    OnlineHooks hooks;
    RetryBudget retryBudget;
    /// Takes an exchange that may be on the call stack and destroys it later.
    std::function<void(std::unique_ptr<HttpExchange>)> retire;
    /// Tells a server to cancel a run.
    std::function<void(const std::string &address, const std::string &id)> cancelRun;
    /// The call is over: its answer ended and nothing of it runs any more.
    std::function<void(std::uint64_t id)> remove;
};

/// The life of one checked request: claim, choice of server, attempts, answer.
///
/// The answer to the caller and the run on a server end separately: a once-only request whose
/// caller has its final answer may still run, and is then watched so that its outcome is recorded.
class OnlineCall : public std::enable_shared_from_this<OnlineCall>
{
public:
    OnlineCall(OnlineContext &context, std::uint64_t id, CallerRequest request,
               std::shared_ptr<HttpResponder> responder);
    OnlineCall(const OnlineCall &) = delete;
    OnlineCall &operator=(const OnlineCall &) = delete;
    ~OnlineCall() = default;

    void start();
    /// The caller closed its connection before its answer ended.
    void callerGone();
    /// A server was lost by silence.
    void serverLost(const ServerId &server);

private:
    /// The exchange with the chosen server.
    struct Attempt {
        std::uint64_t number = 0;
        std::unique_ptr<HttpExchange> exchange;
        std::optional<HttpResponseHead> head;
        std::string body; ///< Held back until it is whole.
        bool resumes = false; ///< Goes on with a broken stream.
        bool began = false; ///< The server has begun its response.
        bool streams = false; ///< Answers with events.
        bool tooLong = false; ///< The answer was passed on in chunks.
    };

    void claim();
    void claimAnswered(const Outcome<ClaimReply> &reply);

    void route();
    void routeNow();
    void chosen(const Outcome<ServerChoice> &choice, bool suspect);
    void permitted(const Outcome<Done> &may);

    /// Returns the refusal of a request with a part that crashes servers, or nothing.
    [[nodiscard]] std::optional<Error> blockedError() const;

    // One attempt (onlineattempt.cpp).
    void send();
    [[nodiscard]] HttpRequest requestForAttempt(bool resumes) const;
    [[nodiscard]] HttpExchangeHooks hooksForAttempt(std::uint64_t number);
    void headCame(HttpResponseHead head);
    void chunkCame(std::string chunk);
    void holdOrPass(std::string chunk);
    void eventsCame(const std::string &bytes);
    void exchangeEnded(const HttpExchangeEnd &end);
    /// Reports that the server began its response, once for each attempt.
    void reportResponseBegan();
    [[nodiscard]] RunVerdict verdictOn(const ServerChoice &choice, bool broken) const;
    [[nodiscard]] bool isRefusal() const;
    [[nodiscard]] HttpResponseHead headForCaller() const;
    void answerWhole();
    void streamWhole();
    void serverRefused();
    void connectFailed();
    void connectionBroken(const std::string &message);
    void lossKnown(const ServerId &server, LossVerdict verdict, const std::string &message);
    void streamFaulty(const std::string &message);
    void resumeRefused();
    void tryAgain(const Error &error);
    void resume(const Error &error, const ServerId &server, bool serverLives);

    void deadlinePassed();
    /// Goes on with a once-only run after its caller has the final answer.
    void linger();
    /// Gives the caller its final answer: a refusal or a failure, as far as the request got.
    void fail(Error error);
    void cancelAttempt();
    void giveBack(RouteEnd end, PermitEnd permitEnd);
    void record(ClaimState state, RecordedAnswer answer, std::function<void()> recorded);
    void recordThen(RecordedAnswer answer, std::function<void()> next);
    void answered(ResultCode code, std::uint16_t status);
    void removeWhenOver();
    [[nodiscard]] bool runsOn() const;
    [[nodiscard]] RunState runState() const;
    [[nodiscard]] Milliseconds timeLeft() const;
    [[nodiscard]] Milliseconds sinceStart() const;

    OnlineContext &context_;
    std::uint64_t id_;
    CallerRequest request_;
    std::string runId_; ///< Unique in the system; the server sees this one.
    std::string callerId_; ///< The caller sees this one.
    AnswerWriter answer_;
    TokenStream stream_;
    std::shared_ptr<OnceOnlyClaim> claim_;
    MonotonicTime startedAt_;
    MonotonicTime deadline_;
    std::vector<ServerId> exclude_;
    ServerId preferred_;
    std::uint64_t waiter_ = 0;
    std::uint64_t permit_ = 0;
    std::optional<ServerChoice> choice_;
    std::optional<Attempt> attempt_;
    std::uint64_t attemptNumber_ = 0;
    std::optional<Error> lastError_;
    std::string recordedEvents_;
    RequestEnd end_;
    std::uint32_t lossesPending_ = 0;
    std::uint32_t recordsPending_ = 0;
    std::uint32_t notRunRetries_ = 0;
    bool mayHaveRun_ = false; ///< A byte went to a server that did not refuse it.
    bool claimUnknown_ = false; ///< Whether an earlier request with the key ran is not known.
    bool lingers_ = false;
    bool answeredCaller_ = false;
    bool removed_ = false;
};

} // namespace persimmonlb
