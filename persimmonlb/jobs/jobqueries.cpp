#include <algorithm>

#include "persimmonlb/jobs/internal/livejob.h"
#include "persimmonlb/jobs/internal/records.h"
#include "persimmonlb/jobs/internal/servicequeue.h"
#include "persimmonlb/jobs/jobtable.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

using internal::JobRecord;
using internal::LiveJob;

namespace
{

constexpr std::uint32_t maxJobsPerAnswer = 1000;
constexpr std::uint32_t maxJobsExamined = 20'000;
constexpr std::uint32_t maxItemsPerAnswer = 10'000;
constexpr std::size_t maxBytesPerAnswer = std::size_t{8} * 1024 * 1024;

} // namespace

JobSummary JobTable::summary(std::uint64_t number, const JobRecord &record) const
{
    JobSummary summary{.id = record.id,
                       .caller = record.caller,
                       .service = record.service,
                       .state = record.state,
                       .submittedAt = record.submittedAt,
                       .due = record.due,
                       .total = record.itemCount,
                       .pending = 0,
                       .running = 0,
                       .succeeded = record.succeeded,
                       .failed = record.failed,
                       .cancelled = 0};
    if (const LiveJob *job = live(number)) {
        summary.pending = job->pending();
        summary.running = job->leased();
        summary.succeeded = job->succeeded();
        summary.failed = job->failed();
    } else if (record.state == JobState::Cancelled) {
        summary.cancelled = record.itemCount - record.succeeded - record.failed;
    }
    return summary;
}

JobListAnswer JobTable::find(const JobId &id) const
{
    const std::uint64_t number = numberOf(id);
    const auto record = recordOf(number);
    JobListAnswer answer;
    if (record) {
        answer.jobs.push_back(summary(number, *record));
    }
    return answer;
}

JobListAnswer JobTable::list(const JobListQuery &query) const
{
    JobListAnswer answer;
    const std::uint32_t limit = std::min(query.limit, maxJobsPerAnswer);
    std::uint32_t examined = 0;
    store_.scan(keys::jobPrefix, [&](std::string_view key, std::string_view value) {
        if (answer.jobs.size() >= limit || examined == maxJobsExamined) {
            return false;
        }
        ++examined;
        const auto number = keys::parseNumber(key.substr(keys::jobPrefix.size()));
        const auto record = internal::decodeJobRecord(value);
        if (number && record && (query.caller.empty() || record->caller == query.caller)) {
            answer.jobs.push_back(summary(~*number, *record));
        }
        return true;
    });
    return answer;
}

/// The result of one item, or nothing when it has not ended.
std::optional<ItemResult> JobTable::resultOf(std::uint64_t number, const JobRecord &record,
                                             std::uint32_t index) const
{
    const LiveJob *job = live(number);
    if (job != nullptr && !hasEnded(job->phaseOf(index))) {
        return std::nullopt;
    }
    ItemResult result{.index = index, .customId = "", .state = ItemState::Cancelled, .body = ""};
    const auto bytes = store_.get(keys::result(number, index));
    if (const auto ended = bytes ? internal::decodeResultRecord(*bytes) : std::nullopt) {
        result.state = ended->state;
        result.attempts = ended->attempts;
        result.status = ended->status;
        result.code = ended->code;
        result.body = ended->body;
    } else if (record.state == JobState::Cancelled) {
        result.code = static_cast<std::uint16_t>(ResultCode::Cancelled);
    } else {
        return std::nullopt;
    }
    const auto body = store_.get(keys::body(number, index));
    if (const auto spec = body ? internal::decodeItemSpec(*body) : std::nullopt) {
        result.customId = spec->customId;
    }
    return result;
}

ResultsAnswer JobTable::results(const ResultsQuery &query) const
{
    const std::uint64_t number = numberOf(query.id);
    const auto record = recordOf(number);
    if (!record) {
        return {};
    }
    ResultsAnswer answer{.found = true,
                         .jobState = record->state,
                         .total = record->itemCount,
                         .items = {},
                         .nextIndex = std::min(query.firstIndex, record->itemCount)};
    const std::uint32_t limit = std::clamp(query.limit, 1U, maxItemsPerAnswer);
    const std::uint32_t end
        = answer.nextIndex + std::min(limit, record->itemCount - answer.nextIndex);
    std::size_t bytes = 0;
    while (answer.nextIndex < end && bytes < maxBytesPerAnswer) {
        if (auto result = resultOf(number, *record, answer.nextIndex)) {
            bytes += result->body.size() + result->customId.size();
            answer.items.push_back(std::move(*result));
        }
        ++answer.nextIndex;
    }
    return answer;
}

std::uint64_t JobTable::pendingItems(const ServiceName &service) const
{
    const auto entry = queues_.find(service);
    return entry == queues_.end() ? 0 : entry->second->pending;
}

std::vector<ServiceName> JobTable::pendingServices() const
{
    std::vector<ServiceName> services;
    for (const auto &[service, serviceQueue] : queues_) {
        if (serviceQueue->pending > 0) {
            services.push_back(service);
        }
    }
    return services;
}

std::set<Owner> JobTable::owners() const
{
    std::set<Owner> owners;
    for (const auto &[owner, items] : held_) {
        owners.insert(owner);
    }
    return owners;
}

std::vector<JobId> JobTable::cancelledRecently() const
{
    std::vector<JobId> jobs;
    for (const auto &[number, cancellation] : cancelled_) {
        jobs.push_back(cancellation.id);
    }
    return jobs;
}

std::size_t JobTable::memoryBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[number, job] : live_) {
        bytes += job->memoryBytes();
    }
    constexpr std::size_t bytesPerHeldItem = 96;
    for (const auto &[owner, items] : held_) {
        bytes += items.size() * bytesPerHeldItem;
    }
    return bytes;
}

} // namespace persimmonlb
