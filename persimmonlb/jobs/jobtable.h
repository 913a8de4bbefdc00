#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/jobs/itemphase.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

namespace internal
{
class LiveJob;
class ServiceQueue;
struct ItemRecord;
struct JobRecord;
struct ResultRecord;
} // namespace internal

/// What the jobs take from the sheet in force.
struct JobPolicy {
    std::function<std::uint32_t(const ServiceName &)> maxBatchAttempts;
    std::function<std::uint32_t(const CallerName &)> weight; ///< At least 1.
};

/// Batch jobs, their items, the leases on items and their results.
///
/// A job is open until it is sealed; from then on it is accepted and every item ends with exactly
/// one readable result. Items that wait cost no memory until they are first leased; bodies and
/// results are in the state store only. Jobs that have ended are in the state store only, and are
/// kept. A job that is not sealed within an hour is dropped.
///
/// Deterministic: holds no clock. Each command appends its changes, which the caller writes
/// before the next one. Not thread-safe.
class JobTable
{
public:
    JobTable(StateStore store, JobPolicy policy);
    JobTable(const JobTable &) = delete;
    JobTable &operator=(const JobTable &) = delete;
    ~JobTable();

    JobReply open(const OpenJob &command, MutationList &changes);
    JobReply add(const AddItems &command, MutationList &changes);
    JobReply seal(const SealJob &command, MutationList &changes);
    /// Ok also for a job that has ended or was cancelled before; NotFound for another caller's.
    PlainReply cancel(const CancelJob &command, MutationList &changes);
    /// An owner repeats a sequence until it has the answer, and asks for one sequence of a
    /// service at a time; a sequence below one already answered gets what is left of its items.
    LeaseReply lease(const LeaseItems &command, MutationList &changes);
    CompleteReply complete(const CompleteItems &command, MutationList &changes);
    /// Takes back every item that `owner` holds. Returns their number.
    std::uint32_t release(const Owner &owner, MutationList &changes);
    /// Forgets cancellations older than a minute and removes what dropped jobs left behind.
    /// Returns true when cancelledRecently() changed.
    bool expire(WallTime at, MutationList &changes);

    [[nodiscard]] JobListAnswer find(const JobId &id) const;
    /// Newest first, among the 20,000 newest jobs.
    [[nodiscard]] JobListAnswer list(const JobListQuery &query) const;
    [[nodiscard]] ResultsAnswer results(const ResultsQuery &query) const;
    [[nodiscard]] std::uint64_t pendingItems(const ServiceName &service) const;
    /// Services with items that wait.
    [[nodiscard]] std::vector<ServiceName> pendingServices() const;
    /// Owners that hold leases.
    [[nodiscard]] std::set<Owner> owners() const;
    /// Jobs cancelled within the last minute of command time.
    [[nodiscard]] std::vector<JobId> cancelledRecently() const;
    /// Bytes of the index in memory, near enough for a benchmark.
    [[nodiscard]] std::size_t memoryBytes() const;

    /// Reads the index anew from the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    struct ItemKey {
        std::uint64_t job = 0;
        std::uint32_t index = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
        auto operator<=>(const ItemKey &) const = default;
    };
    struct HeldItem {
        std::uint64_t sequence = 0;
        bool idempotent = true;
    };
    struct Cancellation {
        JobId id;
        WallTime at;
    };
    using EndedChunks = std::set<std::pair<std::uint64_t, std::uint32_t>>;

    // Jobs (jobtable.cpp).
    [[nodiscard]] std::uint64_t numberOf(const JobId &id) const;
    [[nodiscard]] internal::LiveJob *live(std::uint64_t number) const;
    [[nodiscard]] internal::LiveJob *live(const JobId &id) const;
    void addLive(std::unique_ptr<internal::LiveJob> job);
    void removeLive(std::uint64_t number);
    [[nodiscard]] std::optional<internal::JobRecord> recordOf(std::uint64_t number) const;
    [[nodiscard]] JobReply existing(std::uint64_t number, const OpenJob &command) const;
    void writeRecord(const internal::LiveJob &job, MutationList &changes) const;
    void finishIfAllEnded(std::uint64_t number, MutationList &changes);
    void dropItems(const internal::LiveJob &job);
    void dropOneAbandoned(WallTime at, MutationList &changes);
    void removeGarbage(MutationList &changes);

    // Leases (jobleases.cpp).
    internal::ServiceQueue &queue(const ServiceName &service);
    [[nodiscard]] LeaseReply heldBySequence(const LeaseItems &command) const;
    bool advanceSequence(const LeaseItems &command, MutationList &changes);
    void readmitDeferred(internal::ServiceQueue &queue, std::uint64_t round);
    void fillLease(const LeaseItems &command, LeaseReply &reply, MutationList &changes);
    void leaseOne(internal::LiveJob &job, const LeaseItems &command, LeaseReply &reply,
                  EndedChunks &chunks, MutationList &changes);
    bool completeOne(const Owner &owner, const ItemOutcome &outcome, EndedChunks &chunks,
                     MutationList &changes);
    void applyOutcome(internal::LiveJob &job, const ItemOutcome &outcome, bool idempotent,
                      EndedChunks &chunks, MutationList &changes);
    void failAttempt(internal::LiveJob &job, const ItemOutcome &outcome, ItemEvent event,
                     bool idempotent, EndedChunks &chunks, MutationList &changes);
    void makeReady(internal::LiveJob &job, std::uint32_t index);
    void returnItem(internal::LiveJob &job, std::uint32_t index, bool deferred, bool idempotent,
                    MutationList &changes);
    void endItem(internal::LiveJob &job, std::uint32_t index, ItemEvent event,
                 const internal::ResultRecord &result, EndedChunks &chunks, MutationList &changes);
    void writeEnded(const EndedChunks &chunks, MutationList &changes);
    void writeQueue(const ServiceName &service, const internal::ServiceQueue &queue,
                    const std::set<CallerName> &callers, MutationList &changes) const;

    // Reload (jobreload.cpp).
    Result<void> reloadJobs();
    Result<void> reloadJob(std::uint64_t number, const internal::JobRecord &record);
    Result<void> reloadItem(internal::LiveJob &job, std::uint32_t index,
                            const internal::ItemRecord &record);
    void reloadQueues();

    // Reads (jobqueries.cpp).
    [[nodiscard]] JobSummary summary(std::uint64_t number, const internal::JobRecord &record) const;
    [[nodiscard]] std::optional<ItemResult>
    resultOf(std::uint64_t number, const internal::JobRecord &record, std::uint32_t index) const;

    StateStore store_;
    JobPolicy policy_;
    std::uint64_t nextJob_ = 1;
    std::map<std::uint64_t, std::unique_ptr<internal::LiveJob>> live_;
    std::unordered_map<JobId, std::uint64_t> liveNumbers_;
    std::set<std::pair<WallTime, std::uint64_t>> open_; ///< Jobs not sealed, by opening time.
    std::map<ServiceName, std::unique_ptr<internal::ServiceQueue>> queues_;
    std::map<Owner, std::map<ItemKey, HeldItem>> held_;
    std::map<std::uint64_t, Cancellation> cancelled_;
    std::map<std::uint64_t, std::uint64_t> garbage_; ///< Dropped job, bodies left to remove.
};

} // namespace persimmonlb
