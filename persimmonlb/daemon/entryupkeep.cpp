#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/internal/entryparts.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds digestInterval{500};
constexpr std::size_t maxStateBytes
    = 64UL * 1024; ///< Of the answer of a server that is asked for its state.

} // namespace

void EntryRole::Parts::yieldBatch(const ServerId &server, std::uint32_t slots)
{
    if (!deps.settings.batch.yield) {
        return;
    }
    const std::uint32_t own = dispatcher.yield(server, slots);
    deps.metrics.count("persimmonlb_batch_yields_total", {}, own);
    const HostId owner = batchOwner(server);
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
    hooks.chunk = [this, probe, body](const std::string &chunk) {
        if (body->size() <= maxStateBytes) {
            *body += chunk;
            return;
        }
        // Too long: not read to its end, which may never come.
        probes[probe]->pause();
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

void EntryRole::Parts::tickVerdicts()
{
    if (control.leader() != verdictsSentTo) {
        verdictsSentTo = control.leader();
        verdicts.leaderChanged();
    }
    verdicts.tick();
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
        dispatcher.handleServerLoss(lost);
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
    reportCallerMemory(*callerMemory, deps.metrics);
    deps.metrics.set("persimmonlb_in_force", {}, lease.inForce() ? 1 : 0);
    deps.metrics.set("persimmonlb_sheet_number", {},
                     lease.sheet() ? static_cast<double>(lease.sheet()->number) : 0);
    deps.metrics.set("persimmonlb_open_requests", {}, static_cast<double>(online.openRequests()));
    deps.metrics.set("persimmonlb_online_queued", {}, static_cast<double>(router.queued()));
    deps.metrics.set("persimmonlb_batch_items_held", {},
                     static_cast<double>(dispatcher.heldItems()));
    deps.metrics.set("persimmonlb_refusals_unshipped", {},
                     static_cast<double>(refusals.unshipped()));
}

} // namespace persimmonlb
