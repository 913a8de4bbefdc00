#include "persimmonlb/fleettree/leaderannouncement.h"

#include <utility>

namespace persimmonlb
{

LeaderAnnouncement::LeaderAnnouncement(LeaderAnnouncementOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void LeaderAnnouncement::hostConnected(const HostId &host)
{
    connections_[host] = Connection{.dueAt = clock_.monotonic() + options_.reportWait};
}

void LeaderAnnouncement::hostLost(const HostId &host)
{
    connections_.erase(host);
}

void LeaderAnnouncement::hostReported(const HostId &host)
{
    const auto found = connections_.find(host);
    if (found != connections_.end()) {
        found->second.informed = true;
    }
}

void LeaderAnnouncement::begin(const std::vector<HostId> &hosts)
{
    hosts_ = std::set<HostId>(hosts.begin(), hosts.end());
    for (auto &[host, connection] : connections_) {
        connection = Connection{.dueAt = clock_.monotonic() + options_.changeWait};
    }
}

void LeaderAnnouncement::end()
{
    hosts_.clear();
}

std::vector<HostId> LeaderAnnouncement::takeUninformed()
{
    std::vector<HostId> uninformed;
    const MonotonicTime now = clock_.monotonic();
    for (const HostId &host : hosts_) {
        const auto found = connections_.find(host);
        if (found == connections_.end() || found->second.informed || now < found->second.dueAt) {
            continue;
        }
        found->second.informed = true;
        uninformed.push_back(host);
    }
    return uninformed;
}

} // namespace persimmonlb
