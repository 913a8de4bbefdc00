#include "persimmonlb/routing/distributedlock.h"

#include <utility>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

/// No caller can have this name, because a header value cannot contain a line break.
constexpr const char *reservedCaller = "system\nlock";
constexpr std::uint32_t maxReleaseAttempts = 20;
constexpr Milliseconds releaseRetryInterval{200};

} // namespace

DistributedLock::DistributedLock(DistributedLockOptions options, Clock clock,
                                 DistributedLockHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
{
}

ClaimKey DistributedLock::keyOf(const LockRequest &request) const
{
    return ClaimKey{.caller = CallerName{reservedCaller},
                    .idempotencyKey = request.name + "#" + std::to_string(request.generation)};
}

std::uint64_t DistributedLock::acquire(const std::string &name, MonotonicTime deadline,
                                       Acquired done)
{
    const std::uint64_t id = nextId_++;
    LockRequest &created = lockRequests_[id];
    created.name = name;
    created.requestId = options_.self.host.value + "/" + std::to_string(options_.self.incarnation)
        + "/lock/" + std::to_string(id);
    created.deadline = deadline;
    created.done = std::move(done);
    proposeClaim(id);
    return id;
}

void DistributedLock::proposeClaim(std::uint64_t id)
{
    const auto position = lockRequests_.find(id);
    if (position == lockRequests_.end() || position->second.released) {
        return;
    }
    LockRequest &request = position->second;
    request.proposed = true;
    const ClaimRequest claim{.key = keyOf(request),
                             .service = {},
                             .bodyDigest = sha256Hex(request.name),
                             .owner = options_.self,
                             .requestId = request.requestId,
                             .at = clock_.wall()};
    hooks_.propose(claim, [this, id](const Outcome<Reply> &reply) { handleReply(id, reply); });
}

void DistributedLock::handleReply(std::uint64_t id, const Outcome<Reply> &reply)
{
    const auto position = lockRequests_.find(id);
    if (position == lockRequests_.end()) {
        return;
    }
    LockRequest &request = position->second;
    const ClaimReply *claim = reply.ok() ? std::get_if<ClaimReply>(&reply.value()) : nullptr;
    const bool granted = claim != nullptr && claim->state == ClaimState::Granted;
    if (request.released) {
        if (granted || !reply.ok()) {
            recordRelease(id, maxReleaseAttempts);
        } else {
            lockRequests_.erase(position);
        }
        return;
    }
    if (granted) {
        request.held = true;
        const Acquired done = std::move(request.done);
        done(Done{});
        return;
    }
    if (claim == nullptr) {
        retryOrFail(id,
                    reply.ok() ? makeError(ResultCode::Internal, "unexpected reply to a claim")
                               : reply.error());
        return;
    }
    if (claim->state == ClaimState::Unknown || claim->state == ClaimState::Answered) {
        ++request.generation;
        proposeClaim(id);
        return;
    }
    retryOrFail(
        id,
        makeError(ResultCode::Overloaded, "lock " + request.name + " is held by another request"));
}

void DistributedLock::retryOrFail(std::uint64_t id, Error error)
{
    LockRequest &request = lockRequests_.at(id);
    if (clock_.monotonic() + options_.retryInterval < request.deadline) {
        hooks_.after(options_.retryInterval, [this, id] { proposeClaim(id); });
        return;
    }
    const Acquired done = std::move(request.done);
    if (error.code == ResultCode::Overloaded) {
        lockRequests_.erase(id);
    } else {
        // The claim may be in the replicated log although the proposal failed.
        request.released = true;
        recordRelease(id, maxReleaseAttempts);
    }
    done(std::move(error));
}

void DistributedLock::release(std::uint64_t id)
{
    const auto position = lockRequests_.find(id);
    if (position == lockRequests_.end() || position->second.released) {
        return;
    }
    position->second.released = true;
    position->second.done = nullptr;
    if (position->second.held) {
        recordRelease(id, maxReleaseAttempts);
    }
}

void DistributedLock::recordRelease(std::uint64_t id, std::uint32_t attemptsLeft)
{
    const auto position = lockRequests_.find(id);
    if (position == lockRequests_.end()) {
        return;
    }
    if (attemptsLeft == 0) {
        lockRequests_.erase(position);
        return;
    }
    const RecordOutcome outcome{.key = keyOf(position->second),
                                .owner = options_.self,
                                .requestId = position->second.requestId,
                                .state = ClaimState::NotSent,
                                .answer = {},
                                .at = clock_.wall()};
    hooks_.propose(outcome, [this, id, attemptsLeft](const Outcome<Reply> &reply) {
        if (reply.ok()) {
            lockRequests_.erase(id);
            return;
        }
        hooks_.after(releaseRetryInterval,
                     [this, id, attemptsLeft] { recordRelease(id, attemptsLeft - 1); });
    });
}

std::size_t DistributedLock::size() const
{
    return lockRequests_.size();
}

} // namespace persimmonlb
