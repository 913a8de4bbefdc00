#include "persimmonlb/api/operatorapi.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/boundedjson.h"
#include "persimmonlb/base/digest.h"
#include "persimmonlb/sheet/callerkey.h"
#include "persimmonlb/state/pick.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJson(const EntryHostInfo &host)
{
    return Json{{"host", host.host.value},
                {"address", host.address},
                {"availability_zone", host.availabilityZone.value},
                {"region", host.region.value},
                {"incarnation", host.incarnation},
                {"number", host.sheetNumber},
                {"draining", host.draining},
                {"lease_left_ms", host.leaseLeftMs}};
}

Json toJson(const AuditRecord &record)
{
    return Json{{"sequence", record.sequence}, {"at_ms", toMillis(record.at)},
                {"kind", record.kind},         {"who", record.who},
                {"subject", record.subject},   {"code", record.code},
                {"count", record.count},       {"detail", record.detail}};
}

std::int64_t numberParameter(const HttpTarget &target, std::string_view name,
                             std::int64_t otherwise)
{
    const auto text = target.parameter(name);
    std::int64_t value = otherwise;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return value;
}

} // namespace

OperatorApi::OperatorApi(ApiDeps deps, OperatorDeps operatorDeps, BatchApi &batches)
    : deps_(std::move(deps))
    , operator_(std::move(operatorDeps))
    , batches_(batches)
{
}

void OperatorApi::handle(const HttpRequest &request, const HttpTarget &target,
                         const ResponderPtr &responder)
{
    const std::string_view key = bearerKey(request.headers.find("Authorization"));
    std::string by(request.headers.find("Persimmonlb-Operator"));
    if (by.empty()) {
        by = "operator";
    }
    if (!equalInConstantTime(key, operator_.operatorKey)) {
        const Error error = makeError(ResultCode::Unauthorized, "the operators' key is wrong");
        deps_.refused(by, target.path, error);
        respondError(deps_, responder, error);
        return;
    }
    const auto &path = target.segments;
    const std::string what = path.size() > 2 ? path[2] : "";
    const bool post = request.method == "POST";
    const bool get = request.method == "GET";
    if (what == "sheet" && path.size() == 3 && post) {
        return applySheet(request, by, responder);
    }
    if (what == "sheet" && path.size() == 3 && get) {
        return showSheet(responder);
    }
    if (what == "sheet" && path.size() == 4 && path[3] == "status" && get) {
        return sheetStatus(responder);
    }
    if (what == "hosts" && path.size() == 3 && get) {
        return listHosts(responder);
    }
    if (what == "hosts" && path.size() == 5 && path[4] == "drain" && post) {
        return drainHost(HostId{path[3]}, request, by, responder);
    }
    if (what == "servers" && get) {
        return respondJson(responder, 200, operator_.serversJson());
    }
    if (what == "jobs" && path.size() == 3 && get) {
        return batches_.list(CallerName(), responder);
    }
    if (what == "jobs" && path.size() == 5 && path[4] == "cancel" && post) {
        return batches_.cancel(JobId{path[3]}, CallerName(), by, responder);
    }
    if (what == "group" && path.size() == 3 && get) {
        return respondJson(responder, 200, operator_.groupJson());
    }
    if (what == "group" && path.size() == 4 && path[3] == "init" && post) {
        return initGroup(request, responder);
    }
    if (what == "group" && path.size() == 4 && path[3] == "replace" && post) {
        return replaceMember(request, responder);
    }
    if (what == "audit" && get) {
        return listAudit(target, responder);
    }
    respondError(deps_, responder,
                 makeError(ResultCode::NotFound, request.method + " " + target.path));
}

void OperatorApi::applySheet(const HttpRequest &request, const std::string &by,
                             const ResponderPtr &responder)
{
    const ApplySheet command{request.body, OperatorName{by}, deps_.clock.wall()};
    deps_.propose(command, [this, responder](const Outcome<Reply> &reply) {
        const auto *sheet = reply.ok() ? std::get_if<SheetReply>(&reply.value()) : nullptr;
        if (sheet == nullptr) {
            respondError(deps_, responder,
                         reply.ok() ? makeError(ResultCode::Internal, "reply of another kind")
                                    : reply.error());
            return;
        }
        const bool accepted
            = sheet->code == ResultCode::Ok || sheet->code == ResultCode::SheetAlreadyAccepted;
        if (!accepted) {
            respondError(deps_, responder, makeError(sheet->code, sheet->message));
            return;
        }
        const Json answer{{"code", static_cast<int>(sheet->code)},
                          {"name", describe(sheet->code).name},
                          {"message", sheet->message},
                          {"number", sheet->numberInForce},
                          {"digest", sheet->digestInForce}};
        respondJson(responder, 200, dump(answer));
    });
}

void OperatorApi::showSheet(const ResponderPtr &responder)
{
    deps_.query(SheetQuery{}, [this, responder](const Outcome<Answer> &answer) {
        const Outcome<SheetAnswer> sheet = pick<SheetAnswer>(answer);
        if (!sheet.ok()) {
            respondError(deps_, responder, sheet.error());
            return;
        }
        if (sheet.value().number == 0) {
            respondError(deps_, responder,
                         makeError(ResultCode::NotFound, "no sheet was accepted yet"));
            return;
        }
        const Json json{{"number", sheet.value().number},
                        {"digest", sheet.value().digest},
                        {"by", sheet.value().by.value},
                        {"accepted_ms", toMillis(sheet.value().acceptedAt)},
                        {"text", sheet.value().text}};
        respondJson(responder, 200, dump(json));
    });
}

void OperatorApi::sheetStatus(const ResponderPtr &responder)
{
    deps_.query(SheetQuery{}, [this, responder](const Outcome<Answer> &answer) {
        const Outcome<SheetAnswer> sheet = pick<SheetAnswer>(answer);
        if (!sheet.ok()) {
            respondError(deps_, responder, sheet.error());
            return;
        }
        const std::uint64_t number = sheet.value().number;
        deps_.refreshHosts(
            [this, number, responder](const Outcome<std::vector<EntryHostInfo>> &hosts) {
                if (!hosts.ok()) {
                    respondError(deps_, responder, hosts.error());
                    return;
                }
                const bool everywhere
                    = std::ranges::all_of(hosts.value(), [&](const EntryHostInfo &host) {
                          return host.leaseLeftMs == 0 || host.sheetNumber >= number;
                      });
                Json rows = Json::array();
                for (const EntryHostInfo &host : hosts.value()) {
                    rows.push_back({{"host", host.host.value},
                                    {"number", host.sheetNumber},
                                    {"lease_left_ms", host.leaseLeftMs},
                                    {"draining", host.draining}});
                }
                const Json json{{"number", number},
                                {"in_force_everywhere", everywhere && number > 0},
                                {"hosts", rows}};
                respondJson(responder, 200, dump(json));
            });
    });
}

void OperatorApi::listHosts(const ResponderPtr &responder)
{
    deps_.refreshHosts([this, responder](const Outcome<std::vector<EntryHostInfo>> &hosts) {
        if (!hosts.ok()) {
            respondError(deps_, responder, hosts.error());
            return;
        }
        Json rows = Json::array();
        for (const EntryHostInfo &host : hosts.value()) {
            rows.push_back(toJson(host));
        }
        respondJson(responder, 200, dump(Json{{"hosts", rows}}));
    });
}

void OperatorApi::drainHost(const HostId &host, const HttpRequest &request, const std::string &by,
                            const ResponderPtr &responder)
{
    const Json json = parseBoundedJson(request.body);
    if (!json.is_object() || !json.contains("draining") || !json["draining"].is_boolean()) {
        respondError(deps_, responder,
                     makeError(ResultCode::MalformedRequest, "needs {\"draining\": true|false}"));
        return;
    }
    const DrainHost command{host, json["draining"].get<bool>(), by, deps_.clock.wall()};
    deps_.propose(command, [this, responder](const Outcome<Reply> &reply) {
        if (!reply.ok()) {
            respondError(deps_, responder, reply.error());
            return;
        }
        const auto *plain = std::get_if<PlainReply>(&reply.value());
        if (plain != nullptr && plain->code != ResultCode::Ok) {
            respondError(deps_, responder, makeError(plain->code, plain->message));
            return;
        }
        respondJson(responder, 200, "{\"ok\":true}");
    });
}

void OperatorApi::respondDone(const Outcome<Done> &outcome, std::uint16_t status,
                              const ResponderPtr &responder)
{
    if (!outcome.ok()) {
        respondError(deps_, responder, outcome.error());
        return;
    }
    respondJson(responder, status, "{\"ok\":true}");
}

void OperatorApi::initGroup(const HttpRequest &request, const ResponderPtr &responder)
{
    const Json json = parseBoundedJson(request.body);
    std::vector<HostId> members;
    if (json.is_object() && json.contains("members") && json["members"].is_array()) {
        for (const Json &member : json["members"]) {
            if (member.is_string()) {
                members.push_back(HostId{member.get<std::string>()});
            }
        }
    }
    if (members.empty()) {
        respondError(
            deps_, responder,
            makeError(ResultCode::MalformedRequest, "needs {\"members\": [\"host\", ...]}"));
        return;
    }
    respondDone(operator_.initGroup(members), 200, responder);
}

void OperatorApi::replaceMember(const HttpRequest &request, const ResponderPtr &responder)
{
    const Json json = parseBoundedJson(request.body);
    const bool valid = json.is_object() && json.contains("lost") && json["lost"].is_string()
        && json.contains("new") && json["new"].is_string();
    if (!valid) {
        respondError(deps_, responder,
                     makeError(ResultCode::MalformedRequest,
                               "needs {\"lost\": \"host\", \"new\": \"host\"}"));
        return;
    }
    constexpr std::uint16_t accepted = 202;
    operator_.replaceMember(HostId{json["lost"].get<std::string>()},
                            HostId{json["new"].get<std::string>()},
                            [this, responder](const Outcome<Done> &outcome) {
                                respondDone(outcome, accepted, responder);
                            });
}

void OperatorApi::listAudit(const HttpTarget &target, const ResponderPtr &responder)
{
    constexpr std::int64_t defaultLimit = 1000;
    constexpr std::int64_t mostRecords = 10000;
    const auto limit
        = std::clamp<std::int64_t>(numberParameter(target, "limit", defaultLimit), 1, mostRecords);
    const AuditQuery query{WallTime(Milliseconds(numberParameter(target, "since_ms", 0))),
                           std::string(target.parameter("kind").value_or("")),
                           static_cast<std::uint64_t>(numberParameter(target, "after", 0)),
                           static_cast<std::uint32_t>(limit)};
    deps_.query(query, [this, responder](const Outcome<Answer> &answer) {
        const Outcome<AuditAnswer> audit = pick<AuditAnswer>(answer);
        if (!audit.ok()) {
            respondError(deps_, responder, audit.error());
            return;
        }
        Json rows = Json::array();
        for (const AuditRecord &record : audit.value().records) {
            rows.push_back(toJson(record));
        }
        const Json page{{"records", rows},
                        {"more", audit.value().more},
                        {"next_after", audit.value().nextAfter}};
        respondJson(responder, 200, dump(page));
    });
}

} // namespace persimmonlb
