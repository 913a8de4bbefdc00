#include "persimmonlb/state/keys.h"

namespace persimmonlb::keys
{

namespace
{

constexpr std::string_view resultPrefix = "result/";

template <typename Number>
std::string bigEndian(Number value)
{
    std::string bytes(sizeof(Number), '\0');
    for (std::size_t i = sizeof(Number); i > 0; --i) {
        bytes[i - 1] = static_cast<char>(value & 0xffU);
        value = static_cast<Number>(value >> 8U);
    }
    return bytes;
}

std::string jobPart(std::string_view prefix, std::uint64_t job, std::uint32_t part)
{
    return std::string(prefix) + number(job) + bigEndian(part);
}

std::string prefixed(std::string_view prefix, std::string_view rest)
{
    return std::string(prefix) + std::string(rest);
}

std::string claimPart(const ClaimKey &key)
{
    return text(key.caller.value) + key.idempotencyKey;
}

} // namespace

std::string number(std::uint64_t value)
{
    return bigEndian(value);
}

std::optional<std::uint64_t> parseNumber(std::string_view bytes)
{
    if (bytes.size() < sizeof(std::uint64_t)) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (const char byte : bytes.substr(0, sizeof(std::uint64_t))) {
        value = (value << 8U) | static_cast<std::uint8_t>(byte);
    }
    return value;
}

std::string text(std::string_view value)
{
    return bigEndian(static_cast<std::uint32_t>(value.size())) + std::string(value);
}

std::string sheet(std::uint64_t sheetNumber)
{
    return prefixed(sheetPrefix, number(sheetNumber));
}

std::string job(std::uint64_t job)
{
    return prefixed(jobPrefix, number(~job));
}

std::string jobId(const JobId &id)
{
    return prefixed("jobid/", id.value);
}

std::string jobKey(const CallerName &caller, const std::string &idempotencyKey)
{
    return prefixed("jobkey/", text(caller.value) + idempotencyKey);
}

std::string body(std::uint64_t job, std::uint32_t index)
{
    return jobPart(bodyPrefix, job, index);
}

std::string item(std::uint64_t job, std::uint32_t index)
{
    return jobPart(itemPrefix, job, index);
}

std::string ended(std::uint64_t job, std::uint32_t chunk)
{
    return jobPart(endedPrefix, job, chunk);
}

std::string result(std::uint64_t job, std::uint32_t index)
{
    return jobPart(resultPrefix, job, index);
}

std::string garbage(std::uint64_t job)
{
    return prefixed(garbagePrefix, number(job));
}

std::string cancelled(std::uint64_t job)
{
    return prefixed(cancelledPrefix, number(job));
}

std::string sequence(const HostId &host, const ServiceName &service)
{
    return prefixed(sequencePrefix, text(host.value) + service.value);
}

std::string fair(const ServiceName &service, const CallerName &caller)
{
    return prefixed(fairPrefix, text(service.value) + caller.value);
}

std::string claim(const ClaimKey &key)
{
    return prefixed(claimPrefix, claimPart(key));
}

std::string runningClaim(const ClaimKey &key)
{
    return prefixed(runningClaimPrefix, claimPart(key));
}

std::string endedClaim(WallTime at, const ClaimKey &key)
{
    const auto milliseconds = static_cast<std::uint64_t>(at.time_since_epoch().count());
    return prefixed(endedClaimPrefix, number(milliseconds)) + claimPart(key);
}

std::string host(const HostId &host)
{
    return prefixed(hostPrefix, host.value);
}

std::string suspect(const std::string &fingerprint)
{
    return prefixed(suspectPrefix, fingerprint);
}

std::string conviction(const std::string &fingerprint)
{
    return prefixed(convictionPrefix, fingerprint);
}

std::string audit(std::uint64_t sequence)
{
    return prefixed(auditPrefix, number(sequence));
}

std::string auditBatch(const HostId &host)
{
    return prefixed(auditBatchPrefix, host.value);
}

std::string bulkJob(const JobId &id)
{
    return prefixed(bulkJobPrefix, id.value);
}

std::string bulkItem(const JobId &id, std::uint32_t index)
{
    return prefixed("bulkitem/", text(id.value)) + bigEndian(index);
}

std::string bulkResult(const JobId &id, std::uint32_t position)
{
    return prefixed("bulkresult/", text(id.value)) + bigEndian(position);
}

std::string bulkProgress(const JobId &id, std::uint32_t index)
{
    return prefixed("bulkprogress/", text(id.value)) + bigEndian(index);
}

std::string retired(const std::string &storeName)
{
    return prefixed(retiredPrefix, storeName);
}

std::string session(std::uint64_t session)
{
    return prefixed(sessionPrefix, number(session));
}

std::string decision(std::uint64_t session, std::uint64_t sequence)
{
    return prefixed(decisionPrefix, number(session) + number(sequence));
}

std::string counter(std::string_view name)
{
    return prefixed("next/", name);
}

std::string bodiesOf(std::uint64_t job)
{
    return prefixed(bodyPrefix, number(job));
}

std::string itemsOf(std::uint64_t job)
{
    return prefixed(itemPrefix, number(job));
}

std::string endedOf(std::uint64_t job)
{
    return prefixed(endedPrefix, number(job));
}

std::optional<JobPart> parseJobPart(std::string_view key, std::string_view prefix)
{
    constexpr std::size_t size = sizeof(std::uint64_t) + sizeof(std::uint32_t);
    if (!key.starts_with(prefix) || key.size() != prefix.size() + size) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    JobPart parsed{.job = parseNumber(key).value_or(0)};
    for (const char byte : key.substr(sizeof(std::uint64_t))) {
        parsed.part = (parsed.part << 8U) | static_cast<std::uint8_t>(byte);
    }
    return parsed;
}

} // namespace persimmonlb::keys
