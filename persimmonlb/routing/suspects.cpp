#include "persimmonlb/routing/suspects.h"

#include <utility>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

/// Time for the replicated state to stop listing a request that survived a run.
constexpr Milliseconds clearedLifetime{10000};
constexpr std::uint32_t maxProposeAttempts = 20;
constexpr Milliseconds proposeRetryInterval{200};

Error quarantinedError()
{
    return makeError(ResultCode::Quarantined,
                     "earlier runs of this request crashed backend servers");
}

} // namespace

std::string fingerprintOf(const ServiceName &service, std::string_view body)
{
    std::string text = service.value;
    text += '\n';
    text += body;
    return sha256Hex(text);
}

Suspects::Suspects(SuspectsOptions options, Clock clock, SuspectsHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , locks_(DistributedLockOptions{.self = options_.self,
                                    .retryInterval = options_.lockRetryInterval},
             clock_, DistributedLockHooks{.propose = hooks_.propose, .after = hooks_.after})
{
}

void Suspects::setState(const EntryStateAnswer &state)
{
    if (state.version < state_.version) {
        return;
    }
    state_ = state;
    replicatedSuspects_ = std::set<std::string>(state.suspects.begin(), state.suspects.end());
    replicatedQuarantines_.clear();
    for (const Conviction &conviction : state.convictions) {
        replicatedQuarantines_[conviction.fingerprint] = conviction.until;
    }
    const MonotonicTime now = clock_.monotonic();
    for (auto *expiring : {&locallyReported_, &locallyCleared_, &locallyQuarantined_}) {
        std::erase_if(*expiring, [&](const auto &entry) { return entry.second <= now; });
    }
}

bool Suspects::isQuarantined(const std::string &fingerprint) const
{
    const auto local = locallyQuarantined_.find(fingerprint);
    if (local != locallyQuarantined_.end() && local->second > clock_.monotonic()) {
        return true;
    }
    const auto replicated = replicatedQuarantines_.find(fingerprint);
    return replicated != replicatedQuarantines_.end() && replicated->second > clock_.wall();
}

Suspicion Suspects::suspicion(const std::string &fingerprint) const
{
    if (isQuarantined(fingerprint)) {
        return Suspicion::Quarantined;
    }
    const MonotonicTime now = clock_.monotonic();
    const auto reported = locallyReported_.find(fingerprint);
    if (reported != locallyReported_.end() && reported->second > now) {
        return Suspicion::Suspect;
    }
    const auto cleared = locallyCleared_.find(fingerprint);
    if (cleared != locallyCleared_.end() && cleared->second > now) {
        return Suspicion::None;
    }
    return replicatedSuspects_.contains(fingerprint) ? Suspicion::Suspect : Suspicion::None;
}

void Suspects::serverLost(const ServerId &server, std::uint64_t incarnation,
                          const std::vector<std::string> &fingerprints,
                          std::function<void(LossVerdict)> done)
{
    const ServerProcess process(server, incarnation);
    const auto [position, isNew] = losses_.try_emplace(process);
    position->second.fingerprints.insert(fingerprints.begin(), fingerprints.end());
    position->second.done.push_back(std::move(done));
    if (isNew) {
        hooks_.after(options_.gatherInterval, [this, process] { probeServer(process); });
    }
}

void Suspects::probeServer(const ServerProcess &server)
{
    if (!hooks_.probe) {
        reportLoss(server);
        return;
    }
    hooks_.probe(server.first, [this, server](const Outcome<ServerAnnouncement> &announcement) {
        if (announcement.ok() && announcement.value().incarnation == server.second) {
            finishLoss(server, LossVerdict::ServerAlive);
            return;
        }
        reportLoss(server);
    });
}

std::vector<std::string> Suspects::fingerprintsToReport(const ServerProcess &server,
                                                        const Loss &loss) const
{
    for (const auto &[id, permit] : permits_) {
        if (permit.server == server && loss.fingerprints.contains(permit.fingerprint)) {
            return {permit.fingerprint};
        }
    }
    return {loss.fingerprints.begin(), loss.fingerprints.end()};
}

void Suspects::reportLoss(const ServerProcess &server)
{
    const auto position = losses_.find(server);
    if (position == losses_.end()) {
        return;
    }
    const std::vector<std::string> fingerprints = fingerprintsToReport(server, position->second);
    const MonotonicTime until = clock_.monotonic() + options_.localReportLifetime;
    for (const std::string &fingerprint : fingerprints) {
        locallyReported_[fingerprint] = until;
        locallyCleared_.erase(fingerprint);
    }
    const ReportSuspects command{.server = server.first,
                                 .serverIncarnation = server.second,
                                 .fingerprints = fingerprints,
                                 .alone = fingerprints.size() == 1,
                                 .period = options_.quarantinePeriod,
                                 .at = clock_.wall()};
    hooks_.propose(command, [this, server](const Outcome<Reply> &reply) {
        finishLoss(server, reply.ok() ? LossVerdict::Reported : LossVerdict::NotReported);
    });
}

void Suspects::finishLoss(const ServerProcess &server, LossVerdict verdict)
{
    const auto position = losses_.find(server);
    if (position == losses_.end()) {
        return;
    }
    const Loss loss = std::move(position->second);
    losses_.erase(position);
    if (verdict != LossVerdict::ServerAlive) {
        refreshState();
    }
    for (const auto &done : loss.done) {
        done(verdict);
    }
}

void Suspects::refreshState()
{
    if (!hooks_.fetchState || isRefreshing_) {
        return;
    }
    isRefreshing_ = true;
    hooks_.after(options_.refreshDelay, [this] {
        hooks_.fetchState([this](const Outcome<EntryStateAnswer> &answer) {
            if (answer.ok()) {
                setState(answer.value());
            }
            finishRefresh();
        });
    });
}

void Suspects::finishRefresh()
{
    isRefreshing_ = false;
    for (const auto &fn : std::exchange(refreshWaiters_, {})) {
        fn();
    }
}

void Suspects::whenRefreshed(std::function<void()> fn)
{
    if (!isRefreshing_) {
        fn();
        return;
    }
    refreshWaiters_.push_back(std::move(fn));
}

std::uint64_t Suspects::acquire(const std::string &fingerprint, const ServerId &server,
                                std::uint64_t incarnation, MonotonicTime deadline,
                                std::function<void(Outcome<Done>)> done)
{
    const std::uint64_t id = nextPermit_++;
    permits_.emplace(id,
                     Permit{.fingerprint = fingerprint,
                            .server = {server, incarnation},
                            .deadline = deadline,
                            .done = std::move(done)});
    // Deferred, so that `done` is never called before the caller has the id.
    hooks_.after(Milliseconds(0), [this, id] { acquireRequestLock(id); });
    return id;
}

void Suspects::acquireRequestLock(std::uint64_t permit)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    const std::uint64_t lock = locks_.acquire(
        "request/" + position->second.fingerprint, position->second.deadline,
        [this, permit](const Outcome<Done> &acquired) { handleRequestLock(permit, acquired); });
    // The callback may have ended the permit before locks_.acquire() returned.
    const auto current = permits_.find(permit);
    if (current == permits_.end()) {
        locks_.release(lock);
    } else {
        current->second.requestLock = lock;
    }
}

void Suspects::handleRequestLock(std::uint64_t permit, const Outcome<Done> &acquired)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    if (!acquired.ok()) {
        failPermit(permit, acquired.error());
        return;
    }
    if (isQuarantined(position->second.fingerprint)) {
        failPermit(permit, quarantinedError());
        return;
    }
    const ServerProcess server = position->second.server;
    const std::uint64_t lock = locks_.acquire(
        "server/" + server.first.value + "/" + std::to_string(server.second),
        position->second.deadline, [this, permit](const Outcome<Done> &serverAcquired) {
            handleServerLock(permit, serverAcquired);
        });
    // The callback may have ended the permit before locks_.acquire() returned.
    const auto current = permits_.find(permit);
    if (current == permits_.end()) {
        locks_.release(lock);
    } else {
        current->second.serverLock = lock;
    }
}

void Suspects::handleServerLock(std::uint64_t permit, const Outcome<Done> &acquired)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    if (!acquired.ok()) {
        failPermit(permit, acquired.error());
        return;
    }
    if (!hooks_.fetchState) {
        const auto done = std::move(position->second.done);
        done(Done{});
        return;
    }
    // The previous holder may have lost a server with this request since the state was last read.
    hooks_.fetchState([this, permit](const Outcome<EntryStateAnswer> &answer) {
        const auto current = permits_.find(permit);
        if (current == permits_.end()) {
            return;
        }
        if (!answer.ok()) {
            failPermit(permit, answer.error());
            return;
        }
        setState(answer.value());
        if (isQuarantined(current->second.fingerprint)) {
            failPermit(permit, quarantinedError());
            return;
        }
        const auto done = std::move(current->second.done);
        done(Done{});
    });
}

void Suspects::failPermit(std::uint64_t permit, Outcome<Done> outcome)
{
    const auto done = std::move(permits_.at(permit).done);
    release(permit, PermitEnd::NotRun);
    done(std::move(outcome));
}

void Suspects::release(std::uint64_t permit, PermitEnd end)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    const Permit ended = std::move(position->second);
    permits_.erase(position);
    const MonotonicTime now = clock_.monotonic();
    if (end == PermitEnd::Lost) {
        locallyQuarantined_[ended.fingerprint] = now + options_.quarantinePeriod;
    }
    if (end == PermitEnd::Survived) {
        locallyReported_.erase(ended.fingerprint);
        locallyCleared_[ended.fingerprint] = now + clearedLifetime;
        proposeWithRetries(ReleaseQuarantine{.fingerprint = ended.fingerprint,
                                             .by = options_.self.host.value,
                                             .at = clock_.wall()},
                           maxProposeAttempts);
    }
    locks_.release(ended.serverLock);
    locks_.release(ended.requestLock);
}

void Suspects::proposeWithRetries(const Command &command, std::uint32_t attemptsLeft)
{
    if (attemptsLeft == 0) {
        return;
    }
    hooks_.propose(command, [this, command, attemptsLeft](const Outcome<Reply> &reply) {
        if (reply.ok()) {
            return;
        }
        hooks_.after(proposeRetryInterval, [this, command, attemptsLeft] {
            proposeWithRetries(command, attemptsLeft - 1);
        });
    });
}

std::size_t Suspects::permits() const
{
    return permits_.size();
}

} // namespace persimmonlb
