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
    , hooks_(std::move(hooks))
    , local_(
          SlotBrokerOptions{}, std::move(clock), std::move(random),
          SlotBrokerHooks{.grant =
                              [this](const HostId &, const SlotGrant &grant) {
                                  if (!grant.server.empty()) {
                                      grantArrived(grant, true);
                                  }
                              },
                          .refuse = [this](const HostId &,
                                           const SlotRefusal &refusal) { refusalArrived(refusal); },
                          .yieldBatch = nullptr,
                          .batchMayStart = nullptr})
{
}

void SlotClient::setView(const FleetView &view)
{
    entryCount_ = std::max<std::size_t>(1, view.entries.size());
    servers_ = view.servers;
    refreshServers();
    if (broker_ == view.leader && brokerTerm_ == view.term) {
        return;
    }
    broker_ = view.leader;
    brokerTerm_ = view.term;
    brokerMute_ = broker_.empty();
    tellHeld();
    tellLeaving();
    for (auto &[ticket, pending] : pending_) {
        if (!pending.local) {
            pending.queued = false;
            askBroker(ticket);
        }
    }
}

void SlotClient::refreshServers()
{
    std::vector<FleetServer> servers = servers_;
    untold_.clear();
    for (FleetServer &server : servers) {
        if (server.draining || !leaving_.contains(server.id, server.bornMs)) {
            continue;
        }
        server.draining = true;
        untold_.push_back({server.id, server.bornMs});
    }
    local_.setServers(servers, [this](const ServiceName &service) {
        SlotCapacity capacity = hooks_.capacityOf(service);
        if (hooks_.isBrokered(service) && capacity.slots > 0) {
            // Without the broker every entry host keeps to its share of each server.
            const auto share = static_cast<std::uint32_t>(capacity.slots / entryCount_);
            capacity.slots = std::max(1U, share);
        }
        return capacity;
    });
}

void SlotClient::serverLeaves(std::uint64_t ticket)
{
    const auto granted = granted_.find(ticket);
    if (granted == granted_.end()
        || !leaving_.note(granted->second.server, granted->second.bornMs)) {
        return;
    }
    LogLine(LogLevel::Info, "server_says_it_leaves")
        .add("server", granted->second.server.value)
        .add("born", static_cast<std::int64_t>(granted->second.bornMs))
        .write();
    refreshServers();
    tellLeaving();
}

void SlotClient::tellLeaving()
{
    for (const ServerLeaving &leaving : untold_) {
        if (!broker_.empty()) {
            hooks_.serverLeaves(broker_, leaving);
        }
    }
}

void SlotClient::tellHeld()
{
    SlotsHeld held;
    for (auto &[ticket, granted] : granted_) {
        if (granted.brokered) {
            held.slots.push_back({ticket, granted.server, granted.tokens});
        }
    }
    if (!broker_.empty()) {
        hooks_.held(broker_, held);
    }
}

bool SlotClient::brokerAnswers() const
{
    return !broker_.empty() && !brokerMute_;
}

std::uint64_t SlotClient::acquire(SlotRequest request, std::function<void(SlotAnswer)> done)
{
    const std::uint64_t ticket = nextTicket_++;
    request.ticket = ticket;
    const bool brokered = hooks_.isBrokered(request.service);
    pending_.emplace(ticket,
                     Pending{.request = std::move(request),
                             .done = std::move(done),
                             .askedAt = clock_.monotonic(),
                             .local = false,
                             .queued = false});
    if (brokered && brokerAnswers()) {
        askBroker(ticket);
    } else {
        pending_.at(ticket).local = true;
        hooks_.later([this, ticket] {
            if (pending_.contains(ticket)) {
                askLocally(ticket);
            }
        });
    }
    return ticket;
}

void SlotClient::askBroker(std::uint64_t ticket)
{
    Pending &pending = pending_.at(ticket);
    pending.askedAt = clock_.monotonic();
    // One that is not sent is asked for here by the next tick.
    if (broker_.empty() || !hooks_.request(broker_, pending.request)) {
        brokerMute_ = true;
    }
}

void SlotClient::askLocally(std::uint64_t ticket)
{
    Pending &pending = pending_.at(ticket);
    pending.local = true;
    const SlotRequest request = pending.request;
    local_.request(options_.self, request);
}

void SlotClient::grantArrived(const SlotGrant &grant, bool local)
{
    const auto pending = pending_.find(grant.ticket);
    if (pending == pending_.end()) {
        return;
    }
    const SlotRequest &request = pending->second.request;
    finish(grant.ticket, {grant.server, grant.address, Milliseconds(0)},
           Granted{.server = grant.server,
                   .bornMs = grant.bornMs,
                   .tokens = request.tokens,
                   .local = local,
                   .brokered = hooks_.isBrokered(request.service),
                   .at = clock_.monotonic()});
}

void SlotClient::refusalArrived(const SlotRefusal &refusal)
{
    finish(refusal.ticket, {{}, {}, Milliseconds(static_cast<std::int64_t>(refusal.retryAfterMs))},
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
            local_.end(options_.self, end);
        } else if (!broker_.empty()) {
            hooks_.end(broker_, end);
        }
        return;
    }
    const Granted slot = granted->second;
    granted_.erase(granted);
    end.heldMs = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - slot.at).count());
    if (slot.local) {
        local_.end(options_.self, end);
    }
    if (slot.brokered && !broker_.empty()) {
        hooks_.end(broker_, end);
    }
}

void SlotClient::receive(const HostId &from, const SlotGrant &grant)
{
    brokerHeard(from);
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
        // The grant and the news of the server crossed.
        hooks_.end(from, SlotEnd{grant.ticket, SlotOutcome::Abandoned, 0});
        pending->second.request.excluded.push_back(grant.server);
        pending->second.queued = false;
        askBroker(grant.ticket);
        return;
    }
    grantArrived(grant, false);
}

void SlotClient::receive(const HostId &from, const SlotRefusal &refusal)
{
    brokerHeard(from);
    const auto pending = pending_.find(refusal.ticket);
    if (pending != pending_.end() && !pending->second.local) {
        refusalArrived(refusal);
    }
}

void SlotClient::brokerHeard(const HostId &from)
{
    if (from != broker_ || !brokerMute_) {
        return;
    }
    brokerMute_ = false;
    LogLine(LogLevel::Info, "slot_broker_regained").add("broker", broker_.value).write();
    tellHeld();
}

void SlotClient::brokerLost(const HostId &host)
{
    if (host == broker_ && !brokerMute_) {
        brokerMute_ = true;
        LogLine(LogLevel::Warning, "slot_broker_lost")
            .add("broker", broker_.value)
            .add("why", "disconnected")
            .write();
    }
}

void SlotClient::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::vector<std::uint64_t> unanswered;
    for (const auto &[ticket, pending] : pending_) {
        if (pending.local) {
            continue;
        }
        const bool silent = !pending.queued && now - pending.askedAt > options_.brokerSilence;
        if (silent && !brokerMute_) {
            brokerMute_ = true;
            LogLine(LogLevel::Warning, "slot_broker_lost")
                .add("broker", broker_.value)
                .add("why", "no answer")
                .add("waited_ms",
                     std::chrono::duration_cast<Milliseconds>(now - pending.askedAt).count())
                .write();
        }
        if (silent || brokerMute_) {
            unanswered.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : unanswered) {
        if (!pending_.contains(ticket)) {
            continue;
        }
        if (!broker_.empty()) {
            hooks_.end(broker_, SlotEnd{ticket, SlotOutcome::Abandoned, 0});
        }
        askLocally(ticket);
    }
    if (!broker_.empty() && now >= nextProbe_) {
        nextProbe_ = now + options_.probeInterval;
        tellLeaving();
        if (brokerMute_) {
            tellHeld();
        }
    }
    local_.tick();
}

} // namespace persimmonlb
