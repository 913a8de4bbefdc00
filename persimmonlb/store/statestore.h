#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/error.h"

namespace persimmonlb
{

/// One change of the keyed state. Without a value the key is removed.
struct Mutation {
    std::string key;
    std::optional<std::string> value;

    bool operator==(const Mutation &) const = default;
};

using MutationList = std::vector<Mutation>;

/// Ordered keyed state of one replicated group, on disk or (in tests) in memory.
///
/// Not thread-safe: every hook is called on the decision thread.
struct StateStore {
    /// The value of a key, or nothing.
    std::function<std::optional<std::string>(std::string_view key)> get;

    /// Visits every key that starts with `prefix`, in byte order, until `visit` returns false.
    std::function<void(
        std::string_view prefix,
        const std::function<bool(std::string_view key, std::string_view value)> &visit)>
        scan;

    /// Makes all changes or none. They survive a crash once a later sync of the log store has
    /// completed; until then the log entries they came from are replayed at start.
    /// Errors: StoreUnavailable.
    std::function<Result<void>(const MutationList &changes)> write;
};

} // namespace persimmonlb
