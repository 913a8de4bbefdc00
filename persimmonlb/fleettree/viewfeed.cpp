#include "persimmonlb/fleettree/viewfeed.h"

#include <utility>

namespace persimmonlb
{

ViewFeed::ViewFeed(ViewFeedOptions options, Clock clock, ViewFeedHooks hooks)
    : options_(options)
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
{
}

void ViewFeed::reported(const HostId &from, const HostReport &report)
{
    const MonotonicTime now = clock_.monotonic();
    if (report.leaving) {
        followers_.erase(from);
        return;
    }
    const ViewPosition has{report.viewTerm, report.viewVersion};
    const auto [position, isNew] = followers_.try_emplace(from);
    Follower &follower = position->second;
    follower.heardAt = now;
    if (isNew) {
        follower.sent = has;
        follower.routesSent = report.routesVersion;
        return;
    }
    // What was sent arrives, or the connection breaks; a report may have crossed it.
    const bool asksForAll = has == ViewPosition();
    follower.viewOnItsWay = follower.viewOnItsWay && asksForAll;
    const bool mayBeOnItsWay = asksForAll ? follower.viewOnItsWay : has < follower.sent;
    if (!mayBeOnItsWay || now - follower.sentAt > options_.resendAfter) {
        follower.sent = has;
    }
    if (report.routesVersion < follower.routesSent
        && now - follower.routesSentAt > options_.resendAfter) {
        follower.routesSent = report.routesVersion;
    }
}

void ViewFeed::follow(const std::vector<HostId> &hosts, ViewPosition have)
{
    for (const HostId &host : hosts) {
        const auto [position, isNew] = followers_.try_emplace(host);
        position->second.heardAt = clock_.monotonic();
        if (isNew) {
            position->second.sent = have;
            // Its report will tell.
            position->second.routesSent = routes_.version;
        }
    }
}

void ViewFeed::sendWholeView(const std::vector<HostId> &hosts)
{
    for (const HostId &host : hosts) {
        followers_.erase(host);
    }
    follow(hosts, ViewPosition());
}

void ViewFeed::hostLost(const HostId &host)
{
    followers_.erase(host);
}

void ViewFeed::viewChanged(const FleetChange &change)
{
    const ViewPosition base{change.baseTerm, change.baseVersion};
    std::vector<HostId> fitting;
    for (auto &[host, follower] : followers_) {
        if (follower.sent != base) {
            continue;
        }
        follower.sent = ViewPosition{change.term, change.version};
        follower.sentAt = clock_.monotonic();
        fitting.push_back(host);
    }
    if (!fitting.empty()) {
        hooks_.sendChange(fitting, change);
    }
}

void ViewFeed::routesChanged(const RoutesPush &routes)
{
    if (routes.version > routes_.version) {
        routes_ = routes;
        tick();
    }
}

void ViewFeed::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(followers_, [&](const auto &entry) {
        return now - entry.second.heardAt > options_.followerSilence;
    });
    std::vector<HostId> behind;
    std::vector<HostId> behindRoutes;
    const FleetView &view = hooks_.view();
    const ViewPosition newest = positionOf(view);
    for (auto &[host, follower] : followers_) {
        if (follower.sent < newest && behind.size() < options_.viewsPerTick) {
            follower.sent = newest;
            follower.viewOnItsWay = true;
            follower.sentAt = now;
            behind.push_back(host);
        }
        if (follower.routesSent < routes_.version) {
            follower.routesSent = routes_.version;
            follower.routesSentAt = now;
            behindRoutes.push_back(host);
        }
    }
    if (!behind.empty()) {
        hooks_.sendView(behind, view);
    }
    if (!behindRoutes.empty()) {
        hooks_.sendRoutes(behindRoutes, routes_);
    }
}

std::vector<HostId> ViewFeed::followers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, follower] : followers_) {
        hosts.push_back(host);
    }
    return hosts;
}

} // namespace persimmonlb
