#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/state/fleetcommand.h"

/// Typed commands of the replicated log and their replies. Each is an immutable value with
/// comparison; the codec (CBOR) is in command.cpp.
///
/// A command that was accepted is idempotent by its own identifiers; one that was refused is not,
/// as it may be accepted when it is proposed again. A client that sends copies of a command
/// therefore adds a CommandOrigin, by which all copies get the reply of the first one that is
/// applied.
namespace persimmonlb
{

/// A process that holds leases on items and claims: one start of one host.
struct Owner {
    HostId host;
    Incarnation incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const Owner &) const = default;
};

// ---- sheets -------------------------------------------------------------------------------

/// Proposes a sheet. Accepted when its number is above the one in force.
struct ApplySheet {
    std::string text; ///< TOML, as the operator sent it.
    OperatorName by;
    WallTime at;

    bool operator==(const ApplySheet &) const = default;
};

/// code: Ok, SheetAlreadyAccepted, SheetNumberTooOld, SheetNumberTaken or SheetMalformed.
struct SheetReply {
    ResultCode code = ResultCode::Ok;
    std::string message;
    std::uint64_t numberInForce = 0;
    std::string digestInForce; ///< SHA-256 of the accepted text, hexadecimal.

    bool operator==(const SheetReply &) const = default;
};

// ---- batch jobs ---------------------------------------------------------------------------

/// One line of a batch job as submitted.
struct ItemSpec {
    std::string customId;
    bool idempotent = true;
    std::string body; ///< JSON request body for the service.

    bool operator==(const ItemSpec &) const = default;
};

/// Opens a job under (caller, idempotencyKey). A job whose key exists answers with that job.
struct OpenJob {
    JobId id; ///< Proposed id; the reply names the one that holds.
    CallerName caller;
    std::string idempotencyKey;
    ServiceName service;
    WallTime due;
    std::uint32_t itemCount = 0;
    std::string bodyDigest; ///< SHA-256 of the whole submitted body.
    WallTime at;

    bool operator==(const OpenJob &) const = default;
};

/// Adds the items [firstIndex, firstIndex + items.size()) of an open, unsealed job. Repeatable.
struct AddItems {
    JobId id;
    std::uint32_t firstIndex = 0;
    std::vector<ItemSpec> items;

    bool operator==(const AddItems &) const = default;
};

/// Accepts the job: from here on every item ends with exactly one result.
struct SealJob {
    JobId id;
    WallTime at;

    bool operator==(const SealJob &) const = default;
};

/// code: Ok, KeyReusedWithOtherBody, NotFound, MalformedRequest (items missing at seal).
struct JobReply {
    ResultCode code = ResultCode::Ok;
    std::string message;
    JobId id;
    bool sealed = false; ///< The job is accepted.
    bool existed = false; ///< The key was known: a resend.

    bool operator==(const JobReply &) const = default;
};

struct CancelJob {
    JobId id;
    CallerName caller;
    std::string by; ///< Caller or operator name, for the audit trail.
    WallTime at;

    bool operator==(const CancelJob &) const = default;
};

/// Asks for up to `maxItems` items of `service`, earliest due first, fair among callers of a
/// due class. The same (owner, sequence) again gets the same items again.
struct LeaseItems {
    Owner owner;
    std::uint64_t sequence = 0;
    ServiceName service;
    std::uint32_t maxItems = 0;
    WallTime at;

    bool operator==(const LeaseItems &) const = default;
};

struct LeasedItem {
    JobId job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0; ///< 1 for the first.
    CallerName caller;
    std::string customId;
    bool idempotent = true;
    std::string body;
    WallTime due;

    bool operator==(const LeasedItem &) const = default;
};

struct LeaseReply {
    std::vector<LeasedItem> items;
    std::uint64_t pending = 0; ///< Items of this service that still wait after this lease.

    bool operator==(const LeaseReply &) const = default;
};

enum class ItemOutcomeKind : std::uint8_t {
    Succeeded, ///< The server answered; `status` and `body` are the result.
    Rejected, ///< The server says that this item can never be done; final.
    Failed, ///< The attempt failed after bytes were sent; counts as an attempt.
    NotRun, ///< Nothing was sent; the item goes back and the attempt does not count.
};

/// How one attempt ended. First writer wins per (job, index); one of an old attempt, an old
/// owner or a cancelled job is dropped.
struct ItemOutcome {
    JobId job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    ItemOutcomeKind kind = ItemOutcomeKind::Succeeded;
    std::uint16_t status = 0;
    std::string body;

    bool operator==(const ItemOutcome &) const = default;
};

struct CompleteItems {
    Owner owner;
    std::vector<ItemOutcome> outcomes;
    WallTime at;

    bool operator==(const CompleteItems &) const = default;
};

struct CompleteReply {
    std::uint32_t recorded = 0;
    std::uint32_t dropped = 0; ///< Late, doubled or cancelled.

    bool operator==(const CompleteReply &) const = default;
};

/// Takes back everything that an owner holds: its lease ran out, or a later incarnation of its
/// host lives. Idempotent items go back to waiting (the attempt counts); items that are not
/// idempotent end as unknown; claims without outcome become unknown.
struct ReleaseOwner {
    Owner owner;
    WallTime at;

    bool operator==(const ReleaseOwner &) const = default;
};

// ---- claims of requests that are not idempotent ---------------------------------------------

struct ClaimKey {
    CallerName caller;
    std::string idempotencyKey;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const ClaimKey &) const = default;
};

/// Claims a request before its first byte is sent. Granted at most once per key.
struct ClaimRequest {
    ClaimKey key;
    ServiceName service;
    std::string bodyDigest;
    Owner owner;
    std::string requestId;
    WallTime at;

    bool operator==(const ClaimRequest &) const = default;
};

enum class ClaimState : std::uint8_t {
    Granted, ///< The asker may send the request, once.
    Running, ///< Granted to another request; wait or ask again.
    Answered, ///< `answer` holds the recorded answer.
    Unknown, ///< The owner was lost; the request is never run again.
    NotSent, ///< The owner says that it sent nothing; the key may be claimed again.
    Conflict, ///< The key was used with another body.
};

struct RecordedAnswer {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const RecordedAnswer &) const = default;
};

struct ClaimReply {
    ClaimState state = ClaimState::Unknown;
    Owner owner;
    RecordedAnswer answer;

    bool operator==(const ClaimReply &) const = default;
};

/// Records how a claimed request ended. Only the owner's first outcome counts.
struct RecordOutcome {
    ClaimKey key;
    Owner owner;
    std::string requestId;
    ClaimState state = ClaimState::Unknown; ///< Answered, Unknown or NotSent.
    RecordedAnswer answer;
    WallTime at;

    bool operator==(const RecordOutcome &) const = default;
};

// ---- hosts, quarantine, orders, audit ----------------------------------------------------------

/// Enters one start of an entry host. A higher incarnation releases what a lower one held.
struct RegisterHost {
    Owner owner;
    std::string address; ///< "ip:port" that callers connect to.
    AvailabilityZone availabilityZone;
    Region region;
    WallTime at;

    bool operator==(const RegisterHost &) const = default;
};

/// Marks a host as draining or takes the mark away.
struct DrainHost {
    HostId host;
    bool draining = true;
    std::string by;
    WallTime at;

    bool operator==(const DrainHost &) const = default;
};

/// Reports requests that were in flight on a server when it was lost. A fingerprint that is
/// reported with two different lost servers is convicted for `period`.
struct ReportSuspects {
    ServerId server;
    std::uint64_t serverIncarnation = 0;
    std::vector<std::string> fingerprints;
    bool alone = false; ///< The only request in flight there.
    Milliseconds period{0};
    WallTime at;

    bool operator==(const ReportSuspects &) const = default;
};

/// Takes a conviction back.
struct ReleaseQuarantine {
    std::string fingerprint;
    std::string by;
    WallTime at;

    bool operator==(const ReleaseQuarantine &) const = default;
};

/// Reserves the next fencing numbers for orders to backend servers.
struct ReserveFencing {
    std::uint32_t count = 1;
    std::string description;
    WallTime at;

    bool operator==(const ReserveFencing &) const = default;
};

struct FencingReply {
    std::uint64_t first = 0;

    bool operator==(const FencingReply &) const = default;
};

/// One line of the audit trail.
struct AuditRecord {
    std::uint64_t sequence = 0; ///< Given by the state machine.
    WallTime at;
    std::string
        kind; ///< "sheet", "job", "cancel", "refusal", "member", "drain", "order", "quarantine".
    std::string who; ///< Operator, caller or host.
    std::string subject; ///< Sheet number, job id, server, ...
    std::uint16_t code = 0;
    std::uint64_t count = 1; ///< Events this record stands for.
    std::string detail;

    bool operator==(const AuditRecord &) const = default;
};

/// Records shipped by an entry host. The same (owner, batch) again adds nothing.
struct AppendAudit {
    Owner owner;
    std::uint64_t batch = 0;
    std::vector<AuditRecord> records;

    bool operator==(const AppendAudit &) const = default;
};

/// Reply of commands that answer with a code alone.
struct PlainReply {
    ResultCode code = ResultCode::Ok;
    std::string message;

    bool operator==(const PlainReply &) const = default;
};

using Command
    = std::variant<ApplySheet, OpenJob, AddItems, SealJob, CancelJob, LeaseItems, CompleteItems,
                   ReleaseOwner, ClaimRequest, RecordOutcome, RegisterHost, DrainHost,
                   ReportSuspects, ReleaseQuarantine, ReserveFencing, AppendAudit, PutRoutes,
                   AcceptBulk, RecordBulk, EndBulk, RetireStore, SaveBulkProgress, SaveFleet>;

using Reply = std::variant<PlainReply, SheetReply, JobReply, LeaseReply, CompleteReply, ClaimReply,
                           FencingReply>;

/// Identifies a client's command over all copies of it.
struct CommandOrigin {
    std::uint64_t session = 0; ///< One client of one process; 0: the command has no origin.
    std::uint64_t sequence = 0; ///< Increases with each command of a session.
    /// The client waits for no reply to a command with a lower sequence number. Copies of those are
    /// not applied any more.
    std::uint64_t oldestPending = 0;

    bool operator==(const CommandOrigin &) const = default;
};

/// A command as it stands in the log.
struct LoggedCommand {
    Command command;
    CommandOrigin origin;

    bool operator==(const LoggedCommand &) const = default;
};

/// Name of the command's type, for logs and metrics.
std::string_view commandName(const Command &command);
std::string encodeCommand(const Command &command, const CommandOrigin &origin = {});
/// Errors: MalformedRequest.
Outcome<LoggedCommand> decodeLoggedCommand(std::string_view bytes);
/// Decodes a command without its origin. Errors: MalformedRequest.
Outcome<Command> decodeCommand(std::string_view bytes);
std::string encodeReply(const Reply &reply);
/// Errors: MalformedRequest.
Outcome<Reply> decodeReply(std::string_view bytes);

} // namespace persimmonlb
