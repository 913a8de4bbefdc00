#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace persimmonlb
{

/// Values and names of members of one document from outside. A parsed value takes up to some 70
/// bytes however short its text is, so a document takes at most 18 MB beside its texts: the
/// smallest machine has room for that beside the memory for callers. A bulk job of 200 items has
/// some 4,000 of them, a table of 1,000 routes 26,000.
inline constexpr std::size_t maxJsonValues = 250000;

/// Parses a document from outside, without exceptions. Discarded (is_discarded()) when it is not
/// JSON or has more than `maxValues` values and member names; one with more takes no memory for
/// them.
nlohmann::json parseBoundedJson(std::string_view text, std::size_t maxValues = maxJsonValues);

} // namespace persimmonlb
