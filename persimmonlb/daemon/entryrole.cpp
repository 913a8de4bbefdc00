#include "persimmonlb/daemon/entryrole.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/connectionlimits.h"
#include "persimmonlb/daemon/internal/entryparts.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds serverTickInterval{100};
constexpr Milliseconds auditInterval{1000};

} // namespace

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
    options.maxConnections
        = std::min(entry.maxConnections, shareDescriptors(descriptorLimit()).callers);
    options.memory = parts_->callerMemory;
    options.headerTimeout = entry.headerTimeout;
    options.bodyTimeout = entry.bodyTimeout;
    options.idleTimeout = entry.idleTimeout;
    BOOST_LEAF_AUTO(server,
                    HttpServer::listen(parts_->deps.context, entry.listen, options,
                                       [this](HttpRequest request, const ResponderPtr &responder) {
                                           parts_->handle(std::move(request), responder);
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
    parts.tickVerdicts();
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
