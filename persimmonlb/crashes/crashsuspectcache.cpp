#include "persimmonlb/crashes/crashsuspectcache.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

CrashSuspectCache::CrashSuspectCache(Clock clock)
    : clock_(std::move(clock))
{
}

void CrashSuspectCache::update(const CrashSuspects &suspects)
{
    if (std::pair(suspects.term, suspects.version) < std::pair(latest_.term, latest_.version)) {
        return;
    }
    latest_ = suspects;
    receivedAt_ = clock_.monotonic();
    blockedFor_.clear();
    for (const CrashSuspect &suspect : latest_.suspects) {
        blockedFor_[suspect.fingerprint]
            = Milliseconds(static_cast<std::int64_t>(suspect.blockedForMs));
    }
}

Milliseconds CrashSuspectCache::blockedFor(std::uint64_t fingerprint) const
{
    const auto found = blockedFor_.find(fingerprint);
    if (found == blockedFor_.end()) {
        return Milliseconds(0);
    }
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - receivedAt_);
    return std::max(Milliseconds(0), found->second - elapsed);
}

bool CrashSuspectCache::empty() const
{
    return blockedFor_.empty();
}

bool CrashSuspectCache::isSuspect(std::uint64_t fingerprint) const
{
    return blockedFor_.contains(fingerprint);
}

CrashSuspects CrashSuspectCache::currentSuspects() const
{
    CrashSuspects current = latest_;
    for (CrashSuspect &suspect : current.suspects) {
        suspect.blockedForMs = static_cast<std::uint64_t>(blockedFor(suspect.fingerprint).count());
    }
    return current;
}

} // namespace persimmonlb
