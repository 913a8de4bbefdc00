#include "persimmonlb/agreement/internal/snapshotsender.h"

#include <utility>

namespace persimmonlb::internal
{

Result<SnapshotSender> SnapshotSender::open(Core &core, HostId to)
{
    const LogStore &log = core.dependencies.log;
    BOOST_LEAF_AUTO(view, log.openSnapshot());
    const std::uint64_t index = view.appliedIndex;
    SnapshotChunk chunk;
    chunk.term = core.term();
    chunk.lastIndex = index;
    chunk.lastTerm = log.termAt(index).value_or(0);
    chunk.configuration = encodeConfiguration(core.configurations().at(index));
    return SnapshotSender(core, std::move(to), std::move(view), std::move(chunk));
}

SnapshotSender::SnapshotSender(Core &core, HostId to, SnapshotView view, SnapshotChunk chunk)
    : core_(&core)
    , to_(std::move(to))
    , view_(std::move(view))
    , chunk_(std::move(chunk))
{
}

Result<void> SnapshotSender::start()
{
    BOOST_LEAF_ASSIGN(chunk_.pairs, view_.next(core_->options.limits.maxBytesPerSnapshotChunk));
    chunk_.last = chunk_.pairs.empty();
    send();
    return {};
}

Result<void> SnapshotSender::sendNext()
{
    ++chunk_.chunk;
    return start();
}

void SnapshotSender::send()
{
    sentAt_ = core_->now();
    core_->send(to_, chunk_);
}

void SnapshotSender::tick()
{
    if (core_->now() - sentAt_ >= core_->options.timeouts.snapshotResend) {
        send();
    }
}

Result<void> SnapshotSender::receive(const SnapshotReply &reply)
{
    if (reply.lastIndex != chunk_.lastIndex) {
        return {};
    }
    if (reply.nextChunk == chunk_.chunk + 1 && !chunk_.last) {
        return sendNext();
    }
    mustRestart_ = reply.nextChunk == 0 && chunk_.chunk > 0;
    return {};
}

bool SnapshotSender::mustRestart() const
{
    return mustRestart_;
}

std::uint64_t SnapshotSender::lastIndex() const
{
    return chunk_.lastIndex;
}

} // namespace persimmonlb::internal
