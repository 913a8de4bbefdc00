#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/testing/internal/loads.h"
#include "persimmonlb/testing/workload.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

constexpr Milliseconds pollInterval{250};
constexpr Milliseconds submitDeadline{30000};
constexpr Milliseconds pollDeadline{5000};
constexpr Milliseconds resultsDeadline{30000};

HttpRequest makeRequest(std::string method, std::string target)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    return request;
}

std::uint64_t numberOf(const Json &json, const char *key)
{
    const auto found = json.is_object() ? json.find(key) : json.end();
    const bool known = json.is_object() && found != json.end() && found->is_number_unsigned();
    return known ? found->get<std::uint64_t>() : 0;
}

} // namespace

BatchLoad::BatchLoad(boost::asio::io_context &context, EntryCaller &caller, const BatchMix &mix,
                     PhaseWindow window, RandomSource random, BatchReport &report)
    : timer_(context)
    , caller_(caller)
    , mix_(mix)
    , window_(window)
    , random_(std::move(random))
    , report_(report)
{
    std::uint64_t allTokens = 0;
    for (std::uint32_t index = 0; index < mix_.items; ++index) {
        const ChatCall call = makeChatCall(mix_.service, mix_.shape, false, random_);
        answerKeys_.push_back(call.answerKey);
        tokens_.push_back(call.tokens);
        allTokens += call.tokens;
        lines_ += makeBatchLine(index, call);
    }
    tokensPerItem_ = allTokens / std::max(mix_.items, 1U);
    report_.items = mix_.items;
}

void BatchLoad::start()
{
    const WallTime due = systemClock().wall() + mix_.dueIn;
    HttpRequest request = makeRequest("POST",
                                      "/v1/batches?service=" + mix_.service + "&due="
                                          + std::to_string(due.time_since_epoch().count()));
    request.headers.fields.push_back({"Content-Type", "application/jsonl"});
    request.headers.fields.push_back(
        {"Idempotency-Key", "load-" + std::to_string(due.time_since_epoch().count())});
    request.body = std::move(lines_);
    CallHooks hooks;
    hooks.end = [this](const CallEnd &end) {
        submitted(end);
    };
    caller_.send(std::move(request), submitDeadline, std::move(hooks));
}

void BatchLoad::submitted(const CallEnd &end)
{
    const Json json = Json::parse(end.body, nullptr, false);
    if (!end.success() || !json.is_object() || !json.contains("id")) {
        report_.refusal = "status " + std::to_string(end.status) + ' ' + end.body;
        finished_ = true;
        return;
    }
    report_.job = json["id"].get<std::string>();
    if (stopping_) {
        stop();
        return;
    }
    poll();
}

void BatchLoad::poll()
{
    CallHooks hooks;
    hooks.end = [this](const CallEnd &end) {
        progressed(end);
    };
    caller_.send(makeRequest("GET", "/v1/batches/" + report_.job), pollDeadline, std::move(hooks));
}

void BatchLoad::progressed(const CallEnd &end)
{
    const Json json = Json::parse(end.body, nullptr, false);
    const MonotonicTime now = BootClock::now();
    if (end.success() && json.is_object()) {
        const std::uint64_t succeeded = numberOf(json, "succeeded");
        if (!measuring_ && now >= window_.measureFrom) {
            measuring_ = true;
            succeededAtMeasure_ = succeeded;
        }
        if (measuring_ && now < window_.end + pollInterval) {
            report_.succeededWhileMeasured = succeeded - succeededAtMeasure_;
            report_.tokensWhileMeasured = report_.succeededWhileMeasured * tokensPerItem_;
        }
    }
    if (stopping_) {
        return;
    }
    timer_.expires_after(pollInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            poll();
        }
    });
}

void BatchLoad::stop()
{
    stopping_ = true;
    timer_.cancel();
    if (report_.job.empty()) {
        return;
    }
    CallHooks hooks;
    hooks.end = [this](const CallEnd &) {
        // What runs when the job is cancelled may still end; read the results a little later.
        timer_.expires_after(std::chrono::seconds(1));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                readResults();
            }
        });
    };
    caller_.send(makeRequest("POST", "/v1/batches/" + report_.job + "/cancel"), pollDeadline,
                 std::move(hooks));
}

bool BatchLoad::finished() const
{
    return finished_;
}

void BatchLoad::readResults()
{
    CallHooks hooks;
    hooks.end = [this](const CallEnd &end) {
        if (end.success()) {
            checkResults(end.body);
        } else {
            report_.refusal = "results: status " + std::to_string(end.status) + ' ' + end.body;
        }
        finished_ = true;
    };
    caller_.send(makeRequest("GET", "/v1/batches/" + report_.job + "/results"), resultsDeadline,
                 std::move(hooks));
}

void BatchLoad::checkResults(const std::string &lines)
{
    std::vector<bool> seen(answerKeys_.size(), false);
    std::istringstream stream(lines);
    for (std::string line; std::getline(stream, line);) {
        const Json json = Json::parse(line, nullptr, false);
        const std::uint64_t index = numberOf(json, "index");
        if (!json.is_object() || index >= seen.size() || seen[index]) {
            ++report_.wrong;
            continue;
        }
        seen[index] = true;
        const std::string state = json.value("state", "");
        report_.failed += state == "failed" ? 1 : 0;
        report_.cancelled += state == "cancelled" ? 1 : 0;
        if (state != "succeeded") {
            continue;
        }
        ++report_.succeeded;
        const std::string body
            = json["body"].is_string() ? json["body"].get<std::string>() : json["body"].dump();
        const bool right
            = checkWholeAnswer(body, answerKeys_[index], tokens_[index]) == AnswerVerdict::Whole;
        report_.wrong += right ? 0 : 1;
    }
    report_.missing = static_cast<std::uint64_t>(std::count(seen.begin(), seen.end(), false));
}

} // namespace persimmonlb
