// The half of BulkRunner that ends runs, saves what they have and gives up what is too old.
#include <algorithm>
#include <utility>
#include <vector>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/bulk/bulkrunner.h"

namespace persimmonlb
{

// ---- upkeep -----------------------------------------------------------------------------------

std::optional<BatchRunSlot> BulkRunner::yield(const ServiceName &service)
{
    const MonotonicTime now = clock_.monotonic();
    if (now < nothingToYieldUntil_[service]) {
        return std::nullopt;
    }
    const WallTime wall = clock_.wall();
    const Key *victim = nullptr;
    Milliseconds most{0};
    for (const auto &[key, run] : runs_) {
        if (run.service != service) {
            continue;
        }
        const std::uint64_t events = run.progress->count;
        const Milliseconds rest = remaining(events);
        const Milliseconds slack
            = std::chrono::duration_cast<Milliseconds>(run.dueAt - wall) - rest;
        const bool hopeless = slack.count() < 0;
        const bool endsSoon = rest < options_.keptRest && !isOverlong(events);
        const bool kept = endsSoon || (!hopeless && slack < options_.keptSlack);
        if (kept) {
            continue;
        }
        const Milliseconds spare = hopeless ? Milliseconds::max() : slack;
        if (victim == nullptr || spare > most) {
            victim = &key;
            most = spare;
        }
    }
    if (victim == nullptr) {
        nothingToYieldUntil_[service] = now + options_.searchPause;
        return std::nullopt;
    }
    const Key key = *victim;
    const auto found = runs_.find(key);
    noteSpeed(found->second, progress_[key]);
    const BatchRunSlot slot = found->second.slot;
    noteRun(key, slot.server);
    eraseRun(found);
    metrics_.count("persimmonlb_bulk_yields_total", {});
    return slot;
}

void BulkRunner::keepOnly(const std::set<ServerId> &usable)
{
    std::vector<Key> lost;
    for (const auto &[key, run] : runs_) {
        if (!usable.contains(run.slot.server)) {
            lost.push_back(key);
        }
    }
    for (const Key &key : lost) {
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
            const Key key{id, index++};
            if (!wanted.contains(item.id)) {
                continue;
            }
            const auto run = runs_.find(key);
            const bool ours = run != runs_.end() && run->second.slot.server == server;
            const auto progress = progress_.find(key);
            const bool wasOurs = progress != progress_.end()
                && progress->second.lastServer == server
                && now - progress->second.lastRunAt < options_.loadAge;
            if (!ours && !wasOurs) {
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
    unrecorded_.clear();
    proposeAgain_.clear();
    touches_.clear();
    nothingToYieldUntil_.clear();
    nothingUrgentUntil_.clear();
}

void BulkRunner::tick()
{
    const BulkTable *table = hooks_.table();
    if (table == nullptr) {
        return;
    }
    const MonotonicTime now = clock_.monotonic();
    const bool jobEnded = table->endings() != seenEndings_;
    if (jobEnded || (table->version() != seenVersion_ && now >= nextDrop_)) {
        seenVersion_ = table->version();
        seenEndings_ = table->endings();
        nextDrop_ = now + options_.dropInterval;
        dropEnded(*table);
    }
    abandonOld(*table);
    if (now >= nextSave_) {
        nextSave_ = now + options_.saveInterval;
        saveProgress();
    }
    std::vector<Key> silent;
    for (const auto &[key, run] : runs_) {
        if (now - run.progressAt > options_.eventPatience) {
            silent.push_back(key);
        }
    }
    for (const Key &key : silent) {
        runFailed(key, SlotOutcome::Failed, "the server went silent", Milliseconds(0));
    }
    std::vector<Key> again;
    for (const auto &[key, when] : proposeAgain_) {
        if (now >= when) {
            again.push_back(key);
        }
    }
    for (const Key &key : again) {
        if (unrecorded_.contains(key)) {
            propose(key);
        }
    }
}

void BulkRunner::saveProgress()
{
    SaveBulkProgress command;
    command.at = clock_.wall();
    std::vector<Key> keys;
    for (auto &[key, progress] : progress_) {
        const bool enough = progress.count >= progress.savedCount + options_.leastEventsToSave;
        if (!enough || unrecorded_.contains(key) || !progress.events.lastId()) {
            continue;
        }
        keys.push_back(key);
        command.parts.push_back({.id = key.job,
                                 .index = key.index,
                                 .fromCount = progress.savedCount,
                                 .count = progress.count,
                                 .lastEventId = *progress.events.lastId(),
                                 .output = progress.output.substr(progress.savedBytes)});
        progress.savedCount = progress.count;
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
        // Whether it was saved is not known: the next time everything is.
        for (const Key &key : keys) {
            const auto found = progress_.find(key);
            if (found != progress_.end()) {
                found->second.savedCount = 0;
                found->second.savedBytes = 0;
            }
        }
    });
}

void BulkRunner::dropEnded(const BulkTable &table)
{
    const auto isOver = [&table](const Key &key) {
        const auto job = table.jobs().find(key.job);
        return job == table.jobs().end() || job->second.ended
            || job->second.items[key.index].phase != BulkItemPhase::Waiting;
    };
    std::vector<Key> over;
    for (const auto &[key, run] : runs_) {
        if (isOver(key)) {
            over.push_back(key);
        }
    }
    for (const Key &key : over) {
        endRun(key, SlotOutcome::Abandoned);
    }
    std::erase_if(progress_, [&](const auto &entry) { return isOver(entry.first); });
    std::erase_if(unrecorded_, [&](const auto &entry) { return isOver(entry.first); });
    std::erase_if(proposeAgain_, [&](const auto &entry) { return isOver(entry.first); });
    std::erase_if(touches_, [&table](const auto &entry) {
        const auto job = table.jobs().find(entry.first);
        return job == table.jobs().end() || !job->second.isOpen();
    });
}

void BulkRunner::abandonOld(const BulkTable &table)
{
    const WallTime now = clock_.wall();
    std::vector<Key> old;
    for (const auto &[id, job] : table.jobs()) {
        if (!job.isOpen() || now < job.abandonAt + options_.abandonMargin) {
            continue;
        }
        for (std::uint32_t index = 0; index < job.items.size(); ++index) {
            const Key key{id, index};
            if (job.items[index].phase == BulkItemPhase::Waiting && !unrecorded_.contains(key)) {
                old.push_back(key);
            }
        }
    }
    for (const Key &key : old) {
        if (runs_.contains(key)) {
            endRun(key, SlotOutcome::Abandoned);
        }
        record(key, BulkItemPhase::DeadLettered, {}, "not done in time");
    }
}

} // namespace persimmonlb
