#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/base/resultcode.h"
#include "persimmonlb/testing/internal/fakeservice.h"

namespace persimmonlb
{

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusTooMany = 429;

std::string errorBody(ResultCode code)
{
    const ResultCodeInfo &info = describe(code);
    const Json json{{"error",
                     {{"code", static_cast<std::uint16_t>(code)},
                      {"name", info.name},
                      {"message", info.meaning},
                      {"run", toString(info.run)}}}};
    return json.dump();
}

std::string eventOf(const std::string &id, const EngineToken &token, std::uint64_t answerKey)
{
    const Json finish = token.last ? Json("stop") : Json(nullptr);
    const Json json{{"id", id},
                    {"object", "chat.completion.chunk"},
                    {"index", token.index},
                    {"choices",
                     {{{"index", 0},
                       {"delta", {{"content", answerToken(answerKey, token.index)}}},
                       {"finish_reason", finish}}}}};
    return "data: " + json.dump() + "\n\n";
}

std::string wholeAnswer(const std::string &id, const std::string &model, const ChatRequest &chat)
{
    const Json message{{"role", "assistant"},
                       {"content", answerText(chat.answerKey, chat.maxTokens)}};
    const Json json{{"id", id},
                    {"object", "chat.completion"},
                    {"model", model},
                    {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
                    {"usage", {{"completion_tokens", chat.maxTokens}}}};
    return json.dump();
}

} // namespace

FakeEngine::FakeEngine(asio::io_context &context, const FakeOptions &options)
    : context_(context)
    , options_(options)
    , model_(options.engine, [this](EngineRequestId number) { admitted(number); })
    , stepTimer_(context)
{
    status_.model = options.model;
    status_.version = options.version;
    status_.role = options.role;
}

asio::awaitable<void> FakeEngine::handle(TestRequest request,
                                         std::shared_ptr<Connection> connection)
{
    const std::string target(request.target());
    if (target == "/v1/chat/completions") {
        return chat(std::move(request), std::move(connection));
    }
    if (target == "/v1/resume") {
        return resume(std::move(request), std::move(connection));
    }
    if (target == "/v1/cancel") {
        return cancel(std::move(request), std::move(connection));
    }
    if (target == "/v1/orders") {
        return order(std::move(request), std::move(connection));
    }
    if (target == "/state") {
        return connection->respond(statusOk, state_());
    }
    if (target == "/_runs") {
        return connection->respond(statusOk, counts());
    }
    return connection->respond(statusNotFound, errorBody(ResultCode::NotFound));
}

asio::awaitable<void> FakeEngine::chat(TestRequest request, std::shared_ptr<Connection> connection)
{
    auto running = std::make_shared<Running>(context_);
    running->id = std::string(request["Persimmonlb-Request-Id"]);
    if (running->id.empty()) {
        running->id = options_.server + '-' + std::to_string(lastNumber_ + 1);
    }
    running->body = std::move(request.body());
    running->chat = parseChatRequest(running->body);
    co_await run(running, 0, connection);
}

asio::awaitable<void> FakeEngine::resume(TestRequest request,
                                         std::shared_ptr<Connection> connection)
{
    const Json json = Json::parse(request.body(), nullptr, false);
    const bool complete = json.is_object() && json.contains("id") && json.contains("from_index")
        && json["from_index"].is_number_unsigned() && json.contains("request");
    if (!complete) {
        co_await connection->respond(statusBadRequest, errorBody(ResultCode::MalformedRequest));
        co_return;
    }
    auto running = std::make_shared<Running>(context_);
    running->id = json["id"].is_string() ? json["id"].get<std::string>() : json["id"].dump();
    const Json &original = json["request"];
    running->body = original.is_string() ? original.get<std::string>() : original.dump();
    running->chat = parseChatRequest(running->body);
    const auto firstToken = json["from_index"].get<std::uint32_t>();
    if (!options_.resumes || firstToken >= running->chat.maxTokens) {
        co_await connection->respond(statusNotFound, errorBody(ResultCode::NotFound));
        co_return;
    }
    running->chat.stream = true;
    co_await run(running, firstToken, connection);
}

asio::awaitable<void> FakeEngine::run(RunningPtr running, std::uint32_t firstToken,
                                      std::shared_ptr<Connection> connection)
{
    if (full()) {
        co_await connection->refuse(statusTooMany, errorBody(ResultCode::Overloaded));
        co_return;
    }
    if (!running->chat.valid || holdsText(running->body, options_.rejectOn)) {
        co_await connection->respond(statusBadRequest, errorBody(ResultCode::MalformedRequest));
        co_return;
    }
    const EngineRequestId number = ++lastNumber_;
    running_.emplace(number, running);
    connection->watch([this, running] { cancelRunning(running); });
    model_.submit(number, running->chat.prompt, firstToken, running->chat.maxTokens);
    startStep();
    if (running->chat.stream) {
        co_await stream(running, connection);
    } else {
        co_await answerWhole(running, connection);
    }
    connection->unwatch();
    running_.erase(number);
}

asio::awaitable<void> FakeEngine::stream(RunningPtr running, std::shared_ptr<Connection> connection)
{
    asio::steady_timer timer(context_, options_.latency);
    co_await timer.async_wait(asTuple);
    co_await connection->startEvents();
    bool last = false;
    while (!last) {
        const bool more = co_await waitForToken(running);
        if (!more) {
            break;
        }
        const EngineToken token = running->tokens.front();
        running->tokens.pop_front();
        last = token.last;
        co_await connection->writeEvent(eventOf(running->id, token, running->chat.answerKey));
    }
    if (last) {
        co_await connection->writeEvent("data: [DONE]\n\n");
    } else {
        co_await connection->writeEvent("event: error\ndata: " + errorBody(ResultCode::Cancelled)
                                        + "\n\n");
    }
    co_await connection->finishEvents();
}

asio::awaitable<void> FakeEngine::answerWhole(RunningPtr running,
                                              std::shared_ptr<Connection> connection)
{
    bool last = false;
    while (!last) {
        const bool more = co_await waitForToken(running);
        if (!more) {
            break;
        }
        last = running->tokens.front().last;
        running->tokens.pop_front();
    }
    asio::steady_timer timer(context_, options_.latency);
    co_await timer.async_wait(asTuple);
    if (!last) {
        co_await connection->respond(statusConflict, errorBody(ResultCode::Cancelled));
        co_return;
    }
    co_await connection->respond(statusOk, wholeAnswer(running->id, status_.model, running->chat));
}

asio::awaitable<bool> FakeEngine::waitForToken(RunningPtr running)
{
    while (running->tokens.empty() && !running->cancelled) {
        running->wake.expires_at(asio::steady_timer::time_point::max());
        co_await running->wake.async_wait(asTuple);
    }
    co_return !running->tokens.empty();
}

asio::awaitable<void> FakeEngine::cancel(TestRequest request,
                                         std::shared_ptr<Connection> connection)
{
    const Json json = Json::parse(request.body(), nullptr, false);
    const std::string id = json.is_object() && json.contains("id") && json["id"].is_string()
        ? json["id"].get<std::string>()
        : "";
    bool found = false;
    for (const auto &[number, running] : running_) {
        if (running->id != id) {
            continue;
        }
        found = true;
        cancelRunning(running);
    }
    co_await connection->respond(found ? statusOk : statusNotFound,
                                 found ? R"({"cancelled":true})" : R"({"cancelled":false})");
}

asio::awaitable<void> FakeEngine::order(TestRequest request, std::shared_ptr<Connection> connection)
{
    const Json json = Json::parse(request.body(), nullptr, false);
    if (!json.is_object() || !json.contains("fencing") || !json["fencing"].is_number_unsigned()) {
        co_await connection->respond(statusBadRequest, errorBody(ResultCode::MalformedRequest));
        co_return;
    }
    const auto fencing = json["fencing"].get<std::uint64_t>();
    if (options_.checksFencing && fencing < highestFencing_) {
        co_await connection->respond(statusConflict, errorBody(ResultCode::StaleFencingNumber));
        co_return;
    }
    highestFencing_ = std::max(highestFencing_, fencing);
    obey(request.body());
    co_await connection->respond(statusOk, "{\"fencing\":" + std::to_string(highestFencing_) + "}");
}

void FakeEngine::obey(const std::string &order)
{
    const Json json = Json::parse(order, nullptr, false);
    const std::string kind = json.value("kind", "");
    if (kind == "load_model") {
        status_.model = json.value("model", status_.model);
        status_.version = json.value("version", status_.version);
    } else if (kind == "set_role") {
        status_.role = json.value("role", status_.role);
    } else if (kind == "load_adapter") {
        status_.adapters.push_back(json.value("adapter", ""));
    }
}

bool FakeEngine::full() const
{
    return model_.currentLoad().queued >= options_.maxQueue;
}

void FakeEngine::cancelRunning(const RunningPtr &running)
{
    for (const auto &[number, other] : running_) {
        if (other != running || !model_.cancel(number)) {
            continue;
        }
        ++cancelledById_[running->id];
        running->cancelled = true;
        running->wake.cancel();
    }
    model_.sampleLoad(BootClock::now());
}

void FakeEngine::admitted(EngineRequestId number)
{
    const auto found = running_.find(number);
    if (found == running_.end()) {
        return;
    }
    const Running &running = *found->second;
    if (holdsText(running.body, options_.crashOn)) {
        crashNow();
    }
    ++runsById_[running.id];
    ++runsByBody_[sha256Hex(running.body)];
}

void FakeEngine::startStep()
{
    model_.sampleLoad(BootClock::now());
    if (stepping_ || model_.idle()) {
        return;
    }
    stepping_ = true;
    stepTimer_.expires_after(model_.beginStep());
    stepTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            endStep();
        }
    });
}

void FakeEngine::endStep()
{
    stepping_ = false;
    for (const EngineToken &token : model_.endStep()) {
        const auto found = running_.find(token.request);
        if (found == running_.end()) {
            continue;
        }
        found->second->tokens.push_back(token);
        found->second->wake.cancel();
    }
    startStep();
}

std::string FakeEngine::counts() const
{
    const EngineCounts &counts = model_.counts();
    const EngineLoad load = model_.currentLoad();
    const Json json{{"requests", runsById_},
                    {"bodies", runsByBody_},
                    {"cancelled", cancelledById_},
                    {"running", load.running},
                    {"queued", load.queued},
                    {"max_running", counts.maxRunning},
                    {"prompt_tokens", counts.promptTokens},
                    {"cached_tokens", counts.cachedTokens},
                    {"highest_fencing", highestFencing_}};
    return json.dump();
}

FakeStatus FakeEngine::status()
{
    FakeStatus status = status_;
    status.leaving = leaving_;
    status.load = model_.load(BootClock::now());
    return status;
}

bool FakeEngine::idle() const
{
    return running_.empty();
}

void FakeEngine::leave()
{
    leaving_ = true;
}

void FakeEngine::setStateSource(std::function<std::string()> state)
{
    state_ = std::move(state);
}

} // namespace persimmonlb
