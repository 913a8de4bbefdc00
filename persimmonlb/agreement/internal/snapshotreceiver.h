#pragma once

#include <cstdint>
#include <optional>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// Takes a snapshot from the leader: chunks are staged beside the state, and the last one switches
/// state, log and applied index in one write.
class SnapshotReceiver
{
public:
    explicit SnapshotReceiver(Core &core);

    /// Takes a chunk of the current term's leader.
    void receive(const HostId &from, const SnapshotChunk &chunk);

private:
    struct Staged {
        std::uint64_t term = 0; ///< Of the leader that sends it.
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;
        std::uint64_t nextChunk = 0;
    };

    [[nodiscard]] bool alreadyHeld(const SnapshotChunk &chunk) const;
    [[nodiscard]] bool namesOtherDisk(const SnapshotChunk &chunk) const;
    [[nodiscard]] bool continues(const SnapshotChunk &chunk) const;
    void install(const HostId &from, const SnapshotChunk &chunk);
    void reply(const HostId &to, const SnapshotChunk &chunk, bool installed);

    Core &core_;
    std::optional<Staged> staged_;
};

} // namespace persimmonlb::internal
