#include "persimmonlb/daemon/entryrole.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/internal/entryparts.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds digestInterval{500};
constexpr Milliseconds serverTickInterval{100};
constexpr Milliseconds auditInterval{1000};
constexpr Milliseconds registerRetry{500};
constexpr Milliseconds stopConfirmationTimeout{2000};
constexpr Milliseconds permitTimeout{
    5000}; ///< For a batch item to get the right to run as a suspect.
constexpr std::size_t maxSingleRefusals = 200;

ControlClientOptions controlOptions(const Settings &settings)
{
    ControlClientOptions options;
    for (const PeerSettings &peer : settings.mesh.peers) {
        if (peer.control) {
            options.controlHosts.push_back(peer.host);
        }
    }
    if (settings.host.control) {
        options.controlHosts.push_back(settings.host.id);
    }
    return options;
}

LeaseKeeperOptions leaseOptions(const EntryRoleDeps &deps)
{
    LeaseKeeperOptions options;
    options.self = deps.self;
    options.address = deps.settings.entry.advertise;
    options.meshAddress = deps.meshAddress;
    options.availabilityZone = deps.settings.host.availabilityZone;
    options.region = deps.settings.host.region;
    options.controlHosts = controlOptions(deps.settings).controlHosts;
    return options;
}

ServerTableOptions tableOptions(const EntryRoleDeps &deps)
{
    ServerTableOptions options;
    options.self = deps.self.host;
    return options;
}

SuspectsOptions suspectsOptions(const EntryRoleDeps &deps)
{
    SuspectsOptions options;
    options.self = deps.self;
    return options;
}

OnlineOptions onlineOptions(const EntryRoleDeps &deps)
{
    OnlineOptions options;
    options.self = deps.self;
    return options;
}

DispatcherOptions dispatcherOptions(const EntryRoleDeps &deps)
{
    DispatcherOptions options;
    options.self = deps.self;
    options.maxInFlightPerServer = deps.settings.batch.maxInFlightPerServer;
    return options;
}

RoutingPolicy routingPolicy(const EntryRoleDeps &deps)
{
    return routingPolicyByName(deps.settings.entry.routingPolicy, deps.random)
        .value_or(RoutingPolicy());
}

/// How long a directory answer that named this host may still be used after the withdrawal is
/// known: another host may hand out its older list until its own lease ends.
Milliseconds answerLifetime(const Settings &settings)
{
    return settings.control.lease + settings.entry.answerTtl + settings.entry.drainLinger;
}

} // namespace

EntryRole::Parts::Parts(EntryRoleDeps used)
    : deps(std::move(used))
    , control(controlOptions(deps.settings), deps.clock, deps.random, deps.send)
    , refusals(deps.self, maxSingleRefusals, deps.clock,
               [this](const AppendAudit &command, std::function<void(Outcome<Reply>)> done) {
                   control.propose(command, std::move(done));
               })
    , servers(tableOptions(deps), deps.clock)
    , client(HttpClient::create(deps.context, HttpClientOptions{}))
    , router(RouterOptions{}, deps.clock, deps.random, servers,
             RouterHooks{.policy = routingPolicy(deps),
                         .wantYield =
                             [this](const ServerId &server, std::uint32_t slots) {
                                 yieldBatch(server, slots);
                             }})
    , quota(QuotaOptions{}, deps.clock)
    , suspects(suspectsOptions(deps), deps.clock, suspectsHooks())
    , lease(leaseOptions(deps), deps.clock, leaseHooks())
    , online(onlineOptions(deps), deps.clock, deps.random, router, quota, suspects, onlineHooks())
    , dispatcher(dispatcherOptions(deps), deps.clock, dispatcherHooks())
    , batches(apiDeps())
    , operators(apiDeps(), operatorDeps(), batches)
    , drain(answerLifetime(deps.settings), deps.clock, drainHooks())
    , nextDigest(deps.clock.monotonic())
    , nextAudit(deps.clock.monotonic())
{
    registerHost();
}

EntryRole::Parts::~Parts() = default;

void EntryRole::Parts::registerHost()
{
    const RegisterHost command{.owner = deps.self,
                               .address = deps.settings.entry.advertise,
                               .availabilityZone = deps.settings.host.availabilityZone,
                               .region = deps.settings.host.region,
                               .at = deps.clock.wall()};
    control.propose(command, [this](const Outcome<Reply> &reply) {
        const auto *plain = reply.ok() ? std::get_if<PlainReply>(&reply.value()) : nullptr;
        if (plain != nullptr && plain->code == ResultCode::Ok) {
            registered = true;
            return;
        }
        LogLine(LogLevel::Warning, "host_not_registered")
            .add("why",
                 plain != nullptr ? plain->message
                     : reply.ok() ? "unexpected reply"
                                  : reply.error().message)
            .write();
        deps.timers.after(registerRetry, [this] { registerHost(); });
    });
}

std::optional<Error> EntryRole::Parts::admission() const
{
    if (drain.stage() == DrainStage::Stopped) {
        return makeError(ResultCode::Draining, "this host is stopping");
    }
    const auto sheet = lease.sheet();
    if (!sheet) {
        return makeError(ResultCode::NotInForce, "no sheet is in force here yet");
    }
    const bool lapsed = !lease.inForce();
    if (lapsed && deps.settings.entry.lapsePolicy == LapsePolicy::Refuse) {
        return makeError(ResultCode::NotInForce, "the lease of this host has run out");
    }
    return std::nullopt;
}

std::vector<EntryHostInfo> EntryRole::Parts::listedHosts() const
{
    std::vector<EntryHostInfo> result;
    const bool withdrawn = drain.stage() != DrainStage::Serving;
    for (const EntryHostInfo &host : lease.hosts()) {
        const bool self = host.host == deps.self.host;
        if (host.draining || host.leaseLeftMs == 0 || (self && (withdrawn || !lease.inForce()))) {
            continue;
        }
        result.push_back(host);
    }
    return result;
}

std::vector<std::string> EntryRole::Parts::otherHosts() const
{
    std::vector<std::string> addresses;
    for (const EntryHostInfo &host : listedHosts()) {
        if (host.host != deps.self.host) {
            addresses.push_back(host.address);
        }
    }
    return addresses;
}

std::vector<ServiceName> EntryRole::Parts::services() const
{
    std::vector<ServiceName> names;
    if (const auto sheet = lease.sheet()) {
        for (const SheetService &service : sheet->services) {
            names.push_back(service.name);
        }
    }
    return names;
}

std::vector<HostId> EntryRole::Parts::dispatchHosts(const ServerId &server) const
{
    std::set<HostId> draining;
    for (const EntryHostInfo &host : lease.hosts()) {
        if (host.draining) {
            draining.insert(host.host);
        }
    }
    std::vector<HostId> hosts;
    for (const HostId &host : servers.heardBy(server)) {
        if (!draining.contains(host)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<DispatchServer> EntryRole::Parts::ownedServers(const ServiceName &service) const
{
    const auto sheet = lease.sheet();
    const SheetService *entry = sheet ? sheet->findService(service) : nullptr;
    if (entry == nullptr) {
        return {};
    }
    const SheetModel *model = sheet->findModel(entry->model);
    std::vector<DispatchServer> owned;
    for (const KnownServer &known : servers.ready(service)) {
        const ServerAnnouncement &said = known.announcement;
        if (model != nullptr && (said.model != model->name || said.version != model->version)) {
            continue;
        }
        if (rendezvousHost("batch:" + said.server.value, dispatchHosts(said.server))
            != deps.self.host) {
            continue;
        }
        if (router.ejected(said.server)) {
            continue;
        }
        owned.push_back({said.server,
                         said.address,
                         {router.capacity(said.server), router.onlineInFlight(said.server),
                          router.onlinePeak(said.server)}});
    }
    return owned;
}

std::unique_ptr<HttpExchange> EntryRole::Parts::sendToServer(const std::string &address,
                                                             HttpRequest request,
                                                             Milliseconds deadline,
                                                             HttpExchangeHooks hooks)
{
    return client->start(address, std::move(request), deadline, std::move(hooks));
}

void EntryRole::Parts::fetchEntryState(std::function<void(Outcome<EntryStateAnswer>)> done)
{
    control.query(EntryStateQuery{}, [done = std::move(done)](const Outcome<Answer> &answer) {
        if (!answer.ok()) {
            done(answer.error());
            return;
        }
        const auto *state = std::get_if<EntryStateAnswer>(&answer.value());
        done(state != nullptr
                 ? Outcome<EntryStateAnswer>(*state)
                 : Outcome<EntryStateAnswer>(makeError(ResultCode::Internal, "not a state")));
    });
}

SuspectsHooks EntryRole::Parts::suspectsHooks()
{
    SuspectsHooks hooks;
    hooks.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        control.propose(command, std::move(done));
    };
    hooks.after = [this](Milliseconds delay, std::function<void()> fn) {
        deps.timers.after(delay, std::move(fn));
    };
    hooks.fetchState = [this](std::function<void(Outcome<EntryStateAnswer>)> done) {
        fetchEntryState(std::move(done));
    };
    hooks.probe
        = [this](const ServerId &id, std::function<void(Outcome<ServerAnnouncement>)> done) {
              const auto known = servers.find(id);
              if (!known) {
                  done(makeError(ResultCode::NotFound, "no server " + id.value));
                  return;
              }
              askState(id, known->announcement.address, std::move(done));
          };
    return hooks;
}

LeaseKeeperHooks EntryRole::Parts::leaseHooks()
{
    LeaseKeeperHooks hooks;
    hooks.send = deps.send;
    hooks.fetchSheet = [this](std::function<void(Outcome<SheetAnswer>)> done) {
        control.query(SheetQuery{}, [done](const Outcome<Answer> &answer) {
            if (!answer.ok()) {
                done(answer.error());
                return;
            }
            const auto *sheet = std::get_if<SheetAnswer>(&answer.value());
            done(sheet != nullptr
                     ? Outcome<SheetAnswer>(*sheet)
                     : Outcome<SheetAnswer>(makeError(ResultCode::Internal, "not a sheet")));
        });
    };
    hooks.fetchEntryState = [this](std::function<void(Outcome<EntryStateAnswer>)> done) {
        fetchEntryState(std::move(done));
    };
    hooks.sheetChanged = [this](const std::shared_ptr<const Sheet> &sheet) {
        quota.setSheet(sheet);
    };
    hooks.entryStateChanged = [this](const EntryStateAnswer &state) {
        suspects.setState(state);
        dispatcher.cancelJobs(state.cancelledRecently);
    };
    hooks.hostsChanged = [this](const std::vector<EntryHostInfo> &hosts) {
        quota.setHosts(static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts.size())));
        deps.hostsChanged(hosts);
    };
    hooks.workWaits = [this](const std::vector<ServiceName> &waiting) {
        dispatcher.noteWork(waiting);
    };
    hooks.drainRequested = [this](bool draining) {
        if (draining) {
            drain.begin();
        } else {
            drain.undo();
        }
    };
    return hooks;
}

ApiDeps EntryRole::Parts::apiDeps()
{
    ApiDeps api;
    api.clock = deps.clock;
    api.after = [this](Milliseconds delay, std::function<void()> fn) {
        deps.timers.after(delay, std::move(fn));
    };
    api.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        control.propose(command, std::move(done));
    };
    api.query = [this](const Query &query, std::function<void(Outcome<Answer>)> done) {
        control.query(query, std::move(done));
    };
    api.sheet = [this] {
        return lease.sheet();
    };
    api.admission = [this] {
        return admission();
    };
    api.refreshHosts = [this](std::function<void(Outcome<std::vector<EntryHostInfo>>)> done) {
        lease.refreshHosts(std::move(done));
    };
    api.otherHosts = [this] {
        return otherHosts();
    };
    api.refused = [this](const std::string &who, const std::string &subject, const Error &error) {
        refusals.note(who, subject, error);
    };
    return api;
}

OperatorDeps EntryRole::Parts::operatorDeps()
{
    return OperatorDeps{.operatorKey = deps.operatorKey,
                        .serversJson = [this] { return serversJson(); },
                        .groupJson = deps.control.statusJson,
                        .initGroup = deps.control.initGroup,
                        .replaceMember = deps.control.replaceMember};
}

DispatcherHooks EntryRole::Parts::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.services = [this] {
        return services();
    };
    hooks.policy = [this](const ServiceName &name) {
        const auto sheet = lease.sheet();
        const SheetService *service = sheet ? sheet->findService(name) : nullptr;
        return policyFor(service != nullptr ? service->batchPreset : BatchPreset::Latency);
    };
    hooks.kind = [this](const ServiceName &name) {
        const auto sheet = lease.sheet();
        const SheetService *service = sheet ? sheet->findService(name) : nullptr;
        return service != nullptr ? service->kind : ServiceKind::Engine;
    };
    hooks.servers = [this](const ServiceName &service) {
        return ownedServers(service);
    };
    hooks.mayStart = [this] {
        return deps.settings.batch.enabled && lease.inForce()
            && drain.stage() == DrainStage::Serving;
    };
    hooks.suspicion = [this](const std::string &fingerprint) {
        return suspects.suspicion(fingerprint);
    };
    hooks.acquirePermit = [this](const std::string &fingerprint, const ServerId &server,
                                 std::function<void(Outcome<Done>)> done) {
        const auto known = servers.find(server);
        return suspects.acquire(fingerprint, server, known ? known->announcement.incarnation : 0,
                                deps.clock.monotonic() + permitTimeout, std::move(done));
    };
    hooks.releasePermit = [this](std::uint64_t permit, PermitEnd end) {
        suspects.release(permit, end);
    };
    hooks.lease = [this](const LeaseItems &command, std::function<void(Outcome<LeaseReply>)> done) {
        control.propose(command, [done = std::move(done)](const Outcome<Reply> &reply) {
            if (!reply.ok()) {
                done(reply.error());
                return;
            }
            const auto *leased = std::get_if<LeaseReply>(&reply.value());
            done(leased != nullptr
                     ? Outcome<LeaseReply>(*leased)
                     : Outcome<LeaseReply>(makeError(ResultCode::Internal, "not a lease")));
        });
    };
    hooks.complete = [this](const CompleteItems &command,
                            std::function<void(Outcome<CompleteReply>)> done) {
        control.propose(command, [done = std::move(done)](const Outcome<Reply> &reply) {
            if (!reply.ok()) {
                done(reply.error());
                return;
            }
            const auto *completed = std::get_if<CompleteReply>(&reply.value());
            done(completed != nullptr
                     ? Outcome<CompleteReply>(*completed)
                     : Outcome<CompleteReply>(makeError(ResultCode::Internal, "not completed")));
        });
    };
    hooks.send = [this](const std::string &address, HttpRequest request, Milliseconds deadline,
                        HttpExchangeHooks exchange) {
        return sendToServer(address, std::move(request), deadline, std::move(exchange));
    };
    hooks.inFlightChanged = [this](const ServerId &server, int change) {
        router.batchChanged(server, change);
    };
    hooks.serverLost
        = [this](const ServerId &server, const std::vector<std::string> &fingerprints) {
              const auto known = servers.find(server);
              suspects.serverLost(server, known ? known->announcement.incarnation : 0, fingerprints,
                                  [](LossVerdict) {});
          };
    return hooks;
}

OnlineHooks EntryRole::Parts::onlineHooks()
{
    OnlineHooks hooks;
    hooks.after = [this](Milliseconds delay, std::function<void()> fn) {
        deps.timers.after(delay, std::move(fn));
    };
    hooks.sendToServer = [this](const std::string &address, HttpRequest request,
                                Milliseconds deadline, HttpExchangeHooks exchange) {
        return sendToServer(address, std::move(request), deadline, std::move(exchange));
    };
    hooks.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        control.propose(command, std::move(done));
    };
    hooks.sheet = [this] {
        return lease.sheet();
    };
    hooks.admission = [this] {
        return admission();
    };
    hooks.recordRefusal
        = [this](const CallerName &caller, const ServiceName &service, const Error &error) {
              refusals.note(caller.value, service.value, error);
          };
    hooks.otherHosts = [this] {
        return otherHosts();
    };
    hooks.ended = [this](const RequestEnd &end) {
        noteRequestEnd(end);
    };
    return hooks;
}

DrainHooks EntryRole::Parts::drainHooks()
{
    DrainHooks hooks;
    hooks.withdraw = [this] {
        LogLine(LogLevel::Info, "drain_began").write();
        lease.setDraining(true);
        dispatcher.setDraining(true);
    };
    hooks.restore = [this] {
        LogLine(LogLevel::Info, "drain_undone").write();
        lease.setDraining(false);
        dispatcher.setDraining(false);
    };
    hooks.withdrawalKnown = [this] {
        return lease.withdrawalKnown();
    };
    hooks.close = [this] {
        LogLine(LogLevel::Info, "drain_closing").write();
        if (server) {
            server->stopListening();
            server->closeIdleConnections();
        }
    };
    hooks.idle = [this] {
        const std::size_t open = server ? server->openConnections() : 0;
        return open == 0 && online.openRequests() == 0 && dispatcher.held() == 0
            && refusals.unshipped() == 0;
    };
    hooks.stopped = [this] {
        LogLine(LogLevel::Info, "drain_ended").write();
        stopping = true;
        stopDeadline = deps.clock.monotonic() + stopConfirmationTimeout;
        lease.announceStopped();
    };
    return hooks;
}

void EntryRole::Parts::yieldBatch(const ServerId &server, std::uint32_t slots)
{
    if (!deps.settings.batch.yield) {
        return;
    }
    const std::uint32_t own = dispatcher.yield(server, slots);
    deps.metrics.count("persimmonlb_batch_yields_total", {}, own);
    const HostId owner = rendezvousHost("batch:" + server.value, dispatchHosts(server));
    if (own < slots && !owner.empty() && owner != deps.self.host) {
        deps.send(owner, YieldRequest{server, slots - own});
    }
}

void EntryRole::Parts::sendDigests()
{
    const MonotonicTime now = deps.clock.monotonic();
    const bool changed = servers.takeChanged();
    if (!changed && now < nextDigest) {
        return;
    }
    nextDigest = now + digestInterval;
    const std::vector<CallerDemand> demand = quota.publishDemand();
    for (const HostId &peer : deps.connectedPeers()) {
        ServerDigest digest = servers.digest(peer);
        digest.demand = demand;
        deps.send(peer, std::move(digest));
    }
}

void EntryRole::Parts::askState(const ServerId &id, const std::string &address,
                                std::function<void(Outcome<ServerAnnouncement>)> done)
{
    const std::uint64_t probe = nextProbe++;
    const auto body = std::make_shared<std::string>();
    HttpExchangeHooks hooks;
    hooks.head = [](const HttpResponseHead &) {
    };
    hooks.chunk = [body](const std::string &chunk) {
        *body += chunk;
    };
    hooks.end = [this, id, probe, body, done = std::move(done)](const HttpExchangeEnd &end) {
        // The exchange is destroyed outside of its own callback.
        deps.timers.after(Milliseconds(0), [this, probe] { probes.erase(probe); });
        if (end.code != ResultCode::Ok) {
            done(makeError(end.code, end.message));
            return;
        }
        Outcome<ServerAnnouncement> said = capture([&] { return parseAnnouncement(*body); });
        if (said.ok() && said.value().server != id) {
            said = makeError(ResultCode::NotFound, "another server answers at this address");
        }
        done(std::move(said));
    };
    HttpRequest request;
    request.method = "GET";
    request.target = "/state";
    constexpr Milliseconds probeTimeout{1000};
    probes[probe] = sendToServer(address, std::move(request), probeTimeout, std::move(hooks));
}

void EntryRole::Parts::probeServers()
{
    for (const KnownServer &known : servers.wantProbe()) {
        const ServerId id = known.announcement.server;
        if (!probing.insert(id).second) {
            continue;
        }
        const MonotonicTime askedAt = deps.clock.monotonic();
        askState(id, known.announcement.address,
                 [this, id, askedAt](const Outcome<ServerAnnouncement> &said) {
                     probing.erase(id);
                     if (said.ok()) {
                         servers.takeProbe(said.value(), askedAt);
                     }
                 });
    }
}

void EntryRole::Parts::endLostServers()
{
    for (const ServerId &lost : servers.takeLost()) {
        LogLine(LogLevel::Warning, "backend_server_lost").add("server", lost.value).write();
        online.serverLost(lost);
        dispatcher.serverGone(lost);
    }
}

void EntryRole::Parts::noteRequestEnd(const RequestEnd &end)
{
    constexpr double millisPerSecond = 1000.0;
    const std::string code(describe(end.code).name);
    deps.metrics.count("persimmonlb_requests_total",
                       {{"service", end.service.value}, {"code", code}});
    deps.metrics.observe("persimmonlb_request_seconds", {{"service", end.service.value}},
                         static_cast<double>(end.total.count()) / millisPerSecond);
    deps.metrics.observe("persimmonlb_first_byte_seconds", {{"service", end.service.value}},
                         static_cast<double>(end.toFirstByte.count()) / millisPerSecond);
    LogLine(LogLevel::Debug, "request_ended")
        .add("request", end.requestId)
        .add("caller", end.caller.value)
        .add("service", end.service.value)
        .add("server", end.server.value)
        .add("code", code)
        .add("attempts", end.attempts)
        .add("total_ms", end.total.count())
        .write();
}

void EntryRole::Parts::updateGauges()
{
    deps.metrics.set("persimmonlb_in_force", {}, lease.inForce() ? 1 : 0);
    deps.metrics.set("persimmonlb_sheet_number", {},
                     lease.sheet() ? static_cast<double>(lease.sheet()->number) : 0);
    deps.metrics.set("persimmonlb_open_requests", {}, static_cast<double>(online.openRequests()));
    deps.metrics.set("persimmonlb_online_queued", {}, static_cast<double>(router.queued()));
    deps.metrics.set("persimmonlb_batch_items_held", {}, static_cast<double>(dispatcher.held()));
    deps.metrics.set("persimmonlb_refusals_unshipped", {},
                     static_cast<double>(refusals.unshipped()));
}

EntryRole::EntryRole(EntryRoleDeps deps)
    : parts_(std::make_unique<Parts>(std::move(deps)))
{
}

EntryRole::~EntryRole() = default;

Result<void> EntryRole::startListener()
{
    const EntrySettings &entry = parts_->deps.settings.entry;
    HttpServerOptions options;
    options.maxBodyBytes = entry.maxBodyBytes;
    options.maxHeaderBytes = entry.maxHeaderBytes;
    options.maxConnections = entry.maxConnections;
    options.headerTimeout = entry.headerTimeout;
    options.bodyTimeout = entry.bodyTimeout;
    options.idleTimeout = entry.idleTimeout;
    BOOST_LEAF_AUTO(server,
                    HttpServer::listen(parts_->deps.context, entry.listen, options,
                                       [this](HttpRequest request, ResponderPtr responder) {
                                           parts_->handle(std::move(request), std::move(responder));
                                       }));
    parts_->server = std::move(server);
    LogLine(LogLevel::Info, "listening").add("address", entry.listen).write();
    return {};
}

void EntryRole::stopListener()
{
    parts_->server.reset();
}

void EntryRole::tickMembership()
{
    Parts &parts = *parts_;
    parts.control.tick();
    if (parts.registered) {
        parts.lease.tick();
    }
    parts.sendDigests();
    parts.drain.tick();
    if (parts.deps.clock.monotonic() >= parts.nextServerTick) {
        parts.nextServerTick = parts.deps.clock.monotonic() + serverTickInterval;
        parts.servers.tick();
        parts.probeServers();
        parts.endLostServers();
    }
    if (!parts.stopping) {
        return;
    }
    if (parts.lease.stopConfirmed() || parts.deps.clock.monotonic() >= parts.stopDeadline) {
        parts.stopping = false;
        parts.deps.stopped();
    }
}

void EntryRole::tickRouter()
{
    parts_->router.tick();
}

void EntryRole::tickDispatcher()
{
    parts_->dispatcher.tick();
}

void EntryRole::tickAudit()
{
    const MonotonicTime now = parts_->deps.clock.monotonic();
    if (now < parts_->nextAudit) {
        return;
    }
    parts_->nextAudit = now + auditInterval;
    parts_->refusals.flush();
    parts_->updateGauges();
}

void EntryRole::receive(const HostId &from, const PeerBody &body)
{
    Parts &parts = *parts_;
    if (const auto *reply = std::get_if<ControlReply>(&body)) {
        parts.control.receive(from, *reply);
        return;
    }
    if (const auto *grant = std::get_if<LeaseGrant>(&body)) {
        parts.lease.receive(from, *grant);
        return;
    }
    if (const auto *digest = std::get_if<ServerDigest>(&body)) {
        parts.servers.merge(from, *digest);
        parts.quota.setPeerDemand(from, digest->demand);
        return;
    }
    if (const auto *yield = std::get_if<YieldRequest>(&body)) {
        const std::uint32_t count = parts.dispatcher.yield(yield->server, yield->slots);
        parts.deps.metrics.count("persimmonlb_batch_yields_total", {}, count);
    }
}

void EntryRole::peerChanged(const HostId &peer)
{
    parts_->servers.forgetPeer(peer);
}

void EntryRole::beginDrain()
{
    parts_->drain.begin();
}

} // namespace persimmonlb
