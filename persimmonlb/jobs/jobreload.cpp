#include "persimmonlb/jobs/internal/livejob.h"
#include "persimmonlb/jobs/internal/records.h"
#include "persimmonlb/jobs/internal/servicequeue.h"
#include "persimmonlb/jobs/jobtable.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

using internal::DeferredItem;
using internal::ItemRecord;
using internal::ItemSlot;
using internal::JobRecord;
using internal::LiveJob;
using internal::QueuedJob;
using internal::ServiceQueue;

namespace
{

boost::leaf::error_id corrupt(const std::string &what)
{
    return fail(ResultCode::CorruptStore, "the state store holds a bad " + what);
}

/// Length-prefixed text at the front of a key; the rest stays in `key`.
std::string takeText(std::string_view &key)
{
    constexpr std::size_t lengthBytes = 4;
    std::size_t size = 0;
    for (const char byte : key.substr(0, lengthBytes)) {
        size = (size << 8U) | static_cast<std::uint8_t>(byte);
    }
    key.remove_prefix(std::min(lengthBytes, key.size()));
    std::string text(key.substr(0, size));
    key.remove_prefix(text.size());
    return text;
}

} // namespace

Result<void> JobTable::reload()
{
    live_.clear();
    liveNumbers_.clear();
    open_.clear();
    queues_.clear();
    held_.clear();
    cancelled_.clear();
    garbage_.clear();
    const auto next = store_.get(keys::counter("job"));
    nextJob_ = next ? keys::parseNumber(*next).value_or(1) : 1;
    reloadQueues();
    BOOST_LEAF_CHECK(reloadJobs());
    store_.scan(keys::cancelledPrefix, [&](std::string_view key, std::string_view value) {
        const std::uint64_t number
            = keys::parseNumber(key.substr(keys::cancelledPrefix.size())).value_or(0);
        const auto record = recordOf(number);
        const auto at = static_cast<std::int64_t>(keys::parseNumber(value).value_or(0));
        cancelled_[number]
            = Cancellation{.id = record ? record->id : JobId{}, .at = WallTime(Milliseconds(at))};
        return true;
    });
    store_.scan(keys::garbagePrefix, [&](std::string_view key, std::string_view value) {
        garbage_[keys::parseNumber(key.substr(keys::garbagePrefix.size())).value_or(0)]
            = keys::parseNumber(value).value_or(0);
        return true;
    });
    return {};
}

void JobTable::reloadQueues()
{
    store_.scan(keys::fairPrefix, [&](std::string_view key, std::string_view value) {
        key.remove_prefix(keys::fairPrefix.size());
        const ServiceName service{takeText(key)};
        const CallerName caller{std::string(key)};
        ServiceQueue &serviceQueue = queue(service);
        const std::uint64_t first = keys::parseNumber(value).value_or(0);
        if (!caller.empty()) {
            serviceQueue.tags[caller] = first;
            return true;
        }
        serviceQueue.round = first;
        serviceQueue.virtualTime
            = keys::parseNumber(value.substr(std::min(sizeof(first), value.size()))).value_or(0);
        return true;
    });
}

Result<void> JobTable::reloadJobs()
{
    std::map<std::uint64_t, JobRecord> unfinished;
    bool sound = true;
    store_.scan(keys::jobPrefix, [&](std::string_view key, std::string_view value) {
        const auto number = keys::parseNumber(key.substr(keys::jobPrefix.size()));
        auto record = internal::decodeJobRecord(value);
        sound = number.has_value() && record.has_value();
        if (sound && (record->state == JobState::Open || record->state == JobState::Running)) {
            unfinished.emplace(~*number, std::move(*record));
        }
        return sound;
    });
    if (!sound) {
        return corrupt("job record");
    }
    for (const auto &[number, record] : unfinished) {
        BOOST_LEAF_CHECK(reloadJob(number, record));
    }
    return {};
}

Result<void> JobTable::reloadJob(std::uint64_t number, const JobRecord &record)
{
    addLive(std::make_unique<LiveJob>(number, record));
    LiveJob &job = *live(number);
    if (record.state == JobState::Open) {
        open_.emplace(record.submittedAt, number);
        store_.scan(keys::bodiesOf(number), [&](std::string_view key, std::string_view) {
            const auto part = keys::parseJobPart(key, keys::bodyPrefix);
            return part && part->part < record.itemCount && (job.addItem(part->part), true);
        });
        return {};
    }
    store_.scan(keys::endedOf(number), [&](std::string_view key, std::string_view value) {
        const auto part = keys::parseJobPart(key, keys::endedPrefix);
        if (part) {
            job.takeEndedChunk(part->part, std::string(value));
        }
        return true;
    });
    std::map<std::uint32_t, ItemRecord> items;
    bool sound = true;
    store_.scan(keys::itemsOf(number), [&](std::string_view key, std::string_view value) {
        const auto part = keys::parseJobPart(key, keys::itemPrefix);
        const auto item = internal::decodeItemRecord(value);
        sound = part && item && part->part < record.itemCount;
        if (sound) {
            items.emplace(part->part, *item);
        }
        return sound;
    });
    if (!sound) {
        return corrupt("item record");
    }
    for (const auto &[index, item] : items) {
        BOOST_LEAF_CHECK(reloadItem(job, index, item));
    }
    ServiceQueue &serviceQueue = queue(record.service);
    serviceQueue.pending += job.pending();
    if (job.hasReady()) {
        serviceQueue.add(QueuedJob{.caller = record.caller, .due = record.due, .number = number});
    }
    return {};
}

Result<void> JobTable::reloadItem(LiveJob &job, std::uint32_t index, const ItemRecord &record)
{
    constexpr std::uint32_t mostFailures = 255;
    ItemSlot &slot = job.makeSlot(index);
    if (hasEnded(slot.phase) || hasEnded(record.phase) || record.failures > mostFailures) {
        return corrupt("item record");
    }
    slot.lease = record.lease;
    slot.failures = static_cast<std::uint8_t>(record.failures);
    job.setPhase(slot, record.phase);
    if (record.phase == ItemPhase::Leased) {
        held_[record.owner][ItemKey{.job = job.number(), .index = index}]
            = HeldItem{.sequence = record.sequence, .idempotent = record.idempotent};
        return {};
    }
    ServiceQueue &serviceQueue = queue(job.record().service);
    if (record.eligibleRound > serviceQueue.round) {
        serviceQueue.defer(
            DeferredItem{.round = record.eligibleRound, .job = job.number(), .index = index});
    } else {
        job.putBack(index);
    }
    return {};
}

} // namespace persimmonlb
