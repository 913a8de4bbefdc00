#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/testing/virtualtime.h"

/// Hand-written fakes in virtual time for tests of the serving path.
namespace persimmonlb
{

/// The replicated log, as far as serving uses it: claims and suspects.
class FakeLog
{
public:
    enum class Fault : std::uint8_t { None, Unreachable, AnswerLost, Late };

    explicit FakeLog(VirtualTime &time);

    void propose(const Command &command, const std::function<void(Outcome<Reply>)> &done);
    void fetchState(const std::function<void(Outcome<EntryStateAnswer>)> &done);
    /// The owner's lease ran out: its open claims become unknown.
    void releaseOwner(const Owner &owner);
    [[nodiscard]] EntryStateAnswer entryState() const;
    [[nodiscard]] std::optional<ClaimState> claimState(const ClaimKey &key) const;

    Fault fault = Fault::None;

private:
    struct Claim {
        ClaimRequest request;
        ClaimState state = ClaimState::Running;
        RecordedAnswer answer;
        std::set<std::string> closedIds;
    };

    Reply apply(const Command &command);
    ClaimReply claim(const ClaimRequest &request);
    void recordOutcome(const RecordOutcome &outcome);
    void report(const ReportSuspects &report);

    VirtualTime &time_;
    std::map<ClaimKey, Claim> claims_;
    std::map<std::string, std::set<std::pair<ServerId, std::uint64_t>>> suspects_;
    std::map<std::string, WallTime> convictions_;
    std::uint64_t version_ = 1;
};

/// A caller's connection.
class FakeResponder : public HttpResponder
{
public:
    void respond(HttpResponse response) override;
    void start(HttpResponseHead head) override;
    void write(std::string chunk, std::function<void()> written) override;
    void finish() override;
    void abort() override;
    void onClosed(std::function<void()> closed) override;

    /// The caller goes away.
    void close();
    /// True once the answer ended properly: whole, or in chunks that were finished.
    [[nodiscard]] bool isWhole() const;
    /// The final code of an error answer or error event; nothing for another answer.
    [[nodiscard]] std::optional<int> errorCode() const;
    /// "not_run", "unknown" or "ran" of an error answer; empty for another answer.
    [[nodiscard]] std::string run() const;

    std::uint16_t status = 0;
    std::string text;
    bool whole = false;
    bool finished = false;
    bool aborted = false;
    std::uint32_t ends = 0;
    std::size_t runsAtEnd = 0; ///< Set by the bench: runs of the fleet when the answer ended.
    std::function<void()> ended = [] {
    };

private:
    std::function<void()> closed_;
};

/// How a fake server treats one request.
enum class ServerAct : std::uint8_t {
    Answers,
    RefusesConnection,
    BreaksBeforeHead,
    BreaksAfterHead,
    BreaksInBody,
    RefusesNotRun,
    Refuses, ///< 503 without the header Persimmonlb-Not-Run.
    StaysSilent,
    SkipsToken,
    DoublesTokens,
    MixesInForeignTokens,
    SendsTokensLate, ///< Old tokens again after newer ones.
    EndsWithoutDone,
    AnswersOtherRequest, ///< The head echoes another request id.
};

std::ostream &operator<<(std::ostream &stream, ServerAct act);

/// One run that a fake server admitted.
struct ServerRun {
    std::string server;
    std::string id;
    std::string body;
    bool resumed = false;
    Milliseconds at{0};
};

/// Backend servers by address. A server that meets the poison in a body crashes with everything
/// that it runs.
class FakeFleet
{
public:
    explicit FakeFleet(VirtualTime &time);

    std::unique_ptr<HttpExchange> send(const std::string &address, const HttpRequest &request,
                                       Milliseconds deadline, HttpExchangeHooks hooks);
    void crash(const std::string &address);
    void restart(const std::string &address);
    void freeze(const std::string &address);
    [[nodiscard]] bool isAlive(const std::string &address) const;
    [[nodiscard]] std::size_t crashed() const;
    [[nodiscard]] std::uint64_t incarnation(const std::string &address) const;

    std::string poison;
    std::uint32_t tokens = 5;
    Milliseconds tokenTime{10};
    /// Acts of the coming requests, one each; after the last: Answers.
    std::vector<ServerAct> acts;
    std::uint32_t breakAtToken = 2;
    bool canResume = true;
    std::vector<ServerRun> runs;
    std::vector<std::string> cancelled; ///< Ids of POST /v1/cancel.

private:
    struct Server {
        bool alive = true;
        bool frozen = false;
        std::uint64_t incarnation = 1;
    };
    struct Connection {
        std::string address;
        HttpExchangeHooks hooks;
        bool hasHead = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void serve(const ConnectionPtr &connection, const HttpRequest &request, ServerAct act);
    void answer(const ConnectionPtr &connection, const HttpRequest &request, ServerAct act);
    void stream(const ConnectionPtr &connection, const std::string &id, std::uint32_t from,
                ServerAct act);
    void sendHead(const ConnectionPtr &connection, std::uint16_t status, HttpHeaders headers);
    void sendLater(const ConnectionPtr &connection, Milliseconds delay, std::string text);
    void endLater(const ConnectionPtr &connection, Milliseconds delay, HttpExchangeEnd end);
    void endNow(const ConnectionPtr &connection, const HttpExchangeEnd &end);
    [[nodiscard]] bool isOpen(const ConnectionPtr &connection) const;

    VirtualTime &time_;
    std::map<std::string, Server> servers_;
    std::set<ConnectionPtr> open_;
    std::size_t crashed_ = 0;
    std::size_t nextAct_ = 0;
};

} // namespace persimmonlb
