#include "persimmonlb/serving/callerrequest.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/http/target.h"
#include "persimmonlb/routing/suspects.h"
#include "persimmonlb/sheet/callerkey.h"
#include "persimmonlb/slots/requestlimiter.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

constexpr Milliseconds longestDeadline{3600000};
constexpr std::size_t longestRequestId = 128;
/// Bounds what one request can add to the list of suspects.
constexpr std::size_t maxSharedParts = 32;
constexpr std::size_t longestIdempotencyKey = 256;

/// Headers that concern one connection, or that are ours and no business of the server.
constexpr std::array<std::string_view, 14> droppedHeaders = {"connection",
                                                             "keep-alive",
                                                             "proxy-authenticate",
                                                             "proxy-connection",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade",
                                                             "host",
                                                             "content-length",
                                                             "expect",
                                                             "authorization",
                                                             "proxy-authorization",
                                                             "accept-encoding"};
constexpr std::string_view ownPrefix = "persimmonlb-";

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
    return result;
}

bool isDropped(const HttpHeader &header)
{
    const std::string name = lowerCase(header.name);
    return name.starts_with(ownPrefix)
        || std::find(droppedHeaders.begin(), droppedHeaders.end(), name) != droppedHeaders.end();
}

HttpHeaders forwarded(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const HttpHeader &header : headers.fields) {
        if (isDropped(header)) {
            continue;
        }
        result.fields.push_back(header);
    }
    return result;
}

Error malformed(std::string message)
{
    return makeError(ResultCode::MalformedRequest, std::move(message));
}

std::optional<Error> readDeadline(const HttpRequest &request, const SheetService &service,
                                  CallerRequest &result)
{
    result.deadline = service.deadline;
    const std::string_view text = request.headers.find("Persimmonlb-Deadline-Ms");
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size() || value <= 0) {
        return malformed("Persimmonlb-Deadline-Ms is not a positive integer");
    }
    result.deadline = std::min(Milliseconds(value), longestDeadline);
    return std::nullopt;
}

std::optional<Error> readIdempotency(const HttpRequest &request, CallerRequest &result)
{
    const std::string idempotent = lowerCase(request.headers.find("Persimmonlb-Idempotent"));
    if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
        return malformed("Persimmonlb-Idempotent is neither true nor false");
    }
    result.idempotent = idempotent != "false";
    result.idempotencyKey = std::string(request.headers.find("Idempotency-Key"));
    if (result.idempotencyKey.size() > longestIdempotencyKey) {
        return malformed("Idempotency-Key is too long");
    }
    if (!result.idempotent && result.idempotencyKey.empty()) {
        return makeError(ResultCode::MissingIdempotencyKey,
                         "a request that is not idempotent needs an Idempotency-Key");
    }
    return std::nullopt;
}

/// Reads what every kind of request has in its headers.
std::optional<Error> readHeaders(const HttpRequest &request, const Sheet &sheet,
                                 const SheetService &service, CallerRequest &result)
{
    const auto caller = capture([&] {
        return authenticateCaller(sheet, request.headers.find("Persimmonlb-Caller"),
                                  request.headers.find("Authorization"));
    });
    if (!caller.ok()) {
        return caller.error();
    }
    result.caller = caller.value();
    result.service = service.name;
    result.kind = service.kind;
    result.requestId = std::string(request.headers.find("Persimmonlb-Request-Id"));
    if (result.requestId.size() > longestRequestId) {
        return malformed("Persimmonlb-Request-Id is too long");
    }
    if (const SheetModel *model = sheet.findModel(service.model); model != nullptr) {
        result.model = model->name;
        result.version = model->version;
    }
    if (auto error = readDeadline(request, service, result)) {
        return error;
    }
    return readIdempotency(request, result);
}

void appendText(const Json &content, std::string &text, std::size_t most)
{
    if (content.is_string()) {
        text += content.get_ref<const std::string &>().substr(0, most);
        return;
    }
    if (!content.is_array()) {
        return;
    }
    for (const Json &part : content) {
        const auto inner = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && inner != part.end() && inner->is_string()) {
            text += inner->get_ref<const std::string &>().substr(0, most);
        }
    }
}

std::uint64_t promptHash(const Json &messages, std::size_t prefixBytes)
{
    std::string text;
    for (const Json &message : messages) {
        if (text.size() >= prefixBytes) {
            break;
        }
        const auto content = message.is_object() ? message.find("content") : message.end();
        if (message.is_object() && content != message.end()) {
            appendText(*content, text, prefixBytes);
        }
        text += '\n';
    }
    text.resize(std::min(text.size(), prefixBytes));
    return stableHash(text);
}

/// Returns the fingerprints of all messages but the last one, at most `maxSharedParts`.
std::vector<std::uint64_t> sharedMessages(const Json &messages)
{
    std::vector<std::uint64_t> fingerprints;
    const std::size_t count = messages.empty() ? 0 : messages.size() - 1;
    for (std::size_t index = 0; index < std::min(count, maxSharedParts); ++index) {
        const std::string text
            = messages[index].dump(-1, ' ', false, Json::error_handler_t::replace);
        fingerprints.push_back(std::max<std::uint64_t>(1, stableHash(text)));
    }
    return fingerprints;
}

} // namespace

Outcome<CallerRequest> readChatRequest(const HttpRequest &request, const Sheet &sheet,
                                       std::size_t prefixBytes)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return malformed("the body is not a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return malformed("model is missing or not a string");
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return malformed("messages is missing or not a list");
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
        return malformed("stream is not a boolean");
    }
    const SheetService *service = sheet.findService(ServiceName{model->get<std::string>()});
    if (service == nullptr || service->kind != ServiceKind::Engine) {
        return makeError(ResultCode::UnknownService,
                         "the sheet in force names no engine service " + model->get<std::string>());
    }
    CallerRequest result;
    if (auto error = readHeaders(request, sheet, *service, result)) {
        return *error;
    }
    result.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    result.prefixHash = promptHash(*messages, prefixBytes);
    result.fingerprint = fingerprintOf(service->name, request.body);
    result.sharedParts = sharedMessages(*messages);
    result.toServer = HttpRequest{.method = "POST",
                                  .target = "/v1/chat/completions",
                                  .headers = forwarded(request.headers),
                                  .body = request.body,
                                  .remoteAddress = {}};
    return result;
}

Outcome<CallerRequest> readPlainRequest(const HttpRequest &request, const Sheet &sheet)
{
    const Outcome<HttpTarget> target = parseTarget(request.target);
    if (!target.ok()) {
        return target.error();
    }
    if (target.value().segments.size() < 2) {
        return malformed("the path names no service");
    }
    const ServiceName name{target.value().segments[1]};
    const SheetService *service = sheet.findService(name);
    if (service == nullptr || service->kind != ServiceKind::Plain) {
        return makeError(ResultCode::UnknownService,
                         "the sheet in force names no plain service " + name.value);
    }
    CallerRequest result;
    if (auto error = readHeaders(request, sheet, *service, result)) {
        return *error;
    }
    // "/services/NAME/PATH?QUERY": the service sees "/PATH?QUERY".
    const std::string &path = target.value().path;
    const std::size_t nameEnd = path.find('/', path.find('/', 1) + 1);
    std::string onward = nameEnd == std::string::npos ? "/" : path.substr(nameEnd);
    if (!target.value().query.empty()) {
        onward += "?" + target.value().query;
    }
    result.fingerprint = fingerprintOf(name, request.method + " " + onward + "\n" + request.body);
    result.toServer = HttpRequest{.method = request.method,
                                  .target = std::move(onward),
                                  .headers = forwarded(request.headers),
                                  .body = request.body,
                                  .remoteAddress = {}};
    return result;
}

std::optional<std::uint64_t> requestLimitOf(const HttpResponseHead &head)
{
    const std::string_view text = head.headers.find("Persimmonlb-Request-Limit");
    return text.empty() ? std::optional<std::uint64_t>(0) : parseRequestsPerKs(text);
}

HttpHeaders answerHeaders(const HttpHeaders &fromServer, const std::string &requestId)
{
    HttpHeaders result = forwarded(fromServer);
    result.fields.push_back({"Persimmonlb-Request-Id", requestId});
    return result;
}

} // namespace persimmonlb
