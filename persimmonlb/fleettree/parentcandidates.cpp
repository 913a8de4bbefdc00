#include "persimmonlb/fleettree/parentcandidates.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

// Tiers of an entry host.
constexpr std::uint32_t nearTier = 0;
constexpr std::uint32_t farTier = 2;
constexpr std::uint32_t leaderPenalty = 1; ///< The leader has enough to do.
// Tiers of a storage host.
constexpr std::uint32_t leaderTier = 0;
constexpr std::uint32_t voterTier = 1;
// Tiers of both.
constexpr std::uint32_t memberTier = 4;
constexpr std::uint32_t seedTier = 5;
constexpr std::uint32_t formerTier = 6;

} // namespace

ParentCandidates::ParentCandidates(ParentCandidatesOptions options)
    : options_(std::move(options))
{
}

void ParentCandidates::viewChanged(const FleetView &view)
{
    std::set<HostId> named{view.leader};
    for (const FleetStore &store : view.stores) {
        named.insert(store.host);
    }
    named.erase(HostId());
    std::erase_if(known_, [&named](const HostId &host) { return named.contains(host); });
    while (known_.size() > options_.maxFormerStores) {
        known_.pop_front();
    }
    known_.insert(known_.end(), named.begin(), named.end());
}

std::vector<ParentCandidate> ParentCandidates::ofEntryHost(const FleetView &view) const
{
    std::vector<ParentCandidate> candidates;
    bool isLeaderListed = false;
    for (const FleetStore &store : view.stores) {
        const bool isNear = store.availabilityZone == options_.availabilityZone;
        const bool leads = store.host == view.leader;
        isLeaderListed = isLeaderListed || leads;
        candidates.push_back({.host = store.host,
                              .tier = (isNear ? nearTier : farTier) + (leads ? leaderPenalty : 0)});
    }
    if (!isLeaderListed && !view.leader.empty()) {
        candidates.push_back({.host = view.leader, .tier = farTier + leaderPenalty});
    }
    return candidates;
}

std::vector<ParentCandidate> ParentCandidates::ofStorageHost(const FleetView &view) const
{
    std::vector<ParentCandidate> candidates;
    if (!view.leader.empty()) {
        candidates.push_back({.host = view.leader, .tier = leaderTier});
    }
    // While the leader cannot be reached.
    for (const FleetStore &store : view.stores) {
        if (store.votes && store.host != view.leader) {
            candidates.push_back({.host = store.host, .tier = voterTier});
        }
    }
    return candidates;
}

std::vector<ParentCandidate> ParentCandidates::of(const FleetView &view,
                                                  const std::vector<HostId> &members) const
{
    std::vector<ParentCandidate> candidates
        = options_.stores ? ofStorageHost(view) : ofEntryHost(view);
    std::erase_if(candidates, [this](const ParentCandidate &candidate) {
        return candidate.host == options_.self;
    });
    std::set<HostId> listed{options_.self};
    for (const ParentCandidate &candidate : candidates) {
        listed.insert(candidate.host);
    }
    const auto add = [&](const auto &hosts, std::uint32_t tier) {
        for (const HostId &host : hosts) {
            if (listed.insert(host).second) {
                candidates.push_back(
                    {.host = host, .tier = tier, .isKeptWhileProven = !options_.stores});
            }
        }
    };
    // Without a view the members may have no leader, and whoever leads tells the seeds.
    const bool hasView = view.term > 0;
    add(members, hasView ? memberTier : seedTier + 1);
    add(options_.seeds, seedTier);
    add(known_, formerTier);
    return candidates;
}

} // namespace persimmonlb
