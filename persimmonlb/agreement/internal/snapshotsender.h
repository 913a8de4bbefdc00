#pragma once

#include <cstdint>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// Sends one snapshot to one member, chunk by chunk: the next one when the last was taken, the same
/// one again after a timeout.
class SnapshotSender
{
public:
    /// Opens a view of the state as it is now. Errors: CorruptStore.
    static Result<SnapshotSender> open(Core &core, HostId to);

    /// Sends the first chunk. Errors: CorruptStore.
    Result<void> start();
    /// Sends the current chunk again when its reply is overdue.
    void tick();
    /// Takes the answer to a chunk. Errors: CorruptStore.
    Result<void> receive(const SnapshotReply &reply);
    /// The receiver wants the snapshot from its start, which takes a new view.
    [[nodiscard]] bool mustRestart() const;
    /// Last log index that the snapshot holds.
    [[nodiscard]] std::uint64_t lastIndex() const;

private:
    SnapshotSender(Core &core, HostId to, SnapshotView view, SnapshotChunk chunk);
    Result<void> sendNext();
    void send();

    Core *core_;
    HostId to_;
    SnapshotView view_;
    SnapshotChunk chunk_;
    MonotonicTime sentAt_;
    bool mustRestart_ = false;
};

} // namespace persimmonlb::internal
