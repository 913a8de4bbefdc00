#include "persimmonlb/jobs/internal/servicequeue.h"

#include <algorithm>

namespace persimmonlb::internal
{

namespace
{

constexpr Milliseconds dueClassWidth{std::chrono::minutes(10)};
constexpr std::uint64_t costOfOneItem = 1'000'000; ///< At weight 1, in virtual time.

std::int64_t dueClassOf(WallTime due)
{
    return due.time_since_epoch() / dueClassWidth;
}

} // namespace

void ServiceQueue::add(const QueuedJob &job)
{
    classes_[dueClassOf(job.due)][job.caller].emplace(job.due, job.number);
}

void ServiceQueue::remove(const QueuedJob &job)
{
    const auto dueClass = classes_.find(dueClassOf(job.due));
    if (dueClass == classes_.end()) {
        return;
    }
    const auto jobs = dueClass->second.find(job.caller);
    if (jobs == dueClass->second.end()) {
        return;
    }
    jobs->second.erase({job.due, job.number});
    if (jobs->second.empty()) {
        dueClass->second.erase(jobs);
    }
    if (dueClass->second.empty()) {
        classes_.erase(dueClass);
    }
}

std::uint64_t ServiceQueue::startTag(const CallerName &caller) const
{
    const auto tag = tags.find(caller);
    return std::max(virtualTime, tag == tags.end() ? 0 : tag->second);
}

std::optional<QueuedJob> ServiceQueue::next() const
{
    if (classes_.empty()) {
        return std::nullopt;
    }
    const auto &callers = classes_.begin()->second;
    const auto chosen = std::ranges::min_element(
        callers, {}, [this](const auto &entry) { return startTag(entry.first); });
    const auto &[due, number] = *chosen->second.begin();
    return QueuedJob{.caller = chosen->first, .due = due, .number = number};
}

void ServiceQueue::charge(const CallerName &caller, std::uint32_t weight)
{
    virtualTime = startTag(caller);
    tags[caller] = virtualTime + costOfOneItem / std::max(weight, 1U);
}

void ServiceQueue::defer(const DeferredItem &item)
{
    deferred_.insert(item);
}

std::optional<DeferredItem> ServiceQueue::takeDeferred(std::uint64_t latestRound)
{
    if (deferred_.empty() || deferred_.begin()->round > latestRound) {
        return std::nullopt;
    }
    return deferred_.extract(deferred_.begin()).value();
}

} // namespace persimmonlb::internal
