#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "persimmonlb/base/error.h"

namespace persimmonlb
{

/// A request target taken apart, percent-decoded.
///
/// Example: "/v1/batches/a%2Fb/results?from=10" has the segments "v1", "batches", "a/b",
/// "results" and the parameter from=10.
struct HttpTarget {
    std::vector<std::string> segments; ///< Of the path; "/" has none, a trailing "/" adds none.
    std::vector<std::pair<std::string, std::string>> parameters; ///< Of the query, in order.
    std::string path; ///< As sent, without the query.
    std::string query; ///< As sent, without the "?".

    /// Value of the first parameter with this name.
    [[nodiscard]] std::optional<std::string_view> parameter(std::string_view name) const;
    bool operator==(const HttpTarget &) const = default;
};

/// Decodes %XX; with `plusIsSpace`, also "+". Nothing for a broken escape.
std::optional<std::string> percentDecode(std::string_view text, bool plusIsSpace = false);

/// Parses an origin-form or absolute-form target. Errors: MalformedRequest (no leading "/",
/// a broken escape, or a decoded NUL byte).
Outcome<HttpTarget> parseTarget(std::string_view target);

} // namespace persimmonlb
