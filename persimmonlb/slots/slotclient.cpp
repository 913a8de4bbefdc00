#include "persimmonlb/slots/slotclient.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

SlotClient::SlotClient(SlotClientOptions options, Clock clock, RandomSource random,
                       SlotClientHooks hooks)
    : options_(std::move(options))
    , clock_(clock)
    , random_(random)
    , hooks_(std::move(hooks))
    , localBroker_(
          // Pauses of many hosts end at once, so each one saves up a single request.
          SlotBrokerOptions{.availabilityZone = {},
                            .burstTime = Milliseconds(0),
                            .minBurst = 1,
                            .staggersFirstRequest = true},
          clock, random,
          SlotBrokerHooks{.grant =
                              [this](const HostId &, const SlotGrant &grant) {
                                  if (!grant.server.empty()) {
                                      acceptGrant(grant, true);
                                  }
                              },
                          .refuse = [this](const HostId &,
                                           const SlotRefusal &refusal) { acceptRefusal(refusal); },
                          .yieldBatch = nullptr,
                          .batchMayStart = nullptr})
    , allowance_(options_.quotaWindow, std::move(clock), std::move(random))
{
}

void SlotClient::setView(const FleetView &view)
{
    entryHostCount_ = std::max<std::size_t>(1, view.entries.size());
    servers_ = view.servers;
    limits_.setView(servers_);
    updateLocalServers();
    if (broker_ == view.leader && brokerTerm_ == view.term) {
        return;
    }
    broker_ = view.leader;
    brokerTerm_ = view.term;
    brokerUnresponsive_ = broker_.empty();
    reportHeldSlots();
    reportLeavingServers();
    limits_.leaderChanged();
    reportLimits();
    std::vector<std::uint64_t> tickets;
    for (const auto &[ticket, pending] : pending_) {
        if (!pending.local) {
            tickets.push_back(ticket);
        }
    }
    // The hook may end requests.
    for (const std::uint64_t ticket : tickets) {
        const auto pending = pending_.find(ticket);
        if (pending != pending_.end() && !pending->second.local) {
            pending->second.queued = false;
            requestFromBroker(ticket);
        }
    }
}

void SlotClient::updateLocalServers()
{
    std::vector<FleetServer> servers = servers_;
    unreportedLeaving_.clear();
    for (FleetServer &server : servers) {
        const std::uint64_t limit = limits_.limitOf({server.id, server.bornMs});
        server.requestsPerKs = limit == 0 ? 0 : shareOfLimit(limit);
        if (server.draining || !leaving_.contains(server.id, server.bornMs)) {
            continue;
        }
        server.draining = true;
        unreportedLeaving_.push_back({server.id, server.bornMs});
    }
    localBroker_.setServers(servers, [this](const ServiceName &service) {
        SlotCapacity capacity = hooks_.capacityOf(service);
        if (hooks_.isBrokered(service) && capacity.slots > 0) {
            const auto share = static_cast<std::uint32_t>(capacity.slots / entryHostCount_);
            capacity.slots = std::max(1U, share);
        }
        return capacity;
    });
}

std::uint64_t SlotClient::shareOfLimit(std::uint64_t requestsPerKs) const
{
    // Less than an equal share, as requests of hosts that do not know of each other may coincide.
    constexpr double localShare = 0.75;
    const double share
        = localShare * static_cast<double>(requestsPerKs) / static_cast<double>(entryHostCount_);
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share));
}

void SlotClient::markServerLeaving(std::uint64_t ticket)
{
    const auto granted = granted_.find(ticket);
    if (granted == granted_.end()
        || !leaving_.note(granted->second.server, granted->second.startedAtMs)) {
        return;
    }
    LogLine(LogLevel::Info, "server_says_it_leaves")
        .add("server", granted->second.server.value)
        .add("born", static_cast<std::int64_t>(granted->second.startedAtMs))
        .write();
    updateLocalServers();
    reportLeavingServers();
}

void SlotClient::reportLeavingServers()
{
    // The hook may add or remove leaving servers.
    const std::vector<ServerLeaving> unreported = unreportedLeaving_;
    for (const ServerLeaving &leaving : unreported) {
        if (!broker_.empty()) {
            hooks_.reportServerLeaving(broker_, leaving);
        }
    }
}

void SlotClient::noteServerLimit(std::uint64_t ticket, std::uint64_t requestsPerKs)
{
    const auto granted = granted_.find(ticket);
    if (granted == granted_.end()) {
        return;
    }
    const ServerProcess process{granted->second.server, granted->second.startedAtMs};
    if (limits_.note(granted->second.service, process, requestsPerKs, clock_.monotonic())) {
        LogLine(LogLevel::Info, "server_names_limit")
            .add("server", process.server.value)
            .add("requests_per_ks", static_cast<std::int64_t>(requestsPerKs))
            .write();
        updateLocalServers();
        reportLimits();
    }
}

void SlotClient::reportLimits()
{
    if (broker_.empty()) {
        return;
    }
    for (const ServerLimit &limit :
         limits_.takeReports(clock_.monotonic(), options_.limitReportInterval)) {
        hooks_.reportServerLimit(broker_, limit);
    }
}

void SlotClient::reportHeldSlots()
{
    SlotsHeld held;
    for (auto &[ticket, granted] : granted_) {
        if (granted.brokered) {
            held.slots.push_back({ticket, granted.server, granted.tokens});
        }
    }
    held.history = allowance_.history();
    if (!broker_.empty()) {
        hooks_.reportHeldSlots(broker_, held);
    }
}

bool SlotClient::isBrokerResponsive() const
{
    return !broker_.empty() && !brokerUnresponsive_;
}

std::uint64_t SlotClient::acquire(SlotRequest request, std::function<void(SlotAnswer)> done)
{
    const std::uint64_t ticket = nextTicket_++;
    request.ticket = ticket;
    // Hosts that choose for themselves could keep the limit of a server only on average.
    const bool brokered = hooks_.isBrokered(request.service) || limits_.hasLimit(request.service)
        || needsQuota(request);
    pending_.emplace(ticket,
                     Pending{.request = std::move(request),
                             .done = std::move(done),
                             .requestedAt = clock_.monotonic(),
                             .local = false,
                             .queued = false});
    if (brokered && isBrokerResponsive()) {
        requestFromBroker(ticket);
    } else {
        pending_.at(ticket).local = true;
        hooks_.later([this, ticket] {
            if (pending_.contains(ticket)) {
                requestLocally(ticket);
            }
        });
    }
    return ticket;
}

void SlotClient::requestFromBroker(std::uint64_t ticket)
{
    Pending &pending = pending_.at(ticket);
    pending.requestedAt = clock_.monotonic();
    SlotRequest request = pending.request;
    request.admittedLocally = allowance_.takeReport(request.customer);
    // A request that could not be sent is served locally by the next tick().
    if (broker_.empty() || !hooks_.request(broker_, request)) {
        brokerUnresponsive_ = true;
        allowance_.restoreReport(request.customer, request.admittedLocally);
    }
}

bool SlotClient::needsQuota(const SlotRequest &request) const
{
    return !request.isCharged && !request.customer.empty() && hooks_.isLimited(request.customer);
}

void SlotClient::requestLocally(std::uint64_t ticket)
{
    Pending &pending = pending_.at(ticket);
    pending.local = true;
    const SlotRequest request = pending.request;
    if (needsQuota(request) && !allowance_.take(request.customer)) {
        const auto spread
            = static_cast<std::uint64_t>(std::max<std::int64_t>(1, options_.brokerReturn.count()));
        finish(ticket,
               {.retryAfter = options_.brokerReturn
                    + Milliseconds(static_cast<std::int64_t>(random_() % spread))},
               Granted{});
        return;
    }
    localBroker_.request(options_.self, request);
}

void SlotClient::acceptGrant(const SlotGrant &grant, bool local)
{
    const auto pending = pending_.find(grant.ticket);
    if (pending == pending_.end()) {
        return;
    }
    if (!local) {
        localBroker_.countRequest(grant.server);
    }
    const SlotRequest &request = pending->second.request;
    if (!local && needsQuota(request)) {
        allowance_.recordGrant(request.customer, grant.localSharePermille);
    }
    finish(grant.ticket,
           {.server = grant.server, .address = grant.address, .serverBornMs = grant.bornMs},
           Granted{.server = grant.server,
                   .startedAtMs = grant.bornMs,
                   .service = request.service,
                   .tokens = request.tokens,
                   .local = local,
                   .brokered = !local || hooks_.isBrokered(request.service),
                   .grantedAt = clock_.monotonic()});
}

void SlotClient::acceptRefusal(const SlotRefusal &refusal)
{
    finish(refusal.ticket,
           {.retryAfter = Milliseconds(static_cast<std::int64_t>(refusal.retryAfterMs)),
            .quotaExceeded = refusal.quotaExceeded},
           Granted{});
}

void SlotClient::finish(std::uint64_t ticket, SlotAnswer answer, const Granted &granted)
{
    const auto found = pending_.find(ticket);
    if (found == pending_.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    pending_.erase(found);
    if (!answer.server.empty()) {
        granted_.emplace(ticket, granted);
    }
    done(std::move(answer));
}

void SlotClient::end(std::uint64_t ticket, SlotOutcome outcome)
{
    SlotEnd end{.ticket = ticket, .outcome = outcome, .heldMs = 0};
    const auto granted = granted_.find(ticket);
    if (granted == granted_.end()) {
        const auto pending = pending_.find(ticket);
        if (pending == pending_.end()) {
            return;
        }
        const bool local = pending->second.local;
        pending_.erase(pending);
        if (local) {
            localBroker_.end(options_.self, end);
        } else if (!broker_.empty()) {
            hooks_.end(broker_, end);
        }
        return;
    }
    const Granted slot = granted->second;
    granted_.erase(granted);
    end.heldMs = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - slot.grantedAt).count());
    if (slot.local) {
        localBroker_.end(options_.self, end);
    }
    if (slot.brokered && !broker_.empty()) {
        hooks_.end(broker_, end);
    }
}

void SlotClient::receive(const HostId &from, const SlotGrant &grant)
{
    brokerResponded(from);
    const auto pending = pending_.find(grant.ticket);
    if (pending == pending_.end() || pending->second.local) {
        if (!grant.server.empty() && !granted_.contains(grant.ticket)) {
            hooks_.end(from, SlotEnd{grant.ticket, SlotOutcome::Abandoned, 0});
        }
        return;
    }
    if (grant.server.empty()) {
        pending->second.queued = true;
        return;
    }
    if (leaving_.contains(grant.server, grant.bornMs)) {
        // The grant was sent before the broker received the notice that the server is leaving.
        pending->second.request.excluded.push_back(grant.server);
        pending->second.queued = false;
        hooks_.end(from, SlotEnd{grant.ticket, SlotOutcome::Abandoned, 0});
        if (pending_.contains(grant.ticket)) {
            requestFromBroker(grant.ticket);
        }
        return;
    }
    acceptGrant(grant, false);
}

void SlotClient::receive(const HostId &from, const SlotRefusal &refusal)
{
    brokerResponded(from);
    const auto pending = pending_.find(refusal.ticket);
    if (pending != pending_.end() && !pending->second.local) {
        acceptRefusal(refusal);
    }
}

void SlotClient::brokerResponded(const HostId &from)
{
    if (from != broker_ || !brokerUnresponsive_) {
        return;
    }
    brokerUnresponsive_ = false;
    LogLine(LogLevel::Info, "slot_broker_regained").add("broker", broker_.value).write();
    reportHeldSlots();
}

void SlotClient::brokerLost(const HostId &host)
{
    if (host == broker_ && !brokerUnresponsive_) {
        brokerUnresponsive_ = true;
        LogLine(LogLevel::Warning, "slot_broker_lost")
            .add("broker", broker_.value)
            .add("why", "disconnected")
            .write();
    }
}

void SlotClient::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::vector<std::uint64_t> localTickets;
    for (const auto &[ticket, pending] : pending_) {
        if (pending.local) {
            continue;
        }
        const bool timedOut = !pending.queued && now - pending.requestedAt > options_.brokerTimeout;
        if (timedOut && !brokerUnresponsive_) {
            brokerUnresponsive_ = true;
            LogLine(LogLevel::Warning, "slot_broker_lost")
                .add("broker", broker_.value)
                .add("why", "no answer")
                .add("waited_ms",
                     std::chrono::duration_cast<Milliseconds>(now - pending.requestedAt).count())
                .write();
        }
        if (timedOut || brokerUnresponsive_) {
            localTickets.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : localTickets) {
        if (!pending_.contains(ticket)) {
            continue;
        }
        if (!broker_.empty()) {
            hooks_.end(broker_, SlotEnd{ticket, SlotOutcome::Abandoned, 0});
        }
        if (pending_.contains(ticket)) {
            requestLocally(ticket);
        }
    }
    if (!broker_.empty() && now >= nextProbe_) {
        nextProbe_ = now + options_.probeInterval;
        allowance_.tick();
        reportLeavingServers();
        reportLimits();
        if (brokerUnresponsive_) {
            reportHeldSlots();
        }
    }
    localBroker_.tick();
}

} // namespace persimmonlb
