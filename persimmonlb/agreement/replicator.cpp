#include "persimmonlb/agreement/internal/replicator.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace persimmonlb::internal
{

Replicator::Replicator(Core &core)
    : core_(core)
{
}

void Replicator::beginTerm()
{
    progress_.clear();
    refreshMembers();
}

void Replicator::refreshMembers()
{
    const Configuration &configuration = core_.configurations().latest();
    std::erase_if(progress_,
                  [&](const auto &item) { return configuration.find(item.first) == nullptr; });
    for (const Member &member : configuration.members) {
        if (member.host == core_.options.self) {
            continue;
        }
        const auto [position, added] = progress_.try_emplace(member.host);
        if (added) {
            position->second.nextIndex = core_.lastIndex() + 1;
            position->second.validFromRound = rounds_.current();
            position->second.advancedAt = core_.now();
        }
    }
}

void Replicator::broadcast()
{
    rounds_.begin(core_.now(), core_.options.timeouts.electionTimeoutMax);
    for (auto &[host, progress] : progress_) {
        replicate(host, progress);
    }
}

void Replicator::heartbeat()
{
    rounds_.begin(core_.now(), core_.options.timeouts.electionTimeoutMax);
    for (auto &[host, progress] : progress_) {
        sendHeartbeat(host, progress);
    }
}

void Replicator::probe(const HostId &host)
{
    core_.send(host, makeRequest(0));
}

AppendRequest Replicator::makeRequest(std::uint64_t previousIndex) const
{
    return AppendRequest{
        .term = core_.term(),
        .previousIndex = previousIndex,
        .previousTerm = core_.dependencies.log.termAt(previousIndex).value_or(0),
        .commitIndex = core_.commitIndex,
        .round = rounds_.current(),
        .entries = {},
    };
}

void Replicator::sendHeartbeat(const HostId &host, Progress &progress)
{
    if (!progress.diskKnown) {
        core_.send(host, makeRequest(0)); // Agrees with every log and asks for the disk id.
        return;
    }
    if (progress.state == ReplicationState::Snapshot) {
        core_.send(host, makeRequest(0));
        progress.snapshot->tick();
        return;
    }
    if (progress.state == ReplicationState::Probe) {
        progress.probeSent = false;
        replicate(host, progress);
        return;
    }
    core_.send(host, makeRequest(progress.nextIndex - 1));
}

void Replicator::replicate(const HostId &host, Progress &progress)
{
    if (!progress.diskKnown || progress.state == ReplicationState::Snapshot) {
        return;
    }
    if (progress.nextIndex <= core_.dependencies.log.compacted().index) {
        startSnapshot(host, progress);
        return;
    }
    if (progress.state == ReplicationState::Probe) {
        if (!progress.probeSent) {
            progress.probeSent = true;
            sendEntries(host, progress);
        }
        return;
    }
    while (progress.nextIndex <= core_.lastIndex()
           && progress.inFlight.size() < core_.options.limits.maxAppendsInFlight) {
        if (!sendEntries(host, progress)) {
            return;
        }
    }
}

bool Replicator::sendEntries(const HostId &host, Progress &progress)
{
    const AgreementLimits &limits = core_.options.limits;
    AppendRequest request = makeRequest(progress.nextIndex - 1);
    const std::uint64_t last
        = std::min(core_.lastIndex(), progress.nextIndex + limits.maxEntriesPerAppend - 1);
    if (progress.nextIndex <= last) {
        const bool read = core_.check([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(
                request.entries,
                core_.dependencies.log.read(progress.nextIndex, last, limits.maxBytesPerAppend));
            return {};
        });
        if (!read) {
            return false;
        }
    }
    if (progress.state == ReplicationState::Replicate && !request.entries.empty()) {
        progress.nextIndex = request.entries.back().index + 1;
        progress.inFlight.push_back(request.entries.back().index);
    }
    core_.send(host, std::move(request));
    return true;
}

void Replicator::startSnapshot(const HostId &host, Progress &progress)
{
    progress.state = ReplicationState::Snapshot;
    progress.inFlight.clear();
    core_.check([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(progress.snapshot, SnapshotSender::open(core_, host));
        return progress.snapshot->start();
    });
}

bool Replicator::isThatMember(const HostId &host, const AppendReply &reply) const
{
    const Member *member = core_.configurations().latest().find(host);
    return member != nullptr && member->disk == reply.disk;
}

void Replicator::receive(const HostId &from, const AppendReply &reply)
{
    const auto found = progress_.find(from);
    if (found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    if (!isThatMember(from, reply)) {
        progress.diskKnown = false; // A host with another disk does not count as this member.
        return;
    }
    progress.diskKnown = true;
    if (const auto sentAt = rounds_.sentAt(reply.round)) {
        progress.contactAt = std::max(progress.contactAt, *sentAt);
        progress.ackedRound = std::max(progress.ackedRound, reply.round);
    }
    if (!reply.success) {
        rejected(from, progress, reply);
        return;
    }
    acknowledged(from, progress, reply.matchIndex);
}

void Replicator::acknowledged(const HostId &host, Progress &progress, std::uint64_t matchIndex)
{
    if (matchIndex > progress.matchIndex) {
        progress.matchIndex = matchIndex;
        progress.advancedAt = core_.now();
    }
    while (!progress.inFlight.empty() && progress.inFlight.front() <= progress.matchIndex) {
        progress.inFlight.pop_front();
    }
    if (progress.state == ReplicationState::Probe && matchIndex + 1 >= progress.nextIndex) {
        progress.state = ReplicationState::Replicate;
        progress.nextIndex = progress.matchIndex + 1;
        progress.probeSent = false;
    }
    replicate(host, progress);
}

void Replicator::rejected(const HostId &host, Progress &progress, const AppendReply &reply)
{
    if (progress.state == ReplicationState::Snapshot || reply.round < progress.validFromRound) {
        return;
    }
    const std::uint64_t least = progress.matchIndex + 1;
    const std::uint64_t before = progress.nextIndex;
    progress.nextIndex = std::clamp(reply.hintIndex, least, std::max(least, before));
    progress.state = ReplicationState::Probe;
    progress.inFlight.clear();
    progress.probeSent = progress.nextIndex == before; // Without progress, wait for a heartbeat.
    progress.validFromRound = rounds_.begin(core_.now(), core_.options.timeouts.electionTimeoutMax);
    replicate(host, progress);
}

void Replicator::receive(const HostId &from, const SnapshotReply &reply)
{
    const auto found = progress_.find(from);
    if (found == progress_.end() || found->second.state != ReplicationState::Snapshot) {
        return;
    }
    Progress &progress = found->second;
    if (reply.lastIndex != progress.snapshot->lastIndex()) {
        return;
    }
    progress.advancedAt = core_.now();
    if (reply.installed) {
        progress.nextIndex = reply.lastIndex + 1;
        progress.snapshot.reset();
        progress.state = ReplicationState::Probe;
        progress.probeSent = false;
        replicate(from, progress);
        return;
    }
    core_.check([&] { return progress.snapshot->receive(reply); });
    if (progress.snapshot->mustRestart()) {
        startSnapshot(from, progress);
    }
}

bool Replicator::advanceCommit()
{
    const auto synced = quorumValue<std::uint64_t>(
        core_.configurations().latest(), [&](const HostId &host) { return matchIndex(host); });
    if (synced <= core_.commitIndex
        || core_.dependencies.log.termAt(synced) != std::optional(core_.term())) {
        return false;
    }
    core_.commitIndex = synced;
    return true;
}

std::uint64_t Replicator::matchIndex(const HostId &host) const
{
    if (host == core_.options.self) {
        return core_.syncedIndex();
    }
    const auto found = progress_.find(host);
    return found == progress_.end() ? 0 : found->second.matchIndex;
}

MonotonicTime Replicator::contactAt(const HostId &host) const
{
    if (host == core_.options.self) {
        return core_.now();
    }
    const auto found = progress_.find(host);
    return found == progress_.end() ? MonotonicTime::min() : found->second.contactAt;
}

MonotonicTime Replicator::advancedAt(const HostId &host) const
{
    const auto found = progress_.find(host);
    return found == progress_.end() ? MonotonicTime::min() : found->second.advancedAt;
}

MonotonicTime Replicator::quorumContact() const
{
    return quorumValue<MonotonicTime>(core_.configurations().latest(),
                                      [&](const HostId &host) { return contactAt(host); });
}

MonotonicTime Replicator::leaseEnd() const
{
    return quorumContact() + core_.options.timeouts.leaderLease;
}

std::uint64_t Replicator::quorumRound() const
{
    return quorumValue<std::uint64_t>(
        core_.configurations().latest(), [&](const HostId &host) -> std::uint64_t {
            if (host == core_.options.self) {
                return std::numeric_limits<std::uint64_t>::max();
            }
            const auto found = progress_.find(host);
            return found == progress_.end() ? 0 : found->second.ackedRound;
        });
}

std::uint64_t Replicator::currentRound() const
{
    return rounds_.current();
}

} // namespace persimmonlb::internal
