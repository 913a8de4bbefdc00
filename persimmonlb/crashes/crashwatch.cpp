#include "persimmonlb/crashes/crashwatch.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

CrashWatch::CrashWatch(Clock clock)
    : clock_(std::move(clock))
{
}

void CrashWatch::take(const CrashSuspects &suspects)
{
    if (std::pair(suspects.term, suspects.version) < std::pair(last_.term, last_.version)) {
        return;
    }
    last_ = suspects;
    takenAt_ = clock_.monotonic();
    blockedFor_.clear();
    for (const CrashSuspect &suspect : last_.suspects) {
        blockedFor_[suspect.fingerprint]
            = Milliseconds(static_cast<std::int64_t>(suspect.blockedForMs));
    }
}

Milliseconds CrashWatch::blockedFor(std::uint64_t fingerprint) const
{
    const auto found = blockedFor_.find(fingerprint);
    if (found == blockedFor_.end()) {
        return Milliseconds(0);
    }
    const auto passed = std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - takenAt_);
    return std::max(Milliseconds(0), found->second - passed);
}

bool CrashWatch::empty() const
{
    return blockedFor_.empty();
}

bool CrashWatch::isSuspect(std::uint64_t fingerprint) const
{
    return blockedFor_.contains(fingerprint);
}

CrashSuspects CrashWatch::last() const
{
    CrashSuspects now = last_;
    for (CrashSuspect &suspect : now.suspects) {
        suspect.blockedForMs = static_cast<std::uint64_t>(blockedFor(suspect.fingerprint).count());
    }
    return now;
}

} // namespace persimmonlb
