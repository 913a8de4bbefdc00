#include "persimmonlb/agreement/internal/snapshotreceiver.h"

#include "persimmonlb/base/logline.h"

namespace persimmonlb::internal
{

SnapshotReceiver::SnapshotReceiver(Core &core)
    : core_(core)
{
}

void SnapshotReceiver::receive(const HostId &from, const SnapshotChunk &chunk)
{
    if (namesOtherDisk(chunk)) {
        return;
    }
    if (alreadyHeld(chunk)) {
        staged_.reset();
        reply(from, chunk, true);
        return;
    }
    if (!continues(chunk) && chunk.chunk == 0) {
        staged_ = Staged{.term = chunk.term,
                         .lastIndex = chunk.lastIndex,
                         .lastTerm = chunk.lastTerm,
                         .nextChunk = 0};
        core_.check([&] { return core_.dependencies.log.beginStaging(); });
    }
    if (!continues(chunk) || staged_->nextChunk != chunk.chunk) {
        reply(from, chunk, false);
        return;
    }
    if (!core_.check([&] { return core_.dependencies.log.stage(chunk.pairs); })) {
        return;
    }
    ++staged_->nextChunk;
    if (!chunk.last) {
        reply(from, chunk, false);
        return;
    }
    install(from, chunk);
}

bool SnapshotReceiver::continues(const SnapshotChunk &chunk) const
{
    return staged_ && staged_->term == chunk.term && staged_->lastIndex == chunk.lastIndex
        && staged_->lastTerm == chunk.lastTerm;
}

bool SnapshotReceiver::alreadyHeld(const SnapshotChunk &chunk) const
{
    return chunk.lastIndex <= core_.commitIndex
        || core_.dependencies.log.termAt(chunk.lastIndex) == chunk.lastTerm;
}

bool SnapshotReceiver::namesOtherDisk(const SnapshotChunk &chunk) const
{
    const auto decoded = capture([&] { return decodeConfiguration(chunk.configuration); });
    if (!decoded.ok()) {
        return true;
    }
    const Member *self = decoded.value().find(core_.options.self);
    return self != nullptr && self->disk != core_.dependencies.log.diskId();
}

void SnapshotReceiver::install(const HostId &from, const SnapshotChunk &chunk)
{
    staged_.reset();
    const bool installed = core_.check([&]() -> Result<void> {
        BOOST_LEAF_CHECK(
            core_.dependencies.log.installStaged({.index = chunk.lastIndex,
                                                  .term = chunk.lastTerm,
                                                  .configuration = chunk.configuration}));
        return core_.reloadAfterSnapshot();
    });
    if (!installed) {
        return;
    }
    LogLine(LogLevel::Info, "snapshot_installed")
        .add("host", core_.options.self.value)
        .add("index", static_cast<std::int64_t>(chunk.lastIndex))
        .write();
    core_.persist([this, from, chunk] { reply(from, chunk, true); });
}

void SnapshotReceiver::reply(const HostId &to, const SnapshotChunk &chunk, bool installed)
{
    if (core_.term() != chunk.term) {
        return;
    }
    core_.send(to,
               SnapshotReply{.term = chunk.term,
                             .lastIndex = chunk.lastIndex,
                             .nextChunk = staged_ ? staged_->nextChunk : 0,
                             .installed = installed});
}

} // namespace persimmonlb::internal
