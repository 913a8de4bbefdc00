// The half of SlotBroker that queues requests, and tells the refused when to come back.
#include <algorithm>
#include <iterator>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds unknownWait{500}; ///< Told while no server takes requests.
/// Of the slots that come free, one in so many is promised to callers that come back.
constexpr int returnShare = 2;
/// Callers heed a time to come back up to this part of the time that they have left.
constexpr std::uint64_t honouredPart = 3;
constexpr Milliseconds leastRetryAfter{50};
constexpr int overdueShare = 8; ///< A slot held for longer than usual comes free within this part.

} // namespace

Milliseconds SlotBroker::usualHold(const ServiceName &service) const
{
    const auto known = services_.find(service);
    return known != services_.end() && known->second.holdMs > 0
        ? Milliseconds(static_cast<std::int64_t>(known->second.holdMs))
        : options_.initialHold;
}

Milliseconds SlotBroker::expectedWait(const ServiceName &service, std::size_t ahead) const
{
    const std::uint32_t slots = usableSlots(service);
    if (slots == 0) {
        return Milliseconds::max();
    }
    const Milliseconds hold = usualHold(service);
    const std::vector<MonotonicTime> &grants = services_.at(service).grants;
    if (grants.empty()) {
        return hold * (ahead + 1) / slots;
    }
    // Each slot that comes free goes to the next one, and is held as long as usual again.
    const auto passed = std::chrono::duration_cast<Milliseconds>(clock_.monotonic()
                                                                 - grants[ahead % grants.size()]);
    return std::max(hold - passed, hold / overdueShare) + hold * (ahead / grants.size());
}

std::size_t SlotBroker::queuedAhead(const Service &service, const SlotRequest &request) const
{
    const MonotonicTime now = clock_.monotonic();
    const MonotonicTime startBy
        = now + Milliseconds(static_cast<std::int64_t>(request.startWithinMs));
    std::size_t ahead = 0;
    for (const Waiting &waiting : service.queue) {
        // A late one lets this one go ahead.
        const bool before = waiting.request.priority < request.priority
            || (waiting.request.priority == request.priority && waiting.startBy <= startBy
                && waiting.startBy >= now);
        ahead += before ? 1 : 0;
    }
    return ahead;
}

void SlotBroker::refuse(const HostId &host, const SlotRequest &request, Milliseconds wait)
{
    const Milliseconds told = appointment(request, wait);
    LogLine(LogLevel::Info, "slot_refused")
        .add("host", host.value)
        .add("ticket", static_cast<std::int64_t>(request.ticket))
        .add("service", request.service.value)
        .add("start_within_ms", static_cast<std::int64_t>(request.startWithinMs))
        .add("came_back", request.cameBack ? "yes" : "no")
        .add("expected_wait_ms", wait == Milliseconds::max() ? -1 : wait.count())
        .add("retry_after_ms", told.count())
        .add("waiting", static_cast<std::int64_t>(waiting(request.service)))
        .add("usable_slots", static_cast<std::int64_t>(usableSlots(request.service)))
        .write();
    hooks_.refuse(host, SlotRefusal{request.ticket, static_cast<std::uint64_t>(told.count())});
}

Milliseconds SlotBroker::appointment(const SlotRequest &request, Milliseconds wait)
{
    if (wait == Milliseconds::max()) {
        const auto base = static_cast<std::uint64_t>(unknownWait.count());
        return unknownWait + Milliseconds(static_cast<std::int64_t>(random_() % base));
    }
    const MonotonicTime now = clock_.monotonic();
    Service &service = services_[request.service];
    const Milliseconds latest(static_cast<std::int64_t>(request.giveUpAfterMs / honouredPart));
    const MonotonicTime at
        = std::max(now + std::max(wait, leastRetryAfter), service.nextAppointment);
    if (at - now > latest) {
        // Nothing is left to promise. The last moment that the caller heeds is the likeliest one.
        return std::max(latest, leastRetryAfter);
    }
    const std::uint32_t slots = std::max(1U, usableSlots(request.service));
    service.nextAppointment = at + Microseconds(usualHold(request.service)) * returnShare / slots;
    return std::chrono::duration_cast<Milliseconds>(at - now);
}

void SlotBroker::enqueue(const HostId &host, const SlotRequest &request)
{
    const MonotonicTime now = clock_.monotonic();
    Waiting waiting{.host = host,
                    .request = request,
                    .startBy = now + Milliseconds(static_cast<std::int64_t>(request.startWithinMs)),
                    .giveUpAt
                    = now + Milliseconds(static_cast<std::int64_t>(request.giveUpAfterMs))};
    Queue &queue = services_[request.service].queue;
    const auto after = std::ranges::find_if(queue, [&](const Waiting &other) {
        return std::pair(other.request.priority, other.startBy)
            > std::pair(waiting.request.priority, waiting.startBy);
    });
    queue.insert(after, std::move(waiting));
    ++queued_;
}

bool SlotBroker::serveRange(Queue &queue, Queue::iterator first, Queue::iterator last)
{
    while (first != last) {
        const auto position = first++;
        if (tryGrant(position->host, position->request)) {
            queue.erase(position);
            --queued_;
            continue;
        }
        // One that excludes servers may wait for others than those behind it.
        if (position->request.excluded.empty()) {
            return false;
        }
    }
    return true;
}

void SlotBroker::serveQueue(const ServiceName &name)
{
    Queue &queue = services_[name].queue;
    const MonotonicTime now = clock_.monotonic();
    auto position = queue.begin();
    while (position != queue.end()) {
        const std::uint32_t priority = position->request.priority;
        const auto end = std::find_if(position, queue.end(), [priority](const Waiting &waiting) {
            return waiting.request.priority != priority;
        });
        const auto inTime = std::find_if(
            position, end, [now](const Waiting &waiting) { return waiting.startBy >= now; });
        // The range of the late ones ends at an element that may be served and gone by then.
        const bool anyLate = inTime != position;
        const auto lastLate = anyLate ? std::prev(inTime) : position;
        if (!serveRange(queue, inTime, end)) {
            break;
        }
        if (anyLate && !serveRange(queue, position, std::next(lastLate))) {
            break;
        }
        position = end;
    }
    if (queue.empty() && hooks_.batchMayStart) {
        hooks_.batchMayStart(name);
    }
}

void SlotBroker::tick()
{
    const MonotonicTime now = clock_.monotonic();
    for (auto &[name, service] : services_) {
        for (auto position = service.queue.begin(); position != service.queue.end();) {
            if (now < position->giveUpAt) {
                ++position;
                continue;
            }
            refuse(position->host, position->request, expectedWait(name, service.queue.size()));
            position = service.queue.erase(position);
            --queued_;
        }
        serveQueue(name);
        refuseHopeless(name, service);
    }
}

void SlotBroker::refuseHopeless(const ServiceName &name, Service &service)
{
    if (service.queue.empty()) {
        return;
    }
    const MonotonicTime now = clock_.monotonic();
    std::size_t ahead = 0;
    // In the order of serveQueue(), of one priority.
    for (const bool late : {false, true}) {
        for (auto position = service.queue.begin(); position != service.queue.end();) {
            if ((position->startBy < now) != late) {
                ++position;
                continue;
            }
            const Milliseconds wait = expectedWait(name, ahead);
            if (wait != Milliseconds::max() && now + wait <= position->giveUpAt) {
                ++ahead;
                ++position;
                continue;
            }
            refuse(position->host, position->request, wait);
            position = service.queue.erase(position);
            --queued_;
        }
    }
}

} // namespace persimmonlb
