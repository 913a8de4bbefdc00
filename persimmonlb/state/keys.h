#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/state/command.h"

/// Keys of the replicated state in the state store. Numbers are big-endian, so that byte order is
/// numeric order; texts that others follow are preceded by their length.
///
///   sheet/NUMBER                  accepted sheet: text, by, accepted at
///   job/~JOB                      job record; the complement lists newest first
///   jobid/ID                      number of the job with this id
///   jobkey/CALLER KEY             number of the job that a caller opened under a key
///   body/JOB INDEX                item as submitted
///   item/JOB INDEX                item that was leased and has not ended
///   ended/JOB CHUNK               ended items of a chunk, two bits each
///   result/JOB INDEX              how an item ended
///   garbage/JOB                   dropped job whose bodies are being removed
///   cancelled/JOB                 recently cancelled job
///   sequence/HOST SERVICE         last lease sequence of a host's owner
///   fair/SERVICE CALLER           fair-share tag; an empty caller: the service's own record
///   claim/CALLER KEY              claim and its outcome
///   claimrun/CALLER KEY           claim without an outcome
///   claimend/TIME CALLER KEY      claim whose recorded answer is kept
///   host/HOST                     registered host
///   suspect/FINGERPRINT           requests in flight on a lost server
///   conviction/FINGERPRINT        quarantined requests
///   audit/SEQUENCE                audit record
///   auditbatch/HOST               audit batches taken from a host
///   routes                        routes in force: version and text
///   bulk/ID                       bulk job: its items' phases and what it was accepted with
///   bulkitem/ID INDEX             item of a bulk job as submitted
///   bulkresult/ID POSITION        result of a bulk job
///   bulkprogress/ID INDEX         what an item without a result has so far
///   fleet                         servers that the leader knew last
///   retired/NAME                  storage host that was asked to leave
///   session/SESSION               client session: its oldest pending command, its last log index
///   decision/SESSION SEQUENCE     encoded reply to a client's command
///   next/NAME                     counters: "job", "fencing", "audit", "entrystate"
namespace persimmonlb::keys
{

/// Eight bytes, big-endian.
std::string number(std::uint64_t value);
/// The number in the first eight bytes, or nothing when there are fewer.
std::optional<std::uint64_t> parseNumber(std::string_view bytes);
/// Length and bytes of a text.
std::string text(std::string_view value);

std::string sheet(std::uint64_t sheetNumber);
std::string job(std::uint64_t job);
std::string jobId(const JobId &id);
std::string jobKey(const CallerName &caller, const std::string &idempotencyKey);
std::string body(std::uint64_t job, std::uint32_t index);
std::string item(std::uint64_t job, std::uint32_t index);
std::string ended(std::uint64_t job, std::uint32_t chunk);
std::string result(std::uint64_t job, std::uint32_t index);
std::string garbage(std::uint64_t job);
std::string cancelled(std::uint64_t job);
std::string sequence(const HostId &host, const ServiceName &service);
std::string fair(const ServiceName &service, const CallerName &caller);
std::string claim(const ClaimKey &key);
std::string runningClaim(const ClaimKey &key);
std::string endedClaim(WallTime at, const ClaimKey &key);
std::string host(const HostId &host);
std::string suspect(const std::string &fingerprint);
std::string conviction(const std::string &fingerprint);
std::string audit(std::uint64_t sequence);
std::string auditBatch(const HostId &host);
std::string counter(std::string_view name);
std::string bulkJob(const JobId &id);
std::string bulkItem(const JobId &id, std::uint32_t index);
std::string bulkResult(const JobId &id, std::uint32_t position);
std::string bulkProgress(const JobId &id, std::uint32_t index);
std::string retired(const std::string &storeName);
std::string session(std::uint64_t session);
std::string decision(std::uint64_t session, std::uint64_t sequence);

inline constexpr std::string_view sheetPrefix = "sheet/";
inline constexpr std::string_view jobPrefix = "job/";
inline constexpr std::string_view bodyPrefix = "body/";
inline constexpr std::string_view itemPrefix = "item/";
inline constexpr std::string_view endedPrefix = "ended/";
inline constexpr std::string_view garbagePrefix = "garbage/";
inline constexpr std::string_view cancelledPrefix = "cancelled/";
inline constexpr std::string_view sequencePrefix = "sequence/";
inline constexpr std::string_view fairPrefix = "fair/";
inline constexpr std::string_view claimPrefix = "claim/";
inline constexpr std::string_view runningClaimPrefix = "claimrun/";
inline constexpr std::string_view endedClaimPrefix = "claimend/";
inline constexpr std::string_view hostPrefix = "host/";
inline constexpr std::string_view suspectPrefix = "suspect/";
inline constexpr std::string_view convictionPrefix = "conviction/";
inline constexpr std::string_view auditPrefix = "audit/";
inline constexpr std::string_view auditBatchPrefix = "auditbatch/";
inline constexpr std::string_view routes = "routes";
inline constexpr std::string_view fleet = "fleet";
inline constexpr std::string_view bulkJobPrefix = "bulk/";
inline constexpr std::string_view retiredPrefix = "retired/";
inline constexpr std::string_view sessionPrefix = "session/";
inline constexpr std::string_view decisionPrefix = "decision/";

/// Prefixes of one job's keys.
std::string bodiesOf(std::uint64_t job);
std::string itemsOf(std::uint64_t job);
std::string endedOf(std::uint64_t job);

/// A job and the number that follows it in a key.
struct JobPart {
    std::uint64_t job = 0;
    std::uint32_t part = 0;

    bool operator==(const JobPart &) const = default;
};

/// Takes apart a key of body/, item/, ended/ or result/; nothing when it is none.
std::optional<JobPart> parseJobPart(std::string_view key, std::string_view prefix);

} // namespace persimmonlb::keys
