#pragma once

#include <cstdint>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// The follower's side of replication: checks that logs agree, appends, and acknowledges what is
/// synced.
class Acceptor
{
public:
    explicit Acceptor(Core &core);

    /// Takes an append of the current term's leader.
    void receive(const HostId &from, const AppendRequest &request);
    /// Answers an append that is not followed, so that the sender learns term and disk.
    void refuse(const HostId &from, const AppendRequest &request);

private:
    [[nodiscard]] bool agrees(const AppendRequest &request) const;
    [[nodiscard]] std::uint64_t hintFor(const AppendRequest &request) const;
    void appendMissing(const std::vector<LogEntry> &entries);
    void acknowledge(const HostId &to, std::uint64_t round, std::uint64_t upTo);

    Core &core_;
    std::uint64_t syncedTerm_ = 0; ///< The term is known to be synced up to here.
};

} // namespace persimmonlb::internal
