#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>

#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// Servers that said in an answer that they leave. It holds for one start of a server: a later one
/// at the same address or under the same id begins anew. Not thread-safe.
class LeavingServers
{
public:
    /// Beyond `mostKept` the oldest are forgotten; servers that leave are gone within minutes.
    explicit LeavingServers(std::size_t mostKept = 4096);

    /// False when it was known before.
    bool note(const ServerId &server, std::uint64_t bornMs);
    [[nodiscard]] bool contains(const ServerId &server, std::uint64_t bornMs) const;

private:
    using Start = std::pair<ServerId, std::uint64_t>;

    std::size_t mostKept_;
    std::set<Start> starts_;
    std::deque<Start> order_;
};

} // namespace persimmonlb
