#include "persimmonlb/serving/testing/fakes.h"

#include <ostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/http/testing/fakesending.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

constexpr Milliseconds networkDelay{1};
constexpr Milliseconds logDelay{5};
constexpr Milliseconds logTimeout{1000};

std::string token(const std::string &id, std::uint32_t index, bool last,
                  const std::string &text = "t")
{
    const Json finish = last ? Json("stop") : Json();
    const Json event = {{"id", id},
                        {"index", index},
                        {"text", text + std::to_string(index)},
                        {"choices", Json::array({Json{{"finish_reason", finish}}})}};
    return "data: " + event.dump() + "\n\n";
}

} // namespace

// ---- FakeLog --------------------------------------------------------------------------------

FakeLog::FakeLog(VirtualTime &time)
    : time_(time)
{
}

void FakeLog::propose(const Command &command, const std::function<void(Outcome<Reply>)> &done)
{
    const Error noQuorum = makeError(ResultCode::NoQuorum, "no quorum");
    if (fault == Fault::Unreachable) {
        time_.after(logTimeout, [done, noQuorum] { done(noQuorum); });
        return;
    }
    const bool answerLost = fault == Fault::AnswerLost;
    const Milliseconds delay = fault == Fault::Late ? logTimeout : logDelay;
    time_.after(delay, [this, command, done, answerLost, noQuorum] {
        const Reply reply = apply(command);
        if (answerLost) {
            time_.after(logTimeout, [done, noQuorum] { done(noQuorum); });
        } else {
            time_.after(logDelay, [done, reply] { done(reply); });
        }
    });
}

void FakeLog::fetchState(const std::function<void(Outcome<EntryStateAnswer>)> &done)
{
    time_.after(logDelay, [this, done] {
        time_.after(logDelay, [done, state = entryState()] { done(state); });
    });
}

Reply FakeLog::apply(const Command &command)
{
    if (const auto *request = std::get_if<ClaimRequest>(&command)) {
        return claim(*request);
    }
    if (const auto *outcome = std::get_if<RecordOutcome>(&command)) {
        recordOutcome(*outcome);
    }
    if (const auto *suspects = std::get_if<ReportSuspects>(&command)) {
        report(*suspects);
    }
    if (const auto *release = std::get_if<ReleaseQuarantine>(&command)) {
        suspects_.erase(release->fingerprint);
        convictions_.erase(release->fingerprint);
        ++version_;
    }
    return PlainReply{};
}

ClaimReply FakeLog::claim(const ClaimRequest &request)
{
    const auto [position, isNew] = claims_.try_emplace(
        request.key, Claim{.request = request, .answer = {}, .closedIds = {}});
    Claim &known = position->second;
    ClaimReply reply{.state = ClaimState::Granted, .owner = known.request.owner, .answer = {}};
    if (isNew) {
        return reply;
    }
    if (known.request.bodyDigest != request.bodyDigest) {
        reply.state = ClaimState::Conflict;
        return reply;
    }
    const bool closed = known.closedIds.contains(request.requestId);
    if (!closed && known.state == ClaimState::NotSent) {
        known.request = request;
        known.state = ClaimState::Running;
        return reply;
    }
    const bool sameRun
        = known.state == ClaimState::Running && known.request.requestId == request.requestId;
    if (closed || !sameRun) {
        reply.state = known.state;
        reply.answer = known.answer;
    }
    return reply;
}

void FakeLog::recordOutcome(const RecordOutcome &outcome)
{
    const auto position = claims_.find(outcome.key);
    if (position == claims_.end() || position->second.state != ClaimState::Running
        || position->second.request.requestId != outcome.requestId) {
        return;
    }
    position->second.state = outcome.state;
    position->second.answer = outcome.answer;
    position->second.closedIds.insert(outcome.requestId);
}

void FakeLog::report(const ReportSuspects &report)
{
    ++version_;
    for (const std::string &fingerprint : report.fingerprints) {
        auto &servers = suspects_[fingerprint];
        servers.emplace(report.server, report.serverIncarnation);
        if (servers.size() >= 2) {
            convictions_[fingerprint] = report.at + report.period;
        }
    }
}

void FakeLog::releaseOwner(const Owner &owner)
{
    for (auto &[key, claim] : claims_) {
        if (claim.request.owner == owner && claim.state == ClaimState::Running) {
            claim.state = ClaimState::Unknown;
        }
    }
}

EntryStateAnswer FakeLog::entryState() const
{
    EntryStateAnswer answer;
    answer.version = version_;
    for (const auto &[fingerprint, until] : convictions_) {
        answer.convictions.push_back(Conviction{.fingerprint = fingerprint, .until = until});
    }
    for (const auto &[fingerprint, servers] : suspects_) {
        answer.suspects.push_back(fingerprint);
    }
    return answer;
}

std::optional<ClaimState> FakeLog::claimState(const ClaimKey &key) const
{
    const auto position = claims_.find(key);
    return position == claims_.end() ? std::nullopt : std::optional(position->second.state);
}

// ---- FakeResponder --------------------------------------------------------------------------

void FakeResponder::respond(HttpResponse response)
{
    ++ends;
    whole = true;
    status = response.status;
    text = std::move(response.body);
    ended();
}

void FakeResponder::start(HttpResponseHead head)
{
    status = head.status;
}

void FakeResponder::write(std::string chunk, std::function<void()> written)
{
    text += chunk;
    written();
}

void FakeResponder::finish()
{
    ++ends;
    finished = true;
    ended();
}

void FakeResponder::abort()
{
    ++ends;
    aborted = true;
    ended();
}

void FakeResponder::onClosed(std::function<void()> closed)
{
    closed_ = std::move(closed);
}

void FakeResponder::close()
{
    closed_();
}

bool FakeResponder::isWhole() const
{
    return whole || finished;
}

namespace
{

Json errorOf(const std::string &text)
{
    const std::size_t event = text.rfind("event: error\ndata: ");
    const std::string body = event == std::string::npos ? text : text.substr(text.find('{', event));
    const Json document = Json::parse(body, nullptr, false);
    const bool isError = document.is_object() && document.contains("error");
    return isError ? document["error"] : Json();
}

} // namespace

std::optional<int> FakeResponder::errorCode() const
{
    const Json error = errorOf(text);
    return error.is_object() ? std::optional(error["code"].get<int>()) : std::nullopt;
}

std::string FakeResponder::run() const
{
    const Json error = errorOf(text);
    return error.is_object() ? error["run"].get<std::string>() : std::string();
}

std::ostream &operator<<(std::ostream &stream, ServerAct act)
{
    return stream << "act " << static_cast<int>(act);
}

// ---- FakeFleet ------------------------------------------------------------------------------

FakeFleet::FakeFleet(VirtualTime &time)
    : time_(time)
{
}

std::unique_ptr<HttpExchange> FakeFleet::send(const std::string &address,
                                              const HttpRequest &request, Milliseconds deadline,
                                              HttpExchangeHooks hooks)
{
    const auto connection
        = std::make_shared<Connection>(Connection{.address = address, .hooks = std::move(hooks)});
    open_.insert(connection);
    const bool isRun = request.target != "/v1/cancel" && request.target != "/state";
    ServerAct act = ServerAct::Answers;
    if (isRun && nextAct_ < acts.size()) {
        act = acts[nextAct_++];
    }
    time_.after(networkDelay,
                [this, connection, request, act] { serve(connection, request, act); });
    endLater(connection, deadline,
             {SendState::Sent, ResultCode::DeadlineExceeded, "deadline of the exchange"});
    return std::make_unique<testing::FakeExchange>([this, connection] { open_.erase(connection); });
}

void FakeFleet::serve(const ConnectionPtr &connection, const HttpRequest &request, ServerAct act)
{
    if (!isOpen(connection)) {
        return;
    }
    const Server &server = servers_[connection->address];
    if (!server.alive || act == ServerAct::RefusesConnection) {
        endNow(connection, {SendState::NothingSent, ResultCode::BackendConnectFailed, "refused"});
        return;
    }
    if (server.frozen) {
        return;
    }
    if (request.target == "/v1/cancel") {
        cancelled.push_back(Json::parse(request.body)["id"].get<std::string>());
        sendHead(connection, 200, {});
        endNow(connection, {SendState::Sent, ResultCode::Ok, ""});
        return;
    }
    if (act == ServerAct::RefusesNotRun || act == ServerAct::Refuses) {
        HttpHeaders headers;
        if (act == ServerAct::RefusesNotRun) {
            headers.fields.push_back({"Persimmonlb-Not-Run", "true"});
        }
        sendHead(connection, 503, headers);
        endNow(connection, {SendState::Sent, ResultCode::Ok, ""});
        return;
    }
    const bool resumed = request.target == "/v1/resume";
    runs.push_back({connection->address,
                    std::string(request.headers.find("Persimmonlb-Request-Id")), request.body,
                    resumed, time_.now()});
    if (!poison.empty() && request.body.find(poison) != std::string::npos) {
        time_.after(networkDelay, [this, address = connection->address] { crash(address); });
        return;
    }
    answer(connection, request, act);
}

void FakeFleet::answer(const ConnectionPtr &connection, const HttpRequest &request, ServerAct act)
{
    const std::string id(request.headers.find("Persimmonlb-Request-Id"));
    const HttpExchangeEnd broken{SendState::Sent, ResultCode::BackendFailed, "connection reset"};
    if (act == ServerAct::StaysSilent) {
        return;
    }
    if (act == ServerAct::BreaksBeforeHead) {
        endLater(connection, networkDelay, broken);
        return;
    }
    if (request.target == "/v1/resume" && !canResume) {
        sendHead(connection, 404, {});
        endNow(connection, {SendState::Sent, ResultCode::Ok, ""});
        return;
    }
    const bool streams = request.target == "/v1/resume"
        || request.body.find("\"stream\":true") != std::string::npos;
    HttpHeaders headers;
    headers.fields
        = {{"Content-Type", streams ? "text/event-stream" : "application/json"},
           {"Persimmonlb-Request-Id", act == ServerAct::AnswersOtherRequest ? "other" : id}};
    time_.after(networkDelay, [this, connection, headers] { sendHead(connection, 200, headers); });
    if (act == ServerAct::BreaksAfterHead) {
        endLater(connection, networkDelay * 2, broken);
        return;
    }
    if (streams) {
        const auto from = request.target == "/v1/resume"
            ? Json::parse(request.body)["from_index"].get<std::uint32_t>()
            : 0;
        stream(connection, id, from, act);
        return;
    }
    const Milliseconds whole = tokenTime * tokens;
    sendLater(connection, whole / 2, R"({"answer":)");
    if (act == ServerAct::BreaksInBody) {
        endLater(connection, whole / 2 + networkDelay, broken);
        return;
    }
    sendLater(connection, whole, Json(id).dump() + "}");
    endLater(connection, whole, {SendState::Sent, ResultCode::Ok, ""});
}

void FakeFleet::stream(const ConnectionPtr &connection, const std::string &id, std::uint32_t from,
                       ServerAct act)
{
    Milliseconds at = tokenTime;
    for (std::uint32_t index = from; index < tokens; ++index, at += tokenTime) {
        const bool last = index + 1 == tokens;
        const bool here = index == breakAtToken;
        if (here && act == ServerAct::BreaksInBody) {
            endLater(connection, at, {SendState::Sent, ResultCode::StreamBroken, "reset"});
            return;
        }
        if (here && act == ServerAct::EndsWithoutDone) {
            endLater(connection, at, {SendState::Sent, ResultCode::Ok, ""});
            return;
        }
        if (here && act == ServerAct::SkipsToken) {
            continue;
        }
        if (act == ServerAct::MixesInForeignTokens) {
            sendLater(connection, at, token("other", index, last, "foreign"));
        }
        sendLater(connection, at, token(id, index, last));
        if (act == ServerAct::DoublesTokens) {
            sendLater(connection, at, token(id, index, last));
        }
        if (act == ServerAct::SendsTokensLate && index > 0) {
            sendLater(connection, at, token(id, index - 1, false));
        }
    }
    sendLater(connection, at, "data: [DONE]\n\n");
    endLater(connection, at, {SendState::Sent, ResultCode::Ok, ""});
}

void FakeFleet::sendHead(const ConnectionPtr &connection, std::uint16_t status, HttpHeaders headers)
{
    if (isOpen(connection) && !servers_[connection->address].frozen) {
        connection->hasHead = true;
        connection->hooks.head({status, std::move(headers)});
    }
}

void FakeFleet::sendLater(const ConnectionPtr &connection, Milliseconds delay, std::string text)
{
    time_.after(delay, [this, connection, text = std::move(text)] {
        if (isOpen(connection) && !servers_[connection->address].frozen) {
            connection->hooks.chunk(text);
        }
    });
}

void FakeFleet::endLater(const ConnectionPtr &connection, Milliseconds delay, HttpExchangeEnd end)
{
    time_.after(delay, [this, connection, end = std::move(end)] {
        const bool isDeadline = end.code == ResultCode::DeadlineExceeded;
        if (!servers_[connection->address].frozen || isDeadline) {
            endNow(connection, end);
        }
    });
}

void FakeFleet::endNow(const ConnectionPtr &connection, const HttpExchangeEnd &end)
{
    if (open_.erase(connection) > 0) {
        connection->hooks.end(end);
    }
}

bool FakeFleet::isOpen(const ConnectionPtr &connection) const
{
    return open_.contains(connection);
}

void FakeFleet::crash(const std::string &address)
{
    Server &server = servers_[address];
    if (!std::exchange(server.alive, false)) {
        return;
    }
    ++crashed_;
    const auto connections = open_;
    for (const ConnectionPtr &connection : connections) {
        if (connection->address == address) {
            endNow(connection,
                   {SendState::Sent,
                    connection->hasHead ? ResultCode::StreamBroken : ResultCode::BackendFailed,
                    "connection reset"});
        }
    }
}

void FakeFleet::restart(const std::string &address)
{
    Server &server = servers_[address];
    server.alive = true;
    server.frozen = false;
    ++server.incarnation;
}

void FakeFleet::freeze(const std::string &address)
{
    servers_[address].frozen = true;
}

bool FakeFleet::isAlive(const std::string &address) const
{
    const auto position = servers_.find(address);
    return position == servers_.end() || (position->second.alive && !position->second.frozen);
}

std::size_t FakeFleet::crashed() const
{
    return crashed_;
}

std::uint64_t FakeFleet::incarnation(const std::string &address) const
{
    const auto position = servers_.find(address);
    return position == servers_.end() ? 1 : position->second.incarnation;
}

} // namespace persimmonlb
