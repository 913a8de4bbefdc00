#include "persimmonlb/fleetnode/storagerole.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds careInterval{100};
constexpr Milliseconds restartDelay{500};
/// For the leader to take an announcement: servers wait a second for the answer.
constexpr Milliseconds noticeTimeout{700};
constexpr std::uint64_t snapshotEntries = 20000; ///< Some minutes of a busy group.
constexpr Milliseconds entryLease{5000}; ///< Of hosts that use sheets; unused with routes.

/// A new leader asks engines for what others left running there: for as long as the longest runs
/// last, as often as it must to follow them.
constexpr Milliseconds longestRun{7000};
constexpr Milliseconds loadInterval{700};
constexpr Milliseconds loadTimeout{500};

/// One zone apart, hosts hear each other within some milliseconds; a host whose processor is
/// rationed may stand still for a tenth of a second. Callers wait out an election.
AgreementTimeouts groupTimeouts()
{
    AgreementTimeouts timeouts;
    timeouts.heartbeat = Milliseconds(70);
    timeouts.electionTimeoutMin = Milliseconds(400);
    timeouts.electionTimeoutMax = Milliseconds(700);
    timeouts.leaderLease = Milliseconds(330);
    timeouts.checkQuorum = Milliseconds(700);
    return timeouts;
}

} // namespace

StorageRole::StorageRole(StorageRoleDeps deps)
    : deps_(std::move(deps))
    , registry_(FleetRegistryOptions{}, deps_.clock)
    , care_(GroupCareOptions{.lossesBorne = deps_.settings.lossesBorne}, deps_.clock)
    , broker_(SlotBrokerOptions{.availabilityZone = deps_.settings.availabilityZone}, deps_.clock,
              deps_.random, brokerHooks())
    , runner_(BulkRunnerOptions{}, deps_.clock, broker_, deps_.metrics, runnerHooks())
{
}

StorageRole::~StorageRole() = default;

SlotBrokerHooks StorageRole::brokerHooks()
{
    return SlotBrokerHooks{
        .grant = [this](const HostId &to, const SlotGrant &grant) { deps_.send(to, grant); },
        .refuse = [this](const HostId &to, const SlotRefusal &refusal) { deps_.send(to, refusal); },
        .yieldBatch = [this](const ServiceName &service) { return runner_.yield(service); },
        .batchMayStart =
            [this](const ServiceName &service) {
                runner_.startItems(service);
            }};
}

BulkRunnerHooks StorageRole::runnerHooks()
{
    return BulkRunnerHooks{
        .table = [this]() -> const BulkTable * {
            return leads_ && control_->state() != nullptr ? &control_->state()->bulk() : nullptr;
        },
        .routes = [this] { return routes(); },
        .propose =
            [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
                control_->propose(command, std::move(done));
            },
        .itemRequest = deps_.face.itemRequest,
        .codec = deps_.face.codec,
        .send =
            [this](const std::string &address, HttpRequest request, Milliseconds deadline,
                   HttpExchangeHooks hooks) {
                return deps_.client.start(address, std::move(request), deadline, std::move(hooks));
            }};
}

// ---- the member ---------------------------------------------------------------------------------

Result<void> StorageRole::start()
{
    const std::vector<HostId> seeds = seedHosts(deps_.settings);
    const bool isSeed = std::ranges::find(seeds, deps_.settings.host) != seeds.end();
    BOOST_LEAF_ASSIGN(identity_,
                      openIdentity(deps_.settings.dataFolder, deps_.settings.host,
                                   deps_.settings.mayForm && isSeed, deps_.random));
    return startControl();
}

Result<void> StorageRole::startControl()
{
    ControlRoleDeps deps;
    deps.member = identity_.member;
    deps.dataFolder = identity_.storeFolder;
    deps.snapshotEntries = snapshotEntries;
    deps.lease = entryLease;
    deps.timeouts = groupTimeouts();
    deps.clock = deps_.clock;
    deps.random = deps_.random;
    deps.send = [this](const HostId &to, PeerBody body) {
        return deps_.sendToMember(identity_.member, to, std::move(body));
    };
    deps.post = deps_.post;
    deps.failed = [this](const std::string &why) {
        LogLine(LogLevel::Error, "store_failed").add("why", why).write();
        restartControl(restartDelay);
    };
    deps.leadershipChanged = [this](bool leads) {
        leadershipChanged(leads);
    };
    control_ = std::make_unique<ControlRole>(std::move(deps));
    const Outcome<Done> started = capture([this] { return control_->start(); });
    running_ = started.ok();
    formationTried_ = false;
    if (started.ok()) {
        LogLine(LogLevel::Info, "member_started")
            .add("member", identity_.member.value)
            .add("unused", control_->status().members.empty() ? "yes" : "no")
            .write();
        return {};
    }
    LogLine(LogLevel::Error, "store_not_opened").add("why", started.error().message).write();
    if (started.error().code == ResultCode::CorruptStore) {
        // As good as lost: the group brings a new store up to date.
        giveUpStore();
        return {};
    }
    restartControl(restartDelay);
    return {};
}

void StorageRole::restartControl(Milliseconds delay)
{
    if (leads_) {
        leadershipChanged(false);
    }
    running_ = false;
    deps_.after(delay, [this] {
        control_->stop();
        const Outcome<Done> started = capture([this] { return startControl(); });
        if (!started.ok()) {
            LogLine(LogLevel::Error, "member_not_started")
                .add("why", started.error().message)
                .write();
        }
    });
}

void StorageRole::giveUpStore()
{
    if (leads_) {
        leadershipChanged(false);
    }
    running_ = false;
    deps_.post([this] {
        control_->stop();
        const Outcome<Done> renewed = capture([this]() -> Result<void> {
            BOOST_LEAF_ASSIGN(
                identity_,
                renewIdentity(deps_.settings.dataFolder, deps_.settings.host, deps_.random));
            return startControl();
        });
        if (!renewed.ok()) {
            LogLine(LogLevel::Error, "identity_not_renewed")
                .add("why", renewed.error().message)
                .write();
            restartControl(restartDelay);
        }
    });
}

void StorageRole::stop()
{
    runner_.stop();
    if (control_) {
        control_->stop();
    }
}

void StorageRole::fillReport(HostReport &report) const
{
    report.member = identity_.member;
    report.unused = running_ && control_->status().members.empty();
    report.controlAddress = deps_.settings.controlListen;
    if (!running_) {
        report.member = HostId();
    }
}

std::vector<HostId> StorageRole::members() const
{
    std::vector<HostId> hosts;
    for (const MemberStatus &member : control_->status().members) {
        hosts.push_back(hostOfMember(member.host));
    }
    return hosts;
}

bool StorageRole::isLeader() const
{
    return leads_;
}

HostId StorageRole::leader() const
{
    if (leads_) {
        return deps_.settings.host;
    }
    const auto known = running_ ? control_->status().leader : std::nullopt;
    return known ? hostOfMember(*known) : HostId();
}

// ---- messages -----------------------------------------------------------------------------------

void StorageRole::receive(const HostId &from, const HostId &fromMember, const HostId &toMember,
                          const PeerBody &body)
{
    if (const auto *report = std::get_if<HostReport>(&body)) {
        takeReport(from, *report);
        return;
    }
    if (const auto *notice = std::get_if<ServerNotice>(&body)) {
        takeNotice(from, *notice);
        return;
    }
    if (const auto *reply = std::get_if<ServerNoticeReply>(&body)) {
        const auto found = notices_.find(reply->requestId);
        if (found != notices_.end()) {
            const auto done = std::move(found->second.done);
            notices_.erase(found);
            done(reply->taken);
        }
        return;
    }
    if (const auto *removed = std::get_if<MemberRemoved>(&body)) {
        if (removed->member == identity_.member && running_) {
            LogLine(LogLevel::Warning, "member_removed")
                .add("member", identity_.member.value)
                .add("told_by", from.value)
                .write();
            giveUpStore();
        }
        return;
    }
    if (const auto *request = std::get_if<SlotRequest>(&body)) {
        if (leads_) {
            broker_.request(from, *request);
        }
        return;
    }
    if (const auto *end = std::get_if<SlotEnd>(&body)) {
        if (leads_) {
            broker_.end(from, *end);
        }
        return;
    }
    if (const auto *held = std::get_if<SlotsHeld>(&body)) {
        if (leads_) {
            broker_.held(from, *held);
        }
        return;
    }
    const bool forOther = !toMember.empty() && toMember != identity_.member;
    if (running_ && !forOther) {
        control_->receive(fromMember.empty() ? from : fromMember, body);
    }
}

void StorageRole::takeReport(const HostId &from, const HostReport &report)
{
    registry_.report(from, report);
    const auto reported = std::pair(report.viewTerm, report.viewVersion);
    if (!leads_) {
        // A host that knows the seeds alone learns from any of them who leads, and where.
        const FleetView &view = deps_.lastView();
        if (reported < std::pair(view.term, view.version)) {
            deps_.send(from, view);
        }
        return;
    }
    const std::uint64_t term = control_->status().term;
    deps_.send(from, LeaderBeat{term});
    const RoutesAnswer &routes = control_->state()->routes();
    if (report.routesVersion < routes.version) {
        deps_.send(from, RoutesPush{routes.version, routes.text});
    }
    if (reported < std::pair(term, registry_.version())) {
        deps_.send(from, makeView());
    }
}

void StorageRole::hostLost(const HostId &host)
{
    registry_.hostLost(host);
    broker_.hostLost(host);
}

// ---- servers ------------------------------------------------------------------------------------

bool StorageRole::applyNotice(const ServerNotice &notice)
{
    if (notice.gone) {
        registry_.serverGone(notice.server.id);
    } else {
        registry_.announce(notice.server);
    }
    serversChanged();
    return true;
}

void StorageRole::serversChanged()
{
    if (registry_.version() == pushedRegistry_) {
        return;
    }
    const std::vector<FleetServer> servers = registry_.servers();
    broker_.setServers(servers, [this](const ServiceName &service) { return capacityOf(service); });
    std::set<ServerId> usable;
    for (const FleetServer &server : servers) {
        if (!server.draining) {
            usable.insert(server.id);
        }
    }
    runner_.keepOnly(usable);
    pushView();
}

void StorageRole::announce(const ServerNotice &notice, std::function<void(bool)> done)
{
    if (leads_) {
        done(applyNotice(notice));
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
    const bool taken = leads_ && applyNotice(notice);
    deps_.send(from, ServerNoticeReply{notice.requestId, taken});
}

SlotCapacity StorageRole::capacityOf(const ServiceName &service) const
{
    const RoutedService *known = routes_ ? routes_->findService(service) : nullptr;
    return known == nullptr ? SlotCapacity{} : SlotCapacity{known->slots, known->cacheTokens};
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

// ---- leading ------------------------------------------------------------------------------------

void StorageRole::leadershipChanged(bool leads)
{
    if (leads_ == leads) {
        return;
    }
    leads_ = leads;
    broker_.reset();
    if (!leads) {
        runner_.stop();
        loadCalls_.clear();
        return;
    }
    adoptFleet();
    askLoadsUntil_ = deps_.clock.monotonic() + longestRun;
    care_.leadershipBegan(control_->status());
    pushedRegistry_ = 0;
    pushedRoutes_ = 0;
}

void StorageRole::adoptFleet()
{
    const FleetView &last = deps_.lastView();
    if (last.term > 0) {
        registry_.adopt(last);
        return;
    }
    // Started lately: servers announce themselves only each second or so.
    const Outcome<PeerMessage> saved = decodeMessage(control_->state()->savedFleet());
    const auto *view = saved.ok() ? std::get_if<FleetView>(&saved.value().body) : nullptr;
    registry_.adopt(view != nullptr ? *view : last);
}

void StorageRole::saveFleet()
{
    FleetView view;
    view.servers = registry_.servers();
    for (FleetServer &server : view.servers) {
        server.sequence = 0;
    }
    std::string encoded = encodeMessage(PeerMessage{defaultGroup, std::move(view), {}, {}});
    if (encoded == savedFleet_) {
        return;
    }
    savedFleet_ = encoded;
    control_->propose(SaveFleet{std::move(encoded), deps_.clock.wall()},
                      [this](const Outcome<Reply> &reply) {
                          if (!reply.ok()) {
                              savedFleet_.clear();
                          }
                      });
}

FleetView StorageRole::makeView() const
{
    FleetView view;
    view.term = control_->status().term;
    view.version = registry_.version();
    view.leader = deps_.settings.host;
    view.routesVersion = control_->state()->routes().version;
    view.servers = registry_.servers();
    view.entries = registry_.entries();
    view.stores = registry_.stores();
    return view;
}

void StorageRole::pushView()
{
    pushedRegistry_ = registry_.version();
    if (leads_) {
        deps_.sendToAll(makeView());
    }
}

void StorageRole::pushRoutes()
{
    const RoutesAnswer &inForce = control_->state()->routes();
    if (inForce.version == pushedRoutes_) {
        return;
    }
    pushedRoutes_ = inForce.version;
    routes();
    broker_.setServers(registry_.servers(),
                       [this](const ServiceName &service) { return capacityOf(service); });
    deps_.sendToAll(RoutesPush{inForce.version, inForce.text});
}

void StorageRole::careForGroup()
{
    const GroupAdvice advice = care_.advise(control_->status(), registry_.reportedStores(),
                                            control_->state()->retiredStores());
    for (const auto &[host, member] : advice.removed) {
        deps_.send(host, MemberRemoved{member});
    }
    if (advice.giveUpJoining) {
        LogLine(LogLevel::Warning, "joining_member_given_up")
            .add("member", control_->status().joining.value)
            .write();
        control_->giveUpFresh();
    }
    if (!advice.swap) {
        return;
    }
    LogLine(LogLevel::Warning, "member_swap_begins")
        .add("lost", advice.swap->lost.value)
        .add("fresh", advice.swap->fresh.value)
        .write();
    control_->replaceMember(advice.swap->lost, advice.swap->fresh,
                            [swap = *advice.swap](const Outcome<Done> &outcome) {
                                LogLine(LogLevel::Info, "member_swap_ended")
                                    .add("lost", swap.lost.value)
                                    .add("fresh", swap.fresh.value)
                                    .add("result", outcome.ok() ? "ok" : outcome.error().message)
                                    .write();
                            });
}

/// Runs that the leader before sent may go on: a server that does not see its sender end keeps
/// them. Only the servers know, for as long as such a run lasts.
void StorageRole::askLoads()
{
    const MonotonicTime now = deps_.clock.monotonic();
    if (now >= askLoadsUntil_ || now < nextLoads_) {
        return;
    }
    nextLoads_ = now + loadInterval;
    const auto table = routes();
    for (const FleetServer &server : registry_.servers()) {
        const RoutedService *service = table ? table->findService(server.service) : nullptr;
        if (service == nullptr || !service->isEngine || server.draining) {
            continue;
        }
        auto body = std::make_shared<std::string>();
        HttpExchangeHooks hooks;
        hooks.chunk = [body](const std::string &chunk) {
            *body += chunk;
        };
        hooks.end = [this, body, id = server.id](const HttpExchangeEnd &end) {
            const auto load = end.code == ResultCode::Ok ? deps_.face.parseLoad(*body)
                                                         : std::optional<std::uint32_t>();
            if (load) {
                broker_.noteLoad(id, *load);
            }
        };
        loadCalls_[server.id] = deps_.client.start(server.address, deps_.face.loadRequest(),
                                                   loadTimeout, std::move(hooks));
    }
}

void StorageRole::leaderTick()
{
    pushRoutes();
    serversChanged();
    askLoads();
    broker_.tick();
    runner_.tick();
    const MonotonicTime now = deps_.clock.monotonic();
    if (now >= nextCare_) {
        nextCare_ = now + careInterval;
        registry_.tick();
        saveFleet();
        careForGroup();
    }
}

void StorageRole::tick()
{
    const MonotonicTime now = deps_.clock.monotonic();
    std::vector<std::function<void(bool)>> expired;
    for (auto position = notices_.begin(); position != notices_.end();) {
        if (now < position->second.deadline) {
            ++position;
            continue;
        }
        expired.push_back(std::move(position->second.done));
        position = notices_.erase(position);
    }
    for (const auto &done : expired) {
        done(false);
    }
    if (!running_) {
        return;
    }
    control_->tick();
    if (leads_) {
        leaderTick();
        return;
    }
    const std::vector<HostId> seeds = seedHosts(deps_.settings);
    const bool begins = !seeds.empty() && seeds.front() == deps_.settings.host;
    if (formationTried_ || !deps_.settings.mayForm || !begins) {
        return;
    }
    formationTried_ = true;
    const Outcome<Done> formed = control_->initGroup(seeds);
    LogLine(LogLevel::Info, "formation_begun")
        .add("members", static_cast<std::int64_t>(seeds.size()))
        .add("result", formed.ok() ? "ok" : formed.error().message)
        .write();
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
    const GroupStatus status = control_->status();
    if (status.changeInProgress) {
        return false;
    }
    for (const auto &[host, store] : registry_.reportedStores()) {
        const bool isMember = std::ranges::any_of(status.members, [&](const MemberStatus &member) {
            return hostOfMember(member.host) == host;
        });
        if (store.store.name == name && isMember) {
            return false;
        }
    }
    return true;
}

} // namespace persimmonlb
