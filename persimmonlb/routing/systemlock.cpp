#include "persimmonlb/routing/systemlock.h"

#include <utility>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

/// No caller can have this name: a header value holds no line break.
constexpr const char *lockCaller = "system\nlock";
constexpr std::uint32_t releaseTries = 20;
constexpr Milliseconds releaseRetryInterval{200};

} // namespace

SystemLock::SystemLock(SystemLockOptions options, Clock clock, SystemLockHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
{
}

ClaimKey SystemLock::keyOf(const Attempt &attempt) const
{
    return ClaimKey{.caller = CallerName{lockCaller},
                    .idempotencyKey = attempt.name + "#" + std::to_string(attempt.number)};
}

std::uint64_t SystemLock::acquire(const std::string &name, MonotonicTime deadline, Acquired done)
{
    const std::uint64_t id = nextId_++;
    Attempt &created = attempts_[id];
    created.name = name;
    created.requestId = options_.self.host.value + "/" + std::to_string(options_.self.incarnation)
        + "/lock/" + std::to_string(id);
    created.deadline = deadline;
    created.done = std::move(done);
    attempt(id);
    return id;
}

void SystemLock::attempt(std::uint64_t id)
{
    const auto position = attempts_.find(id);
    if (position == attempts_.end() || position->second.released) {
        return;
    }
    Attempt &current = position->second;
    current.proposed = true;
    const ClaimRequest claim{.key = keyOf(current),
                             .service = {},
                             .bodyDigest = sha256Hex(current.name),
                             .owner = options_.self,
                             .requestId = current.requestId,
                             .at = clock_.wall()};
    hooks_.propose(claim, [this, id](const Outcome<Reply> &reply) { takeReply(id, reply); });
}

void SystemLock::takeReply(std::uint64_t id, const Outcome<Reply> &reply)
{
    const auto position = attempts_.find(id);
    if (position == attempts_.end()) {
        return;
    }
    Attempt &current = position->second;
    const ClaimReply *claim = reply.ok() ? std::get_if<ClaimReply>(&reply.value()) : nullptr;
    const bool granted = claim != nullptr && claim->state == ClaimState::Granted;
    if (current.released) {
        if (granted || !reply.ok()) {
            recordRelease(id, releaseTries);
        } else {
            attempts_.erase(position);
        }
        return;
    }
    if (granted) {
        current.held = true;
        const Acquired done = std::move(current.done);
        done(Done{});
        return;
    }
    if (claim == nullptr) {
        tryLater(id,
                 reply.ok() ? makeError(ResultCode::Internal, "unexpected reply to a claim")
                            : reply.error());
        return;
    }
    if (claim->state == ClaimState::Unknown || claim->state == ClaimState::Answered) {
        ++current.number;
        attempt(id);
        return;
    }
    tryLater(id, makeError(ResultCode::Overloaded, "lock " + current.name + " is held elsewhere"));
}

void SystemLock::tryLater(std::uint64_t id, Error error)
{
    Attempt &current = attempts_.at(id);
    if (clock_.monotonic() + options_.retryInterval < current.deadline) {
        hooks_.after(options_.retryInterval, [this, id] { attempt(id); });
        return;
    }
    const Acquired done = std::move(current.done);
    if (error.code == ResultCode::Overloaded) {
        attempts_.erase(id);
    } else {
        // The claim may be in the log.
        current.released = true;
        recordRelease(id, releaseTries);
    }
    done(std::move(error));
}

void SystemLock::release(std::uint64_t id)
{
    const auto position = attempts_.find(id);
    if (position == attempts_.end() || position->second.released) {
        return;
    }
    position->second.released = true;
    position->second.done = nullptr;
    if (position->second.held) {
        recordRelease(id, releaseTries);
    }
}

void SystemLock::recordRelease(std::uint64_t id, std::uint32_t triesLeft)
{
    const auto position = attempts_.find(id);
    if (position == attempts_.end()) {
        return;
    }
    if (triesLeft == 0) {
        attempts_.erase(position);
        return;
    }
    const RecordOutcome outcome{.key = keyOf(position->second),
                                .owner = options_.self,
                                .requestId = position->second.requestId,
                                .state = ClaimState::NotSent,
                                .answer = {},
                                .at = clock_.wall()};
    hooks_.propose(outcome, [this, id, triesLeft](const Outcome<Reply> &reply) {
        if (reply.ok()) {
            attempts_.erase(id);
            return;
        }
        hooks_.after(releaseRetryInterval,
                     [this, id, triesLeft] { recordRelease(id, triesLeft - 1); });
    });
}

std::size_t SystemLock::size() const
{
    return attempts_.size();
}

} // namespace persimmonlb
