#include "persimmonlb/agreement/internal/readbarriers.h"

#include <algorithm>
#include <utility>

namespace persimmonlb::internal
{

ReadBarriers::ReadBarriers(Core &core, Replicator &replicator)
    : core_(core)
    , replicator_(replicator)
{
}

void ReadBarriers::add(Agreement::BarrierDone done)
{
    const bool leased = core_.now() < replicator_.leaseEnd();
    if (!leased) {
        replicator_.heartbeat();
    }
    barriers_.push_back({.done = std::move(done),
                         .readIndex = core_.commitIndex,
                         .round = leased ? 0 : replicator_.currentRound(),
                         .deadline = core_.now() + core_.options.timeouts.readBarrier});
}

void ReadBarriers::step(std::uint64_t termStartIndex)
{
    if (barriers_.empty() || core_.commitIndex < termStartIndex) {
        return;
    }
    const std::uint64_t quorumRound = replicator_.quorumRound();
    while (!barriers_.empty()) {
        Barrier &barrier = barriers_.front();
        // Entries of earlier terms count as committed only with the first one of this term.
        const std::uint64_t readIndex = std::max(barrier.readIndex, termStartIndex);
        if (core_.appliedIndex < readIndex || quorumRound < barrier.round) {
            return;
        }
        answer(barrier, Done{});
        barriers_.pop_front();
    }
}

void ReadBarriers::expire()
{
    while (!barriers_.empty() && barriers_.front().deadline <= core_.now()) {
        answer(barriers_.front(),
               makeError(ResultCode::NoQuorum, "a quorum did not confirm the leader in time"));
        barriers_.pop_front();
    }
}

void ReadBarriers::abandon()
{
    for (Barrier &barrier : barriers_) {
        answer(barrier, makeError(ResultCode::NotLeader, "leadership lost before the read"));
    }
    barriers_.clear();
}

void ReadBarriers::answer(Barrier &barrier, Outcome<Done> outcome)
{
    core_.callLater(
        [done = std::move(barrier.done), outcome = std::move(outcome)] { done(outcome); });
}

} // namespace persimmonlb::internal
