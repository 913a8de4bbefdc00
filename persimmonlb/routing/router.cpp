#include "persimmonlb/routing/router.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Weight of a new hold time in the mean hold time.
constexpr double holdTimeWeight = 0.1;
constexpr Milliseconds minRetryAfter{50};
constexpr double requestsPerKsPerSecond = 1000; ///< 1,000 requests in 1,000 s are one a second.
constexpr Milliseconds noServerRetryAfter{500};

Milliseconds between(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

Error overloadedError(Milliseconds wait)
{
    return Error{ResultCode::Overloaded, "every backend server of the service is busy",
                 std::max(wait, minRetryAfter), RunState::NotRun};
}

Error noServerError()
{
    return Error{ResultCode::NoBackendServer,
                 "no backend server is ready for the service, model and version in force",
                 noServerRetryAfter, RunState::NotRun};
}

Error deadlineExceededError()
{
    return Error{ResultCode::DeadlineExceeded,
                 "no backend server became available before the deadline", minRetryAfter,
                 RunState::NotRun};
}

} // namespace

std::uint32_t Router::ReadyServer::online() const
{
    return known.own.online + known.others.online;
}

std::uint32_t Router::ReadyServer::total() const
{
    return online() + known.own.batch + known.others.batch;
}

Router::Router(RouterOptions options, Clock clock, RandomSource random, ServerTable &table,
               RouterHooks hooks)
    : options_(options)
    , clock_(std::move(clock))
    , random_(std::move(random))
    , table_(table)
    , hooks_(std::move(hooks))
{
    if (!hooks_.policy) {
        hooks_.policy = affinityPolicy();
    }
}

Router::ServerState &Router::stateOf(const KnownServer &known)
{
    const ServerAnnouncement &announcement = known.announcement;
    ServerState &state = serverStates_[announcement.server];
    if (!state.limit || state.incarnation != announcement.incarnation) {
        state.limit.emplace(options_.concurrency, announcement.slots);
        state.incarnation = announcement.incarnation;
        state.ejectedUntil = MonotonicTime{};
        state.consecutiveErrors = 0;
        state.limiter = RequestLimiter();
        state.requestsPerKs = 0;
    }
    state.limit->setSlots(announcement.slots);
    return state;
}

std::vector<Router::ReadyServer> Router::readyServersFor(const RouteQuery &query)
{
    std::vector<ReadyServer> result;
    const MonotonicTime now = clock_.monotonic();
    for (KnownServer &known : table_.ready(query.service)) {
        const ServerAnnouncement &announcement = known.announcement;
        const bool otherModel = !query.model.empty() && announcement.model != query.model;
        const bool otherVersion = !query.version.empty() && announcement.version != query.version;
        const bool excluded
            = std::find(query.exclude.begin(), query.exclude.end(), announcement.server)
            != query.exclude.end();
        if (otherModel || otherVersion || excluded) {
            continue;
        }
        const ServerState &state = stateOf(known);
        result.push_back(ReadyServer{.known = std::move(known),
                                     .limit = state.limit->limit(),
                                     .suspectsInFlight = state.suspectsInFlight,
                                     .isEjected = state.ejectedUntil > now,
                                     .allowsRequest = state.limiter.allowsRequest(now)});
    }
    const bool allEjected = std::all_of(result.begin(), result.end(),
                                        [](const ReadyServer &server) { return server.isEjected; });
    if (!allEjected) {
        std::erase_if(result, [](const ReadyServer &server) { return server.isEjected; });
    }
    return result;
}

Outcome<ServerChoice> Router::choose(const RouteQuery &query)
{
    return chooseAmong(query, readyServersFor(query));
}

Outcome<ServerChoice> Router::chooseAmong(const RouteQuery &query,
                                          const std::vector<ReadyServer> &ready)
{
    if (ready.empty()) {
        return noServerError();
    }
    std::vector<const ReadyServer *> available;
    for (const ReadyServer &server : ready) {
        if (server.online() >= server.limit || !server.allowsRequest
            || (query.suspect && server.suspectsInFlight > 0)) {
            continue;
        }
        available.push_back(&server);
    }
    if (available.empty()) {
        return overloadedError(expectedWait(query.service, 0, ready));
    }
    const bool anyBelowLimit
        = std::any_of(available.begin(), available.end(),
                      [](const ReadyServer *server) { return server->total() < server->limit; });
    if (anyBelowLimit) {
        std::erase_if(available,
                      [](const ReadyServer *server) { return server->total() >= server->limit; });
    }
    return assign(query, pick(query, available));
}

const Router::ReadyServer &Router::pick(const RouteQuery &query,
                                        const std::vector<const ReadyServer *> &available) const
{
    for (const ReadyServer *server : available) {
        if (!query.preferred.empty() && server->known.announcement.server == query.preferred) {
            return *server;
        }
    }
    if (query.suspect) {
        return **std::min_element(available.begin(), available.end(),
                                  [](const ReadyServer *left, const ReadyServer *right) {
                                      return left->total() < right->total();
                                  });
    }
    std::vector<Candidate> candidates;
    candidates.reserve(available.size());
    for (const ReadyServer *server : available) {
        candidates.push_back(Candidate{.server = server->known.announcement.server,
                                       .inFlight = server->total(),
                                       .limit = server->limit});
    }
    const PolicyQuery policyQuery{.service = query.service, .prefixHash = query.prefixHash};
    const std::size_t index = hooks_.policy(policyQuery, candidates);
    return *available.at(std::min(index, available.size() - 1));
}

ServerChoice Router::assign(const RouteQuery &query, const ReadyServer &server)
{
    const ServerAnnouncement &announcement = server.known.announcement;
    ServerChoice choice{.server = announcement.server,
                        .address = announcement.address,
                        .incarnation = announcement.incarnation,
                        .ticket = nextTicket_++};
    tickets_.emplace(choice.ticket,
                     Ticket{.server = announcement.server,
                            .service = query.service,
                            .suspect = query.suspect,
                            .hasFirstByte = false,
                            .startedAt = clock_.monotonic()});
    ServerState &state = serverStates_[announcement.server];
    state.suspectsInFlight += query.suspect ? 1 : 0;
    state.limiter.take(clock_.monotonic());
    table_.changeInFlight(announcement.server, WorkClass::Online, 1);
    recordPeak(announcement.server, state);
    if (server.total() >= server.limit && hooks_.requestYield) {
        hooks_.requestYield(announcement.server, 1);
    }
    return choice;
}

std::uint64_t Router::acquire(const RouteQuery &query, Acquired done)
{
    const std::vector<ReadyServer> ready = readyServersFor(query);
    std::list<Waiter> &queue = waiters_[query.service];
    Outcome<ServerChoice> choice = queue.empty()
        ? chooseAmong(query, ready)
        : Outcome<ServerChoice>(overloadedError(minRetryAfter));
    if (ready.empty()) {
        choice = noServerError();
    }
    if (choice.ok() || choice.error().code != ResultCode::Overloaded) {
        done(std::move(choice));
        return 0;
    }
    const Milliseconds wait = expectedWait(query.service, queue.size(), ready);
    const bool missesDeadline = clock_.monotonic() + wait >= query.deadline;
    if (missesDeadline || queue.size() >= options_.maxQueuePerService) {
        done(overloadedError(wait));
        return 0;
    }
    const std::uint64_t id = nextWaiter_++;
    queue.push_back(Waiter{.id = id, .query = query, .done = std::move(done)});
    serveWaiters(query.service);
    return id;
}

void Router::cancel(std::uint64_t waiter)
{
    for (auto &[service, queue] : waiters_) {
        queue.remove_if([&](const Waiter &entry) { return entry.id == waiter; });
    }
}

Milliseconds Router::expectedWait(const ServiceName &service, std::size_t ahead,
                                  const std::vector<ReadyServer> &ready) const
{
    const auto holdTime = meanHoldTimeMs_.find(service);
    double totalLimit = 0;
    for (const ReadyServer &server : ready) {
        totalLimit += server.limit;
    }
    if (holdTime == meanHoldTimeMs_.end() || totalLimit == 0) {
        return Milliseconds(0);
    }
    const double waitMs = holdTime->second * (static_cast<double>(ahead) + 1) / totalLimit;
    return Milliseconds(static_cast<std::int64_t>(waitMs));
}

void Router::serveWaiters(const ServiceName &service)
{
    std::list<Waiter> &queue = waiters_[service];
    for (auto position = queue.begin(); position != queue.end();) {
        Outcome<ServerChoice> choice = choose(position->query);
        if (!choice.ok() && choice.error().code == ResultCode::Overloaded) {
            if (position->query.exclude.empty() && !position->query.suspect) {
                // No server has room for an unrestricted request, so the later ones wait too.
                return;
            }
            ++position;
            continue;
        }
        const Acquired done = std::move(position->done);
        queue.erase(position);
        done(std::move(choice));
        // `done` may have changed the queue.
        position = queue.begin();
    }
}

void Router::expireWaiters()
{
    std::vector<Acquired> expired;
    const MonotonicTime now = clock_.monotonic();
    for (auto &[service, queue] : waiters_) {
        for (auto position = queue.begin(); position != queue.end();) {
            if (position->query.deadline > now) {
                ++position;
                continue;
            }
            expired.push_back(std::move(position->done));
            position = queue.erase(position);
        }
    }
    for (const Acquired &done : expired) {
        done(deadlineExceededError());
    }
}

void Router::recordFirstByte(const ServerChoice &choice)
{
    const auto position = tickets_.find(choice.ticket);
    if (position == tickets_.end() || position->second.hasFirstByte) {
        return;
    }
    Ticket &ticket = position->second;
    ticket.hasFirstByte = true;
    ServerState &state = serverStates_[ticket.server];
    if (!state.limit) {
        return;
    }
    const InFlight own = table_.ownInFlight(ticket.server);
    const InFlight others = table_.othersInFlight(ticket.server);
    state.limit->recordFirstByte(between(ticket.startedAt, clock_.monotonic()),
                                 own.online + own.batch + others.online + others.batch);
}

void Router::release(const ServerChoice &choice, RouteEnd end)
{
    const auto position = tickets_.find(choice.ticket);
    if (position == tickets_.end()) {
        return;
    }
    const Ticket ticket = position->second;
    tickets_.erase(position);
    table_.changeInFlight(ticket.server, WorkClass::Online, -1);
    ServerState &state = serverStates_[ticket.server];
    state.suspectsInFlight -= ticket.suspect && state.suspectsInFlight > 0 ? 1 : 0;
    if (state.incarnation == choice.incarnation) {
        recordEnd(ticket, end);
    }
    serveWaiters(ticket.service);
}

void Router::readmit(const ServerId &server)
{
    const auto state = serverStates_.find(server);
    if (state != serverStates_.end()) {
        state->second.ejectedUntil = MonotonicTime{};
    }
}

void Router::recordEnd(const Ticket &ticket, RouteEnd end)
{
    ServerState &state = serverStates_[ticket.server];
    switch (end) {
    case RouteEnd::Succeeded: {
        state.consecutiveErrors = 0;
        const auto holdTimeMs
            = static_cast<double>(between(ticket.startedAt, clock_.monotonic()).count());
        const auto [mean, isNew] = meanHoldTimeMs_.try_emplace(ticket.service, holdTimeMs);
        mean->second += isNew ? 0 : holdTimeWeight * (holdTimeMs - mean->second);
        return;
    }
    case RouteEnd::Refused:
        if (state.limit) {
            state.limit->recordRefusal();
        }
        return;
    case RouteEnd::ServerError:
        if (++state.consecutiveErrors < options_.consecutiveErrorsToEject) {
            return;
        }
        break;
    case RouteEnd::ConnectFailed:
    case RouteEnd::Lost:
        break;
    case RouteEnd::Abandoned:
        return;
    }
    state.consecutiveErrors = 0;
    state.ejectedUntil = clock_.monotonic() + options_.ejectionPeriod;
}

void Router::tick()
{
    for (auto &[server, state] : serverStates_) {
        recordPeak(server, state);
    }
    expireWaiters();
    std::vector<ServiceName> services;
    for (const auto &[service, queue] : waiters_) {
        if (!queue.empty()) {
            services.push_back(service);
        }
    }
    for (const ServiceName &service : services) {
        serveWaiters(service);
    }
    std::erase_if(waiters_, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(serverStates_, [&](const auto &entry) { return !table_.find(entry.first); });
}

void Router::changeBatchInFlight(const ServerId &server, int change)
{
    table_.changeInFlight(server, WorkClass::Batch, change);
    const auto state = serverStates_.find(server);
    if (change > 0 && state != serverStates_.end()) {
        state->second.limiter.take(clock_.monotonic());
    }
}

void Router::noteLimit(const ServerId &server, std::uint64_t incarnation,
                       std::uint64_t requestsPerKs)
{
    const auto state = serverStates_.find(server);
    if (state == serverStates_.end() || state->second.incarnation != incarnation
        || state->second.requestsPerKs == requestsPerKs) {
        return;
    }
    state->second.requestsPerKs = requestsPerKs;
    updateLimiter(state->second);
}

void Router::setHostCount(std::uint32_t hosts)
{
    hostCount_ = std::max(1U, hosts);
    for (auto &[server, state] : serverStates_) {
        updateLimiter(state);
    }
}

void Router::updateLimiter(ServerState &state)
{
    constexpr double requestsAtOnce = 1;
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(state.requestsPerKs) / requestsPerKsPerSecond
        / static_cast<double>(hostCount_);
    // Several hosts learn of a limit at once and must not all send a request then.
    const double first = static_cast<double>(random_() % steps) / static_cast<double>(steps);
    state.limiter.setRate(options_.limitShare * part, requestsAtOnce, first, clock_.monotonic());
}

bool Router::allowsRequest(const ServerId &server) const
{
    const auto state = serverStates_.find(server);
    return state == serverStates_.end() || state->second.limiter.allowsRequest(clock_.monotonic());
}

std::uint32_t Router::capacity(const ServerId &server) const
{
    const auto state = serverStates_.find(server);
    if (state != serverStates_.end() && state->second.limit) {
        return state->second.limit->limit();
    }
    const auto known = table_.find(server);
    const std::uint32_t slots = known ? known->announcement.slots : 0;
    return ConcurrencyLimit(options_.concurrency, slots).limit();
}

std::uint32_t Router::onlineInFlight(const ServerId &server) const
{
    return table_.ownInFlight(server).online + table_.othersInFlight(server).online;
}

void Router::recordPeak(const ServerId &server, ServerState &state)
{
    const MonotonicTime now = clock_.monotonic();
    const std::uint32_t value = onlineInFlight(server);
    while (!state.peakSamples.empty() && state.peakSamples.back().value <= value) {
        state.peakSamples.pop_back();
    }
    state.peakSamples.push_back(PeakSample{.at = now, .value = value});
    while (state.peakSamples.front().at + options_.peakWindow < now) {
        state.peakSamples.pop_front();
    }
}

std::uint32_t Router::onlinePeak(const ServerId &server) const
{
    const auto state = serverStates_.find(server);
    const std::uint32_t now = onlineInFlight(server);
    if (state == serverStates_.end() || state->second.peakSamples.empty()) {
        return now;
    }
    return std::max(now, state->second.peakSamples.front().value);
}

bool Router::isEjected(const ServerId &server) const
{
    const auto state = serverStates_.find(server);
    return state != serverStates_.end() && state->second.ejectedUntil > clock_.monotonic();
}

std::size_t Router::queued() const
{
    std::size_t result = 0;
    for (const auto &[service, queue] : waiters_) {
        result += queue.size();
    }
    return result;
}

} // namespace persimmonlb
