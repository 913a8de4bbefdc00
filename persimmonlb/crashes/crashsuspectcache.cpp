#include "persimmonlb/crashes/crashsuspectcache.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/crashes/crashledger.h"

namespace persimmonlb
{

CrashSuspectCache::CrashSuspectCache(Clock clock, HostId self)
    : clock_(std::move(clock))
    , self_(std::move(self))
{
}

void CrashSuspectCache::update(const CrashSuspects &suspects)
{
    if (std::pair(suspects.term, suspects.version) < position()) {
        return;
    }
    latest_ = suspects;
    receivedAt_ = clock_.monotonic();
    positions_.clear();
    for (std::size_t position = 0; position < latest_.suspects.size(); ++position) {
        positions_[latest_.suspects[position].fingerprint] = position;
    }
    std::erase_if(probedAt_, [this](const auto &entry) {
        const CrashSuspect *suspect = find(entry.first);
        return suspect == nullptr || suspect->prober != self_;
    });
}

std::pair<std::uint64_t, std::uint64_t> CrashSuspectCache::position() const
{
    return {latest_.term, latest_.version};
}

const CrashSuspect *CrashSuspectCache::find(std::uint64_t fingerprint) const
{
    const auto found = positions_.find(fingerprint);
    return found == positions_.end() ? nullptr : &latest_.suspects[found->second];
}

Milliseconds CrashSuspectCache::blockedFor(std::uint64_t fingerprint) const
{
    const CrashSuspect *suspect = find(fingerprint);
    if (suspect == nullptr || suspect->blocks == 0) {
        return Milliseconds(0);
    }
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - receivedAt_);
    const Milliseconds left
        = Milliseconds(static_cast<std::int64_t>(suspect->blockedForMs)) - elapsed;
    if (left.count() > 0) {
        return left;
    }
    const Milliseconds probePeriod = CrashLedgerOptions{}.probePeriod;
    const auto probed = probedAt_.find(fingerprint);
    const bool isProbing
        = probed != probedAt_.end() && clock_.monotonic() - probed->second < probePeriod;
    return suspect->prober == self_ && !isProbing ? Milliseconds(0) : probePeriod;
}

Milliseconds CrashSuspectCache::blockedFor(const std::vector<std::uint64_t> &fingerprints) const
{
    Milliseconds longest(0);
    for (const std::uint64_t fingerprint : fingerprints) {
        longest = std::max(longest, blockedFor(fingerprint));
    }
    return longest;
}

void CrashSuspectCache::recordSent(const std::vector<std::uint64_t> &fingerprints)
{
    for (const std::uint64_t fingerprint : fingerprints) {
        const CrashSuspect *suspect = find(fingerprint);
        if (suspect != nullptr && suspect->blocks > 0) {
            probedAt_[fingerprint] = clock_.monotonic();
        }
    }
}

bool CrashSuspectCache::empty() const
{
    return positions_.empty();
}

bool CrashSuspectCache::isSuspect(std::uint64_t fingerprint) const
{
    return positions_.contains(fingerprint);
}

CrashSuspects CrashSuspectCache::currentSuspects() const
{
    CrashSuspects current = latest_;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - receivedAt_);
    const auto elapsedMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, elapsed.count()));
    for (CrashSuspect &suspect : current.suspects) {
        suspect.blockedForMs -= std::min(suspect.blockedForMs, elapsedMs);
        for (std::uint64_t &age : suspect.abortAgesMs) {
            age += elapsedMs;
        }
    }
    return current;
}

} // namespace persimmonlb
