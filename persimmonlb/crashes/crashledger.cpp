#include "persimmonlb/crashes/crashledger.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

CrashLedger::CrashLedger(CrashLedgerOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void CrashLedger::recordAbortedRun(std::uint64_t fingerprint, const ServerId &server)
{
    const auto [position, isNew] = records_.try_emplace(fingerprint);
    Record &record = position->second;
    record.lastSeenAt = clock_.monotonic();
    record.servers.insert(server);
    ++version_;
    if (record.servers.size() >= options_.serversUntilBlocked && !isBlocked(fingerprint)) {
        block(fingerprint, record);
    }
    if (isNew && records_.size() > options_.maxSuspects) {
        evictOldestSuspect();
    }
}

void CrashLedger::block(std::uint64_t fingerprint, Record &record)
{
    const auto doublings = std::min(record.blocks * 2, options_.maxBlockDoublings);
    const Milliseconds duration = options_.initialBlockDuration * (1U << doublings);
    record.blockedUntil = clock_.monotonic() + duration;
    ++record.blocks;
    LogLine(LogLevel::Warning, "request_blocked")
        .add("fingerprint", static_cast<std::int64_t>(fingerprint))
        .add("servers_lost", static_cast<std::int64_t>(record.servers.size()))
        .add("for_ms", duration.count())
        .write();
}

void CrashLedger::evictOldestSuspect()
{
    const auto oldest = std::ranges::min_element(
        records_, {}, [](const auto &entry) { return entry.second.lastSeenAt; });
    records_.erase(oldest);
}

void CrashLedger::recordAnsweredRun(std::uint64_t fingerprint)
{
    if (records_.erase(fingerprint) > 0) {
        ++version_;
    }
}

void CrashLedger::recordVerdict(const RunVerdict &verdict)
{
    if (verdict.broken) {
        recordAbortedRun(verdict.fingerprint, verdict.server);
    } else {
        recordAnsweredRun(verdict.fingerprint);
    }
}

bool CrashLedger::isBlocked(std::uint64_t fingerprint) const
{
    const auto found = records_.find(fingerprint);
    return found != records_.end() && clock_.monotonic() < found->second.blockedUntil;
}

void CrashLedger::tick()
{
    const MonotonicTime now = clock_.monotonic();
    for (auto position = records_.begin(); position != records_.end();) {
        Record &record = position->second;
        if (now < record.blockedUntil) {
            ++position;
            continue;
        }
        if (now - std::max(record.lastSeenAt, record.blockedUntil) > options_.suspectRetention) {
            position = records_.erase(position);
            ++version_;
            continue;
        }
        if (record.blocks > 0 && record.servers.size() >= options_.serversUntilBlocked) {
            // A single further server that aborts the request blocks it again.
            record.servers.erase(record.servers.begin());
            ++version_;
        }
        ++position;
    }
}

CrashSuspects CrashLedger::suspects() const
{
    CrashSuspects list;
    list.version = version_;
    const MonotonicTime now = clock_.monotonic();
    for (const auto &[fingerprint, record] : records_) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(record.blockedUntil - now);
        list.suspects.push_back({.fingerprint = fingerprint,
                                 .servers = {record.servers.begin(), record.servers.end()},
                                 .blocks = record.blocks,
                                 .blockedForMs = static_cast<std::uint64_t>(
                                     std::max<std::int64_t>(0, remaining.count()))});
    }
    return list;
}

std::uint64_t CrashLedger::version() const
{
    return version_;
}

bool CrashLedger::empty() const
{
    return records_.empty();
}

void CrashLedger::adopt(const CrashSuspects &suspects)
{
    records_.clear();
    ++version_;
    const MonotonicTime now = clock_.monotonic();
    for (const CrashSuspect &suspect : suspects.suspects) {
        records_[suspect.fingerprint] = Record{
            .servers = {suspect.servers.begin(), suspect.servers.end()},
            .blocks = suspect.blocks,
            .lastSeenAt = now,
            .blockedUntil = now + Milliseconds(static_cast<std::int64_t>(suspect.blockedForMs))};
    }
}

std::uint64_t requestFingerprint(std::string_view target, std::string_view body)
{
    return std::max<std::uint64_t>(1, combineHash(stableHash(target), stableHash(body)));
}

} // namespace persimmonlb
