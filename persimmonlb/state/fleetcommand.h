#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

/// Commands, queries and answers of the replicated state that serve routes, bulk jobs and storage
/// hosts. Values with comparison; codecs are in command.cpp and query.cpp.
namespace persimmonlb
{

/// Puts a complete configuration of routes in force when its version is above the one held.
/// Answered Ok as well when it is not: nothing changes then.
struct PutRoutes {
    std::uint64_t version = 0;
    std::string text; ///< As the operator sent it, checked by the one who proposes it.
    WallTime at;

    bool operator==(const PutRoutes &) const = default;
};

struct TextField {
    std::string name;
    std::string value;

    bool operator==(const TextField &) const = default;
};

/// One item of a bulk job: a request for tokens that is sent when there is room.
struct BulkItemSpec {
    std::string id;
    std::string path;
    std::vector<TextField> headers;
    std::string body;
    std::uint64_t tokens = 0; ///< Of the prompt and at most of the answer, added up.

    bool operator==(const BulkItemSpec &) const = default;
};

/// Accepts a whole bulk job. One that is known is answered Ok again. code QuotaExceeded: the
/// tokens that wait on the route would exceed `maxWaitingTokens`.
struct AcceptBulk {
    JobId id;
    std::string route; ///< Name of the route whose waiting tokens count.
    std::string host; ///< Of the request; with an item's path it chooses the service.
    std::vector<BulkItemSpec> items;
    std::uint64_t maxWaitingTokens = 0; ///< 0: no bound.
    std::uint32_t maxAttempts = 1; ///< Failed runs after which an item is given up.
    Milliseconds dueAfter{0};
    Milliseconds abandonAfter{0};
    Milliseconds keepFor{0}; ///< Results stay readable for so long after the submission.
    WallTime at;
    CustomerName customer = {}; ///< Whose waiting tokens count; empty: those of all callers.

    bool operator==(const AcceptBulk &) const = default;
};

enum class BulkItemPhase : std::uint8_t {
    Waiting,
    Completed,
    DeadLettered, ///< Given up for good.
};

/// How a run of an item ended. Waiting: the run failed and counts as an attempt.
struct BulkOutcome {
    std::uint32_t index = 0;
    BulkItemPhase phase = BulkItemPhase::Waiting;
    std::uint32_t attempt = 0; ///< Of a failed run: 1 for the first; counted once.
    std::uint64_t fromCount = 0; ///< Events saved before, which `output` follows; 0: it is whole.
    std::string output; ///< Data of the events, separated by line feeds.

    bool operator==(const BulkOutcome &) const = default;
};

/// Records outcomes of one job. The first end of an item holds; later ones are dropped. code
/// MalformedRequest: an output does not follow what is saved, and nothing was recorded of it.
struct RecordBulk {
    JobId id;
    std::vector<BulkOutcome> outcomes;
    WallTime at;

    bool operator==(const RecordBulk &) const = default;
};

/// What a run of an item has produced beyond what was saved before.
struct BulkProgress {
    JobId id;
    std::uint32_t index = 0;
    std::uint64_t fromCount = 0; ///< Events saved before; 0 replaces what is saved.
    std::uint64_t count = 0; ///< Events so far.
    std::uint64_t lastEventId = 0;
    std::string output; ///< Of the events beyond `fromCount`, as it follows what is saved.

    bool operator==(const BulkProgress &) const = default;
};

/// Saves progress, so that another leader goes on with an item instead of starting it anew.
struct SaveBulkProgress {
    std::vector<BulkProgress> parts;
    WallTime at;

    bool operator==(const SaveBulkProgress &) const = default;
};

/// Keeps the servers that the leader knows, for the first moments after all hosts were down.
struct SaveFleet {
    std::string view; ///< An encoded message with a FleetView.
    WallTime at;

    bool operator==(const SaveFleet &) const = default;
};

/// Ends a job: what has no result yet never gets one. code NotFound: no such job.
struct EndBulk {
    JobId id;
    WallTime at;

    bool operator==(const EndBulk &) const = default;
};

/// Asks that a storage host leaves the group for good.
struct RetireStore {
    std::string name;
    WallTime at;

    bool operator==(const RetireStore &) const = default;
};

// ---- queries --------------------------------------------------------------------------------

struct RoutesQuery {
    bool operator==(const RoutesQuery &) const = default;
};

struct RoutesAnswer {
    std::uint64_t version = 0; ///< 0: none accepted yet.
    std::string text;

    bool operator==(const RoutesAnswer &) const = default;
};

/// Results of a job from a position on, in the order in which they were recorded.
struct BulkPageQuery {
    JobId id;
    std::uint32_t after = 0;
    std::uint32_t maxBytes = 1024 * 1024; ///< At least one result is given, whatever its size.

    bool operator==(const BulkPageQuery &) const = default;
};

struct BulkResult {
    std::string id;
    BulkItemPhase phase = BulkItemPhase::Completed;
    std::string output;

    bool operator==(const BulkResult &) const = default;
};

struct BulkPage {
    bool found = false;
    std::uint32_t total = 0; ///< Items of the job.
    std::vector<BulkResult> results;

    bool operator==(const BulkPage &) const = default;
};

/// Body of an item.
struct BulkBodyQuery {
    JobId id;
    std::string item;

    bool operator==(const BulkBodyQuery &) const = default;
};

struct BulkBody {
    bool found = false;
    std::string body;

    bool operator==(const BulkBody &) const = default;
};

/// Storage hosts that were asked to leave, by name.
struct RetiredStoresQuery {
    bool operator==(const RetiredStoresQuery &) const = default;
};

struct RetiredStores {
    std::vector<std::string> names;

    bool operator==(const RetiredStores &) const = default;
};

} // namespace persimmonlb
