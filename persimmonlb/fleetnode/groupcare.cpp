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

} // namespace

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

std::optional<HostId> GroupCare::lostVoter(const GroupStatus &status,
                                           const std::map<HostId, ReportedStore> &stores,
                                           const std::set<std::string> &retired) const
{
    const MonotonicTime now = clock_.monotonic();
    std::optional<HostId> silent;
    std::optional<HostId> leaving;
    for (const MemberStatus &member : status.members) {
        if (!member.voter) {
            continue;
        }
        const auto reported = stores.find(hostOfMember(member.host));
        const bool known = reported != stores.end();
        if (known && !reported->second.member.empty() && reported->second.member != member.host) {
            return member.host;
        }
        const auto heard = heardAt_.find(member.host);
        if (heard == heardAt_.end() || now - heard->second > options_.voterSilence) {
            silent = member.host;
        }
        if (known && retired.contains(reported->second.store.name)) {
            leaving = member.host;
        }
    }
    return silent ? silent : leaving;
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
    GroupAdvice advice;
    if (status.changeInProgress) {
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
    const auto lost = lostVoter(status, stores, retired);
    if (!lost || fresh.empty()) {
        return advice;
    }
    const auto sameHost = std::ranges::find_if(fresh, [&lost](const HostId &member) {
        return hostOfMember(member) == hostOfMember(*lost);
    });
    advice.swap = MemberSwap{*lost, sameHost == fresh.end() ? fresh.front() : *sameHost};
    return advice;
}

} // namespace persimmonlb
