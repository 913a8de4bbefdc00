#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/testing/enginemodel.h"
#include "persimmonlb/testing/fakeanswer.h"
#include "persimmonlb/testing/internal/connection.h"
#include "persimmonlb/testing/internal/fakeoptions.h"

namespace persimmonlb
{

/// Serves the interface of a model engine (INTERFACE.md, backend servers) on top of EngineModel,
/// and counts what it ran.
class FakeEngine
{
public:
    FakeEngine(boost::asio::io_context &context, const FakeOptions &options);

    /// The caller keeps the connection alive until the answer has ended.
    boost::asio::awaitable<void> handle(TestRequest request,
                                        std::shared_ptr<Connection> connection);
    [[nodiscard]] FakeStatus status();
    [[nodiscard]] bool idle() const;
    void leave();
    /// Answer to GET /state, given by the announcer.
    void setStateSource(std::function<std::string()> state);

private:
    struct Running {
        explicit Running(boost::asio::io_context &context)
            : wake(context)
        {
        }
        std::string id;
        std::string body;
        ChatRequest chat;
        bool cancelled = false;
        std::deque<EngineToken> tokens;
        boost::asio::steady_timer wake;
    };
    using RunningPtr = std::shared_ptr<Running>;

    boost::asio::awaitable<void> chat(TestRequest request, std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> resume(TestRequest request,
                                        std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> run(RunningPtr running, std::uint32_t firstToken,
                                     std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> stream(RunningPtr running, std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> answerWhole(RunningPtr running,
                                             std::shared_ptr<Connection> connection);
    boost::asio::awaitable<bool> waitForToken(RunningPtr running);
    boost::asio::awaitable<void> cancel(TestRequest request,
                                        std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> order(TestRequest request, std::shared_ptr<Connection> connection);

    [[nodiscard]] bool full() const;
    void obey(const std::string &order);
    void cancelRunning(const RunningPtr &running);
    void admitted(EngineRequestId number);
    void startStep();
    void endStep();
    std::string counts() const;

    boost::asio::io_context &context_;
    const FakeOptions &options_;
    EngineModel model_;
    boost::asio::steady_timer stepTimer_;
    bool stepping_ = false;
    bool leaving_ = false;
    FakeStatus status_;
    std::uint64_t highestFencing_ = 0;
    EngineRequestId lastNumber_ = 0;
    std::map<EngineRequestId, RunningPtr> running_;
    std::map<std::string, std::uint64_t> runsById_;
    std::map<std::string, std::uint64_t> runsByBody_;
    std::map<std::string, std::uint64_t> cancelledById_;
    std::function<std::string()> state_;
};

/// Serves a plain service: each call runs once, after the service time, and is counted by its
/// Idempotency-Key, or by its body when it has none.
class FakePlain
{
public:
    FakePlain(boost::asio::io_context &context, const FakeOptions &options);

    /// The caller keeps the connection alive until the answer has ended.
    boost::asio::awaitable<void> handle(TestRequest request,
                                        std::shared_ptr<Connection> connection);
    [[nodiscard]] FakeStatus status();
    [[nodiscard]] bool idle() const;
    void leave();
    /// Answer to GET /state, given by the announcer.
    void setStateSource(std::function<std::string()> state);

private:
    boost::asio::awaitable<void> call(TestRequest request, std::shared_ptr<Connection> connection);
    void countRun(const TestRequest &request);

    boost::asio::io_context &context_;
    const FakeOptions &options_;
    std::uint32_t running_ = 0;
    bool leaving_ = false;
    std::map<std::string, std::uint64_t> runs_;
    std::function<std::string()> state_;
};

/// Ends the process at once, as a crash does.
[[noreturn]] void crashNow();

/// True when `text` is set and `body` holds it.
bool holdsText(const std::string &body, const std::string &text);

} // namespace persimmonlb
