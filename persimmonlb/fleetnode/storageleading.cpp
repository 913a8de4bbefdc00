// The half of StorageRole that leads: servers, views, slots, members, and what operators ask.
#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/fleet/fleetchange.h"
#include "persimmonlb/fleetnode/slotcapacity.h"
#include "persimmonlb/fleetnode/storagerole.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds careInterval{100};
constexpr Milliseconds usageInterval{1000}; ///< Between lines for operators.
/// For the leader to take an announcement: servers wait a second for the answer.
constexpr Milliseconds noticeTimeout{700};
/// Hosts that connected after the last change of the suspects learn of them within this.
constexpr Milliseconds crashesInterval{1000};
/// Remaining time of a block after a restart of all storage hosts.
constexpr std::uint64_t savedBlockMs = 60000;
/// Changes of the view that come within this travel together, unless a server leaves.
constexpr Milliseconds viewInterval{150};

/// Versions of the routes that follow each other within this are not all sent: a text may be
/// hundreds of kilobytes, and goes to every host. Well below the time in which one must be in
/// force.
constexpr Milliseconds routesInterval{250};

/// Hosts whose members of the group vote.
std::vector<HostId> voterHosts(const GroupStatus &status)
{
    std::vector<HostId> hosts;
    for (const MemberStatus &member : status.members) {
        if (member.voter) {
            hosts.push_back(hostOfMember(member.host));
        }
    }
    std::ranges::sort(hosts);
    return hosts;
}

} // namespace

// ---- servers ------------------------------------------------------------------------------------

void StorageRole::applyNotice(const ServerNotice &notice, std::function<void(bool taken)> done)
{
    if (notice.gone) {
        registry_.serverGone(notice.server.id);
    } else {
        registry_.announce(notice.server);
    }
    if (!notice.gone && !notice.server.draining) {
        done(true);
        return;
    }
    // The acknowledgement says that every host is on its way to know, and that a later leader,
    // which may hear late announcements, knows it too.
    publishView();
    saver_.save(std::move(done));
}

void StorageRole::serverLeaves(const ServerLeaving &leaving)
{
    // The exchange that says so may be one of those that end by it.
    deps_.post([this, leaving] { takeLeaving(leaving); });
}

void StorageRole::takeLeaving(const ServerLeaving &leaving)
{
    if (leads_ && registry_.serverLeaves(leaving)) {
        publishView();
    }
}

void StorageRole::refreshBroker()
{
    broker_.setServers(registry_.servers(), [this](const ServiceName &service) {
        return slotCapacity(routes_.get(), service);
    });
}

void StorageRole::announce(const ServerNotice &notice, std::function<void(bool)> done)
{
    if (leads_) {
        applyNotice(notice, std::move(done));
        return;
    }
    const HostId leader = this->leader();
    ServerNotice passed = notice;
    passed.requestId = nextNotice_++;
    if (leader.empty() || leader == deps_.settings.host || !deps_.send(leader, passed)) {
        done(false);
        return;
    }
    notices_.emplace(passed.requestId,
                     PendingNotice{std::move(done), deps_.clock.monotonic() + noticeTimeout});
}

void StorageRole::takeNotice(const HostId &from, const ServerNotice &notice)
{
    const auto reply = [this, from, id = notice.requestId](bool taken) {
        deps_.send(from, ServerNoticeReply{id, taken});
    };
    if (!leads_) {
        reply(false);
        return;
    }
    applyNotice(notice, reply);
}

std::shared_ptr<const RouteTable> StorageRole::routes()
{
    const ReplicatedState *state = control_ ? control_->state() : nullptr;
    if (state == nullptr || state->routes().version == 0) {
        return nullptr;
    }
    if (!routes_ || routes_->version() != state->routes().version) {
        Outcome<RouteTable> parsed = deps_.face.parseRoutes(state->routes().text);
        if (!parsed.ok()) {
            LogLine(LogLevel::Error, "routes_unreadable")
                .add("version", static_cast<std::int64_t>(state->routes().version))
                .add("why", parsed.error().message)
                .write();
            return routes_;
        }
        routes_ = std::make_shared<const RouteTable>(std::move(parsed.value()));
    }
    return routes_;
}

void StorageRole::receiveAsLeader(const HostId &from, const PeerBody &body)
{
    if (const auto *request = std::get_if<SlotRequest>(&body)) {
        takeSlotRequest(from, *request);
    } else if (const auto *end = std::get_if<SlotEnd>(&body)) {
        quotas_.giveBack(from, end->ticket);
        broker_.end(from, *end);
    } else if (const auto *held = std::get_if<SlotsHeld>(&body)) {
        quotas_.setHostCount(registry_.entries().size());
        quotas_.takeHistory(from, held->history);
        broker_.setHeldSlots(from, *held);
        const FleetView &view = deps_.lastView();
        deps_.send(from, LeaderBeat{.term = view.term, .version = view.version, .ageMs = 0});
    } else if (const auto *verdict = std::get_if<RunVerdict>(&body)) {
        crashes_.recordVerdict(*verdict);
    } else if (const auto *leaving = std::get_if<ServerLeaving>(&body)) {
        takeLeaving(*leaving);
    } else if (const auto *limit = std::get_if<ServerLimit>(&body)) {
        registry_.setLimit(*limit);
    }
}

void StorageRole::takeSlotRequest(const HostId &from, const SlotRequest &request)
{
    const auto retryAfter = quotas_.admit({.host = from,
                                           .ticket = request.ticket,
                                           .customer = request.customer,
                                           .isCharged = request.isCharged,
                                           .admittedLocally = request.admittedLocally});
    if (!retryAfter) {
        broker_.request(from, request);
        return;
    }
    deps_.metrics.count("persimmonlb_quota_refusals_total", {});
    const QuotaUsage usage = quotas_.usage(request.customer);
    LogLine(LogLevel::Info, "quota_exceeded")
        .add("host", from.value)
        .add("ticket", static_cast<std::int64_t>(request.ticket))
        .add("customer", request.customer.value)
        .add("admitted", static_cast<std::int64_t>(usage.admitted))
        .add("limit", static_cast<std::int64_t>(usage.limit))
        .add("retry_after_ms", retryAfter->count())
        .write();
    deps_.send(from,
               SlotRefusal{.ticket = request.ticket,
                           .retryAfterMs = static_cast<std::uint64_t>(retryAfter->count()),
                           .quotaExceeded = true});
}

void StorageRole::sendGrant(const HostId &to, SlotGrant grant)
{
    if (!grant.server.empty()) {
        if (const auto customer = quotas_.confirm(to, grant.ticket)) {
            constexpr double permille = 1000;
            grant.localSharePermille
                = static_cast<std::uint32_t>(permille * quotas_.localShareOf(*customer));
        }
    }
    deps_.send(to, grant);
}

// ---- leading ------------------------------------------------------------------------------------

void StorageRole::leadershipChanged(bool leads)
{
    if (leads_ == leads) {
        return;
    }
    leads_ = leads;
    broker_.reset();
    saver_.reset();
    if (!leads) {
        announcement_.end();
        runner_.stop();
        inspector_.end();
        return;
    }
    quotas_.beginTerm();
    if (const auto table = routes()) {
        quotas_.setCustomers(table->customers());
    }
    adoptFleet();
    registerSelf();
    adoptSuspects();
    inspector_.begin();
    care_.leadershipBegan(control_->status());
    publishedRegistry_ = 0;
    pushedRoutes_ = 0;
    const std::vector<HostId> stores = hostsToInform();
    feed_.follow(stores, positionOf(deps_.lastView()));
    announcement_.begin(stores);
    publishView();
}

std::vector<HostId> StorageRole::hostsToInform() const
{
    std::vector<HostId> hosts = seedHosts(deps_.settings);
    for (const HostId &member : members()) {
        hosts.push_back(member);
    }
    for (const FleetStore &store : deps_.lastView().stores) {
        hosts.push_back(store.host);
    }
    std::erase(hosts, deps_.settings.host);
    return hosts;
}

void StorageRole::informHosts()
{
    const std::vector<HostId> uninformed = announcement_.takeUninformed();
    for (const HostId &host : uninformed) {
        LogLine(LogLevel::Info, "leader_announced").add("to", host.value).write();
    }
    feed_.sendWholeView(uninformed);
}

void StorageRole::adoptFleet()
{
    const FleetView &last = deps_.lastView();
    const FleetView saved = savedView();
    // Without a view this host started lately: servers announce themselves only each second or so.
    registry_.adopt(last.term > 0 ? last : saved);
    registry_.adoptEnds(saved);
}

void StorageRole::registerSelf()
{
    HostReport report;
    report.name = deps_.settings.name;
    report.meshAddress = deps_.settings.meshListen;
    report.availabilityZone = deps_.settings.availabilityZone;
    report.region = deps_.settings.region;
    fillReport(report);
    registry_.report(deps_.settings.host, report);
}

void StorageRole::adoptSuspects()
{
    CrashSuspects suspects = deps_.crashes.currentSuspects();
    if (suspects.term == 0) {
        // Started lately: no other leader has told anything yet.
        suspects.suspects = savedView().blockedSuspects;
    }
    crashes_.adopt(suspects);
}

FleetView StorageRole::savedView() const
{
    Outcome<PeerMessage> saved = decodeMessage(control_->state()->savedFleet());
    auto *view = saved.ok() ? std::get_if<FleetView>(&saved.value().body) : nullptr;
    return view != nullptr ? std::move(*view) : FleetView();
}

FleetSaverHooks StorageRole::saverHooks()
{
    return FleetSaverHooks{
        .version = [this] { return SavedVersion(registry_.version(), crashes_.version()); },
        .encode = [this] { return encodeSavedView(); },
        .propose =
            [this](std::string text, std::function<void(bool)> done) {
                control_->propose(
                    SaveFleet{std::move(text), deps_.clock.wall()},
                    [done = std::move(done)](const Outcome<Reply> &reply) { done(reply.ok()); });
            }};
}

std::string StorageRole::encodeSavedView() const
{
    FleetView view;
    view.servers = registry_.servers();
    for (FleetServer &server : view.servers) {
        server.sequence = 0;
        server.requestsPerKs = 0;
    }
    view.endedServers = registry_.endedServers();
    view.blockedSuspects = crashes_.blockedSuspects();
    for (CrashSuspect &suspect : view.blockedSuspects) {
        // Ages change all the time; a new leader counts from its own start.
        suspect.blockedForMs = suspect.blockedForMs > 0 ? savedBlockMs : 0;
        suspect.abortAgesMs.clear();
    }
    return encodeMessage(PeerMessage{defaultGroup, std::move(view), {}, {}});
}

FleetView StorageRole::makeView() const
{
    FleetView view;
    const FleetView &last = deps_.lastView();
    view.term = control_->status().term;
    view.version = last.term == view.term ? last.version + 1 : 1;
    view.leader = deps_.settings.host;
    view.routesVersion = control_->state()->routes().version;
    view.servers = registry_.servers();
    view.entries = registry_.entries();
    view.stores = registry_.stores();
    for (FleetStore &store : view.stores) {
        store.votes = std::ranges::find(publishedVoters_, store.host) != publishedVoters_.end();
    }
    return view;
}

void StorageRole::publishView()
{
    std::vector<HostId> voters = voterHosts(control_->status());
    if (registry_.version() == publishedRegistry_ && voters == publishedVoters_) {
        return;
    }
    publishedRegistry_ = registry_.version();
    publishedVoters_ = std::move(voters);
    nextPublish_ = deps_.clock.monotonic() + viewInterval;
    refreshBroker();
    std::set<ServerId> usable;
    for (const FleetServer &server : registry_.servers()) {
        if (!server.draining) {
            usable.insert(server.id);
        }
    }
    runner_.endRunsExceptOn(usable);
    if (const auto change = changeBetween(deps_.lastView(), makeView())) {
        deps_.change(*change);
    }
}

void StorageRole::pushRoutes()
{
    const RoutesAnswer &inForce = control_->state()->routes();
    const MonotonicTime now = deps_.clock.monotonic();
    if (inForce.version == pushedRoutes_ || now < nextRoutesPush_) {
        return;
    }
    pushedRoutes_ = inForce.version;
    nextRoutesPush_ = now + routesInterval;
    auto table = routes();
    if (table) {
        quotas_.setCustomers(table->customers());
    }
    refreshBroker();
    deps_.routesInForce(RoutesPush{inForce.version, inForce.text}, std::move(table));
}

void StorageRole::pushCrashes()
{
    crashes_.tick();
    const MonotonicTime now = deps_.clock.monotonic();
    const bool changed = crashes_.version() != pushedCrashes_;
    const bool due = now >= nextCrashes_ && !crashes_.empty();
    if (!changed && !due) {
        return;
    }
    std::vector<HostId> probers;
    for (const FleetEntry &entry : registry_.entries()) {
        if (!entry.draining) {
            probers.push_back(entry.host);
        }
    }
    CrashSuspects told = crashes_.suspects(probers);
    pushedCrashes_ = told.version;
    nextCrashes_ = now + crashesInterval;
    told.term = control_->status().term;
    deps_.suspects(told);
    passDown(told);
}

void StorageRole::careForGroup()
{
    const GroupAdvice advice = care_.advise(control_->status(), registry_.reportedStores(),
                                            control_->state()->retiredStores());
    for (const auto &[host, member] : advice.removed) {
        deps_.send(host, MemberRemoved{member});
    }
    if (advice.giveUpJoining) {
        const HostId joining = control_->status().joining;
        control_->giveUpFresh();
        if (control_->status().joining != joining) {
            LogLine(LogLevel::Warning, "joining_member_given_up")
                .add("member", joining.value)
                .write();
        }
    }
    if (!advice.swap) {
        return;
    }
    LogLine(LogLevel::Warning, "member_swap_begins")
        .add("lost", advice.swap->lost.value)
        .add("fresh", advice.swap->fresh.value)
        .write();
    control_->replaceMember(advice.swap->lost, advice.swap->fresh,
                            [this, swap = *advice.swap](const Outcome<Done> &outcome) {
                                if (!outcome.ok()
                                    && outcome.error().code == ResultCode::PeerUnreachable) {
                                    care_.swapFailed(swap.fresh);
                                }
                                LogLine(LogLevel::Info, "member_swap_ended")
                                    .add("lost", swap.lost.value)
                                    .add("fresh", swap.fresh.value)
                                    .add("result", outcome.ok() ? "ok" : outcome.error().message)
                                    .write();
                            });
}

std::vector<InspectedEngine> StorageRole::engines()
{
    std::vector<InspectedEngine> engines;
    const auto table = routes();
    for (const FleetServer &server : registry_.servers()) {
        const RoutedService *service = table ? table->findService(server.service) : nullptr;
        if (service == nullptr || !service->isEngine || server.draining) {
            continue;
        }
        engines.push_back({.id = server.id,
                           .bornMs = server.bornMs,
                           .address = server.address,
                           .stopsRuns = service->stopsRuns});
    }
    return engines;
}

void StorageRole::leaderTick()
{
    proveRoutes();
    informHosts();
    pushRoutes();
    if (deps_.clock.monotonic() >= nextPublish_) {
        publishView();
    }
    inspector_.tick();
    broker_.tick();
    runner_.tick();
    const MonotonicTime now = deps_.clock.monotonic();
    if (now >= nextCare_) {
        nextCare_ = now + careInterval;
        registry_.tick();
        saver_.saveChanges();
        pushCrashes();
        careForGroup();
    }
    if (now >= nextUsage_) {
        nextUsage_ = now + usageInterval;
        logUsage();
    }
}

// ---- retiring -----------------------------------------------------------------------------------

bool StorageRole::isKnownStore(const std::string &name) const
{
    return std::ranges::any_of(registry_.reportedStores(), [&name](const auto &entry) {
        return entry.second.store.name == name;
    });
}

void StorageRole::retire(const std::string &name, std::function<void(Outcome<Done>)> done)
{
    if (!leads_) {
        done(makeError(ResultCode::NotLeader, "another host leads"));
        return;
    }
    const auto &retired = control_->state()->retiredStores();
    if (!isKnownStore(name) && !retired.contains(name)) {
        done(makeError(ResultCode::NotFound, "no storage host " + name));
        return;
    }
    std::size_t left = 0;
    const MonotonicTime now = deps_.clock.monotonic();
    for (const auto &[host, store] : registry_.reportedStores()) {
        const bool alive = now - store.heardAt < GroupCareOptions{}.voterSilence;
        const bool stays = store.store.name != name && !retired.contains(store.store.name);
        left += alive && stays && !store.member.empty() ? 1 : 0;
    }
    std::size_t voters = 0;
    for (const MemberStatus &member : control_->status().members) {
        voters += member.voter ? 1 : 0;
    }
    if (!retired.contains(name) && left < voters) {
        done(makeError(ResultCode::BelowMinimumReady, "too few storage hosts would be left"));
        return;
    }
    control_->propose(RetireStore{name, deps_.clock.wall()},
                      [done = std::move(done)](const Outcome<Reply> &reply) {
                          done(reply.ok() ? Outcome<Done>(Done{}) : Outcome<Done>(reply.error()));
                      });
}

Outcome<bool> StorageRole::isRetired(const std::string &name) const
{
    if (!leads_) {
        return makeError(ResultCode::NotLeader, "another host leads");
    }
    if (!control_->state()->retiredStores().contains(name)) {
        return makeError(ResultCode::NotFound, "not asked to leave: " + name);
    }
    return hasLeftGroup(control_->status(), registry_.reportedStores(), name);
}

} // namespace persimmonlb
