// The part of BulkRunner that ends runs, saves progress and dead-letters overdue items.
#include <algorithm>
#include <utility>
#include <vector>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/bulk/bulkrunner.h"

namespace persimmonlb
{

// ---- maintenance ------------------------------------------------------------------------------

std::optional<BatchRunSlot> BulkRunner::yield(const ServiceName &service)
{
    const MonotonicTime now = clock_.monotonic();
    if (now < nextYieldSearch_[service]) {
        return std::nullopt;
    }
    const WallTime wall = clock_.wall();
    const ItemKey *victim = nullptr;
    Milliseconds highestPriority{0};
    for (const auto &[key, run] : runs_) {
        if (run.service != service) {
            continue;
        }
        const std::uint64_t events = run.progress->eventCount;
        const Milliseconds remaining = remainingTime(events);
        const Milliseconds slack
            = std::chrono::duration_cast<Milliseconds>(run.dueAt - wall) - remaining;
        const bool willBeLate = slack.count() < 0;
        const bool endsSoon = remaining < options_.minRemainingToYield && !isOverlong(events);
        const bool keep = endsSoon || (!willBeLate && slack < options_.minSlackToYield);
        if (keep || !broker_.allowsRequest(run.slot.server)) {
            continue;
        }
        const Milliseconds yieldPriority = willBeLate ? Milliseconds::max() : slack;
        if (victim == nullptr || yieldPriority > highestPriority) {
            victim = &key;
            highestPriority = yieldPriority;
        }
    }
    if (victim == nullptr) {
        nextYieldSearch_[service] = now + options_.searchRetryDelay;
        return std::nullopt;
    }
    const ItemKey key = *victim;
    const auto found = runs_.find(key);
    updateMsPerEvent(found->second, progress_[key]);
    const BatchRunSlot slot = found->second.slot;
    updateLastRun(key, slot.server);
    eraseRun(found);
    metrics_.count("persimmonlb_bulk_yields_total", {});
    return slot;
}

void BulkRunner::endRunsExceptOn(const std::set<ServerId> &usable)
{
    std::vector<ItemKey> affected;
    for (const auto &[key, run] : runs_) {
        if (!usable.contains(run.slot.server)) {
            affected.push_back(key);
        }
    }
    for (const ItemKey &key : affected) {
        endRun(key, SlotOutcome::Abandoned);
    }
}

std::vector<std::string> BulkRunner::orphansOf(const ServerId &server,
                                               const std::vector<std::string> &ids) const
{
    std::vector<std::string> orphans;
    const BulkTable *table = hooks_.table();
    if (table == nullptr || ids.empty()) {
        return orphans;
    }
    const std::set<std::string> wanted(ids.begin(), ids.end());
    const MonotonicTime now = clock_.monotonic();
    for (const auto &[id, job] : table->jobs()) {
        std::uint32_t index = 0;
        for (const BulkItem &item : job.items) {
            const ItemKey key{id, index++};
            if (!wanted.contains(item.id)) {
                continue;
            }
            const auto run = runs_.find(key);
            const bool runsHere = run != runs_.end() && run->second.slot.server == server;
            const auto progress = progress_.find(key);
            const bool ranHereRecently = progress != progress_.end()
                && progress->second.lastServer == server
                && now - progress->second.lastRunAt < options_.runListMaxAge;
            if (!runsHere && !ranHereRecently) {
                orphans.push_back(item.id);
            }
        }
    }
    return orphans;
}

void BulkRunner::stop()
{
    runs_.clear();
    progress_.clear();
    unrecordedOutcomes_.clear();
    nextProposal_.clear();
    localItems_.clear();
    nextYieldSearch_.clear();
    nextUrgentSearch_.clear();
}

void BulkRunner::tick()
{
    const BulkTable *table = hooks_.table();
    if (table == nullptr) {
        return;
    }
    const MonotonicTime now = clock_.monotonic();
    const bool jobEnded = table->endVersion() != seenEndVersion_;
    if (jobEnded || (table->version() != seenVersion_ && now >= nextCleanup_)) {
        seenVersion_ = table->version();
        seenEndVersion_ = table->endVersion();
        nextCleanup_ = now + options_.cleanupInterval;
        removeEnded(*table);
    }
    deadLetterOverdue(*table);
    if (now >= nextSave_) {
        nextSave_ = now + options_.saveInterval;
        saveProgress();
    }
    std::vector<ItemKey> stalled;
    for (const auto &[key, run] : runs_) {
        if (now - run.lastProgressAt > options_.eventTimeout) {
            stalled.push_back(key);
        }
    }
    for (const ItemKey &key : stalled) {
        failRun(key, SlotOutcome::Failed, "the server sent no event within the timeout",
                Milliseconds(0));
    }
    std::vector<ItemKey> due;
    for (const auto &[key, when] : nextProposal_) {
        if (now >= when) {
            due.push_back(key);
        }
    }
    for (const ItemKey &key : due) {
        if (unrecordedOutcomes_.contains(key)) {
            proposeOutcome(key);
        }
    }
}

void BulkRunner::saveProgress()
{
    SaveBulkProgress command;
    command.at = clock_.wall();
    std::vector<ItemKey> keys;
    for (auto &[key, progress] : progress_) {
        const bool hasEnoughEvents
            = progress.eventCount >= progress.savedEventCount + options_.minEventsToSave;
        if (!hasEnoughEvents || unrecordedOutcomes_.contains(key) || !progress.events.lastId()) {
            continue;
        }
        keys.push_back(key);
        command.parts.push_back({.id = key.job,
                                 .index = key.index,
                                 .fromCount = progress.savedEventCount,
                                 .count = progress.eventCount,
                                 .lastEventId = *progress.events.lastId(),
                                 .output = progress.output.substr(progress.savedBytes)});
        progress.savedEventCount = progress.eventCount;
        progress.savedBytes = progress.output.size();
    }
    if (command.parts.empty()) {
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    hooks_.propose(command, [this, alive, keys](const Outcome<Reply> &reply) {
        if (alive.expired() || reply.ok()) {
            return;
        }
        // It is unknown whether the progress was saved, so the next save sends all of it.
        for (const ItemKey &key : keys) {
            const auto found = progress_.find(key);
            if (found != progress_.end()) {
                found->second.savedEventCount = 0;
                found->second.savedBytes = 0;
            }
        }
    });
}

void BulkRunner::removeEnded(const BulkTable &table)
{
    const auto isEnded = [&table](const ItemKey &key) {
        const auto job = table.jobs().find(key.job);
        return job == table.jobs().end() || job->second.ended
            || job->second.items[key.index].phase != BulkItemPhase::Waiting;
    };
    std::vector<ItemKey> ended;
    for (const auto &[key, run] : runs_) {
        if (isEnded(key)) {
            ended.push_back(key);
        }
    }
    for (const ItemKey &key : ended) {
        endRun(key, SlotOutcome::Abandoned);
    }
    for (auto position = progress_.begin(); position != progress_.end();) {
        const ItemKey key = position->first;
        ++position;
        if (isEnded(key)) {
            eraseProgress(key);
        }
    }
    std::erase_if(unrecordedOutcomes_, [&](const auto &entry) { return isEnded(entry.first); });
    std::erase_if(nextProposal_, [&](const auto &entry) { return isEnded(entry.first); });
    std::erase_if(localItems_, [&table](const auto &entry) {
        const auto job = table.jobs().find(entry.first);
        return job == table.jobs().end() || !job->second.isOpen();
    });
}

std::string_view BulkRunner::reasonOfAbandoning(const ItemKey &key, const BulkJob &job) const
{
    const Progress *progress = findProgress(key);
    if (progress != nullptr && progress->isUnsendable) {
        return "no request can be made of the item";
    }
    const auto routes = hooks_.routes();
    const Route *route = routes ? routeOf(job, *routes) : nullptr;
    const std::uint64_t tokens = job.items[key.index].tokens;
    const auto isTooSmall = [&](const WeightedService &choice) {
        const auto memory = broker_.largestMemory(choice.service);
        return memory && tokens > *memory;
    };
    if (route != nullptr && std::ranges::all_of(route->services, isTooSmall)) {
        return "the item needs more memory than any server has";
    }
    if (progress != nullptr && progress->refusedRuns > 0) {
        return "the servers refused the item until its job was abandoned";
    }
    return "the item was not completed in time";
}

void BulkRunner::deadLetterOverdue(const BulkTable &table)
{
    const WallTime now = clock_.wall();
    std::vector<std::pair<ItemKey, std::string_view>> overdue;
    for (const auto &[id, job] : table.jobs()) {
        if (!job.isOpen() || now < job.abandonAt + options_.abandonMargin) {
            continue;
        }
        for (std::uint32_t index = 0; index < job.items.size(); ++index) {
            const ItemKey key{id, index};
            if (job.items[index].phase == BulkItemPhase::Waiting
                && !unrecordedOutcomes_.contains(key)) {
                overdue.emplace_back(key, reasonOfAbandoning(key, job));
            }
        }
    }
    for (const auto &[key, reason] : overdue) {
        if (runs_.contains(key)) {
            endRun(key, SlotOutcome::Abandoned);
        }
        recordOutcome(key, BulkItemPhase::DeadLettered, {}, reason);
    }
}

} // namespace persimmonlb
