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

constexpr double smoothing = 0.1; ///< Weight of the newest observation.
constexpr std::uint16_t unprocessable = 422; ///< The server says that the item can never be done.

void smooth(double &average, double observed)
{
    average += smoothing * (observed - average);
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
    , eventsPerItem_(options.initialEvents)
    , eventMs_(options.initialEventMs)
{
}

BulkRunner::~BulkRunner() = default;

std::size_t BulkRunner::running() const
{
    return runs_.size();
}

// ---- choice -----------------------------------------------------------------------------------

Milliseconds BulkRunner::remaining(std::uint64_t events) const
{
    const double left = std::max(1.0, eventsPerItem_ - static_cast<double>(events));
    return Milliseconds(static_cast<std::int64_t>(left * eventMs_));
}

bool BulkRunner::isOverlong(std::uint64_t events) const
{
    return static_cast<double>(events) >= eventsPerItem_;
}

bool BulkRunner::mayRun(const Key &key) const
{
    if (runs_.contains(key) || unrecorded_.contains(key)) {
        return false;
    }
    const auto known = progress_.find(key);
    return known == progress_.end()
        || (clock_.monotonic() >= known->second.notBefore
            && !crashes_.isBlocked(known->second.fingerprint));
}

void BulkRunner::touch(const Key &key, Touch touch)
{
    std::vector<Touch> &touches = touches_[key.job];
    if (touches.size() <= key.index) {
        touches.resize(key.index + 1, Touch::None);
    }
    touches[key.index] = touch;
}

void BulkRunner::eraseRun(std::map<Key, Run>::iterator run)
{
    touch(run->first, Touch::Idle);
    runs_.erase(run);
}

void BulkRunner::choose(const JobId &id, const BulkJob &job, WallTime now,
                        std::optional<Candidate> &best) const
{
    const auto known = touches_.find(id);
    const auto left = std::chrono::duration_cast<Milliseconds>(job.dueAt - now);
    bool untouchedSeen = false;
    for (std::uint32_t index = 0; index < job.items.size(); ++index) {
        const Touch touch = known == touches_.end() || known->second.size() <= index
            ? Touch::None
            : known->second[index];
        // Of those without events one is as good as the other.
        const bool skip = touch == Touch::Runs || (touch == Touch::None && untouchedSeen);
        if (skip || job.items[index].phase != BulkItemPhase::Waiting) {
            continue;
        }
        const Key key{id, index};
        if (!mayRun(key)) {
            continue;
        }
        untouchedSeen = untouchedSeen || touch == Touch::None;
        const auto progress = progress_.find(key);
        const Milliseconds rest
            = remaining(progress == progress_.end() ? 0 : progress->second.count);
        const Milliseconds slack = left - rest;
        const bool hopeless = slack.count() < 0;
        const auto cost = rest
            + Milliseconds(static_cast<std::int64_t>(options_.slackShare
                                                     * static_cast<double>(slack.count())));
        if (!best || std::pair(hopeless, cost) < std::pair(best->hopeless, best->cost)) {
            best = Candidate{key, slack, hopeless, cost};
        }
    }
}

std::optional<BulkRunner::Candidate>
BulkRunner::next(const BulkTable &table, const ServiceName &service, const RouteTable &routes) const
{
    // Jobs come over few routes, and there may be thousands of routes.
    std::map<std::pair<std::string_view, std::string_view>, bool> served;
    const auto mayServe = [&](const BulkJob &job) {
        const auto [known, isNew] = served.try_emplace({job.route, job.host}, false);
        if (!isNew) {
            return known->second;
        }
        for (const Route &route : routes.routes()) {
            if (route.name != job.route || route.host != job.host) {
                continue;
            }
            known->second
                = std::ranges::any_of(route.services, [&service](const WeightedService &choice) {
                      return choice.service == service && choice.weight > 0;
                  });
        }
        return known->second;
    };
    const WallTime now = clock_.wall();
    std::optional<Candidate> best;
    for (const auto &[id, job] : table.jobs()) {
        if (job.isOpen() && mayServe(job)) {
            choose(id, job, now, best);
        }
    }
    return best;
}

void BulkRunner::startItems(const ServiceName &service)
{
    const BulkTable *table = hooks_.table();
    const auto routes = hooks_.routes();
    if (table == nullptr || !routes) {
        return;
    }
    for (std::size_t started = 0; started < options_.maxStartsAtOnce; ++started) {
        const bool urgentOnly = broker_.roomForBatch(service, false) == 0;
        const MonotonicTime now = clock_.monotonic();
        if (urgentOnly
            && (now < nothingUrgentUntil_[service] || broker_.roomForBatch(service, true) == 0)) {
            return;
        }
        const auto candidate = next(*table, service, *routes);
        if (!candidate || !start(*table, *candidate, service)) {
            nothingUrgentUntil_[service] = now + options_.searchPause;
            return;
        }
    }
}

bool BulkRunner::start(const BulkTable &table, const Candidate &candidate,
                       const ServiceName &service)
{
    const Key &key = candidate.key;
    const auto job = table.jobs().find(key.job);
    const std::uint64_t tokens = job->second.items[key.index].tokens;
    const bool urgent = !candidate.hopeless && candidate.slack < options_.urgentSlack;
    const auto server = broker_.takeForBatch(service, tokens, urgent);
    if (!server) {
        return false;
    }
    const auto spec = table.spec(key.job, key.index);
    if (!spec) {
        LogLine(LogLevel::Error, "bulk_item_unreadable")
            .add("job", key.job.value)
            .add("index", static_cast<std::int64_t>(key.index))
            .write();
        broker_.batchEnded({*server, tokens}, SlotOutcome::Abandoned);
        progress_[key].notBefore = clock_.monotonic() + options_.failurePause;
        touch(key, Touch::Idle);
        return false;
    }
    Progress &progress = progressOf(table, key);
    progress.events.reopen();
    if (progress.fingerprint == 0) {
        progress.fingerprint = requestFingerprint(spec->path, spec->body);
    }
    const std::uint64_t number = nextRun_++;
    HttpRequest request
        = hooks_.codec.encode(hooks_.itemRequest(job->second.host, *spec),
                              RelayAttempt{.server = *server,
                                           .timeLeft = Milliseconds(0),
                                           .lastEventId = progress.events.lastId()});
    noteRun(key, *server);
    Run &run = runs_[key];
    run.service = service;
    run.slot = {*server, tokens};
    run.bornMs = broker_.bornOf(*server);
    run.dueAt = job->second.dueAt;
    run.startedAt = clock_.monotonic();
    run.progressAt = run.startedAt;
    run.startedWith = progress.count;
    run.progress = &progress;
    run.number = number;
    touch(key, Touch::Runs);
    nothingToYieldUntil_.erase(service);
    run.exchange = hooks_.send(broker_.addressOf(*server), std::move(request), Milliseconds(0),
                               exchangeHooks(key, number));
    metrics_.count("persimmonlb_bulk_runs_total", {});
    return true;
}

BulkRunner::Progress &BulkRunner::progressOf(const BulkTable &table, const Key &key)
{
    Progress &progress = progress_[key];
    if (progress.count > 0) {
        return progress;
    }
    if (const auto saved = table.progress(key.job, key.index)) {
        progress.events = EventReader(saved->lastEventId);
        progress.output = saved->output;
        progress.count = saved->count;
        progress.savedCount = saved->count;
        progress.savedBytes = saved->output.size();
    }
    return progress;
}

// ---- one run ----------------------------------------------------------------------------------

BulkRunner::Run *BulkRunner::find(const Key &key, std::uint64_t number)
{
    const auto found = runs_.find(key);
    return found == runs_.end() || found->second.number != number ? nullptr : &found->second;
}

const BulkItem *BulkRunner::itemOf(const Key &key) const
{
    const BulkTable *table = hooks_.table();
    if (table == nullptr) {
        return nullptr;
    }
    const auto job = table->jobs().find(key.job);
    return job == table->jobs().end() ? nullptr : &job->second.items[key.index];
}

HttpExchangeHooks BulkRunner::exchangeHooks(const Key &key, std::uint64_t number)
{
    const std::weak_ptr<bool> alive = alive_;
    HttpExchangeHooks hooks;
    hooks.head = [this, alive, key, number](const HttpResponseHead &head) {
        Run *run = alive.expired() ? nullptr : find(key, number);
        if (run == nullptr) {
            return;
        }
        if (hooks_.codec.reportsLeaving(head)) {
            hooks_.serverLeaves({run->slot.server, run->bornMs});
        }
        const BulkItem *item = itemOf(key);
        if (item == nullptr) {
            return;
        }
        run->status = head.status;
        run->answerClass = hooks_.codec.classify(item->id, head);
    };
    hooks.chunk = [this, alive, key, number](const std::string &chunk) {
        if (!alive.expired()) {
            chunkArrived(key, number, chunk);
        }
    };
    hooks.end = [this, alive, key, number](const HttpExchangeEnd &end) {
        if (!alive.expired()) {
            exchangeEnded(key, number, end);
        }
    };
    return hooks;
}

void BulkRunner::chunkArrived(const Key &key, std::uint64_t number, std::string_view chunk)
{
    Run *run = find(key, number);
    if (run == nullptr || run->answerClass != ResponseClass::Success) {
        return;
    }
    Progress &progress = progress_[key];
    for (const StreamEvent &event : progress.events.feed(chunk)) {
        progress.output += progress.count > 0 ? "\n" : "";
        progress.output += event.data;
        ++progress.count;
        run->progressAt = clock_.monotonic();
    }
    if (progress.output.size() > options_.maxOutputBytes) {
        progress.events = EventReader();
        progress.output = std::string();
        progress.count = 0;
        progress.savedCount = 0;
        progress.savedBytes = 0;
        runFailed(key, SlotOutcome::Failed, "the output is too long", options_.failurePause);
        return;
    }
    if (progress.events.isBroken()) {
        runFailed(key, SlotOutcome::Failed, "an event is missing or too long",
                  options_.refusalPause);
    }
}

void BulkRunner::exchangeEnded(const Key &key, std::uint64_t number, const HttpExchangeEnd &end)
{
    Run *run = find(key, number);
    if (run == nullptr) {
        return;
    }
    if (end.code != ResultCode::Ok) {
        const bool unreachable = end.sendState == SendState::NothingSent;
        // A request that crashes servers does so before its first event; others lose a server that
        // they used for a while, and go on elsewhere.
        if (!unreachable && progress_[key].count == run->startedWith) {
            crashes_.noteBroken(progress_[key].fingerprint, run->slot.server);
        }
        runFailed(key, unreachable ? SlotOutcome::Unreachable : SlotOutcome::Failed, end.message,
                  Milliseconds(0));
        return;
    }
    if (run->answerClass == ResponseClass::Success || run->answerClass == ResponseClass::Failure) {
        crashes_.noteSurvived(progress_[key].fingerprint);
    }
    switch (run->answerClass) {
    case ResponseClass::NotRun:
        runFailed(key, SlotOutcome::Refused, "the server did not run it", options_.refusalPause);
        return;
    case ResponseClass::Mismatched:
        runFailed(key, SlotOutcome::Failed, "an answer to another request", Milliseconds(0));
        return;
    case ResponseClass::Failure:
        break;
    case ResponseClass::Success:
        completed(key);
        return;
    }
    const std::uint16_t status = run->status;
    progress_[key].notBefore = clock_.monotonic() + options_.failurePause;
    record(key, status == unprocessable ? BulkItemPhase::DeadLettered : BulkItemPhase::Waiting, {},
           "status " + std::to_string(status));
    endRun(key, status == unprocessable ? SlotOutcome::Abandoned : SlotOutcome::Failed);
}

void BulkRunner::completed(const Key &key)
{
    const Progress &progress = progress_[key];
    if (progress.events.isInsideEvent() || progress.count == 0) {
        runFailed(key, SlotOutcome::Failed, "the stream ended inside an event", Milliseconds(0));
        return;
    }
    noteSpeed(runs_.at(key), progress);
    smooth(eventsPerItem_, static_cast<double>(progress.count));
    // Recorded first: a slot that is given back may be offered to this item at once.
    record(key, BulkItemPhase::Completed, progress.output, "complete");
    endRun(key, SlotOutcome::Completed);
}

void BulkRunner::noteRun(const Key &key, const ServerId &server)
{
    const auto progress = progress_.find(key);
    if (progress != progress_.end()) {
        progress->second.lastServer = server;
        progress->second.lastRunAt = clock_.monotonic();
    }
}

void BulkRunner::noteSpeed(const Run &run, const Progress &progress)
{
    const std::uint64_t events = progress.count - run.startedWith;
    if (events == 0) {
        return;
    }
    const auto took
        = std::chrono::duration<double, std::milli>(clock_.monotonic() - run.startedAt).count();
    smooth(eventMs_, took / static_cast<double>(events));
}

void BulkRunner::endRun(const Key &key, SlotOutcome outcome)
{
    const auto found = runs_.find(key);
    // A slot that an earlier end freed may have made this run give way.
    if (found == runs_.end()) {
        return;
    }
    const BatchRunSlot slot = found->second.slot;
    noteRun(key, slot.server);
    eraseRun(found);
    broker_.batchEnded(slot, outcome);
}

void BulkRunner::runFailed(const Key &key, SlotOutcome outcome, std::string_view why,
                           Milliseconds pause)
{
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        return;
    }
    LogLine(LogLevel::Info, "bulk_run_failed")
        .add("job", key.job.value)
        .add("index", static_cast<std::int64_t>(key.index))
        .add("server", found->second.slot.server.value)
        .add("events", static_cast<std::int64_t>(progress_[key].count))
        .add("why", why)
        .write();
    metrics_.count("persimmonlb_bulk_runs_failed_total", {});
    progress_[key].notBefore = clock_.monotonic() + pause;
    endRun(key, outcome);
}

// ---- records ----------------------------------------------------------------------------------

void BulkRunner::record(const Key &key, BulkItemPhase phase, std::string output,
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
    const BulkItem *item = itemOf(key);
    if (item == nullptr) {
        return;
    }
    if (!runs_.contains(key)) {
        touch(key, Touch::Idle);
    }
    unrecorded_[key] = BulkOutcome{.index = key.index,
                                   .phase = phase,
                                   .attempt = item->attempts + 1,
                                   .fromCount = 0,
                                   .output = std::move(output)};
    propose(key);
}

void BulkRunner::propose(const Key &key)
{
    proposeAgain_[key] = clock_.monotonic() + options_.recordRetry;
    BulkOutcome outcome = unrecorded_.at(key);
    const Progress &progress = progress_[key];
    if (outcome.phase == BulkItemPhase::Completed && progress.savedCount > 0) {
        outcome.fromCount = progress.savedCount;
        outcome.output.erase(0, progress.savedBytes);
    }
    const RecordBulk command{key.job, {std::move(outcome)}, clock_.wall()};
    const std::weak_ptr<bool> alive = alive_;
    hooks_.propose(command, [this, alive, key](const Outcome<Reply> &reply) {
        if (alive.expired() || !reply.ok()) {
            return;
        }
        const auto found = unrecorded_.find(key);
        if (found == unrecorded_.end()) {
            return;
        }
        const auto *plain = std::get_if<PlainReply>(&reply.value());
        if (plain != nullptr && plain->code == ResultCode::MalformedRequest) {
            progress_[key].savedCount = 0;
            progress_[key].savedBytes = 0;
            return;
        }
        if (found->second.phase != BulkItemPhase::Waiting) {
            progress_.erase(key);
        }
        unrecorded_.erase(found);
        proposeAgain_.erase(key);
    });
}

} // namespace persimmonlb
