#pragma once

#include <map>
#include <set>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

struct LeaderAnnouncementOptions {
    /// A host that knows the leader reports as soon as both are connected; one that connects and
    /// has not done so after this time is sent the view. Covers a round trip and a busy processor.
    Milliseconds reportWait{100};
    /// Likewise for hosts that were connected when the term began. They are sent the change of
    /// leader, which nearly all of them can use; the leader itself may stand still meanwhile.
    Milliseconds changeWait{1000};
};

/// Finds the hosts that a leader has to tell that it leads: those that are connected to it but do
/// not report. A host without a view does not know whom to ask, so the leader makes the first move,
/// also towards hosts that connect long after its election. Not thread-safe.
///
/// Example:
///   announcement.begin(seedsAndMembers);
///   // each tick:
///   feed.sendWholeView(announcement.takeUninformed());
class LeaderAnnouncement
{
public:
    LeaderAnnouncement(LeaderAnnouncementOptions options, Clock clock);

    void hostConnected(const HostId &host);
    void hostLost(const HostId &host);
    /// The host reported here, so it knows who leads.
    void hostReported(const HostId &host);

    /// This host began to lead; `hosts` must learn of it, connected or not.
    void begin(const std::vector<HostId> &hosts);
    void end();
    /// Hosts to tell now. Each is returned once for a connection. Call each 20 ms or so.
    [[nodiscard]] std::vector<HostId> takeUninformed();

private:
    struct Connection {
        MonotonicTime dueAt; ///< When it is told if it has not reported.
        bool informed = false; ///< It reported, or was returned as uninformed.
    };

    LeaderAnnouncementOptions options_;
    Clock clock_;
    std::map<HostId, Connection> connections_; ///< Also those from before the term.
    std::set<HostId> hosts_; ///< Empty while this host does not lead.
};

} // namespace persimmonlb
