#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"

namespace persimmonlb
{

struct DistributedLockOptions {
    Owner self;
    Milliseconds retryInterval{100}; ///< Between two attempts to take a held lock.
};

struct DistributedLockHooks {
    /// Proposes a command to the replicated log and calls back with the reply.
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    /// Calls the function after the delay.
    std::function<void(Milliseconds, std::function<void()>)> after;
};

/// Named locks, each with at most one holder in the whole system. A lock is a claim in the
/// replicated log.
///
/// Example:
///   const std::uint64_t id = locks.acquire("server/s1", deadline, onAcquired);
///   // Once onAcquired got Ok: use the lock, then
///   locks.release(id);
///
/// The claim of a holder whose process was lost stays in state Unknown forever. The lock is then
/// taken by a claim with the next generation number. Not thread-safe; must outlive the timers that
/// it starts.
class DistributedLock
{
public:
    using Acquired = std::function<void(Outcome<Done>)>;

    DistributedLock(DistributedLockOptions options, Clock clock, DistributedLockHooks hooks);

    /// Tries to take the lock until the deadline and returns an id for release(). Calls `done` with
    /// Ok, with Overloaded if another holder kept the lock, or with the error of the last proposal.
    std::uint64_t acquire(const std::string &name, MonotonicTime deadline, Acquired done);

    /// Releases the lock, or stops trying to take it; `done` is not called after this.
    void release(std::uint64_t id);

    /// Returns the number of locks that are held, requested or being released.
    [[nodiscard]] std::size_t size() const;

private:
    struct LockRequest {
        std::string name;
        std::string requestId;
        /// Number in the claim's key; incremented for each lost holder.
        std::uint32_t generation = 0;
        MonotonicTime deadline;
        Acquired done;
        bool proposed = false; ///< A claim may be in the replicated log.
        bool held = false;
        bool released = false; ///< By release(), or because the last proposal failed.
    };

    [[nodiscard]] ClaimKey keyOf(const LockRequest &request) const;
    void proposeClaim(std::uint64_t id);
    void handleReply(std::uint64_t id, const Outcome<Reply> &reply);
    void retryOrFail(std::uint64_t id, Error error);
    /// Records the outcome NotSent for the claim, so that its key can be claimed again. Retries a
    /// failed proposal while attempts are left.
    void recordRelease(std::uint64_t id, std::uint32_t attemptsLeft);

    DistributedLockOptions options_;
    Clock clock_;
    DistributedLockHooks hooks_;
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, LockRequest> lockRequests_;
};

} // namespace persimmonlb
