#include "persimmonlb/jobs/jobtable.h"

#include "persimmonlb/jobs/internal/livejob.h"
#include "persimmonlb/jobs/internal/records.h"
#include "persimmonlb/jobs/internal/servicequeue.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

using internal::JobRecord;
using internal::LiveJob;
using internal::QueuedJob;

namespace
{

constexpr std::uint32_t maxItemsPerJob = 4'000'000;
constexpr Milliseconds openJobLifetime{std::chrono::hours(1)};
constexpr Milliseconds cancellationNotice{std::chrono::minutes(1)};
constexpr std::uint64_t garbageKeysPerCommand = 2000;

JobReply refused(ResultCode code, std::string message, JobId id = {})
{
    return JobReply{.code = code, .message = std::move(message), .id = std::move(id)};
}

QueuedJob queued(const LiveJob &job)
{
    return {.caller = job.record().caller, .due = job.record().due, .number = job.number()};
}

} // namespace

JobTable::JobTable(StateStore store, JobPolicy policy)
    : store_(std::move(store))
    , policy_(std::move(policy))
{
}

JobTable::~JobTable() = default;

std::uint64_t JobTable::numberOf(const JobId &id) const
{
    const auto bytes = store_.get(keys::jobId(id));
    return bytes ? keys::parseNumber(*bytes).value_or(0) : 0;
}

LiveJob *JobTable::live(std::uint64_t number) const
{
    const auto job = live_.find(number);
    return job == live_.end() ? nullptr : job->second.get();
}

LiveJob *JobTable::live(const JobId &id) const
{
    const auto number = liveNumbers_.find(id);
    return number == liveNumbers_.end() ? nullptr : live(number->second);
}

void JobTable::addLive(std::unique_ptr<LiveJob> job)
{
    liveNumbers_[job->record().id] = job->number();
    const std::uint64_t number = job->number();
    live_.emplace(number, std::move(job));
}

void JobTable::removeLive(std::uint64_t number)
{
    const auto job = live_.find(number);
    liveNumbers_.erase(job->second->record().id);
    live_.erase(job);
}

std::optional<JobRecord> JobTable::recordOf(std::uint64_t number) const
{
    if (const LiveJob *job = live(number)) {
        return job->record();
    }
    const auto bytes = store_.get(keys::job(number));
    return bytes ? internal::decodeJobRecord(*bytes) : std::nullopt;
}

void JobTable::writeRecord(const LiveJob &job, MutationList &changes) const
{
    changes.push_back({keys::job(job.number()), internal::encode(job.record())});
}

JobReply JobTable::existing(std::uint64_t number, const OpenJob &command) const
{
    const auto record = recordOf(number);
    if (!record) {
        return refused(ResultCode::Internal, "the record of the job is missing");
    }
    if (record->bodyDigest != command.bodyDigest || record->service != command.service) {
        return refused(ResultCode::KeyReusedWithOtherBody,
                       "the key was used before with another body", record->id);
    }
    return JobReply{.code = ResultCode::Ok,
                    .message = "",
                    .id = record->id,
                    .sealed = record->state != JobState::Open,
                    .existed = true};
}

JobReply JobTable::open(const OpenJob &command, MutationList &changes)
{
    dropOneAbandoned(command.at, changes);
    const std::string key = keys::jobKey(command.caller, command.idempotencyKey);
    const auto known = store_.get(key);
    const std::uint64_t number = known ? keys::parseNumber(*known).value_or(0) : 0;
    if (number != 0 && !garbage_.contains(number)) {
        return existing(number, command);
    }
    if (command.itemCount == 0 || command.itemCount > maxItemsPerJob) {
        return refused(ResultCode::MalformedRequest,
                       "a job holds 1 to " + std::to_string(maxItemsPerJob) + " items");
    }
    if (command.id.empty() || numberOf(command.id) != 0) {
        return refused(ResultCode::MalformedRequest, "the job id is empty or taken");
    }
    auto job = std::make_unique<LiveJob>(nextJob_,
                                         JobRecord{.id = command.id,
                                                   .caller = command.caller,
                                                   .idempotencyKey = command.idempotencyKey,
                                                   .service = command.service,
                                                   .due = command.due,
                                                   .submittedAt = command.at,
                                                   .bodyDigest = command.bodyDigest,
                                                   .itemCount = command.itemCount,
                                                   .state = JobState::Open});
    ++nextJob_;
    changes.push_back({keys::counter("job"), keys::number(nextJob_)});
    changes.push_back({keys::jobId(command.id), keys::number(job->number())});
    changes.push_back({key, keys::number(job->number())});
    writeRecord(*job, changes);
    open_.emplace(command.at, job->number());
    addLive(std::move(job));
    return JobReply{.code = ResultCode::Ok, .message = "", .id = command.id};
}

JobReply JobTable::add(const AddItems &command, MutationList &changes)
{
    LiveJob *job = live(command.id);
    const auto record = recordOf(numberOf(command.id));
    if (!record) {
        return refused(ResultCode::NotFound, "no such job", command.id);
    }
    const bool sealed = record->state != JobState::Open;
    JobReply reply{.code = ResultCode::Ok,
                   .message = "",
                   .id = command.id,
                   .sealed = sealed,
                   .existed = sealed};
    if (sealed || job == nullptr) {
        return reply;
    }
    if (command.firstIndex > record->itemCount
        || command.items.size() > record->itemCount - command.firstIndex) {
        return refused(ResultCode::MalformedRequest, "items past the end of the job", command.id);
    }
    std::uint32_t index = command.firstIndex;
    for (const ItemSpec &item : command.items) {
        if (job->addItem(index)) {
            changes.push_back({keys::body(job->number(), index), internal::encode(item)});
        }
        ++index;
    }
    return reply;
}

JobReply JobTable::seal(const SealJob &command, MutationList &changes)
{
    const std::uint64_t number = numberOf(command.id);
    const auto record = recordOf(number);
    if (!record) {
        return refused(ResultCode::NotFound, "no such job", command.id);
    }
    LiveJob *job = live(number);
    if (record->state != JobState::Open || job == nullptr) {
        return JobReply{.code = ResultCode::Ok,
                        .message = "",
                        .id = command.id,
                        .sealed = true,
                        .existed = true};
    }
    if (!job->isComplete()) {
        return refused(ResultCode::MalformedRequest, "items of the job are missing", command.id);
    }
    open_.erase({record->submittedAt, number});
    job->seal();
    writeRecord(*job, changes);
    auto &serviceQueue = queue(record->service);
    serviceQueue.add(queued(*job));
    serviceQueue.pending += record->itemCount;
    return JobReply{.code = ResultCode::Ok, .message = "", .id = command.id, .sealed = true};
}

PlainReply JobTable::cancel(const CancelJob &command, MutationList &changes)
{
    const std::uint64_t number = numberOf(command.id);
    const auto record = recordOf(number);
    if (!record || (!command.caller.empty() && record->caller != command.caller)) {
        return PlainReply{.code = ResultCode::NotFound, .message = "no such job"};
    }
    LiveJob *job = live(number);
    if (job == nullptr) {
        return {};
    }
    if (record->state == JobState::Open) {
        open_.erase({record->submittedAt, number});
    } else {
        dropItems(*job);
    }
    job->setState(JobState::Cancelled);
    writeRecord(*job, changes);
    changes.push_back(
        {keys::cancelled(number),
         keys::number(static_cast<std::uint64_t>(command.at.time_since_epoch().count()))});
    cancelled_[number] = Cancellation{.id = command.id, .at = command.at};
    removeLive(number);
    return {};
}

/// Takes a sealed job out of the queue and its items out of their owners' hands.
void JobTable::dropItems(const LiveJob &job)
{
    auto &serviceQueue = queue(job.record().service);
    serviceQueue.remove(queued(job));
    serviceQueue.pending -= job.pending();
    for (auto owner = held_.begin(); owner != held_.end();) {
        std::erase_if(owner->second,
                      [&job](const auto &entry) { return entry.first.job == job.number(); });
        owner = owner->second.empty() ? held_.erase(owner) : std::next(owner);
    }
}

void JobTable::finishIfAllEnded(std::uint64_t number, MutationList &changes)
{
    LiveJob *job = live(number);
    if (job == nullptr || !job->allEnded()) {
        return;
    }
    job->setState(JobState::Finished);
    writeRecord(*job, changes);
    removeLive(number);
}

void JobTable::dropOneAbandoned(WallTime at, MutationList &changes)
{
    if (open_.empty() || open_.begin()->first + openJobLifetime >= at) {
        return;
    }
    const std::uint64_t number = open_.begin()->second;
    const JobRecord record = live(number)->record();
    open_.erase(open_.begin());
    removeLive(number);
    garbage_[number] = record.itemCount;
    changes.push_back({keys::job(number), std::nullopt});
    changes.push_back({keys::jobId(record.id), std::nullopt});
    changes.push_back({keys::jobKey(record.caller, record.idempotencyKey), std::nullopt});
    changes.push_back({keys::garbage(number), keys::number(record.itemCount)});
}

void JobTable::removeGarbage(MutationList &changes)
{
    if (garbage_.empty()) {
        return;
    }
    auto &[number, left] = *garbage_.begin();
    for (std::uint64_t i = 0; i < garbageKeysPerCommand && left > 0; ++i) {
        --left;
        changes.push_back({keys::body(number, static_cast<std::uint32_t>(left)), std::nullopt});
    }
    if (left > 0) {
        changes.push_back({keys::garbage(number), keys::number(left)});
        return;
    }
    changes.push_back({keys::garbage(number), std::nullopt});
    garbage_.erase(garbage_.begin());
}

bool JobTable::expire(WallTime at, MutationList &changes)
{
    removeGarbage(changes);
    const std::size_t before = cancelled_.size();
    std::erase_if(cancelled_, [&](const auto &entry) {
        if (entry.second.at + cancellationNotice >= at) {
            return false;
        }
        changes.push_back({keys::cancelled(entry.first), std::nullopt});
        return true;
    });
    return cancelled_.size() != before;
}

} // namespace persimmonlb
