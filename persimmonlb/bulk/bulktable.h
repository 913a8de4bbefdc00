#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/fleetcommand.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

struct BulkItem {
    std::string id;
    std::uint64_t tokens = 0;
    BulkItemPhase phase = BulkItemPhase::Waiting;
    std::uint32_t attempts = 0; ///< Failed runs.

    bool operator==(const BulkItem &) const = default;
};

/// A bulk job without bodies and results.
struct BulkJob {
    std::string route;
    std::string host;
    WallTime submittedAt;
    WallTime dueAt;
    WallTime abandonAt;
    WallTime keepUntil;
    std::uint32_t maxAttempts = 1;
    bool ended = false; ///< By its caller.
    std::uint32_t listed = 0; ///< Results recorded; the next one gets this position.
    std::vector<BulkItem> items;

    /// True while some item has no result and may get one.
    [[nodiscard]] bool isOpen() const
    {
        return !ended && listed < items.size();
    }
    bool operator==(const BulkJob &) const = default;
};

/// Bulk jobs: accepted whole, their results listed in the order in which they were recorded. A
/// position never changes its content. Bodies and results live in the state store only; jobs that
/// are no longer open are removed once their time is over.
///
/// Deterministic: time comes from the commands. Not thread-safe.
class BulkTable
{
public:
    explicit BulkTable(StateStore store);

    PlainReply accept(const AcceptBulk &command, MutationList &changes);
    PlainReply record(const RecordBulk &command, MutationList &changes);
    PlainReply end(const EndBulk &command, MutationList &changes);
    /// Parts that do not follow what is saved are dropped.
    void saveProgress(const SaveBulkProgress &command, MutationList &changes);
    void expire(WallTime at, MutationList &changes);

    [[nodiscard]] BulkPage page(const BulkPageQuery &query) const;
    [[nodiscard]] BulkBody body(const BulkBodyQuery &query) const;
    [[nodiscard]] const std::map<JobId, BulkJob> &jobs() const;
    /// An item as submitted, or nothing.
    [[nodiscard]] std::optional<BulkItemSpec> spec(const JobId &id, std::uint32_t index) const;
    /// What was saved of an item without a result; nothing of it is in `fromCount`.
    [[nodiscard]] std::optional<BulkProgress> progress(const JobId &id, std::uint32_t index) const;
    /// Rises with every change.
    [[nodiscard]] std::uint64_t version() const;
    /// Rises when a job is ended by its caller, and when all jobs were read anew.
    [[nodiscard]] std::uint64_t endings() const;

    /// Reads the jobs anew from the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    [[nodiscard]] std::uint64_t waitingTokens(const std::string &route) const;
    void write(const JobId &id, const BulkJob &job, MutationList &changes);

    StateStore store_;
    std::map<JobId, BulkJob> jobs_;
    std::uint64_t version_ = 0;
    std::uint64_t endings_ = 0;
};

} // namespace persimmonlb
