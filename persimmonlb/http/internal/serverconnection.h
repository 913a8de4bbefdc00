#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "persimmonlb/http/internal/messageparser.h"
#include "persimmonlb/http/internal/wireformat.h"
#include "persimmonlb/http/server.h"

namespace persimmonlb::internal
{

class ServerConnection;

/// What a connection tells the responder of one request.
struct AnswerState {
    bool callerGone = false;
};

/// What the connections of one server share. Everything runs on the thread of the io_context.
struct ServerShared {
    static constexpr std::size_t scratchBytes = 64UL * 1024;

    explicit ServerShared(boost::asio::any_io_executor contextExecutor)
        : executor(std::move(contextExecutor))
    {
    }

    boost::asio::any_io_executor executor;
    HttpServerOptions options;
    HttpHandler handler; ///< Empty once the server object is destroyed.
    bool closing = false; ///< Connections are closed once they are idle.
    bool closesAfterAnswers = false; ///< Answers carry "Connection: close".
    std::size_t openRequests = 0;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    std::array<char, scratchBytes> scratch{}; ///< Input of the connection that reads right now.
};

/// One accepted connection: reads requests one at a time, hands each to the handler and writes
/// its answer. It goes on reading during an answer, up to a bound, to notice a caller that goes
/// away.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using ErrorCode = boost::system::error_code;
    using TimePoint = std::chrono::steady_clock::time_point;

    ServerConnection(Socket socket, std::shared_ptr<ServerShared> shared);

    void start();
    /// Answers with `error` whatever comes first, then closes.
    void startRefused(const Error &error);
    /// Closes the socket; no hook is called any more.
    void detach();
    /// Closes an idle connection after a last answer; takes a request whose first byte is here.
    void closeIfIdle();
    /// True when a whole request is waited for and nothing of one has arrived for some time.
    [[nodiscard]] bool isSilent() const;
    [[nodiscard]] TimePoint lastInput() const;
    /// Closes a silent connection after a last answer, to make room for another one; false if a
    /// request is here after all.
    bool closeSilent();
    /// Acts on a deadline that has passed.
    void checkDeadline(TimePoint now);

    // What a Responder forwards; `answer` numbers the request it belongs to.
    void respond(std::uint64_t answer, HttpResponse response);
    void startAnswer(std::uint64_t answer, const HttpResponseHead &head);
    void writeChunk(std::uint64_t answer, std::string chunk, std::function<void()> written);
    void finishAnswer(std::uint64_t answer);
    void abortAnswer(std::uint64_t answer);
    void setClosedHook(std::uint64_t answer, std::function<void()> closed);
    /// The handler let go of the responder.
    void dropAnswer(std::uint64_t answer);

private:
    enum class Phase : std::uint8_t { Idle, Header, Body, Answering, Closing, Closed };

    void awaitInput();
    void readInput(const ErrorCode &waitError);
    void takeInput(std::string_view bytes);
    void inputEnded(const ErrorCode &error);
    void parseBuffered();
    void parse(std::string_view bytes);
    void rejectParseError(const ErrorCode &error);
    void headerReceived();
    void dispatch();
    void nextRequest();

    void reject(const Error &error);
    void refuse(HttpResponse response);
    void refuseForRoom(Error error);
    [[nodiscard]] CallerUse memoryUse() const;
    void accountMemory();
    void relieveMemory();
    void dropForMemory(CallerDrop why);
    void queueWholeAnswer(HttpResponse response, bool close);
    void queue(std::string bytes);
    void flush();
    void writeOutput();
    ErrorCode writeSome();
    void awaitOutput();
    void outputDrained();
    void answerSent();
    void endRequest();
    void halfClose();
    void callerGone();
    void close();

    [[nodiscard]] bool answers(std::uint64_t answer) const;
    [[nodiscard]] AnswerFraming framing(bool closes) const;
    void setDeadline(Milliseconds timeout);

    Socket socket_;
    std::shared_ptr<ServerShared> shared_;
    std::optional<RequestParser> parser_;
    std::string input_; ///< Received, not yet parsed.
    std::string remoteAddress_;
    CallerMemory::Holder memoryHolder_ = 0; ///< 0: has no entry in the account.
    std::uint64_t passedOnBytes_ = 0; ///< Memory of the request that the handler has.

    std::deque<std::string> output_;
    std::size_t outputOffset_ = 0; ///< Bytes of output_.front() that are written.
    std::vector<std::function<void()>> writtenHooks_;
    std::function<void()> closedHook_;

    TimePoint deadline_ = TimePoint::max();
    TimePoint lastInput_ = std::chrono::steady_clock::now();
    std::shared_ptr<AnswerState> answerState_;
    std::uint64_t currentAnswer_ = 0;
    Phase phase_ = Phase::Idle;
    bool awaitingInput_ = false;
    bool awaitingOutput_ = false;
    bool flushPosted_ = false;
    bool answerStarted_ = false;
    bool answerEnded_ = false;
    bool closeAfterAnswer_ = false;
    bool chunked_ = false;
    bool bodyless_ = false;
    bool requestOpen_ = false;
    bool http10_ = false;
    bool headRequest_ = false;
};

} // namespace persimmonlb::internal
