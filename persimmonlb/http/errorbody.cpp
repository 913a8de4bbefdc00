#include "persimmonlb/http/errorbody.h"

#include <algorithm>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace persimmonlb
{

namespace
{

using Json = nlohmann::ordered_json;

/// Never negative, so that a retry time that has passed reads as "now".
std::int64_t retryMilliseconds(const Error &error)
{
    return std::max<std::int64_t>(0, error.retryAfter->count());
}

std::string retryAfterSeconds(const Error &error)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t milliseconds = retryMilliseconds(error);
    const std::int64_t remainder = milliseconds % millisecondsPerSecond;
    return std::to_string(milliseconds / millisecondsPerSecond + (remainder > 0 ? 1 : 0));
}

} // namespace

std::string formatErrorBody(const Error &error, const std::vector<std::string> &hosts)
{
    Json fields;
    fields["code"] = static_cast<std::uint16_t>(error.code);
    fields["name"] = describe(error.code).name;
    fields["message"] = error.message;
    fields["run"] = toString(error.runState());
    if (error.retryAfter) {
        fields["retry_after_ms"] = retryMilliseconds(error);
    }
    if (!hosts.empty()) {
        fields["hosts"] = hosts;
    }
    Json body;
    body["error"] = std::move(fields);
    // Messages may quote bytes of a caller that are not UTF-8.
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse errorResponse(const Error &error, const std::vector<std::string> &hosts)
{
    HttpResponse response;
    response.status = describe(error.code).httpStatus;
    response.headers.fields.push_back({"Content-Type", "application/json"});
    if (error.retryAfter) {
        response.headers.fields.push_back({"Retry-After", retryAfterSeconds(error)});
    }
    response.body = formatErrorBody(error, hosts);
    return response;
}

} // namespace persimmonlb
