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

void CrashLedger::noteBroken(std::uint64_t fingerprint, const ServerId &server)
{
    const auto [position, isNew] = records_.try_emplace(fingerprint);
    Record &record = position->second;
    record.seenAt = clock_.monotonic();
    record.servers.insert(server);
    ++version_;
    if (record.servers.size() >= options_.serversUntilBlocked && !isBlocked(fingerprint)) {
        block(fingerprint, record);
    }
    if (isNew && records_.size() > options_.maxSuspects) {
        forgetOldest();
    }
}

void CrashLedger::block(std::uint64_t fingerprint, Record &record)
{
    const auto doublings = std::min(record.blocks * 2, options_.longestBlockDoublings);
    const Milliseconds length = options_.firstBlock * (1U << doublings);
    record.blockedUntil = clock_.monotonic() + length;
    ++record.blocks;
    LogLine(LogLevel::Warning, "request_blocked")
        .add("fingerprint", static_cast<std::int64_t>(fingerprint))
        .add("servers_lost", static_cast<std::int64_t>(record.servers.size()))
        .add("for_ms", length.count())
        .write();
}

void CrashLedger::forgetOldest()
{
    const auto oldest = std::ranges::min_element(
        records_, {}, [](const auto &entry) { return entry.second.seenAt; });
    records_.erase(oldest);
}

void CrashLedger::noteSurvived(std::uint64_t fingerprint)
{
    if (records_.erase(fingerprint) > 0) {
        ++version_;
    }
}

void CrashLedger::note(const RunVerdict &verdict)
{
    if (verdict.broken) {
        noteBroken(verdict.fingerprint, verdict.server);
    } else {
        noteSurvived(verdict.fingerprint);
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
        if (now - std::max(record.seenAt, record.blockedUntil) > options_.memory) {
            position = records_.erase(position);
            ++version_;
            continue;
        }
        if (record.blocks > 0 && record.servers.size() >= options_.serversUntilBlocked) {
            // One more server that is lost blocks it again.
            record.servers.erase(record.servers.begin());
            ++version_;
        }
        ++position;
    }
}

CrashSuspects CrashLedger::suspects() const
{
    CrashSuspects told;
    told.version = version_;
    const MonotonicTime now = clock_.monotonic();
    for (const auto &[fingerprint, record] : records_) {
        const auto left = std::chrono::duration_cast<Milliseconds>(record.blockedUntil - now);
        told.suspects.push_back(
            {.fingerprint = fingerprint,
             .servers = {record.servers.begin(), record.servers.end()},
             .blocks = record.blocks,
             .blockedForMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count()))});
    }
    return told;
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
            .seenAt = now,
            .blockedUntil = now + Milliseconds(static_cast<std::int64_t>(suspect.blockedForMs))};
    }
}

std::uint64_t requestFingerprint(std::string_view target, std::string_view body)
{
    return std::max<std::uint64_t>(1, combineHash(stableHash(target), stableHash(body)));
}

} // namespace persimmonlb
