#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/fleettree/parentchoice.h"

namespace persimmonlb
{

struct ParentCandidatesOptions {
    HostId self;
    AvailabilityZone availabilityZone;
    bool stores = false; ///< This host is a storage host.
    std::vector<HostId> seeds; ///< Of the settings.
    /// Storage hosts that are remembered after views have ceased to name them.
    std::size_t maxFormerStores = 32;
};

/// The storage hosts that a host may report to, best first by tier.
///
/// A view says whom to prefer, never whom to forget: it may be the first one of a leader that has
/// heard of no storage host yet, or name only hosts that are gone. So its leader, the seeds, the
/// members of the replicated group and the storage hosts of earlier views are candidates too, in
/// the last tiers. Not thread-safe.
///
/// Example:
///   candidates.viewChanged(view);
///   choice.setCandidates(candidates.of(view, members));
class ParentCandidates
{
public:
    explicit ParentCandidates(ParentCandidatesOptions options);

    /// Remembers the storage hosts of a view.
    void viewChanged(const FleetView &view);
    /// The candidates under this view. `members`: hosts of the replicated group, as far as this
    /// host knows them from its own log. Empty only if no storage host but this one was ever named.
    [[nodiscard]] std::vector<ParentCandidate> of(const FleetView &view,
                                                  const std::vector<HostId> &members) const;

private:
    [[nodiscard]] std::vector<ParentCandidate> ofEntryHost(const FleetView &view) const;
    [[nodiscard]] std::vector<ParentCandidate> ofStorageHost(const FleetView &view) const;

    ParentCandidatesOptions options_;
    std::deque<HostId> known_; ///< Storage hosts of all views, those of the latest one last.
};

} // namespace persimmonlb
