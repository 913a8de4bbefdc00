#include "persimmonlb/routing/suspects.h"

#include <utility>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

/// Until the replicated state no longer names a request that survived a run.
constexpr Milliseconds clearedMemory{10000};
constexpr std::uint32_t proposeTries = 20;
constexpr Milliseconds proposeRetryInterval{200};

Error quarantined()
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
    , locks_(SystemLockOptions{.self = options_.self, .retryInterval = options_.lockRetryInterval},
             clock_, SystemLockHooks{.propose = hooks_.propose, .after = hooks_.after})
{
}

void Suspects::setState(const EntryStateAnswer &state)
{
    if (state.version < state_.version) {
        return;
    }
    state_ = state;
    stateSuspects_ = std::set<std::string>(state.suspects.begin(), state.suspects.end());
    stateConvictions_.clear();
    for (const Conviction &conviction : state.convictions) {
        stateConvictions_[conviction.fingerprint] = conviction.until;
    }
    const MonotonicTime now = clock_.monotonic();
    for (auto *memory : {&reported_, &cleared_, &convicted_}) {
        std::erase_if(*memory, [&](const auto &entry) { return entry.second <= now; });
    }
}

bool Suspects::isConvicted(const std::string &fingerprint) const
{
    const auto local = convicted_.find(fingerprint);
    if (local != convicted_.end() && local->second > clock_.monotonic()) {
        return true;
    }
    const auto known = stateConvictions_.find(fingerprint);
    return known != stateConvictions_.end() && known->second > clock_.wall();
}

Suspicion Suspects::suspicion(const std::string &fingerprint) const
{
    if (isConvicted(fingerprint)) {
        return Suspicion::Convicted;
    }
    const MonotonicTime now = clock_.monotonic();
    const auto own = reported_.find(fingerprint);
    if (own != reported_.end() && own->second > now) {
        return Suspicion::Suspect;
    }
    const auto cleared = cleared_.find(fingerprint);
    if (cleared != cleared_.end() && cleared->second > now) {
        return Suspicion::None;
    }
    return stateSuspects_.contains(fingerprint) ? Suspicion::Suspect : Suspicion::None;
}

void Suspects::serverLost(const ServerId &server, std::uint64_t incarnation,
                          const std::vector<std::string> &fingerprints,
                          std::function<void(LossVerdict)> done)
{
    const ServerStart start(server, incarnation);
    const auto [position, isNew] = losses_.try_emplace(start);
    position->second.fingerprints.insert(fingerprints.begin(), fingerprints.end());
    position->second.done.push_back(std::move(done));
    if (isNew) {
        hooks_.after(options_.gatherInterval, [this, start] { investigate(start); });
    }
}

void Suspects::investigate(const ServerStart &server)
{
    if (!hooks_.probe) {
        report(server);
        return;
    }
    hooks_.probe(server.first, [this, server](const Outcome<ServerAnnouncement> &said) {
        if (said.ok() && said.value().incarnation == server.second) {
            finishLoss(server, LossVerdict::ServerLives);
            return;
        }
        report(server);
    });
}

std::vector<std::string> Suspects::blamed(const ServerStart &server, const Loss &loss) const
{
    for (const auto &[id, permit] : permits_) {
        if (permit.server == server && loss.fingerprints.contains(permit.fingerprint)) {
            return {permit.fingerprint};
        }
    }
    return {loss.fingerprints.begin(), loss.fingerprints.end()};
}

void Suspects::report(const ServerStart &server)
{
    const auto position = losses_.find(server);
    if (position == losses_.end()) {
        return;
    }
    const std::vector<std::string> fingerprints = blamed(server, position->second);
    const MonotonicTime until = clock_.monotonic() + options_.localMemory;
    for (const std::string &fingerprint : fingerprints) {
        reported_[fingerprint] = until;
        cleared_.erase(fingerprint);
    }
    const ReportSuspects command{.server = server.first,
                                 .serverIncarnation = server.second,
                                 .fingerprints = fingerprints,
                                 .alone = fingerprints.size() == 1,
                                 .period = options_.convictionPeriod,
                                 .at = clock_.wall()};
    hooks_.propose(command, [this, server](const Outcome<Reply> &reply) {
        finishLoss(server, reply.ok() ? LossVerdict::Reported : LossVerdict::NotReported);
    });
}

void Suspects::finishLoss(const ServerStart &server, LossVerdict verdict)
{
    const auto position = losses_.find(server);
    if (position == losses_.end()) {
        return;
    }
    const Loss loss = std::move(position->second);
    losses_.erase(position);
    if (verdict != LossVerdict::ServerLives) {
        serverUnreachable();
    }
    for (const auto &done : loss.done) {
        done(verdict);
    }
}

void Suspects::serverUnreachable()
{
    if (!hooks_.fetchState || settling_) {
        return;
    }
    settling_ = true;
    hooks_.after(options_.settleInterval, [this] {
        hooks_.fetchState([this](const Outcome<EntryStateAnswer> &answer) {
            if (answer.ok()) {
                setState(answer.value());
            }
            settle();
        });
    });
}

void Suspects::settle()
{
    settling_ = false;
    for (const auto &fn : std::exchange(unsettled_, {})) {
        fn();
    }
}

void Suspects::whenSettled(std::function<void()> fn)
{
    if (!settling_) {
        fn();
        return;
    }
    unsettled_.push_back(std::move(fn));
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
    // Never calls back before the id is known.
    hooks_.after(Milliseconds(0), [this, id] { takeLocks(id); });
    return id;
}

void Suspects::takeLocks(std::uint64_t permit)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    const std::uint64_t lock = locks_.acquire(
        "request/" + position->second.fingerprint, position->second.deadline,
        [this, permit](const Outcome<Done> &held) { takeRequestLock(permit, held); });
    const auto still = permits_.find(permit);
    if (still == permits_.end()) {
        locks_.release(lock);
    } else {
        still->second.requestLock = lock;
    }
}

void Suspects::takeRequestLock(std::uint64_t permit, const Outcome<Done> &held)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    if (!held.ok()) {
        endPermit(permit, held.error());
        return;
    }
    if (isConvicted(position->second.fingerprint)) {
        endPermit(permit, quarantined());
        return;
    }
    const ServerStart server = position->second.server;
    const std::uint64_t lock = locks_.acquire(
        "server/" + server.first.value + "/" + std::to_string(server.second),
        position->second.deadline,
        [this, permit](const Outcome<Done> &serverHeld) { takeServerLock(permit, serverHeld); });
    const auto still = permits_.find(permit);
    if (still == permits_.end()) {
        locks_.release(lock);
    } else {
        still->second.serverLock = lock;
    }
}

void Suspects::takeServerLock(std::uint64_t permit, const Outcome<Done> &held)
{
    const auto position = permits_.find(permit);
    if (position == permits_.end()) {
        return;
    }
    if (!held.ok()) {
        endPermit(permit, held.error());
        return;
    }
    if (!hooks_.fetchState) {
        const auto done = std::move(position->second.done);
        done(Done{});
        return;
    }
    // The holder before may have lost a server with this request since the state was read.
    hooks_.fetchState([this, permit](const Outcome<EntryStateAnswer> &answer) {
        const auto current = permits_.find(permit);
        if (current == permits_.end()) {
            return;
        }
        if (!answer.ok()) {
            endPermit(permit, answer.error());
            return;
        }
        setState(answer.value());
        if (isConvicted(current->second.fingerprint)) {
            endPermit(permit, quarantined());
            return;
        }
        const auto done = std::move(current->second.done);
        done(Done{});
    });
}

void Suspects::endPermit(std::uint64_t permit, Outcome<Done> outcome)
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
        convicted_[ended.fingerprint] = now + options_.convictionPeriod;
    }
    if (end == PermitEnd::Survived) {
        reported_.erase(ended.fingerprint);
        cleared_[ended.fingerprint] = now + clearedMemory;
        proposeUntilDone(ReleaseQuarantine{.fingerprint = ended.fingerprint,
                                           .by = options_.self.host.value,
                                           .at = clock_.wall()},
                         proposeTries);
    }
    locks_.release(ended.serverLock);
    locks_.release(ended.requestLock);
}

void Suspects::proposeUntilDone(const Command &command, std::uint32_t triesLeft)
{
    if (triesLeft == 0) {
        return;
    }
    hooks_.propose(command, [this, command, triesLeft](const Outcome<Reply> &reply) {
        if (reply.ok()) {
            return;
        }
        hooks_.after(proposeRetryInterval,
                     [this, command, triesLeft] { proposeUntilDone(command, triesLeft - 1); });
    });
}

std::size_t Suspects::permits() const
{
    return permits_.size();
}

} // namespace persimmonlb
