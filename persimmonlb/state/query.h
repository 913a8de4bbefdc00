#pragma once

#include "persimmonlb/state/command.h"

/// Typed read-only questions to the replicated state and their answers (CBOR). They are answered
/// by the leader after a read barrier.
namespace persimmonlb
{

/// The sheet in force.
struct SheetQuery {
    bool operator==(const SheetQuery &) const = default;
};

struct SheetAnswer {
    std::uint64_t number = 0; ///< 0: none accepted yet.
    std::string digest;
    std::string text;
    OperatorName by;
    WallTime acceptedAt;

    bool operator==(const SheetAnswer &) const = default;
};

enum class JobState : std::uint8_t { Open, Running, Cancelled, Finished };

struct JobQuery {
    JobId id;

    bool operator==(const JobQuery &) const = default;
};

/// Lists jobs of a caller (all callers when empty), newest first.
struct JobListQuery {
    CallerName caller;
    std::uint32_t limit = 100;

    bool operator==(const JobListQuery &) const = default;
};

struct JobSummary {
    JobId id;
    CallerName caller;
    ServiceName service;
    JobState state = JobState::Open;
    WallTime submittedAt;
    WallTime due;
    std::uint32_t total = 0;
    std::uint32_t pending = 0;
    std::uint32_t running = 0;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    std::uint32_t cancelled = 0;

    bool operator==(const JobSummary &) const = default;
};

struct JobListAnswer {
    std::vector<JobSummary> jobs; ///< At most one for a JobQuery; empty when unknown.

    bool operator==(const JobListAnswer &) const = default;
};

/// Results of the items [firstIndex, firstIndex + limit) that have ended.
struct ResultsQuery {
    JobId id;
    std::uint32_t firstIndex = 0;
    std::uint32_t limit = 1000;

    bool operator==(const ResultsQuery &) const = default;
};

enum class ItemState : std::uint8_t { Pending, Leased, Succeeded, Failed, Cancelled };

struct ItemResult {
    std::uint32_t index = 0;
    std::string customId;
    ItemState state = ItemState::Pending;
    std::uint32_t attempts = 0;
    std::uint16_t status = 0; ///< HTTP status of the server's answer; 0 without one.
    std::uint16_t code = 0; ///< Result code of a failure; 0 for success.
    std::string body;

    bool operator==(const ItemResult &) const = default;
};

struct ResultsAnswer {
    bool found = false;
    JobState jobState = JobState::Open;
    std::uint32_t total = 0;
    std::vector<ItemResult> items; ///< Ended items only.
    std::uint32_t nextIndex = 0; ///< Where to go on; equals total at the end.

    bool operator==(const ResultsAnswer &) const = default;
};

struct ClaimQuery {
    ClaimKey key;

    bool operator==(const ClaimQuery &) const = default;
};

struct AuditQuery {
    WallTime since;
    std::string kind; ///< Empty: all.
    std::uint64_t afterSequence = 0;
    std::uint32_t limit = 1000;

    bool operator==(const AuditQuery &) const = default;
};

struct AuditAnswer {
    std::vector<AuditRecord> records;
    std::uint64_t nextAfter = 0; ///< afterSequence to go on with.
    bool more = false; ///< Records after nextAfter were not examined.

    bool operator==(const AuditAnswer &) const = default;
};

/// Everything an entry host keeps beside the sheet: convictions and draining hosts.
struct EntryStateQuery {
    bool operator==(const EntryStateQuery &) const = default;
};

struct Conviction {
    std::string fingerprint;
    WallTime until;

    bool operator==(const Conviction &) const = default;
};

struct EntryStateAnswer {
    std::uint64_t version = 0; ///< Rises with every change of this answer.
    std::vector<Conviction> convictions;
    std::vector<std::string> suspects; ///< Fingerprints reported with one lost server.
    std::vector<HostId> draining;
    std::vector<JobId> cancelledRecently; ///< Jobs cancelled and not yet without running items.

    bool operator==(const EntryStateAnswer &) const = default;
};

using Query
    = std::variant<SheetQuery, JobQuery, JobListQuery, ResultsQuery, ClaimQuery, AuditQuery,
                   EntryStateQuery, RoutesQuery, BulkPageQuery, BulkBodyQuery, RetiredStoresQuery>;
using Answer
    = std::variant<PlainReply, SheetAnswer, JobListAnswer, ResultsAnswer, ClaimReply, AuditAnswer,
                   EntryStateAnswer, RoutesAnswer, BulkPage, BulkBody, RetiredStores>;

std::string encodeQuery(const Query &query);
/// Errors: MalformedRequest.
Outcome<Query> decodeQuery(std::string_view bytes);
std::string encodeAnswer(const Answer &answer);
/// Errors: MalformedRequest.
Outcome<Answer> decodeAnswer(std::string_view bytes);

} // namespace persimmonlb
