#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Parses a moment: epoch milliseconds, `2026-12-04T06:00:00Z` (also with an offset such as
/// `+01:00`, or a date alone), or a distance from `now` such as `+6h` or `-30m` (s, m, h, d).
/// Nothing when it is none of these.
std::optional<WallTime> parseMoment(std::string_view text, WallTime now);

/// "2026-12-04 06:00:00" in UTC; "-" for 0.
std::string formatMoment(std::int64_t epochMilliseconds);

} // namespace persimmonlb
