#include "persimmonlb/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/routing/suspects.h"

namespace persimmonlb
{

namespace
{

constexpr std::string_view notRunHeader = "Persimmonlb-Not-Run";
constexpr std::uint16_t firstClientError = 400;
constexpr std::uint16_t firstServerError = 500;
constexpr std::uint16_t tooManyRequests = 429;
constexpr std::uint16_t quarantinedStatus = 422;

std::string requestIdOf(const LeasedItem &item)
{
    return item.job.value + "/" + std::to_string(item.index) + "/" + std::to_string(item.attempt);
}

HttpRequest requestFor(const LeasedItem &item, ServiceKind kind)
{
    HttpRequest request;
    request.method = "POST";
    request.target = kind == ServiceKind::Engine ? "/v1/chat/completions" : "/items";
    request.headers.fields = {{"Content-Type", "application/json"},
                              {"Persimmonlb-Request-Id", requestIdOf(item)},
                              {"Persimmonlb-Attempt", std::to_string(item.attempt)},
                              {"Persimmonlb-Class", "batch"}};
    request.body = item.body;
    return request;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options, Clock clock, DispatcherHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , nextFlush_(clock_.monotonic())
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::tick()
{
    flushOutcomes();
    if (draining_ || !hooks_.mayStart()) {
        return;
    }
    for (const ServiceName &service : hooks_.services()) {
        ServiceQueue &queue = queues_[service];
        if (queue.waiting.empty() && !queue.hasPendingItems) {
            continue;
        }
        startWaitingItems(service, queue);
    }
}

void Dispatcher::notifyPendingWork(const std::vector<ServiceName> &services)
{
    for (const ServiceName &service : services) {
        queues_[service].hasPendingItems = true;
    }
}

std::uint32_t Dispatcher::freeSlots(const DispatchServer &server, const BatchPolicy &policy) const
{
    const auto backoff = backoffUntil_.find(server.server);
    if (backoff != backoffUntil_.end() && clock_.monotonic() < backoff->second) {
        return 0;
    }
    const std::uint32_t allowed = std::min(policy(server.load), options_.maxInFlightPerServer);
    const std::uint32_t used = inFlight(server.server);
    return allowed > used ? allowed - used : 0;
}

void Dispatcher::startWaitingItems(const ServiceName &service, ServiceQueue &queue)
{
    const BatchPolicy policy = hooks_.policy(service);
    std::uint32_t unused = 0;
    std::uint32_t capacity = 0;
    const std::vector<DispatchServer> servers = hooks_.servers(service);
    for (const DispatchServer &server : servers) {
        std::uint32_t slots = freeSlots(server, policy);
        capacity += std::min(policy(server.load), options_.maxInFlightPerServer);
        while (slots > 0 && !queue.waiting.empty()) {
            LeasedItem item = std::move(queue.waiting.front().item);
            queue.waiting.pop_front();
            startItem(service, server, std::move(item));
            --slots;
        }
        unused += slots;
    }
    returnStaleItems(queue, !servers.empty());
    // Lease half of the capacity in advance, so that a slot that becomes free does not wait for a
    // lease from the control group.
    const std::uint32_t wanted = unused + (capacity + 1) / 2;
    if (wanted > queue.waiting.size() && capacity > 0) {
        leaseMore(service, queue, wanted - static_cast<std::uint32_t>(queue.waiting.size()));
    }
}

void Dispatcher::returnStaleItems(ServiceQueue &queue, bool ownsAnyServer)
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(queue.waiting, [&](const WaitingItem &waiting) {
        if (ownsAnyServer && now - waiting.since < options_.maxWait) {
            return false;
        }
        record(waiting.item, ItemOutcomeKind::NotRun, 0, {});
        return true;
    });
}

void Dispatcher::requeue(const ServiceName &service, LeasedItem item)
{
    queues_[service].waiting.push_front({std::move(item), clock_.monotonic()});
}

void Dispatcher::leaseMore(const ServiceName &service, ServiceQueue &queue, std::uint32_t wanted)
{
    if (queue.leaseInFlight || !queue.hasPendingItems) {
        return;
    }
    queue.leaseInFlight = true;
    const LeaseItems request{.owner = options_.self,
                             .sequence = ++queue.sequence,
                             .service = service,
                             .maxItems = std::min(wanted, options_.maxLeasePerRequest),
                             .at = clock_.wall()};
    hooks_.lease(request, [this, service](const Outcome<LeaseReply> &reply) {
        handleLeaseReply(service, reply);
    });
}

void Dispatcher::handleLeaseReply(const ServiceName &service, const Outcome<LeaseReply> &reply)
{
    ServiceQueue &queue = queues_[service];
    queue.leaseInFlight = false;
    if (!reply.ok()) {
        // The control group may have granted the lease although the reply failed. A request with
        // the same sequence returns the same items.
        --queue.sequence;
        return;
    }
    queue.hasPendingItems = reply.value().pending > 0;
    for (const LeasedItem &item : reply.value().items) {
        if (cancelled_.contains(item.job)) {
            continue;
        }
        if (draining_) {
            record(item, ItemOutcomeKind::NotRun, 0, {});
            continue;
        }
        queue.waiting.push_back({item, clock_.monotonic()});
    }
}

void Dispatcher::recordQuarantined(const LeasedItem &item)
{
    record(item, ItemOutcomeKind::Rejected, quarantinedStatus,
           "earlier runs of this item crashed backend servers");
}

void Dispatcher::startItem(const ServiceName &service, const DispatchServer &server,
                           LeasedItem item)
{
    RunningItem run;
    run.fingerprint = fingerprintOf(service, item.body);
    const Suspicion suspicion = hooks_.suspicion(run.fingerprint);
    if (suspicion == Suspicion::Quarantined) {
        recordQuarantined(item);
        return;
    }
    run.item = std::move(item);
    run.service = service;
    run.server = server.server;
    const std::uint64_t id = nextRun_++;
    running_.emplace(id, std::move(run));
    ++inFlight_[server.server];
    hooks_.inFlightChanged(server.server, 1);
    if (suspicion == Suspicion::Suspect) {
        requestPermit(id, server.address);
        return;
    }
    send(id, server.address);
}

void Dispatcher::requestPermit(std::uint64_t id, const std::string &address)
{
    const RunningItem &run = running_.at(id);
    const std::uint64_t permit = hooks_.acquirePermit(
        run.fingerprint, run.server, [this, id, address](const Outcome<Done> &granted) {
            handlePermitReply(id, address, granted);
        });
    const auto position = running_.find(id);
    if (position != running_.end()) {
        position->second.permit = permit;
    }
}

void Dispatcher::handlePermitReply(std::uint64_t id, const std::string &address,
                                   const Outcome<Done> &granted)
{
    const auto position = running_.find(id);
    if (position == running_.end()) {
        return;
    }
    if (granted.ok()) {
        send(id, address);
        return;
    }
    position->second.permit.reset();
    const LeasedItem item = std::move(position->second.item);
    const ServiceName service = position->second.service;
    endRun(id);
    if (granted.error().code == ResultCode::Quarantined) {
        recordQuarantined(item);
        return;
    }
    requeue(service, item);
}

void Dispatcher::send(std::uint64_t id, const std::string &address)
{
    HttpExchangeHooks exchange;
    exchange.head = [this, id](const HttpResponseHead &head) {
        RunningItem &run = running_.at(id);
        hooks_.headReceived(run.server, head);
        run.status = head.status;
        run.refusedBeforeRun = head.headers.find(notRunHeader) == "true";
    };
    exchange.chunk = [this, id](const std::string &chunk) {
        RunningItem &run = running_.at(id);
        run.tooLarge = run.tooLarge || run.body.size() + chunk.size() > options_.maxResultBytes;
        if (!run.tooLarge) {
            run.body += chunk;
        }
    };
    exchange.end = [this, id](const HttpExchangeEnd &ended) {
        handleExchangeEnd(id, ended);
    };
    const RunningItem &run = running_.at(id);
    auto started = hooks_.send(address, requestFor(run.item, hooks_.kind(run.service)),
                               options_.itemTimeout, std::move(exchange));
    const auto position = running_.find(id);
    if (position != running_.end()) {
        position->second.exchange = std::move(started);
    }
}

ItemOutcomeKind Dispatcher::classify(const RunningItem &run, const HttpExchangeEnd &end)
{
    if (end.sendState == SendState::NothingSent || run.refusedBeforeRun) {
        return ItemOutcomeKind::NotRun;
    }
    if (end.code != ResultCode::Ok || run.status >= firstServerError || run.tooLarge) {
        return ItemOutcomeKind::Failed;
    }
    if (run.status == tooManyRequests) {
        return ItemOutcomeKind::Failed;
    }
    return run.status >= firstClientError ? ItemOutcomeKind::Rejected : ItemOutcomeKind::Succeeded;
}

void Dispatcher::handleExchangeEnd(std::uint64_t id, const HttpExchangeEnd &end)
{
    const auto position = running_.find(id);
    if (position == running_.end()) {
        return;
    }
    RunningItem &run = position->second;
    const ItemOutcomeKind kind = classify(run, end);
    const bool connectionBroken = end.sendState == SendState::Sent && end.code != ResultCode::Ok
        && end.code != ResultCode::DeadlineExceeded;
    if (kind == ItemOutcomeKind::NotRun || kind == ItemOutcomeKind::Failed) {
        backoffUntil_[run.server] = clock_.monotonic() + options_.serverBackoff;
    }
    if (connectionBroken) {
        hooks_.serverLost(run.server, {run.fingerprint});
    }
    const LeasedItem item = std::move(run.item);
    const ServiceName service = run.service;
    const std::uint16_t status = run.status;
    std::string body = std::move(run.body);
    if (kind == ItemOutcomeKind::Failed && !end.message.empty()) {
        body = end.message;
    }
    const PermitEnd permitEndIfSent = connectionBroken ? PermitEnd::Lost : PermitEnd::Survived;
    endRun(id, kind == ItemOutcomeKind::NotRun ? PermitEnd::NotRun : permitEndIfSent);
    if (kind == ItemOutcomeKind::NotRun && !draining_ && !cancelled_.contains(item.job)) {
        requeue(service, item);
        return;
    }
    record(item, kind, status, std::move(body));
}

void Dispatcher::endRun(std::uint64_t id, PermitEnd permitEnd)
{
    const auto position = running_.find(id);
    if (position->second.permit) {
        hooks_.releasePermit(*position->second.permit, permitEnd);
    }
    const ServerId server = position->second.server;
    // The caller may be a callback of this exchange, so it must live until this function returns.
    const std::unique_ptr<HttpExchange> exchange = std::move(position->second.exchange);
    running_.erase(position);
    std::uint32_t &count = inFlight_[server];
    --count;
    if (count == 0) {
        inFlight_.erase(server);
    }
    hooks_.inFlightChanged(server, -1);
}

void Dispatcher::record(const LeasedItem &item, ItemOutcomeKind kind, std::uint16_t status,
                        std::string body)
{
    if (cancelled_.contains(item.job)) {
        return;
    }
    outcomes_.push_back(
        ItemOutcome{item.job, item.index, item.attempt, kind, status, std::move(body)});
}

void Dispatcher::flushOutcomes()
{
    const MonotonicTime now = clock_.monotonic();
    if (now < nextFlush_ || !recording_.empty() || outcomes_.empty()) {
        return;
    }
    nextFlush_ = now + options_.completeInterval;
    recording_ = std::exchange(outcomes_, {});
    const CompleteItems command{options_.self, recording_, clock_.wall()};
    hooks_.complete(command, [this](const Outcome<CompleteReply> &reply) {
        std::vector<ItemOutcome> sent = std::exchange(recording_, {});
        if (!reply.ok()) {
            // The first recorded outcome of an attempt wins, so recording an outcome again is
            // harmless.
            outcomes_.insert(outcomes_.begin(), std::make_move_iterator(sent.begin()),
                             std::make_move_iterator(sent.end()));
        }
    });
}

std::uint32_t Dispatcher::yield(const ServerId &server, std::uint32_t slots)
{
    std::vector<std::uint64_t> victims;
    for (auto position = running_.rbegin(); position != running_.rend(); ++position) {
        if (victims.size() >= slots) {
            break;
        }
        if (position->second.server != server || !position->second.item.idempotent) {
            continue;
        }
        victims.push_back(position->first);
    }
    for (const std::uint64_t id : victims) {
        RunningItem &run = running_.at(id);
        requeue(run.service, std::move(run.item));
        endRun(id);
    }
    return static_cast<std::uint32_t>(victims.size());
}

void Dispatcher::cancelJobs(const std::vector<JobId> &jobs)
{
    cancelled_.insert(jobs.begin(), jobs.end());
    for (auto &[service, queue] : queues_) {
        std::erase_if(queue.waiting, [&](const WaitingItem &waiting) {
            return cancelled_.contains(waiting.item.job);
        });
    }
    std::vector<std::uint64_t> victims;
    for (const auto &[id, run] : running_) {
        if (cancelled_.contains(run.item.job)) {
            victims.push_back(id);
        }
    }
    for (const std::uint64_t id : victims) {
        endRun(id);
    }
}

void Dispatcher::handleServerLoss(const ServerId &server)
{
    std::vector<std::uint64_t> victims;
    for (const auto &[id, run] : running_) {
        if (run.server == server) {
            victims.push_back(id);
        }
    }
    for (const std::uint64_t id : victims) {
        const LeasedItem item = running_.at(id).item;
        endRun(id);
        record(item, ItemOutcomeKind::Failed, 0, "the backend server was lost");
    }
}

void Dispatcher::setDraining(bool draining)
{
    draining_ = draining;
    if (!draining_) {
        return;
    }
    for (auto &[service, queue] : queues_) {
        for (const WaitingItem &waiting : queue.waiting) {
            record(waiting.item, ItemOutcomeKind::NotRun, 0, {});
        }
        queue.waiting.clear();
    }
}

std::size_t Dispatcher::heldItems() const
{
    std::size_t count = running_.size() + outcomes_.size() + recording_.size();
    for (const auto &[service, queue] : queues_) {
        count += queue.waiting.size() + (queue.leaseInFlight ? 1 : 0);
    }
    return count;
}

std::uint32_t Dispatcher::inFlight(const ServerId &server) const
{
    const auto position = inFlight_.find(server);
    return position == inFlight_.end() ? 0 : position->second;
}

} // namespace persimmonlb
