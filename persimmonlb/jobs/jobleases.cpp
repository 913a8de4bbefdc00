#include <algorithm>

#include "persimmonlb/jobs/internal/failurebody.h"
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
using internal::LiveJob;
using internal::QueuedJob;
using internal::ResultRecord;
using internal::SequenceRecord;
using internal::ServiceQueue;

namespace
{

constexpr std::uint32_t maxItemsPerLease = 1000;
constexpr std::size_t maxBytesPerLease = std::size_t{8} * 1024 * 1024;
constexpr std::uint32_t maxDeferralShift = 6;
constexpr std::uint8_t mostFailures = 255;

QueuedJob queued(const LiveJob &job)
{
    return {.caller = job.record().caller, .due = job.record().due, .number = job.number()};
}

/// Lease requests that go by before an item that came back is leased before others.
std::uint64_t deferralRounds(std::uint32_t leases)
{
    return std::uint64_t{1} << std::min(leases, maxDeferralShift);
}

LeasedItem leasedItem(const LiveJob &job, std::uint32_t index, std::uint32_t attempt, ItemSpec spec)
{
    return LeasedItem{.job = job.record().id,
                      .index = index,
                      .attempt = attempt,
                      .caller = job.record().caller,
                      .customId = std::move(spec.customId),
                      .idempotent = spec.idempotent,
                      .body = std::move(spec.body),
                      .due = job.record().due};
}

std::uint16_t codeNumber(ResultCode code)
{
    return static_cast<std::uint16_t>(code);
}

/// Applies an event that is legal in the item's phase.
ItemPhase advance(LiveJob &job, std::uint32_t index, ItemEvent event, bool mayRetry = false)
{
    ItemSlot &slot = *job.slot(index);
    const ItemPhase phase = nextPhase(slot.phase, event, mayRetry).value_or(slot.phase);
    job.setPhase(slot, phase);
    return phase;
}

/// Result of an item that ended without an answer of a server.
ResultRecord failure(ResultCode code, std::uint32_t attempts, const ItemOutcome &last)
{
    return ResultRecord{.state = ItemState::Failed,
                        .attempts = attempts,
                        .status = describe(code).httpStatus,
                        .code = codeNumber(code),
                        .body = internal::failureBody(code, attempts, last.status)};
}

} // namespace

ServiceQueue &JobTable::queue(const ServiceName &service)
{
    auto &entry = queues_[service];
    if (!entry) {
        entry = std::make_unique<ServiceQueue>();
    }
    return *entry;
}

LeaseReply JobTable::heldBySequence(const LeaseItems &command) const
{
    LeaseReply reply{.items = {}, .pending = pendingItems(command.service)};
    const auto held = held_.find(command.owner);
    if (held == held_.end()) {
        return reply;
    }
    for (const auto &[key, item] : held->second) {
        LiveJob *job = live(key.job);
        if (item.sequence != command.sequence || job == nullptr
            || job->record().service != command.service) {
            continue;
        }
        const auto bytes = store_.get(keys::body(key.job, key.index));
        const auto spec = bytes ? internal::decodeItemSpec(*bytes) : std::nullopt;
        reply.items.push_back(
            leasedItem(*job, key.index, job->slot(key.index)->lease, spec.value_or(ItemSpec{})));
    }
    return reply;
}

/// False when the sequence is not above the last one of this host and service.
bool JobTable::advanceSequence(const LeaseItems &command, MutationList &changes)
{
    const std::string key = keys::sequence(command.owner.host, command.service);
    const auto bytes = store_.get(key);
    const auto last = bytes ? internal::decodeSequenceRecord(*bytes) : std::nullopt;
    const SequenceRecord asked{.incarnation = command.owner.incarnation,
                               .sequence = command.sequence};
    if (last && asked <= *last) {
        return false;
    }
    changes.push_back({key, internal::encode(asked)});
    return true;
}

LeaseReply JobTable::lease(const LeaseItems &command, MutationList &changes)
{
    if (!advanceSequence(command, changes)) {
        return heldBySequence(command);
    }
    LeaseReply reply;
    ServiceQueue &serviceQueue = queue(command.service);
    if (serviceQueue.pending == 0) {
        return reply;
    }
    ++serviceQueue.round;
    readmitDeferred(serviceQueue, serviceQueue.round);
    fillLease(command, reply, changes);
    reply.pending = serviceQueue.pending;
    std::set<CallerName> callers;
    for (const LeasedItem &item : reply.items) {
        callers.insert(item.caller);
    }
    writeQueue(command.service, serviceQueue, callers, changes);
    return reply;
}

/// Makes deferred items ready whose round has come. Items of jobs that have ended are forgotten.
void JobTable::readmitDeferred(ServiceQueue &serviceQueue, std::uint64_t round)
{
    while (const auto item = serviceQueue.takeDeferred(round)) {
        if (LiveJob *job = live(item->job)) {
            makeReady(*job, item->index);
        }
    }
}

void JobTable::makeReady(LiveJob &job, std::uint32_t index)
{
    job.putBack(index);
    queue(job.record().service).add(queued(job));
}

void JobTable::fillLease(const LeaseItems &command, LeaseReply &reply, MutationList &changes)
{
    ServiceQueue &serviceQueue = queue(command.service);
    const std::uint32_t wanted = std::min(command.maxItems, maxItemsPerLease);
    EndedChunks chunks;
    std::size_t bytes = 0;
    while (reply.items.size() < wanted && bytes < maxBytesPerLease) {
        const auto next = serviceQueue.next();
        if (!next) {
            // Only deferred items are left: rather one of them than an idle server.
            const auto deferred = serviceQueue.takeDeferred(UINT64_MAX);
            if (!deferred) {
                break;
            }
            if (LiveJob *job = live(deferred->job)) {
                makeReady(*job, deferred->index);
            }
            continue;
        }
        LiveJob &job = *live(next->number);
        serviceQueue.charge(next->caller, policy_.weight(next->caller));
        const std::size_t before = reply.items.size();
        leaseOne(job, command, reply, chunks, changes);
        bytes += reply.items.size() > before ? reply.items.back().body.size() : 0;
        if (!job.hasReady()) {
            serviceQueue.remove(*next);
        }
    }
    writeEnded(chunks, changes);
}

void JobTable::leaseOne(LiveJob &job, const LeaseItems &command, LeaseReply &reply,
                        EndedChunks &chunks, MutationList &changes)
{
    const std::uint32_t index = job.takeReady();
    ItemSlot &slot = *job.slot(index);
    const auto bytes = store_.get(keys::body(job.number(), index));
    auto spec = bytes ? internal::decodeItemSpec(*bytes) : std::nullopt;
    ++slot.lease;
    advance(job, index, ItemEvent::Lease);
    --queue(job.record().service).pending;
    if (!spec) {
        endItem(job, index, ItemEvent::Reject,
                failure(ResultCode::Internal, slot.failures, ItemOutcome{}), chunks, changes);
        return;
    }
    held_[command.owner][ItemKey{.job = job.number(), .index = index}]
        = HeldItem{.sequence = command.sequence, .idempotent = spec->idempotent};
    changes.push_back({keys::item(job.number(), index),
                       internal::encode(ItemRecord{.phase = slot.phase,
                                                   .lease = slot.lease,
                                                   .failures = slot.failures,
                                                   .eligibleRound = 0,
                                                   .idempotent = spec->idempotent,
                                                   .owner = command.owner,
                                                   .sequence = command.sequence})});
    reply.items.push_back(leasedItem(job, index, slot.lease, std::move(*spec)));
}

CompleteReply JobTable::complete(const CompleteItems &command, MutationList &changes)
{
    CompleteReply reply;
    EndedChunks chunks;
    for (const ItemOutcome &outcome : command.outcomes) {
        const bool recorded = completeOne(command.owner, outcome, chunks, changes);
        ++(recorded ? reply.recorded : reply.dropped);
    }
    writeEnded(chunks, changes);
    return reply;
}

bool JobTable::completeOne(const Owner &owner, const ItemOutcome &outcome, EndedChunks &chunks,
                           MutationList &changes)
{
    LiveJob *job = live(outcome.job);
    ItemSlot *slot = job != nullptr ? job->slot(outcome.index) : nullptr;
    const auto held = held_.find(owner);
    if (slot == nullptr || held == held_.end() || slot->lease != outcome.attempt) {
        return false;
    }
    const auto item = held->second.find({.job = job->number(), .index = outcome.index});
    if (item == held->second.end()) {
        return false;
    }
    const bool idempotent = item->second.idempotent;
    held->second.erase(item);
    if (held->second.empty()) {
        held_.erase(held);
    }
    applyOutcome(*job, outcome, idempotent, chunks, changes);
    return true;
}

void JobTable::applyOutcome(LiveJob &job, const ItemOutcome &outcome, bool idempotent,
                            EndedChunks &chunks, MutationList &changes)
{
    const std::uint32_t attempts = job.slot(outcome.index)->failures + 1U;
    ResultRecord answered{.state = ItemState::Succeeded,
                          .attempts = attempts,
                          .status = outcome.status,
                          .code = codeNumber(ResultCode::Ok),
                          .body = outcome.body};
    switch (outcome.kind) {
    case ItemOutcomeKind::Succeeded:
        endItem(job, outcome.index, ItemEvent::Succeed, answered, chunks, changes);
        return;
    case ItemOutcomeKind::Rejected:
        answered.state = ItemState::Failed;
        answered.code = codeNumber(ResultCode::ItemRejected);
        endItem(job, outcome.index, ItemEvent::Reject, answered, chunks, changes);
        return;
    case ItemOutcomeKind::Failed:
        failAttempt(job, outcome, ItemEvent::Fail, idempotent, chunks, changes);
        return;
    case ItemOutcomeKind::NotRun:
        break;
    }
    advance(job, outcome.index, ItemEvent::NotRun);
    returnItem(job, outcome.index, true, idempotent, changes);
}

/// Counts an attempt that may have run: the item is tried again or ends with a failure.
void JobTable::failAttempt(LiveJob &job, const ItemOutcome &outcome, ItemEvent event,
                           bool idempotent, EndedChunks &chunks, MutationList &changes)
{
    ItemSlot &slot = *job.slot(outcome.index);
    slot.failures = static_cast<std::uint8_t>(std::min<int>(slot.failures + 1, mostFailures));
    const std::uint32_t allowed = policy_.maxBatchAttempts(job.record().service);
    const bool mayRetry = idempotent && slot.failures < allowed;
    if (nextPhase(slot.phase, event, mayRetry) == ItemPhase::Pending) {
        advance(job, outcome.index, event, mayRetry);
        returnItem(job, outcome.index, event == ItemEvent::Fail, idempotent, changes);
        return;
    }
    const ResultCode code = idempotent ? ResultCode::AttemptsExhausted : ResultCode::OutcomeUnknown;
    endItem(job, outcome.index, event, failure(code, slot.failures, outcome), chunks, changes);
}

/// Makes an item, already pending again, ready now or after a deferral.
void JobTable::returnItem(LiveJob &job, std::uint32_t index, bool deferred, bool idempotent,
                          MutationList &changes)
{
    ItemSlot &slot = *job.slot(index);
    ServiceQueue &serviceQueue = queue(job.record().service);
    ++serviceQueue.pending;
    const std::uint64_t round
        = deferred ? serviceQueue.round + deferralRounds(slot.lease) : serviceQueue.round;
    if (deferred) {
        serviceQueue.defer(DeferredItem{.round = round, .job = job.number(), .index = index});
    } else {
        makeReady(job, index);
    }
    changes.push_back({keys::item(job.number(), index),
                       internal::encode(ItemRecord{.phase = ItemPhase::Pending,
                                                   .lease = slot.lease,
                                                   .failures = slot.failures,
                                                   .eligibleRound = round,
                                                   .idempotent = idempotent,
                                                   .owner = {},
                                                   .sequence = 0})});
}

void JobTable::endItem(LiveJob &job, std::uint32_t index, ItemEvent event,
                       const ResultRecord &result, EndedChunks &chunks, MutationList &changes)
{
    advance(job, index, event);
    chunks.emplace(job.number(), LiveJob::chunkOf(index));
    changes.push_back({keys::item(job.number(), index), std::nullopt});
    changes.push_back({keys::result(job.number(), index), internal::encode(result)});
}

void JobTable::writeEnded(const EndedChunks &chunks, MutationList &changes)
{
    std::set<std::uint64_t> jobs;
    for (const auto &[number, chunk] : chunks) {
        changes.push_back({keys::ended(number, chunk), live(number)->endedChunk(chunk)});
        jobs.insert(number);
    }
    for (const std::uint64_t number : jobs) {
        finishIfAllEnded(number, changes);
    }
}

std::uint32_t JobTable::release(const Owner &owner, MutationList &changes)
{
    const auto held = held_.extract(owner);
    if (held.empty()) {
        return 0;
    }
    EndedChunks chunks;
    for (const auto &[key, item] : held.mapped()) {
        ItemOutcome lost;
        lost.index = key.index;
        failAttempt(*live(key.job), lost, ItemEvent::Release, item.idempotent, chunks, changes);
    }
    writeEnded(chunks, changes);
    return static_cast<std::uint32_t>(held.mapped().size());
}

void JobTable::writeQueue(const ServiceName &service, const ServiceQueue &serviceQueue,
                          const std::set<CallerName> &callers, MutationList &changes) const
{
    changes.push_back({keys::fair(service, {}),
                       keys::number(serviceQueue.round) + keys::number(serviceQueue.virtualTime)});
    for (const CallerName &caller : callers) {
        changes.push_back(
            {keys::fair(service, caller), keys::number(serviceQueue.tags.at(caller))});
    }
}

} // namespace persimmonlb
