#pragma once

#include <string>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/http/message.h"

namespace persimmonlb
{

/// The error body of INTERFACE.md as JSON. `hosts` are other entry hosts ("ip:port") that the
/// caller may use instead; the field is left out when there are none.
std::string formatErrorBody(const Error &error, const std::vector<std::string> &hosts = {});

/// A whole answer that carries `error`: the status of its code, the error body and, when the
/// error has a retry time, Retry-After in whole seconds, rounded up.
///
/// Example:
///   responder->respond(errorResponse(makeError(ResultCode::NotFound, "no job " + id)));
HttpResponse errorResponse(const Error &error, const std::vector<std::string> &hosts = {});

} // namespace persimmonlb
