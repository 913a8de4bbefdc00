#pragma once

#include <functional>
#include <map>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetchange.h"

namespace persimmonlb
{

struct ViewFeedOptions {
    /// A host that reports here no more has another parent.
    Milliseconds followerSilence{3000};
    /// A whole view is not sent again to one follower before this, whatever it reports: reports
    /// are late where a host is busy, and views would keep it so.
    Milliseconds resendAfter{3000};
    /// Whole views sent in one tick; others wait for the next one.
    std::size_t viewsPerTick = 8;
};

/// Each hook sends one message to several hosts, so that it is encoded once.
struct ViewFeedHooks {
    /// The view of this host.
    std::function<const FleetView &()> view;
    std::function<void(const std::vector<HostId> &to, const FleetView &view)> sendView;
    std::function<void(const std::vector<HostId> &to, const FleetChange &change)> sendChange;
    std::function<void(const std::vector<HostId> &to, const RoutesPush &routes)> sendRoutes;
};

/// Keeps the hosts that follow this one at its view and routes: each gets every change once, and
/// the whole view when it has another one than the change was made for. Not thread-safe.
class ViewFeed
{
public:
    ViewFeed(ViewFeedOptions options, Clock clock, ViewFeedHooks hooks);

    /// A follower says what it has, or that it follows another host from now on.
    void reported(const HostId &from, const HostReport &report);
    /// Hosts that follow from now on and have this view as far as it is known.
    void follow(const std::vector<HostId> &hosts, ViewPosition have);
    /// Hosts that follow from now on and may have no view: the next tick sends it whole.
    void sendWholeView(const std::vector<HostId> &hosts);
    void hostLost(const HostId &host);

    /// The view of this host was changed; it is the one after the change already.
    void viewChanged(const FleetChange &change);
    void routesChanged(const RoutesPush &routes);
    /// Sends whole views and routes to followers that need them. Call each 20 ms or so.
    void tick();

    [[nodiscard]] std::vector<HostId> followers() const;

private:
    struct Follower {
        ViewPosition sent; ///< What it has once all that was sent has arrived.
        std::uint64_t routesSent = 0;
        bool viewOnItsWay = false; ///< A whole one was sent to it that it has not confirmed.
        MonotonicTime sentAt; ///< A whole view or a change.
        MonotonicTime routesSentAt;
        MonotonicTime heardAt;
    };

    ViewFeedOptions options_;
    Clock clock_;
    ViewFeedHooks hooks_;
    std::map<HostId, Follower> followers_;
    RoutesPush routes_;
};

} // namespace persimmonlb
