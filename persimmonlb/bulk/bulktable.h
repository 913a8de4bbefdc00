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
    std::uint32_t attempts = 0; ///< Runs that failed and count towards `maxAttempts`.

    bool operator==(const BulkItem &) const = default;
};

/// A bulk job without the bodies and results of its items.
struct BulkJob {
    std::string route;
    std::string host;
    CustomerName customer; ///< Empty: none.
    WallTime submittedAt;
    WallTime dueAt;
    WallTime abandonAt; ///< Items without a result are abandoned after this time.
    WallTime keepUntil; ///< A job that is no longer open is removed after this time.
    std::uint32_t maxAttempts = 1;
    bool ended = false; ///< Ended by its caller.
    std::uint32_t resultCount = 0; ///< Recorded results; also the position of the next result.
    std::vector<BulkItem> items;

    /// Returns true while an item has no result but may still get one.
    [[nodiscard]] bool isOpen() const
    {
        return !ended && resultCount < items.size();
    }
    bool operator==(const BulkJob &) const = default;
};

/// Holds the bulk jobs of the replicated state.
///
/// A job is accepted as a whole. Its results are listed in the order in which they were recorded,
/// and a result never changes its position or content. Bodies and results are kept only in the
/// state store, not in memory. A job that is no longer open is removed after its `keepUntil`.
///
/// Deterministic: time is taken from the commands. Not thread-safe.
class BulkTable
{
public:
    explicit BulkTable(StateStore store);

    /// Adds a job. Returns Ok without a change if its id is known. Errors: QuotaExceeded if the
    /// tokens of the waiting items of its customer on its route would exceed the command's
    /// `maxWaitingTokens`.
    PlainReply accept(const AcceptBulk &command, MutationList &changes);
    /// Records outcomes of a job's items; an item that has a result ignores further ones. Errors:
    /// NotFound if the job is unknown or ended; MalformedRequest if an output does not continue the
    /// saved progress, in which case that outcome is dropped.
    PlainReply record(const RecordBulk &command, MutationList &changes);
    /// Ends a job for its caller; results recorded so far stay readable. Errors: NotFound.
    PlainReply end(const EndBulk &command, MutationList &changes);
    /// Saves the progress of items; drops parts that do not continue the progress saved before.
    void saveProgress(const SaveBulkProgress &command, MutationList &changes);
    /// Removes jobs that are not open and whose `keepUntil` is not after `at`.
    void expire(WallTime at, MutationList &changes);

    /// Returns results of a job from position `after` on, at least one if there is any and
    /// otherwise at most `maxBytes` of output.
    [[nodiscard]] BulkPage page(const BulkPageQuery &query) const;
    /// Returns the body of an item as submitted; `found` is false if the job is unknown or ended,
    /// or has no such item.
    [[nodiscard]] BulkBody body(const BulkBodyQuery &query) const;
    [[nodiscard]] const std::map<JobId, BulkJob> &jobs() const;
    /// Returns an item as submitted, or nothing if it is unknown or unreadable.
    [[nodiscard]] std::optional<BulkItemSpec> spec(const JobId &id, std::uint32_t index) const;
    /// Returns the saved progress of an item that has no result, or nothing. Its `fromCount` is 0.
    [[nodiscard]] std::optional<BulkProgress> progress(const JobId &id, std::uint32_t index) const;
    /// Returns a number that increases with every change.
    [[nodiscard]] std::uint64_t version() const;
    /// Returns a number that increases when a caller ends its job and when all jobs are reloaded.
    [[nodiscard]] std::uint64_t endVersion() const;

    /// Replaces all jobs by those in the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    /// Returns the tokens of a customer's items without a result on the route.
    [[nodiscard]] std::uint64_t waitingTokens(const std::string &route,
                                              const CustomerName &customer) const;
    void write(const JobId &id, const BulkJob &job, MutationList &changes);

    StateStore store_;
    std::map<JobId, BulkJob> jobs_;
    std::uint64_t version_ = 0;
    std::uint64_t endVersion_ = 0;
};

} // namespace persimmonlb
