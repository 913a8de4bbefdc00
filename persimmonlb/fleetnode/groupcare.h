#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetregistry.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct GroupCareOptions {
    /// A voter that says nothing for so long is replaced when an unused store is at hand. Above a
    /// restart of the process, below the time between two losses that must be borne.
    Milliseconds voterSilence{2500};
    /// A store that was heard within this time can take part.
    Milliseconds candidateAge{1000};
    /// A store that a change gave up goes behind other unused ones for so long.
    Milliseconds failureRest{30000};
    /// Losses at once that the group must bear; it grows to twice as many voters and one.
    std::uint32_t lossesBorne = 1;
};

/// One change of the members that the leader should make now.
struct MemberSwap {
    HostId lost; ///< Empty: `fresh` is added.
    HostId fresh;

    bool operator==(const MemberSwap &) const = default;
};

/// What the leader should do about the members of its group.
struct GroupAdvice {
    std::optional<MemberSwap> swap;
    /// The store that a change in progress adds was lost before it votes.
    bool giveUpJoining = false;
    /// Hosts whose stores belong to the group no more, and the member ids they go by.
    std::vector<std::pair<HostId, HostId>> removed;

    bool operator==(const GroupAdvice &) const = default;
};

/// Keeps a group at its number of voters without an operator: a voter whose disk was replaced,
/// that is silent or was asked to retire is replaced by an unused store, and unused stores are
/// added until the group bears its losses. New voters come from the availability zone with the
/// fewest voters. One change at a time; it never shrinks. Not thread-safe.
class GroupCare
{
public:
    GroupCare(GroupCareOptions options, Clock clock);

    /// A change gave up this store, which was to join.
    void swapFailed(const HostId &fresh);
    /// This host began to lead: every voter counts as heard just now.
    void leadershipBegan(const GroupStatus &status);
    GroupAdvice advise(const GroupStatus &status, const std::map<HostId, ReportedStore> &stores,
                       const std::set<std::string> &retired);

private:
    /// Drops stores that a change gave up lately, unless there are no others.
    void preferUntried(std::vector<HostId> &fresh);
    /// True when nothing was heard of a member for too long, or its host has another store now.
    [[nodiscard]] bool isLost(const HostId &member,
                              const std::map<HostId, ReportedStore> &stores) const;
    [[nodiscard]] std::optional<HostId> lostVoter(const GroupStatus &status,
                                                  const std::map<HostId, ReportedStore> &stores,
                                                  const std::set<std::string> &retired) const;

    GroupCareOptions options_;
    Clock clock_;
    std::map<HostId, MonotonicTime> heardAt_; ///< By member id.
    std::map<HostId, MonotonicTime> failedAt_; ///< By host: when a change gave up its store.
};

/// What a host answers to a question for a member that it was with an earlier store: the process
/// that could have led as that member has ended. Nothing for other messages, and for members of
/// other hosts.
std::optional<VoteReply> replyOfFormerMember(const HostId &host, const HostId &former,
                                             const PeerBody &body);

/// True if no member of the group is, or may be, the store of this name. A member whose host has
/// not reported its name to this leader may be.
bool hasLeftGroup(const GroupStatus &status, const std::map<HostId, ReportedStore> &stores,
                  const std::string &name);

/// The host part of a member id: "10.0.0.1" of "10.0.0.1#5f3a".
HostId hostOfMember(const HostId &member);

} // namespace persimmonlb
