#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/daemon/internal/entryparts.h"
#include "persimmonlb/http/errorbody.h"
#include "persimmonlb/sheet/callerkey.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

HttpResponse textResponse(std::uint16_t status, std::string contentType, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.fields = {{"Content-Type", std::move(contentType)}};
    response.body = std::move(body);
    return response;
}

bool startsWith(const HttpTarget &target, std::string_view first, std::string_view second)
{
    return target.segments.size() >= 2 && target.segments[0] == first
        && target.segments[1] == second;
}

} // namespace

void EntryRole::Parts::refuse(const HttpRequest &request, const Error &error,
                              const ResponderPtr &responder)
{
    refusals.note(std::string(request.headers.find("Persimmonlb-Caller")), request.target, error);
    responder->respond(errorResponse(error));
}

void EntryRole::Parts::handle(HttpRequest request, const ResponderPtr &responder)
{
    const Outcome<HttpTarget> parsed = parseTarget(request.target);
    if (!parsed.ok()) {
        refuse(request, parsed.error(), responder);
        return;
    }
    const HttpTarget &target = parsed.value();
    if (startsWith(target, "v1", "chat")) {
        const bool known = target.path == "/v1/chat/completions";
        if (!known || request.method != "POST") {
            const auto code = known ? ResultCode::MethodNotAllowed : ResultCode::NotFound;
            refuse(request, makeError(code, request.method + " " + target.path), responder);
            return;
        }
        online.handleChat(std::move(request), responder);
        return;
    }
    if (!target.segments.empty() && target.segments[0] == "services") {
        online.handlePlain(std::move(request), responder);
        return;
    }
    if (startsWith(target, "v1", "batches")) {
        batches.handle(request, target, responder);
        return;
    }
    if (startsWith(target, "v1", "admin")) {
        operators.handle(request, target, responder);
        return;
    }
    if (target.path == "/v1/entry-hosts" && request.method == "GET") {
        handleDirectory(request, target, responder);
        return;
    }
    if (target.path == "/v1/announce" && request.method == "POST") {
        handleAnnounce(request, responder);
        return;
    }
    const bool health
        = target.path == "/healthz" || target.path == "/readyz" || target.path == "/metrics";
    if (health && request.method == "GET") {
        handleHealth(target.path, responder);
        return;
    }
    const bool known = health || target.path == "/v1/entry-hosts" || target.path == "/v1/announce";
    refuse(request,
           makeError(known ? ResultCode::MethodNotAllowed : ResultCode::NotFound,
                     request.method + " " + target.path),
           responder);
}

void EntryRole::Parts::handleAnnounce(const HttpRequest &request, const ResponderPtr &responder)
{
    const std::string_view key = bearerKey(request.headers.find("Authorization"));
    if (!equalInConstantTime(key, deps.backendKey)) {
        refuse(request, makeError(ResultCode::Unauthorized, "the backend servers' key is wrong"),
               responder);
        return;
    }
    const auto announcement = capture([&] { return parseAnnouncement(request.body); });
    if (!announcement.ok()) {
        refuse(request, announcement.error(), responder);
        return;
    }
    servers.announce(announcement.value());
    Json addresses = Json::array();
    for (const EntryHostInfo &host : announceTargets(listedHosts(), announcement.value().server)) {
        addresses.push_back(host.address);
    }
    responder->respond(textResponse(200, "application/json", Json{{"hosts", addresses}}.dump()));
}

void EntryRole::Parts::handleDirectory(const HttpRequest &request, const HttpTarget &target,
                                       const ResponderPtr &responder)
{
    std::string caller(request.headers.find("Persimmonlb-Caller"));
    caller += request.remoteAddress;
    const DirectoryQuery query{
        AvailabilityZone{std::string(target.parameter("availability_zone").value_or(""))},
        Region{std::string(target.parameter("region").value_or(""))}, caller};
    DirectoryOptions options;
    options.ttl = deps.settings.entry.answerTtl;
    const DirectoryAnswer answer = answerDirectory(listedHosts(), query, options);
    responder->respond(textResponse(200, "application/json", formatDirectoryAnswer(answer)));
}

void EntryRole::Parts::handleHealth(const std::string &path, const ResponderPtr &responder)
{
    if (path == "/metrics") {
        responder->respond(textResponse(200, "text/plain; version=0.0.4", deps.metrics.text()));
        return;
    }
    const bool ready = !admission() && drain.stage() == DrainStage::Serving;
    const bool good = path == "/healthz" || ready;
    constexpr std::uint16_t unavailable = 503;
    responder->respond(
        textResponse(good ? 200 : unavailable, "text/plain", good ? "ok\n" : "no\n"));
}

std::string EntryRole::Parts::serversJson() const
{
    Json rows = Json::array();
    for (const KnownServer &known : servers.all()) {
        const ServerAnnouncement &said = known.announcement;
        const bool leaving = said.state == ServerState::Leaving;
        rows.push_back({{"server", said.server.value},
                        {"address", said.address},
                        {"service", said.service.value},
                        {"kind", said.kind == ServerKind::Engine ? "engine" : "plain"},
                        {"state",
                         leaving              ? "leaving"
                             : known.routable ? "ready"
                                              : "lost"},
                        {"model", said.model.value},
                        {"version", said.version},
                        {"age_ms", known.age.count()},
                        {"online", known.own.online + known.others.online},
                        {"batch", known.own.batch + known.others.batch},
                        {"running", said.load.running},
                        {"queued", said.load.queued}});
    }
    return Json{{"servers", rows}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace persimmonlb
