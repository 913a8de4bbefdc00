#include "persimmonlb/crashes/crashledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

Milliseconds milliseconds(std::uint64_t count)
{
    return Milliseconds(static_cast<std::int64_t>(count));
}

/// Returns the time from `from` to `to`, or 0 if that is negative.
std::uint64_t millisecondsBetween(MonotonicTime from, MonotonicTime to)
{
    const auto time = std::chrono::duration_cast<Milliseconds>(to - from);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

} // namespace

CrashLedger::CrashLedger(CrashLedgerOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void CrashLedger::recordVerdict(const RunVerdict &verdict)
{
    if (!verdict.broken) {
        if (verdict.fingerprint != 0) {
            recordAnsweredRun(verdict.fingerprint);
        }
        recordAnsweredParts(verdict);
        return;
    }
    if (verdict.fingerprint != 0) {
        recordAbortedRequest(verdict);
    }
    recordAbortedParts(verdict);
    limitSuspects();
}

void CrashLedger::recordAnsweredRun(std::uint64_t fingerprint)
{
    if (records_.erase(fingerprint) > 0) {
        ++version_;
    }
}

void CrashLedger::recordAnsweredParts(const RunVerdict &verdict)
{
    const MonotonicTime at = clock_.monotonic() - milliseconds(verdict.ageMs);
    for (const std::uint64_t part : verdict.parts) {
        MonotonicTime &answeredAt = partsAnsweredAt_[part];
        answeredAt = std::max(answeredAt, at);
        const auto found = records_.find(part);
        // Aborted runs after the response still count: a part may crash a server that was updated.
        if (found == records_.end() || found->second.lastSeenAt > at) {
            continue;
        }
        if (found->second.blocks > 0) {
            LogLine(LogLevel::Warning, "prompt_part_cleared")
                .add("fingerprint", static_cast<std::int64_t>(part))
                .add("server", verdict.server.value)
                .write();
        }
        records_.erase(found);
        ++version_;
    }
}

void CrashLedger::addProcess(Record &record, const RunVerdict &verdict, MonotonicTime at)
{
    const bool isNew = record.processes.insert({verdict.server, verdict.bornMs}).second;
    record.lastSeenAt = std::max(record.lastSeenAt, at);
    ++version_;
    const bool isProbe = record.blocks > 0 && at >= record.blockedUntil;
    if (isNew && isProbe) {
        // A single further process blocks a suspect again.
        block(verdict.fingerprint, record);
    }
}

void CrashLedger::recordAbortedRequest(const RunVerdict &verdict)
{
    const MonotonicTime at = clock_.monotonic() - milliseconds(verdict.ageMs);
    Record &record = records_[verdict.fingerprint];
    addProcess(record, verdict, at);
    if (record.blocks == 0 && record.processes.size() >= options_.serversUntilBlocked) {
        block(verdict.fingerprint, record);
    }
}

void CrashLedger::recordAbortedParts(const RunVerdict &verdict)
{
    const MonotonicTime now = clock_.monotonic();
    const MonotonicTime at = now - milliseconds(verdict.ageMs);
    const auto wasBlocked = [this](std::uint64_t part) {
        const auto found = records_.find(part);
        return found != records_.end() && found->second.blocks > 0;
    };
    const bool isExplained = std::ranges::any_of(verdict.parts, wasBlocked);
    for (std::size_t position = 0; position < verdict.parts.size(); ++position) {
        const std::uint64_t part = verdict.parts[position];
        const auto answered = partsAnsweredAt_.find(part);
        const bool isLate = answered != partsAnsweredAt_.end() && answered->second >= at;
        if (isLate || (isExplained && !wasBlocked(part))) {
            continue;
        }
        const auto [entry, isNew] = records_.try_emplace(part);
        Record &record = entry->second;
        if (isNew) {
            record.isPart = true;
            record.suspectedAt = now;
        }
        record.position = position;
        record.isExplained = false;
        if (record.requests.size() < options_.partRequestsUntilBlocked) {
            record.requests.insert(verdict.fingerprint);
        }
        addIncident(record, at);
        RunVerdict ofPart = verdict;
        ofPart.fingerprint = part;
        addProcess(record, ofPart, at);
    }
}

void CrashLedger::addIncident(Record &record, MonotonicTime at) const
{
    std::vector<MonotonicTime> &incidents = record.incidents;
    const bool isKnown = std::ranges::any_of(incidents, [&](MonotonicTime incident) {
        return std::max(at, incident) - std::min(at, incident) < options_.incidentLength;
    });
    if (!isKnown && incidents.size() < options_.partIncidentsUntilBlocked) {
        incidents.insert(std::ranges::upper_bound(incidents, at), at);
    }
}

bool CrashLedger::isPartConvicted(const Record &record) const
{
    const std::size_t incidentsNeeded = options_.partIncidentsUntilBlocked
        - (record.processes.size() >= options_.serversForEarlyBlock ? 1 : 0);
    return record.isPart && record.blocks == 0 && !record.isExplained
        && record.processes.size() >= options_.serversUntilBlocked
        && record.requests.size() >= options_.partRequestsUntilBlocked
        && record.incidents.size() >= incidentsNeeded
        && clock_.monotonic() - record.suspectedAt >= options_.partConfirmation;
}

bool CrashLedger::blockNextPart()
{
    const auto rank = [](const Record &record) {
        return std::tuple(record.processes.size(), record.position);
    };
    auto best = records_.end();
    for (auto entry = records_.begin(); entry != records_.end(); ++entry) {
        if (isPartConvicted(entry->second)
            && (best == records_.end() || rank(entry->second) > rank(best->second))) {
            best = entry;
        }
    }
    if (best == records_.end()) {
        return false;
    }
    block(best->first, best->second);
    markExplainedBy(best->second);
    return true;
}

void CrashLedger::markExplainedBy(const Record &blocked)
{
    for (auto &[fingerprint, record] : records_) {
        const bool isShared = record.isPart && record.blocks == 0
            && std::ranges::includes(blocked.processes, record.processes);
        record.isExplained = record.isExplained || isShared;
    }
}

void CrashLedger::block(std::uint64_t fingerprint, Record &record)
{
    const auto doublings = std::min(record.blocks * 2, options_.maxBlockDoublings);
    const Milliseconds duration = options_.initialBlockDuration * (1U << doublings);
    record.blockedUntil = clock_.monotonic() + duration;
    ++record.blocks;
    ++version_;
    LogLine(LogLevel::Warning, record.isPart ? "prompt_part_blocked" : "request_blocked")
        .add("fingerprint", static_cast<std::int64_t>(fingerprint))
        .add("servers_lost", static_cast<std::int64_t>(record.processes.size()))
        .add("for_ms", duration.count())
        .write();
}

bool CrashLedger::isBlocked(std::uint64_t fingerprint) const
{
    const auto found = records_.find(fingerprint);
    return found != records_.end() && clock_.monotonic() < found->second.blockedUntil;
}

void CrashLedger::tick()
{
    removeOldSuspects();
    while (blockNextPart()) { }
}

void CrashLedger::removeOldSuspects()
{
    const MonotonicTime now = clock_.monotonic();
    const std::size_t removed = std::erase_if(records_, [&](const auto &entry) {
        const Record &record = entry.second;
        return now - std::max(record.lastSeenAt, record.blockedUntil) > options_.suspectRetention;
    });
    version_ += removed;
    std::erase_if(partsAnsweredAt_, [&](const auto &entry) {
        return now - entry.second > options_.responseRetention;
    });
}

void CrashLedger::limitSuspects()
{
    while (records_.size() > options_.maxSuspects) {
        const auto oldest = std::ranges::min_element(records_, {}, [](const auto &entry) {
            return std::pair(entry.second.blocks > 0, entry.second.lastSeenAt);
        });
        records_.erase(oldest);
    }
}

CrashSuspect CrashLedger::describe(std::uint64_t fingerprint, const Record &record) const
{
    const MonotonicTime now = clock_.monotonic();
    CrashSuspect suspect{.fingerprint = fingerprint,
                         .processes = {record.processes.begin(), record.processes.end()},
                         .blocks = record.blocks,
                         .blockedForMs = millisecondsBetween(now, record.blockedUntil),
                         .isPart = record.isPart,
                         .requests = {record.requests.begin(), record.requests.end()}};
    for (const MonotonicTime incident : record.incidents) {
        suspect.abortAgesMs.push_back(millisecondsBetween(incident, now));
    }
    return suspect;
}

CrashSuspects CrashLedger::suspects(const std::vector<HostId> &probers) const
{
    CrashSuspects list;
    list.version = version_;
    for (const auto &[fingerprint, record] : records_) {
        CrashSuspect suspect = describe(fingerprint, record);
        if (suspect.blocks > 0 && suspect.blockedForMs == 0 && !probers.empty()) {
            const auto period = (clock_.monotonic() - record.blockedUntil) / options_.probePeriod;
            const auto turn = fingerprint + static_cast<std::uint64_t>(period);
            suspect.prober = probers[turn % probers.size()];
        }
        list.suspects.push_back(std::move(suspect));
    }
    return list;
}

std::vector<CrashSuspect> CrashLedger::blockedSuspects() const
{
    std::vector<CrashSuspect> blocked;
    for (const auto &[fingerprint, record] : records_) {
        if (record.blocks > 0) {
            blocked.push_back(describe(fingerprint, record));
        }
    }
    return blocked;
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
    partsAnsweredAt_.clear();
    ++version_;
    const MonotonicTime now = clock_.monotonic();
    for (const CrashSuspect &suspect : suspects.suspects) {
        Record record{.isPart = suspect.isPart,
                      .processes = {suspect.processes.begin(), suspect.processes.end()},
                      .blocks = suspect.blocks,
                      .lastSeenAt = now,
                      .blockedUntil = now + milliseconds(suspect.blockedForMs),
                      .requests = {suspect.requests.begin(), suspect.requests.end()},
                      .suspectedAt = now};
        for (const std::uint64_t age : suspect.abortAgesMs) {
            record.incidents.push_back(now - milliseconds(age));
        }
        std::ranges::sort(record.incidents);
        if (!record.incidents.empty()) {
            record.lastSeenAt = record.incidents.back();
        }
        records_[suspect.fingerprint] = std::move(record);
    }
    for (const auto &[fingerprint, record] : records_) {
        if (record.isPart && record.blocks > 0) {
            markExplainedBy(record);
        }
    }
}

std::uint64_t requestFingerprint(std::string_view target, std::string_view body)
{
    return std::max<std::uint64_t>(1, combineHash(stableHash(target), stableHash(body)));
}

} // namespace persimmonlb
