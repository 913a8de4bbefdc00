#include "persimmonlb/routing/router.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr double heldWeight = 0.1;
constexpr Milliseconds leastRetryAfter{50};
constexpr Milliseconds noServerRetryAfter{500};

Milliseconds between(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

Error overloaded(Milliseconds wait)
{
    return Error{ResultCode::Overloaded, "every backend server of the service is busy",
                 std::max(wait, leastRetryAfter), RunState::NotRun};
}

Error noServer()
{
    return Error{ResultCode::NoBackendServer,
                 "no backend server is ready for the service, model and version in force",
                 noServerRetryAfter, RunState::NotRun};
}

Error deadlinePassed()
{
    return Error{ResultCode::DeadlineExceeded, "no backend server had room before the deadline",
                 leastRetryAfter, RunState::NotRun};
}

} // namespace

std::uint32_t Router::Option::online() const
{
    return known.own.online + known.others.online;
}

std::uint32_t Router::Option::total() const
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

Router::ServerNotes &Router::notes(const KnownServer &known)
{
    const ServerAnnouncement &said = known.announcement;
    ServerNotes &notes = notes_[said.server];
    if (!notes.limit || notes.incarnation != said.incarnation) {
        notes.limit.emplace(options_.concurrency, said.slots);
        notes.incarnation = said.incarnation;
        notes.ejectedUntil = MonotonicTime{};
        notes.errorsInRow = 0;
    }
    notes.limit->setSlots(said.slots);
    return notes;
}

std::vector<Router::Option> Router::optionsFor(const RouteQuery &query)
{
    std::vector<Option> result;
    const MonotonicTime now = clock_.monotonic();
    for (KnownServer &known : table_.ready(query.service)) {
        const ServerAnnouncement &said = known.announcement;
        const bool otherModel = !query.model.empty() && said.model != query.model;
        const bool otherVersion = !query.version.empty() && said.version != query.version;
        const bool excluded = std::find(query.exclude.begin(), query.exclude.end(), said.server)
            != query.exclude.end();
        if (otherModel || otherVersion || excluded) {
            continue;
        }
        const ServerNotes &noted = notes(known);
        result.push_back(Option{.known = std::move(known),
                                .limit = noted.limit->limit(),
                                .suspects = noted.suspects,
                                .ejected = noted.ejectedUntil > now});
    }
    const bool allEjected = std::all_of(result.begin(), result.end(),
                                        [](const Option &option) { return option.ejected; });
    if (!allEjected) {
        std::erase_if(result, [](const Option &option) { return option.ejected; });
    }
    return result;
}

Outcome<Choice> Router::choose(const RouteQuery &query)
{
    return chooseAmong(query, optionsFor(query));
}

Outcome<Choice> Router::chooseAmong(const RouteQuery &query, const std::vector<Option> &ready)
{
    if (ready.empty()) {
        return noServer();
    }
    std::vector<const Option *> open;
    for (const Option &option : ready) {
        if (option.online() >= option.limit || (query.suspect && option.suspects > 0)) {
            continue;
        }
        open.push_back(&option);
    }
    if (open.empty()) {
        return overloaded(expectedWait(query.service, 0, ready));
    }
    const bool someFree = std::any_of(open.begin(), open.end(), [](const Option *option) {
        return option->total() < option->limit;
    });
    if (someFree) {
        std::erase_if(open, [](const Option *option) { return option->total() >= option->limit; });
    }
    return take(query, pick(query, open));
}

const Router::Option &Router::pick(const RouteQuery &query,
                                   const std::vector<const Option *> &open) const
{
    for (const Option *option : open) {
        if (!query.preferred.empty() && option->known.announcement.server == query.preferred) {
            return *option;
        }
    }
    if (query.suspect) {
        return **std::min_element(
            open.begin(), open.end(),
            [](const Option *left, const Option *right) { return left->total() < right->total(); });
    }
    std::vector<Candidate> candidates;
    candidates.reserve(open.size());
    for (const Option *option : open) {
        candidates.push_back(Candidate{.server = option->known.announcement.server,
                                       .inFlight = option->total(),
                                       .limit = option->limit});
    }
    const PolicyQuery policyQuery{.service = query.service, .prefixHash = query.prefixHash};
    const std::size_t index = hooks_.policy(policyQuery, candidates);
    return *open.at(std::min(index, open.size() - 1));
}

Choice Router::take(const RouteQuery &query, const Option &option)
{
    const ServerAnnouncement &said = option.known.announcement;
    Choice choice{.server = said.server,
                  .address = said.address,
                  .incarnation = said.incarnation,
                  .ticket = nextTicket_++};
    tickets_.emplace(choice.ticket,
                     Ticket{.server = said.server,
                            .service = query.service,
                            .suspect = query.suspect,
                            .answered = false,
                            .startedAt = clock_.monotonic()});
    ServerNotes &noted = notes_[said.server];
    noted.suspects += query.suspect ? 1 : 0;
    table_.changeInFlight(said.server, WorkClass::Online, 1);
    notePeak(said.server, noted);
    if (option.total() >= option.limit && hooks_.wantYield) {
        hooks_.wantYield(said.server, 1);
    }
    return choice;
}

std::uint64_t Router::acquire(const RouteQuery &query, Acquired done)
{
    const std::vector<Option> ready = optionsFor(query);
    std::list<Waiter> &queue = waiting_[query.service];
    Outcome<Choice> choice
        = queue.empty() ? chooseAmong(query, ready) : Outcome<Choice>(overloaded(leastRetryAfter));
    if (ready.empty()) {
        choice = noServer();
    }
    if (choice.ok() || choice.error().code != ResultCode::Overloaded) {
        done(std::move(choice));
        return 0;
    }
    const Milliseconds wait = expectedWait(query.service, queue.size(), ready);
    const bool tooLate = clock_.monotonic() + wait >= query.deadline;
    if (tooLate || queue.size() >= options_.maxQueuePerService) {
        done(overloaded(wait));
        return 0;
    }
    const std::uint64_t id = nextWaiter_++;
    queue.push_back(Waiter{.id = id, .query = query, .done = std::move(done)});
    serveWaiters(query.service);
    return id;
}

void Router::cancel(std::uint64_t waiter)
{
    for (auto &[service, queue] : waiting_) {
        queue.remove_if([&](const Waiter &entry) { return entry.id == waiter; });
    }
}

Milliseconds Router::expectedWait(const ServiceName &service, std::size_t ahead,
                                  const std::vector<Option> &ready) const
{
    const auto held = heldMs_.find(service);
    double places = 0;
    for (const Option &option : ready) {
        places += option.limit;
    }
    if (held == heldMs_.end() || places == 0) {
        return Milliseconds(0);
    }
    const double waitMs = held->second * (static_cast<double>(ahead) + 1) / places;
    return Milliseconds(static_cast<std::int64_t>(waitMs));
}

void Router::serveWaiters(const ServiceName &service)
{
    std::list<Waiter> &queue = waiting_[service];
    for (auto position = queue.begin(); position != queue.end();) {
        Outcome<Choice> choice = choose(position->query);
        if (!choice.ok() && choice.error().code == ResultCode::Overloaded) {
            if (position->query.exclude.empty() && !position->query.suspect) {
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
    for (auto &[service, queue] : waiting_) {
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
        done(deadlinePassed());
    }
}

void Router::firstByte(const Choice &choice)
{
    const auto position = tickets_.find(choice.ticket);
    if (position == tickets_.end() || position->second.answered) {
        return;
    }
    Ticket &ticket = position->second;
    ticket.answered = true;
    ServerNotes &noted = notes_[ticket.server];
    if (!noted.limit) {
        return;
    }
    const InFlight own = table_.ownInFlight(ticket.server);
    const InFlight others = table_.othersInFlight(ticket.server);
    noted.limit->answered(between(ticket.startedAt, clock_.monotonic()),
                          own.online + own.batch + others.online + others.batch);
}

void Router::finished(const Choice &choice, RouteEnd end)
{
    const auto position = tickets_.find(choice.ticket);
    if (position == tickets_.end()) {
        return;
    }
    const Ticket ticket = position->second;
    tickets_.erase(position);
    table_.changeInFlight(ticket.server, WorkClass::Online, -1);
    ServerNotes &noted = notes_[ticket.server];
    noted.suspects -= ticket.suspect && noted.suspects > 0 ? 1 : 0;
    if (noted.incarnation == choice.incarnation) {
        noteEnd(ticket, end);
    }
    serveWaiters(ticket.service);
}

void Router::readmit(const ServerId &server)
{
    const auto noted = notes_.find(server);
    if (noted != notes_.end()) {
        noted->second.ejectedUntil = MonotonicTime{};
    }
}

void Router::noteEnd(const Ticket &ticket, RouteEnd end)
{
    ServerNotes &noted = notes_[ticket.server];
    switch (end) {
    case RouteEnd::Succeeded: {
        noted.errorsInRow = 0;
        const auto heldFor
            = static_cast<double>(between(ticket.startedAt, clock_.monotonic()).count());
        const auto [mean, isNew] = heldMs_.try_emplace(ticket.service, heldFor);
        mean->second += isNew ? 0 : heldWeight * (heldFor - mean->second);
        return;
    }
    case RouteEnd::Refused:
        if (noted.limit) {
            noted.limit->refused();
        }
        return;
    case RouteEnd::ServerError:
        if (++noted.errorsInRow < options_.errorsToEject) {
            return;
        }
        break;
    case RouteEnd::ConnectFailed:
    case RouteEnd::Lost:
        break;
    case RouteEnd::Abandoned:
        return;
    }
    noted.errorsInRow = 0;
    noted.ejectedUntil = clock_.monotonic() + options_.ejection;
}

void Router::tick()
{
    for (auto &[server, noted] : notes_) {
        notePeak(server, noted);
    }
    expireWaiters();
    std::vector<ServiceName> services;
    for (const auto &[service, queue] : waiting_) {
        if (!queue.empty()) {
            services.push_back(service);
        }
    }
    for (const ServiceName &service : services) {
        serveWaiters(service);
    }
    std::erase_if(waiting_, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(notes_, [&](const auto &entry) { return !table_.find(entry.first); });
}

void Router::batchChanged(const ServerId &server, int change)
{
    table_.changeInFlight(server, WorkClass::Batch, change);
}

std::uint32_t Router::capacity(const ServerId &server) const
{
    const auto noted = notes_.find(server);
    if (noted != notes_.end() && noted->second.limit) {
        return noted->second.limit->limit();
    }
    const auto known = table_.find(server);
    const std::uint32_t slots = known ? known->announcement.slots : 0;
    return ConcurrencyLimit(options_.concurrency, slots).limit();
}

std::uint32_t Router::onlineInFlight(const ServerId &server) const
{
    return table_.ownInFlight(server).online + table_.othersInFlight(server).online;
}

void Router::notePeak(const ServerId &server, ServerNotes &noted)
{
    const MonotonicTime now = clock_.monotonic();
    const std::uint32_t value = onlineInFlight(server);
    while (!noted.peak.empty() && noted.peak.back().value <= value) {
        noted.peak.pop_back();
    }
    noted.peak.push_back(PeakSample{.at = now, .value = value});
    while (noted.peak.front().at + options_.peakWindow < now) {
        noted.peak.pop_front();
    }
}

std::uint32_t Router::onlinePeak(const ServerId &server) const
{
    const auto noted = notes_.find(server);
    const std::uint32_t now = onlineInFlight(server);
    if (noted == notes_.end() || noted->second.peak.empty()) {
        return now;
    }
    return std::max(now, noted->second.peak.front().value);
}

bool Router::ejected(const ServerId &server) const
{
    const auto noted = notes_.find(server);
    return noted != notes_.end() && noted->second.ejectedUntil > clock_.monotonic();
}

std::size_t Router::queued() const
{
    std::size_t result = 0;
    for (const auto &[service, queue] : waiting_) {
        result += queue.size();
    }
    return result;
}

} // namespace persimmonlb
