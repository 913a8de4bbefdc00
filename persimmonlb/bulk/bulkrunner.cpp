#include "persimmonlb/bulk/bulkrunner.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr double smoothingFactor = 0.1; ///< Weight of the newest value in a moving average.
/// HTTP status by which a server reports that an item can never succeed.
constexpr std::uint16_t unprocessableContent = 422;

void smooth(double &average, double observed)
{
    average += smoothingFactor * (observed - average);
}

} // namespace

BulkRunner::BulkRunner(BulkRunnerOptions options, Clock clock, SlotBroker &broker,
                       CrashLedger &crashes, Metrics &metrics, BulkRunnerHooks hooks)
    : options_(options)
    , clock_(std::move(clock))
    , broker_(broker)
    , crashes_(crashes)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
    , eventsPerItem_(options.initialEventsPerItem)
    , msPerEvent_(options.initialMsPerEvent)
{
}

BulkRunner::~BulkRunner() = default;

std::size_t BulkRunner::runCount() const
{
    return runs_.size();
}

// ---- selection --------------------------------------------------------------------------------

Milliseconds BulkRunner::remainingTime(std::uint64_t events) const
{
    const double remainingEvents = std::max(1.0, eventsPerItem_ - static_cast<double>(events));
    return Milliseconds(static_cast<std::int64_t>(remainingEvents * msPerEvent_));
}

bool BulkRunner::isOverlong(std::uint64_t events) const
{
    return static_cast<double>(events) >= eventsPerItem_;
}

const BulkRunner::Progress *BulkRunner::findProgress(const ItemKey &key) const
{
    const auto found = progress_.find(key);
    return found == progress_.end() ? nullptr : &found->second;
}

void BulkRunner::setLocalState(const ItemKey &key, LocalState state)
{
    std::vector<LocalItem> &items = localItems_[key.job];
    if (items.size() <= key.index) {
        items.resize(key.index + 1);
    }
    items[key.index] = LocalItem{state, findProgress(key)};
}

void BulkRunner::eraseProgress(const ItemKey &key)
{
    const auto items = localItems_.find(key.job);
    if (items != localItems_.end() && key.index < items->second.size()) {
        items->second[key.index].progress = nullptr;
    }
    progress_.erase(key);
}

void BulkRunner::eraseRun(std::map<ItemKey, Run>::iterator run)
{
    setLocalState(run->first, LocalState::Idle);
    runs_.erase(run);
}

void BulkRunner::considerJob(const JobId &id, const BulkJob &job, const Search &search,
                             std::optional<Candidate> &best) const
{
    const auto known = localItems_.find(id);
    const auto timeUntilDue = std::chrono::duration_cast<Milliseconds>(job.dueAt - search.wall);
    bool untrackedSeen = false;
    for (std::uint32_t index = 0; index < job.items.size(); ++index) {
        const LocalItem item = known == localItems_.end() || known->second.size() <= index
            ? LocalItem()
            : known->second[index];
        // All untracked items of a job have the same cost, so the first one stands for all.
        const bool isUntracked = item.state == LocalState::Untracked;
        const bool skip = item.state == LocalState::Running || (isUntracked && untrackedSeen);
        if (skip || job.items[index].phase != BulkItemPhase::Waiting
            || job.items[index].tokens > search.limits.maxTokens) {
            continue;
        }
        const ItemKey key{id, index};
        const Progress *progress = item.progress != nullptr ? item.progress : findProgress(key);
        if (progress != nullptr
            && (progress->isUnsendable || search.monotonic < progress->notBefore)) {
            continue;
        }
        const Milliseconds remaining
            = remainingTime(progress == nullptr ? 0 : progress->eventCount);
        const Milliseconds slack = timeUntilDue - remaining;
        if (search.limits.urgentOnly && !isUrgent(slack)) {
            continue;
        }
        const bool willBeLate = slack.count() < 0;
        const auto cost = remaining
            + Milliseconds(static_cast<std::int64_t>(options_.slackWeight
                                                     * static_cast<double>(slack.count())));
        const bool isBetter
            = !best || std::pair(willBeLate, cost) < std::pair(best->willBeLate, best->cost);
        // The look-ups come last: few items are better than all before them.
        if ((!isBetter && !isUntracked) || unrecordedOutcomes_.contains(key)
            || runs_.contains(key)) {
            continue;
        }
        untrackedSeen = untrackedSeen || isUntracked;
        if (isBetter) {
            best = Candidate{key, slack, willBeLate, cost};
        }
    }
}

const Route *BulkRunner::routeOf(const BulkJob &job, const RouteTable &routes)
{
    const auto found = std::ranges::find_if(routes.routes(), [&job](const Route &route) {
        return route.name == job.route && route.host == job.host;
    });
    return found == routes.routes().end() ? nullptr : &*found;
}

std::optional<BulkRunner::Candidate> BulkRunner::nextCandidate(const BulkTable &table,
                                                               const ServiceName &service,
                                                               const RouteTable &routes,
                                                               const SearchLimits &limits) const
{
    // Caches the result by route: jobs use few routes, and there may be thousands of routes.
    std::map<std::pair<std::string_view, std::string_view>, bool> servesByRoute;
    const auto isServed = [&](const BulkJob &job) {
        const auto [entry, isNew] = servesByRoute.try_emplace({job.route, job.host}, false);
        if (!isNew) {
            return entry->second;
        }
        const Route *route = routeOf(job, routes);
        entry->second = route != nullptr
            && std::ranges::any_of(route->services, [&service](const WeightedService &choice) {
                            return choice.service == service && choice.weight > 0;
                        });
        return entry->second;
    };
    const Search search{clock_.monotonic(), clock_.wall(), limits};
    std::optional<Candidate> best;
    for (const auto &[id, job] : table.jobs()) {
        if (job.isOpen() && isServed(job)) {
            considerJob(id, job, search, best);
        }
    }
    return best;
}

bool BulkRunner::isUrgent(Milliseconds slack) const
{
    return slack.count() >= 0 && slack < options_.urgentSlack;
}

std::optional<BulkRunner::SearchLimits> BulkRunner::searchLimits(const ServiceName &service)
{
    SearchLimits limits{.urgentOnly = broker_.freeSlotsForBatch(service, false) == 0};
    if (limits.urgentOnly
        && (clock_.monotonic() < nextUrgentSearch_[service]
            || broker_.freeSlotsForBatch(service, true) == 0)) {
        return std::nullopt;
    }
    const auto maxTokens = broker_.maxBatchTokens(service);
    if (!maxTokens) {
        return std::nullopt;
    }
    limits.maxTokens = *maxTokens;
    return limits;
}

void BulkRunner::startItems(const ServiceName &service)
{
    const BulkTable *table = hooks_.table();
    const auto routes = hooks_.routes();
    if (table == nullptr || !routes) {
        return;
    }
    for (std::size_t started = 0; started < options_.maxStartsPerCall; ++started) {
        const auto limits = searchLimits(service);
        if (!limits) {
            return;
        }
        const auto candidate = nextCandidate(*table, service, *routes, *limits);
        if (!candidate || startRun(*table, *candidate, service) == StartResult::NoSlot) {
            nextUrgentSearch_[service] = clock_.monotonic() + options_.searchRetryDelay;
            return;
        }
    }
}

BulkRunner::StartResult BulkRunner::startRun(const BulkTable &table, const Candidate &candidate,
                                             const ServiceName &service)
{
    const ItemKey &key = candidate.key;
    const auto job = table.jobs().find(key.job);
    const std::uint64_t tokens = job->second.items[key.index].tokens;
    const auto server = broker_.takeForBatch(service, tokens, isUrgent(candidate.slack));
    if (!server) {
        return StartResult::NoSlot;
    }
    const auto spec = table.spec(key.job, key.index);
    if (!spec) {
        LogLine(LogLevel::Error, "bulk_item_unreadable")
            .add("job", key.job.value)
            .add("index", static_cast<std::int64_t>(key.index))
            .write();
        broker_.batchEnded({*server, tokens}, SlotOutcome::Abandoned);
        progress_[key].notBefore = clock_.monotonic() + options_.failureBackoff;
        setLocalState(key, LocalState::Idle);
        return StartResult::Unreadable;
    }
    Progress &progress = loadProgress(table, key);
    progress.events.reopen();
    if (progress.fingerprint == 0) {
        progress.fingerprint = requestFingerprint(spec->path, spec->body);
    }
    const std::uint64_t runNumber = nextRunNumber_++;
    HttpRequest request
        = hooks_.codec.encode(hooks_.itemRequest(job->second.host, *spec),
                              RelayAttempt{.server = *server,
                                           .timeLeft = Milliseconds(0),
                                           .lastEventId = progress.events.lastId()});
    updateLastRun(key, *server);
    Run &run = runs_[key];
    run.service = service;
    run.slot = {*server, tokens};
    run.serverStartedAtMs = broker_.startTimeMsOf(*server);
    run.dueAt = job->second.dueAt;
    run.startedAt = clock_.monotonic();
    run.lastProgressAt = run.startedAt;
    run.eventCountAtStart = progress.eventCount;
    run.progress = &progress;
    run.runNumber = runNumber;
    setLocalState(key, LocalState::Running);
    nextYieldSearch_.erase(service);
    run.exchange = hooks_.send(broker_.addressOf(*server), std::move(request), Milliseconds(0),
                               exchangeHooks(key, runNumber));
    metrics_.count("persimmonlb_bulk_runs_total", {});
    return StartResult::Started;
}

BulkRunner::Progress &BulkRunner::loadProgress(const BulkTable &table, const ItemKey &key)
{
    Progress &progress = progress_[key];
    if (progress.eventCount > 0) {
        return progress;
    }
    if (const auto saved = table.progress(key.job, key.index)) {
        progress.events = EventReader(saved->lastEventId);
        progress.output = saved->output;
        progress.eventCount = saved->count;
        progress.savedEventCount = saved->count;
        progress.savedBytes = saved->output.size();
    }
    return progress;
}

// ---- one run ----------------------------------------------------------------------------------

BulkRunner::Run *BulkRunner::findRun(const ItemKey &key, std::uint64_t runNumber)
{
    const auto found = runs_.find(key);
    return found == runs_.end() || found->second.runNumber != runNumber ? nullptr : &found->second;
}

const BulkItem *BulkRunner::findItem(const ItemKey &key) const
{
    const BulkTable *table = hooks_.table();
    if (table == nullptr) {
        return nullptr;
    }
    const auto job = table->jobs().find(key.job);
    return job == table->jobs().end() ? nullptr : &job->second.items[key.index];
}

HttpExchangeHooks BulkRunner::exchangeHooks(const ItemKey &key, std::uint64_t runNumber)
{
    const std::weak_ptr<bool> alive = alive_;
    HttpExchangeHooks hooks;
    hooks.head = [this, alive, key, runNumber](const HttpResponseHead &head) {
        Run *run = alive.expired() ? nullptr : findRun(key, runNumber);
        if (run == nullptr) {
            return;
        }
        if (hooks_.codec.reportsLeaving(head)) {
            hooks_.reportServerLeaving({run->slot.server, run->serverStartedAtMs});
        }
        const BulkItem *item = findItem(key);
        if (item == nullptr) {
            return;
        }
        run->status = head.status;
        run->responseClass = hooks_.codec.classify(item->id, head);
        if (run->responseClass == ResponseClass::Success
            || run->responseClass == ResponseClass::Failure) {
            progress_[key].refusedRuns = 0;
        }
        const auto limit = hooks_.codec.requestLimitPerKs(head);
        if (limit && run->responseClass != ResponseClass::Mismatched) {
            hooks_.reportServerLimit({.server = run->slot.server,
                                      .bornMs = run->serverStartedAtMs,
                                      .requestsPerKs = *limit});
        }
    };
    hooks.chunk = [this, alive, key, runNumber](const std::string &chunk) {
        if (!alive.expired()) {
            handleChunk(key, runNumber, chunk);
        }
    };
    hooks.end = [this, alive, key, runNumber](const HttpExchangeEnd &end) {
        if (!alive.expired()) {
            handleExchangeEnd(key, runNumber, end);
        }
    };
    return hooks;
}

void BulkRunner::handleChunk(const ItemKey &key, std::uint64_t runNumber, std::string_view chunk)
{
    Run *run = findRun(key, runNumber);
    if (run == nullptr || run->responseClass != ResponseClass::Success) {
        return;
    }
    Progress &progress = progress_[key];
    for (const StreamEvent &event : progress.events.feed(chunk)) {
        progress.output += progress.eventCount > 0 ? "\n" : "";
        progress.output += event.data;
        ++progress.eventCount;
        run->lastProgressAt = clock_.monotonic();
    }
    if (progress.output.size() > options_.maxOutputBytes) {
        progress.events = EventReader();
        progress.output = std::string();
        progress.eventCount = 0;
        progress.savedEventCount = 0;
        progress.savedBytes = 0;
        failRun(key, SlotOutcome::Failed, "the output exceeds the maximum length",
                options_.failureBackoff);
        return;
    }
    if (progress.events.isBroken()) {
        failRun(key, SlotOutcome::Failed, "an event in the stream is missing or too long",
                options_.refusalBackoff);
    }
}

void BulkRunner::handleExchangeEnd(const ItemKey &key, std::uint64_t runNumber,
                                   const HttpExchangeEnd &end)
{
    Run *run = findRun(key, runNumber);
    if (run == nullptr) {
        return;
    }
    if (end.code == ResultCode::MalformedRequest && end.sendState == SendState::NothingSent) {
        handleUnsendable(key, end.message);
        return;
    }
    if (end.code != ResultCode::Ok) {
        const bool unreachable = end.sendState == SendState::NothingSent;
        Progress &progress = progress_[key];
        const bool isAborted = !unreachable && progress.eventCount == run->eventCountAtStart;
        failRun(key, unreachable ? SlotOutcome::Unreachable : SlotOutcome::Failed, end.message,
                isAborted ? backoffAfterAbort(progress) : Milliseconds(0));
        return;
    }
    if (run->responseClass == ResponseClass::Success
        || run->responseClass == ResponseClass::Failure) {
        crashes_.recordAnsweredRun(progress_[key].fingerprint);
        progress_[key].abortedRuns = 0;
    }
    switch (run->responseClass) {
    case ResponseClass::NotRun:
        handleRefusal(key);
        return;
    case ResponseClass::Mismatched:
        failRun(key, SlotOutcome::Failed, "the response belongs to another request",
                Milliseconds(0));
        return;
    case ResponseClass::Failure:
        break;
    case ResponseClass::Success:
        completeRun(key);
        return;
    }
    const std::uint16_t status = run->status;
    progress_[key].notBefore = clock_.monotonic() + options_.failureBackoff;
    recordOutcome(
        key, status == unprocessableContent ? BulkItemPhase::DeadLettered : BulkItemPhase::Waiting,
        {}, "the server answered with status " + std::to_string(status));
    endRun(key, status == unprocessableContent ? SlotOutcome::Abandoned : SlotOutcome::Failed);
}

void BulkRunner::handleRefusal(const ItemKey &key)
{
    constexpr std::uint32_t maxDoublings = 10;
    Progress &progress = progress_[key];
    const auto doublings = std::min(progress.refusedRuns, maxDoublings);
    ++progress.refusedRuns;
    const bool isOfServer = progress.refusedRuns < options_.refusalsOfItem;
    failRun(key, isOfServer ? SlotOutcome::Refused : SlotOutcome::Abandoned,
            "the server did not run the request",
            std::min(options_.refusalBackoff * (1U << doublings), options_.maxRefusalBackoff));
}

void BulkRunner::handleUnsendable(const ItemKey &key, std::string_view why)
{
    progress_[key].isUnsendable = true;
    failRun(key, SlotOutcome::Abandoned, why, Milliseconds(0));
}

Milliseconds BulkRunner::backoffAfterAbort(Progress &progress) const
{
    constexpr std::uint32_t maxDoublings = 10;
    ++progress.abortedRuns;
    if (progress.abortedRuns <= options_.abortsWithoutBackoff) {
        return Milliseconds(0);
    }
    const auto doublings
        = std::min(progress.abortedRuns - options_.abortsWithoutBackoff - 1, maxDoublings);
    return std::min(options_.failureBackoff * (1U << doublings), options_.maxAbortBackoff);
}

void BulkRunner::completeRun(const ItemKey &key)
{
    const Progress &progress = progress_[key];
    if (progress.events.isInsideEvent() || progress.eventCount == 0) {
        failRun(key, SlotOutcome::Failed, "the stream ended without an event or inside one",
                Milliseconds(0));
        return;
    }
    updateMsPerEvent(runs_.at(key), progress);
    smooth(eventsPerItem_, static_cast<double>(progress.eventCount));
    // The outcome is recorded first: endRun() returns the slot, which may start this item again.
    recordOutcome(key, BulkItemPhase::Completed, progress.output, "complete");
    endRun(key, SlotOutcome::Completed);
}

void BulkRunner::updateLastRun(const ItemKey &key, const ServerId &server)
{
    const auto progress = progress_.find(key);
    if (progress != progress_.end()) {
        progress->second.lastServer = server;
        progress->second.lastRunAt = clock_.monotonic();
    }
}

void BulkRunner::updateMsPerEvent(const Run &run, const Progress &progress)
{
    const std::uint64_t events = progress.eventCount - run.eventCountAtStart;
    if (events == 0) {
        return;
    }
    const auto elapsedMs
        = std::chrono::duration<double, std::milli>(clock_.monotonic() - run.startedAt).count();
    smooth(msPerEvent_, elapsedMs / static_cast<double>(events));
}

void BulkRunner::endRun(const ItemKey &key, SlotOutcome outcome)
{
    const auto found = runs_.find(key);
    // The run may have yielded its slot already, while the end of another run was processed.
    if (found == runs_.end()) {
        return;
    }
    const BatchRunSlot slot = found->second.slot;
    updateLastRun(key, slot.server);
    eraseRun(found);
    broker_.batchEnded(slot, outcome);
}

void BulkRunner::failRun(const ItemKey &key, SlotOutcome outcome, std::string_view why,
                         Milliseconds backoff)
{
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        return;
    }
    LogLine(LogLevel::Info, "bulk_run_failed")
        .add("job", key.job.value)
        .add("index", static_cast<std::int64_t>(key.index))
        .add("server", found->second.slot.server.value)
        .add("events", static_cast<std::int64_t>(progress_[key].eventCount))
        .add("why", why)
        .write();
    metrics_.count("persimmonlb_bulk_runs_failed_total", {});
    progress_[key].notBefore = clock_.monotonic() + backoff;
    endRun(key, outcome);
}

// ---- outcomes ---------------------------------------------------------------------------------

void BulkRunner::recordOutcome(const ItemKey &key, BulkItemPhase phase, std::string output,
                               std::string_view why)
{
    if (phase == BulkItemPhase::DeadLettered || phase == BulkItemPhase::Waiting) {
        LogLine(LogLevel::Info, "bulk_item_failed")
            .add("job", key.job.value)
            .add("index", static_cast<std::int64_t>(key.index))
            .add("final", phase == BulkItemPhase::DeadLettered ? "yes" : "no")
            .add("why", why)
            .write();
    }
    const BulkItem *item = findItem(key);
    if (item == nullptr) {
        return;
    }
    if (!runs_.contains(key)) {
        setLocalState(key, LocalState::Idle);
    }
    unrecordedOutcomes_[key] = BulkOutcome{.index = key.index,
                                           .phase = phase,
                                           .attempt = item->attempts + 1,
                                           .fromCount = 0,
                                           .output = std::move(output)};
    proposeOutcome(key);
}

void BulkRunner::proposeOutcome(const ItemKey &key)
{
    nextProposal_[key] = clock_.monotonic() + options_.proposalRetryDelay;
    BulkOutcome outcome = unrecordedOutcomes_.at(key);
    const Progress &progress = progress_[key];
    if (outcome.phase == BulkItemPhase::Completed && progress.savedEventCount > 0) {
        outcome.fromCount = progress.savedEventCount;
        outcome.output.erase(0, progress.savedBytes);
    }
    const RecordBulk command{key.job, {std::move(outcome)}, clock_.wall()};
    const std::weak_ptr<bool> alive = alive_;
    hooks_.propose(command, [this, alive, key](const Outcome<Reply> &reply) {
        if (alive.expired() || !reply.ok()) {
            return;
        }
        const auto found = unrecordedOutcomes_.find(key);
        if (found == unrecordedOutcomes_.end()) {
            return;
        }
        const auto *plain = std::get_if<PlainReply>(&reply.value());
        if (plain != nullptr && plain->code == ResultCode::MalformedRequest) {
            // The output does not continue the saved progress, so the next proposal sends all of
            // it.
            progress_[key].savedEventCount = 0;
            progress_[key].savedBytes = 0;
            return;
        }
        if (found->second.phase != BulkItemPhase::Waiting) {
            eraseProgress(key);
        }
        unrecordedOutcomes_.erase(found);
        nextProposal_.erase(key);
    });
}

} // namespace persimmonlb
