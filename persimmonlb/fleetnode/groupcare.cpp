#include "persimmonlb/fleetnode/groupcare.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

bool isMember(const GroupStatus &status, const HostId &member)
{
    return std::ranges::find(status.members, member, &MemberStatus::host) != status.members.end();
}

/// Voters of each availability zone but for one that leaves the group. Those whose host has not
/// reported count nowhere.
std::map<AvailabilityZone, std::size_t> votersByZone(const GroupStatus &status,
                                                     const std::map<HostId, ReportedStore> &stores,
                                                     const HostId &leaving)
{
    std::map<AvailabilityZone, std::size_t> voters;
    for (const MemberStatus &member : status.members) {
        const auto store = stores.find(hostOfMember(member.host));
        if (member.voter && member.host != leaving && store != stores.end()) {
            ++voters[store->second.store.availabilityZone];
        }
    }
    return voters;
}

/// The unused store that joins for `leaving` (empty: as one more). One on the same host keeps the
/// group as it was; else the zone with the fewest voters goes first, so that the loss of a zone
/// costs as few voters as possible.
HostId chooseFresh(const std::vector<HostId> &fresh, const HostId &leaving,
                   const GroupStatus &status, const std::map<HostId, ReportedStore> &stores)
{
    const auto sameHost = std::ranges::find_if(fresh, [&leaving](const HostId &member) {
        return hostOfMember(member) == hostOfMember(leaving);
    });
    if (sameHost != fresh.end()) {
        return *sameHost;
    }
    const auto voters = votersByZone(status, stores, leaving);
    return *std::ranges::min_element(fresh, {}, [&](const HostId &member) {
        const auto zone = voters.find(stores.at(hostOfMember(member)).store.availabilityZone);
        return zone == voters.end() ? 0 : zone->second;
    });
}

} // namespace

std::optional<VoteReply> replyOfFormerMember(const HostId &host, const HostId &former,
                                             const PeerBody &body)
{
    const auto *question = std::get_if<VoteRequest>(&body);
    const bool asked = question != nullptr && question->preVote && question->afterStart;
    if (!asked || hostOfMember(former) != host) {
        return std::nullopt;
    }
    return VoteReply{.term = question->term, .preVote = true, .granted = true};
}

bool hasLeftGroup(const GroupStatus &status, const std::map<HostId, ReportedStore> &stores,
                  const std::string &name)
{
    return !status.changeInProgress
        && std::ranges::none_of(status.members, [&](const MemberStatus &member) {
               const auto store = stores.find(hostOfMember(member.host));
               return store == stores.end() || store->second.store.name.empty()
                   || store->second.store.name == name;
           });
}

HostId hostOfMember(const HostId &member)
{
    return HostId{member.value.substr(0, member.value.find('#'))};
}

GroupCare::GroupCare(GroupCareOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void GroupCare::leadershipBegan(const GroupStatus &status)
{
    heardAt_.clear();
    for (const MemberStatus &member : status.members) {
        heardAt_[member.host] = clock_.monotonic();
    }
}

void GroupCare::swapFailed(const HostId &fresh)
{
    failedAt_[hostOfMember(fresh)] = clock_.monotonic();
}

bool GroupCare::isLost(const HostId &member, const std::map<HostId, ReportedStore> &stores) const
{
    const MonotonicTime heardAt = heardAt_.at(member);
    const auto reported = stores.find(hostOfMember(member));
    // An older report may be from an earlier time of this host as the leader.
    if (reported != stores.end() && !reported->second.member.empty()
        && reported->second.member != member && reported->second.heardAt >= heardAt) {
        return true;
    }
    return clock_.monotonic() - heardAt > options_.voterSilence;
}

std::optional<HostId> GroupCare::lostVoter(const GroupStatus &status,
                                           const std::map<HostId, ReportedStore> &stores,
                                           const std::set<std::string> &retired) const
{
    std::optional<HostId> leaving;
    for (const MemberStatus &member : status.members) {
        if (!member.voter) {
            continue;
        }
        if (isLost(member.host, stores)) {
            return member.host;
        }
        const auto reported = stores.find(hostOfMember(member.host));
        if (reported != stores.end() && retired.contains(reported->second.store.name)) {
            leaving = member.host;
        }
    }
    return leaving;
}

void GroupCare::preferUntried(std::vector<HostId> &fresh)
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(failedAt_,
                  [&](const auto &entry) { return now - entry.second > options_.failureRest; });
    const auto hasFailed = [this](const HostId &member) {
        return failedAt_.contains(hostOfMember(member));
    };
    if (!std::ranges::all_of(fresh, hasFailed)) {
        std::erase_if(fresh, hasFailed);
    }
}

GroupAdvice GroupCare::advise(const GroupStatus &status,
                              const std::map<HostId, ReportedStore> &stores,
                              const std::set<std::string> &retired)
{
    const MonotonicTime now = clock_.monotonic();
    for (const auto &[host, store] : stores) {
        if (!store.member.empty()) {
            MonotonicTime &heard = heardAt_[store.member];
            heard = std::max(heard, store.heardAt);
        }
    }
    for (const MemberStatus &member : status.members) {
        heardAt_.try_emplace(member.host, now);
    }
    if (status.changeInProgress) {
        heardAt_.try_emplace(status.joining, now);
    }
    GroupAdvice advice;
    if (status.changeInProgress) {
        advice.giveUpJoining = isLost(status.joining, stores);
        return advice;
    }
    std::vector<HostId> fresh;
    for (const auto &[host, store] : stores) {
        if (store.member.empty() || isMember(status, store.member)
            || now - store.heardAt > options_.candidateAge) {
            continue;
        }
        if (!store.unused) {
            advice.removed.emplace_back(host, store.member);
            continue;
        }
        if (!retired.contains(store.store.name)) {
            fresh.push_back(store.member);
        }
    }
    preferUntried(fresh);
    if (fresh.empty()) {
        return advice;
    }
    const auto lost = lostVoter(status, stores, retired);
    if (!lost) {
        const auto voters = static_cast<std::uint32_t>(
            std::ranges::count_if(status.members, &MemberStatus::voter));
        if (voters < 2 * options_.lossesBorne + 1) {
            advice.swap = MemberSwap{HostId(), chooseFresh(fresh, HostId(), status, stores)};
        }
        return advice;
    }
    advice.swap = MemberSwap{*lost, chooseFresh(fresh, *lost, status, stores)};
    return advice;
}

} // namespace persimmonlb
