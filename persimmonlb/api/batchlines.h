#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"

namespace persimmonlb
{

/// Most items of one batch job.
inline constexpr std::size_t maxItemsPerJob = 100000;

/// Parses the JSON lines of a batch job. Empty lines are skipped.
/// Errors: BadItem with the number of the line (not JSON, no custom_id, custom_id twice, no body
/// object, unknown field), MalformedRequest (no line), BodyTooLarge (more than maxItemsPerJob).
Result<std::vector<ItemSpec>> parseBatchLines(std::string_view text);

/// Parses a due time: milliseconds since 1970 or RFC 3339 in UTC ("2026-12-05T06:00:00Z").
/// Errors: MalformedRequest.
Result<WallTime> parseDueTime(std::string_view text);

} // namespace persimmonlb
