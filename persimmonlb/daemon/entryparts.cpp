#include "persimmonlb/daemon/internal/entryparts.h"

#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds registerRetry{500};
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
                         .requestYield =
                             [this](const ServerId &server, std::uint32_t slots) {
                                 yieldBatch(server, slots);
                             }})
    , quota(QuotaOptions{}, deps.clock)
    , suspects(suspectsOptions(deps), deps.clock, suspectsHooks())
    , verdicts(RunVerdictReporterOptions{}, deps.clock, deps.crashes,
               [this](const RunVerdict &verdict) {
                   return !control.leader().empty() && deps.send(control.leader(), verdict);
               })
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

HostId EntryRole::Parts::batchOwner(const ServerId &server) const
{
    return rendezvousHost("batch:" + server.value, dispatchHosts(server));
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
        if (batchOwner(said.server) != deps.self.host) {
            continue;
        }
        if (router.isEjected(said.server) || !router.allowsRequest(said.server)) {
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

} // namespace persimmonlb
