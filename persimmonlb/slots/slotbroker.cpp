#include "persimmonlb/slots/slotbroker.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr double holdSmoothingWeight = 0.1; ///< Weight of the newest observation.

class ScopedIncrement
{
public:
    explicit ScopedIncrement(int &counter)
        : counter_(counter)
    {
        ++counter_;
    }
    ScopedIncrement(const ScopedIncrement &) = delete;
    ScopedIncrement &operator=(const ScopedIncrement &) = delete;
    ~ScopedIncrement()
    {
        --counter_;
    }

private:
    int &counter_;
};

} // namespace

SlotBroker::SlotBroker(SlotBrokerOptions options, Clock clock, RandomSource random,
                       SlotBrokerHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , random_(std::move(random))
    , hooks_(std::move(hooks))
{
}

void SlotBroker::changeState(const std::function<void()> &change)
{
    {
        const ScopedIncrement nested(changeDepth_);
        change();
    }
    callDueHooks();
}

void SlotBroker::callDueHooks()
{
    if (changeDepth_ > 0 || hooksCalled_ > 0) {
        return;
    }
    const ScopedIncrement calling(hooksCalled_);
    while (!dueEffects_.empty()) {
        const Effect effect = std::move(dueEffects_.front());
        dueEffects_.pop_front();
        callHook(effect);
    }
}

void SlotBroker::callHook(const Effect &effect)
{
    if (const auto *granted = std::get_if<SendGrant>(&effect)) {
        hooks_.grant(granted->to, granted->grant);
    } else if (const auto *refused = std::get_if<SendRefusal>(&effect)) {
        hooks_.refuse(refused->to, refused->refusal);
    } else if (const auto &service = std::get<OfferToBatch>(effect).service;
               waiting(service) == 0) {
        hooks_.batchMayStart(service);
    }
}

void SlotBroker::dropAnswers(const HostId &host, std::optional<std::uint64_t> ticket)
{
    std::erase_if(dueEffects_, [&](const Effect &effect) {
        if (const auto *granted = std::get_if<SendGrant>(&effect)) {
            return granted->to == host
                && granted->grant.ticket == ticket.value_or(granted->grant.ticket);
        }
        const auto *refused = std::get_if<SendRefusal>(&effect);
        return refused != nullptr && refused->to == host
            && refused->refusal.ticket == ticket.value_or(refused->refusal.ticket);
    });
}

void SlotBroker::setServers(const std::vector<FleetServer> &servers,
                            const std::function<SlotCapacity(const ServiceName &)> &capacityOf)
{
    std::map<ServerId, Server> next;
    for (const FleetServer &info : servers) {
        const auto known = servers_.find(info.id);
        const bool sameProcess = known != servers_.end() && known->second.info.bornMs == info.bornMs
            && known->second.info.address == info.address;
        Server server = sameProcess ? std::move(known->second) : Server();
        server.info = info;
        server.capacity = capacityOf(info.service);
        updateLimit(server);
        next.emplace(info.id, std::move(server));
        services_.try_emplace(info.service);
    }
    servers_ = std::move(next);
    std::erase_if(grantedSlots_, [this](const auto &entry) {
        const bool isLost = !servers_.contains(entry.second.server);
        if (isLost) {
            settleCharge(entry.second);
        }
        return isLost;
    });
    for (auto &[name, service] : services_) {
        service.servers.clear();
        service.grantTimes.clear();
    }
    for (auto &[id, server] : servers_) {
        services_[server.info.service].servers.push_back(&server);
    }
    for (const auto &[ticket, held] : grantedSlots_) {
        recordGrantTime(servers_.at(held.server), held.grantedAt);
    }
    changeState([this] {
        for (const ServiceName &name : services()) {
            serveQueue(name);
        }
    });
}

void SlotBroker::updateLimit(Server &server)
{
    constexpr double secondsPerKs = 1000;
    const double rate = static_cast<double>(server.info.requestsPerKs) / secondsPerKs;
    if (rate == server.limiter.rate()) {
        return;
    }
    constexpr double steps = 1000;
    const double first
        = options_.staggersFirstRequest ? static_cast<double>(random_() % 1000) / steps : 1;
    const double burstSeconds = std::chrono::duration<double>(options_.burstTime).count();
    server.limiter.setRate(rate, std::max(options_.minBurst, rate * burstSeconds), first,
                           clock_.monotonic());
}

bool SlotBroker::allowsRequest(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.limiter.allowsRequest(clock_.monotonic());
}

void SlotBroker::countRequest(const ServerId &server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        found->second.limiter.take(clock_.monotonic());
    }
}

void SlotBroker::reset()
{
    for (auto &[id, server] : servers_) {
        server.online = 0;
        server.batch = 0;
        server.tokens = 0;
        server.speed.clearHeld();
    }
    grantedSlots_.clear();
    for (auto &[name, service] : services_) {
        service.queue.clear();
        service.shares.clear();
        service.averageHoldMs = 0;
        service.grantTimes.clear();
    }
    queuedCount_ = 0;
    dueEffects_.clear();
    undecided_.clear();
}

void SlotBroker::recordLoad(const ServerId &server, std::uint32_t requests)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    Server &known = found->second;
    updatePeak(known);
    const std::uint32_t ownRequests = std::max(known.peakRequests, known.previousPeakRequests);
    known.orphaned = requests > ownRequests ? requests - ownRequests : 0;
    known.orphanedUntil = clock_.monotonic() + options_.orphanedLoadTtl;
}

void SlotBroker::recordOrphanedRequestEnd(const ServerId &server)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.orphaned == 0) {
        return;
    }
    --found->second.orphaned;
    changeState([this, service = found->second.info.service] { serveQueue(service); });
}

void SlotBroker::updatePeak(Server &server)
{
    const MonotonicTime now = clock_.monotonic();
    const std::uint32_t ownRequests = server.online + server.batch;
    const auto windowAge = now - server.peakWindowStart;
    if (windowAge > options_.maxLoadReportAge) {
        server.previousPeakRequests
            = windowAge > 2 * options_.maxLoadReportAge ? 0 : server.peakRequests;
        server.peakRequests = 0;
        server.peakWindowStart = now;
    }
    server.peakRequests = std::max(server.peakRequests, ownRequests);
}

void SlotBroker::request(const HostId &from, const SlotRequest &request)
{
    changeState([&] { decide(from, request); });
}

void SlotBroker::decide(const HostId &from, const SlotRequest &request)
{
    Service &service = services_[request.service];
    const std::size_t ahead = queuedAhead(service, request);
    if (ahead == 0) {
        if (tryGrant(from, request)) {
            return;
        }
        const Ticket ticket{from, request.ticket};
        undecided_.insert(ticket);
        const bool isFreed = freeSlotOfBatch(request.service);
        if (undecided_.erase(ticket) == 0) {
            // The request was ended inside yieldBatch().
            serveQueue(request.service);
            return;
        }
        if (isFreed && tryGrant(from, request)) {
            return;
        }
    }
    const Milliseconds wait = expectedWait(request.service, ahead);
    Milliseconds waitTimeout(static_cast<std::int64_t>(request.startWithinMs));
    if (request.cameBack) {
        waitTimeout += options_.retryGrace;
    }
    waitTimeout
        = std::min(waitTimeout, Milliseconds(static_cast<std::int64_t>(request.giveUpAfterMs)));
    if (wait > waitTimeout || queuedCount_ >= options_.maxQueued) {
        refuse(from, request, wait);
        return;
    }
    enqueue(from, request);
    dueEffects_.push_back(SendGrant{from, SlotGrant{.ticket = request.ticket}});
}

bool SlotBroker::tryGrant(const HostId &host, const SlotRequest &request)
{
    Server *server = bestServerFor(request);
    if (server == nullptr) {
        return false;
    }
    grant(host, request, *server);
    return true;
}

void SlotBroker::grant(const HostId &host, const SlotRequest &request, Server &server)
{
    ++server.online;
    updatePeak(server);
    server.tokens += request.tokens;
    recordPromptParts(server, request);
    const MonotonicTime now = clock_.monotonic();
    server.limiter.take(now);
    server.speed.requestGranted(now);
    GrantedSlot granted{server.info.id, request.tokens, now};
    if (FairShares *shares = sharesFor(request); shares != nullptr) {
        granted.charge = SlotCharge{
            .service = request.service,
            .priority = request.priority,
            .customer = request.customer,
            .weight = request.customerWeight,
            .estimateMs = static_cast<double>(typicalHoldTime(request.service).count())};
        shares->grant(request.customer, request.customerWeight, granted.charge->estimateMs);
    }
    grantedSlots_[Ticket{host, request.ticket}] = std::move(granted);
    recordGrantTime(server, now);
    dueEffects_.push_back(SendGrant{host,
                                    SlotGrant{.ticket = request.ticket,
                                              .server = server.info.id,
                                              .address = server.info.address,
                                              .bornMs = server.info.bornMs}});
}

void SlotBroker::recordGrantTime(const Server &server, MonotonicTime at)
{
    std::vector<MonotonicTime> &grantTimes = services_[server.info.service].grantTimes;
    grantTimes.insert(std::ranges::upper_bound(grantTimes, at), at);
}

void SlotBroker::end(const HostId &from, const SlotEnd &end)
{
    dropAnswers(from, end.ticket);
    undecided_.erase(Ticket{from, end.ticket});
    const auto found = grantedSlots_.find(Ticket{from, end.ticket});
    if (found == grantedSlots_.end()) {
        removeFromQueues(from, end.ticket);
        return;
    }
    const GrantedSlot held = found->second;
    grantedSlots_.erase(found);
    const auto server = servers_.find(held.server);
    if (server == servers_.end()) {
        return;
    }
    if (end.outcome == SlotOutcome::Completed) {
        recordHoldTime(server->second, static_cast<double>(end.heldMs));
    }
    recordOutcome(server->second, end.outcome);
    release(held);
    changeState([this, service = server->second.info.service] { serveQueue(service); });
}

void SlotBroker::release(const GrantedSlot &held)
{
    settleCharge(held);
    const auto found = servers_.find(held.server);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
    std::vector<MonotonicTime> &grantTimes = services_[server.info.service].grantTimes;
    const auto granted = std::ranges::lower_bound(grantTimes, held.grantedAt);
    if (granted != grantTimes.end() && *granted == held.grantedAt) {
        grantTimes.erase(granted);
    }
    updatePeak(server);
    server.speed.requestReleased(held.grantedAt);
    server.online -= std::min(server.online, 1U);
    server.tokens -= std::min(server.tokens, held.tokens);
}

void SlotBroker::recordHoldTime(Server &server, double heldMs)
{
    const auto smooth = [heldMs](double &average) {
        average = average == 0 ? heldMs : average + holdSmoothingWeight * (heldMs - average);
    };
    smooth(server.averageHoldMs);
    Service &service = services_[server.info.service];
    smooth(service.averageHoldMs);
    if (options_.learnsSpeeds) {
        const MonotonicTime now = clock_.monotonic();
        const double aloneMs = heldMs / slowdown(server, occupiedSlots(server, now));
        service.holdTime.record(aloneMs);
        server.speed.recordHoldTime(aloneMs, now);
    }
}

void SlotBroker::recordOutcome(Server &server, SlotOutcome outcome)
{
    const MonotonicTime now = clock_.monotonic();
    switch (outcome) {
    case SlotOutcome::Completed:
        server.consecutiveFailures = 0;
        server.halfOpen = false;
        return;
    case SlotOutcome::Abandoned:
        return;
    case SlotOutcome::Refused:
        server.backoffUntil = std::max(server.backoffUntil, now + options_.refusalBackoff);
        return;
    case SlotOutcome::Unreachable:
    case SlotOutcome::Failed:
        break;
    }
    ++server.consecutiveFailures;
    if (outcome == SlotOutcome::Failed
        && server.consecutiveFailures < options_.failuresUntilBackoff) {
        return;
    }
    const auto doublings = std::min(server.consecutiveFailures - 1, 4U);
    const Milliseconds backoff
        = std::min(options_.initialBackoff * (1U << doublings), options_.maxBackoff);
    server.halfOpen = true;
    if (server.backoffUntil < now + backoff) {
        server.backoffUntil = now + backoff;
        LogLine(LogLevel::Warning, "server_rests")
            .add("server", server.info.id.value)
            .add("service", server.info.service.value)
            .add("failures", static_cast<std::int64_t>(server.consecutiveFailures))
            .add("rest_ms", backoff.count())
            .write();
    }
}

void SlotBroker::setHeldSlots(const HostId &from, const SlotsHeld &held)
{
    hostLost(from);
    for (const HeldSlot &slot : held.slots) {
        const auto server = servers_.find(slot.server);
        if (server == servers_.end()) {
            continue;
        }
        ++server->second.online;
        updatePeak(server->second);
        server->second.tokens += slot.tokens;
        const MonotonicTime now = clock_.monotonic();
        grantedSlots_[Ticket{from, slot.ticket}] = GrantedSlot{slot.server, slot.tokens, now};
        recordGrantTime(server->second, now);
    }
}

void SlotBroker::hostLost(const HostId &host)
{
    dropAnswers(host, std::nullopt);
    std::erase_if(undecided_, [&host](const Ticket &ticket) { return ticket.host == host; });
    for (auto position = grantedSlots_.begin(); position != grantedSlots_.end();) {
        if (position->first.host != host) {
            ++position;
            continue;
        }
        release(position->second);
        position = grantedSlots_.erase(position);
    }
    removeFromQueues(host, std::nullopt);
}

std::string SlotBroker::addressOf(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? std::string() : found->second.info.address;
}

std::uint64_t SlotBroker::startTimeMsOf(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.info.bornMs;
}

std::size_t SlotBroker::waiting(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.queue.size();
}

} // namespace persimmonlb
