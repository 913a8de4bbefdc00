#pragma once

#include <string_view>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

/// Name of a caller that sends no Persimmonlb-Caller header.
inline constexpr std::string_view anonymousCaller = "anonymous";

/// The caller that a request speaks for.
///
/// `name` is the Persimmonlb-Caller header or empty; `authorization` the Authorization header or
/// empty. A caller with a [[quota]] in the sheet must present its bearer key, compared in constant
/// time. Errors: Unauthorized.
Result<CallerName> authenticateCaller(const Sheet &sheet, std::string_view name,
                                      std::string_view authorization);

/// The key of an "Authorization: Bearer KEY" header, or empty.
std::string_view bearerKey(std::string_view authorization);

} // namespace persimmonlb
