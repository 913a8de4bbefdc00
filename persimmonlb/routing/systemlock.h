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

struct SystemLockOptions {
    Owner self;
    Milliseconds retryInterval{100}; ///< Between two tries for a lock that another holds.
};

struct SystemLockHooks {
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    std::function<void(Milliseconds, std::function<void()>)> after;
};

/// Named locks that at most one holder in the whole system has, as claims in the replicated log.
///
/// Example:
///   const std::uint64_t id = locks.acquire("server/s1", deadline, [](Outcome<Done> held) { ... });
///   locks.release(id);
///
/// A lock whose holder's process was lost is free again under its next number: the claim of the
/// lost holder stays unknown for ever and is passed over. Not thread-safe; must outlive its timers.
class SystemLock
{
public:
    using Acquired = std::function<void(Outcome<Done>)>;

    SystemLock(SystemLockOptions options, Clock clock, SystemLockHooks hooks);

    /// Tries until the deadline. `done`: Ok, or Overloaded when another held it to the end, or
    /// the error of the last proposal.
    std::uint64_t acquire(const std::string &name, MonotonicTime deadline, Acquired done);

    /// Gives the lock back, or stops trying for it; then `done` is not called any more.
    void release(std::uint64_t id);

    /// Locks held or tried for.
    [[nodiscard]] std::size_t size() const;

private:
    struct Attempt {
        std::string name;
        std::string requestId;
        std::uint32_t number = 0; ///< Of the lock's claim; one more for each lost holder.
        MonotonicTime deadline;
        Acquired done;
        bool proposed = false; ///< A claim may be in the log.
        bool held = false;
        bool released = false;
    };

    [[nodiscard]] ClaimKey keyOf(const Attempt &attempt) const;
    void attempt(std::uint64_t id);
    void takeReply(std::uint64_t id, const Outcome<Reply> &reply);
    void tryLater(std::uint64_t id, Error error);
    void recordRelease(std::uint64_t id, std::uint32_t triesLeft);

    SystemLockOptions options_;
    Clock clock_;
    SystemLockHooks hooks_;
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, Attempt> attempts_;
};

} // namespace persimmonlb
