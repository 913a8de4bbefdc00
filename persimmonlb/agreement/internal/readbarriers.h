#pragma once

#include <cstdint>
#include <deque>

#include "persimmonlb/agreement/internal/core.h"
#include "persimmonlb/agreement/internal/replicator.h"

namespace persimmonlb::internal
{

/// Linearizable reads: each waits until this member is known to lead, by its lease or by a round of
/// a quorum, and until everything committed when it began is applied.
class ReadBarriers
{
public:
    ReadBarriers(Core &core, Replicator &replicator);

    void add(Agreement::BarrierDone done);
    /// Answers the barriers that hold. `termStartIndex` is the first entry of this leader's term.
    void step(std::uint64_t termStartIndex);
    void expire();
    /// Leadership ended.
    void abandon();

private:
    struct Barrier {
        Agreement::BarrierDone done;
        std::uint64_t readIndex = 0;
        std::uint64_t round = 0; ///< A quorum must answer this round, unless the lease holds.
        MonotonicTime deadline;
    };

    void answer(Barrier &barrier, Outcome<Done> outcome);

    Core &core_;
    Replicator &replicator_;
    std::deque<Barrier> barriers_;
};

} // namespace persimmonlb::internal
