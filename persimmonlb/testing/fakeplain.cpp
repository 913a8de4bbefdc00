#include <chrono>
#include <cstdlib>
#include <fstream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/testing/internal/fakeservice.h"

namespace persimmonlb
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;
constexpr int crashStatus = 139;

std::string queryOf(const std::string &target)
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? "" : target.substr(mark + 1);
}

std::string answerTo(const std::string &server, const TestRequest &request)
{
    const std::string target(request.target());
    const Json answer{{"server", server},
                      {"path", target.substr(0, target.find('?'))},
                      {"check", plainCheckValue(queryOf(target), request.body())}};
    return answer.dump();
}

} // namespace

void crashNow()
{
    std::_Exit(crashStatus);
}

bool holdsText(const std::string &body, const std::string &text)
{
    return !text.empty() && body.find(text) != std::string::npos;
}

FakePlain::FakePlain(asio::io_context &context, const FakeOptions &options)
    : context_(context)
    , options_(options)
{
}

asio::awaitable<void> FakePlain::handle(TestRequest request, std::shared_ptr<Connection> connection)
{
    const std::string target(request.target());
    if (target == "/_runs") {
        return connection->respond(statusOk, Json(runs_).dump());
    }
    if (target == "/state") {
        return connection->respond(statusOk, state_());
    }
    return call(std::move(request), std::move(connection));
}

asio::awaitable<void> FakePlain::call(TestRequest request, std::shared_ptr<Connection> connection)
{
    if (running_ >= options_.engine.slots) {
        co_await connection->refuse(statusUnavailable, R"({"error":"no free slot"})");
        co_return;
    }
    if (holdsText(request.body(), options_.rejectOn)) {
        co_await connection->respond(statusBadRequest, R"({"error":"rejected"})");
        co_return;
    }
    ++running_;
    if (request.method() != http::verb::get && request.method() != http::verb::head) {
        countRun(request);
    }
    if (holdsText(request.body(), options_.crashOn)) {
        crashNow();
    }
    asio::steady_timer timer(context_, options_.engine.tokenTime + options_.latency);
    co_await timer.async_wait(asTuple);
    co_await connection->respond(statusOk, answerTo(options_.server, request));
    --running_;
}

void FakePlain::countRun(const TestRequest &request)
{
    const std::string key(request["Idempotency-Key"]);
    const std::string counted = key.empty() ? sha256Hex(request.body()) : key;
    ++runs_[counted];
    if (!options_.runLog.empty()) {
        std::ofstream(options_.runLog, std::ios::app) << counted + '\n' << std::flush;
    }
}

FakeStatus FakePlain::status()
{
    FakeStatus status;
    status.leaving = leaving_;
    status.model = options_.model;
    status.version = options_.version;
    status.role = options_.role;
    status.load.running = running_;
    return status;
}

bool FakePlain::idle() const
{
    return running_ == 0;
}

void FakePlain::leave()
{
    leaving_ = true;
}

void FakePlain::setStateSource(std::function<std::string()> state)
{
    state_ = std::move(state);
}

} // namespace persimmonlb
