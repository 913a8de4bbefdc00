// The part of SlotBroker that orders the queued requests of a service by their customers' shares.
#include <algorithm>
#include <utility>

#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

namespace
{

/// Starts of the queued requests of each customer, in the order in which they are asked for.
class Starts
{
public:
    Starts(const FairShares &shares, Milliseconds slotTime)
        : shares_(shares)
        , slotMs_(static_cast<double>(slotTime.count()))
    {
    }
    /// Returns the start of the customer's next request.
    double next(const SlotRequest &request)
    {
        auto known = starts_.find(request.customer);
        if (known == starts_.end()) {
            known = starts_.emplace(request.customer, shares_.startsOf(request.customer)).first;
        }
        return known->second.next(request.customerWeight, slotMs_);
    }

private:
    const FairShares &shares_;
    double slotMs_;
    std::map<CustomerName, ShareCursor> starts_;
};

} // namespace

FairShares *SlotBroker::sharesFor(const SlotRequest &request)
{
    std::map<std::uint32_t, FairShares> &shares = services_[request.service].shares;
    if (!request.customer.empty()) {
        return &shares[request.priority];
    }
    const auto known = shares.find(request.priority);
    return known == shares.end() ? nullptr : &known->second;
}

void SlotBroker::dropIdleShares(Service &service, std::uint32_t priority)
{
    const auto shares = service.shares.find(priority);
    if (shares != service.shares.end() && shares->second.isIdle()) {
        service.shares.erase(shares);
    }
}

void SlotBroker::settleCharge(const GrantedSlot &held)
{
    if (!held.charge) {
        return;
    }
    const SlotCharge &charge = *held.charge;
    Service &service = services_[charge.service];
    const auto shares = service.shares.find(charge.priority);
    if (shares == service.shares.end()) {
        return;
    }
    const double heldMs
        = std::chrono::duration<double, std::milli>(clock_.monotonic() - held.grantedAt).count();
    shares->second.release(charge.customer, charge.weight, heldMs - charge.estimateMs);
    dropIdleShares(service, charge.priority);
}

SlotBroker::Queue::iterator SlotBroker::removeFromQueue(Service &service, Queue::iterator position)
{
    if (position->isShared) {
        const std::uint32_t priority = position->request.priority;
        service.shares[priority].removeWaiting(position->request.customer);
        dropIdleShares(service, priority);
    }
    --queuedCount_;
    return service.queue.erase(position);
}

void SlotBroker::removeFromQueues(const HostId &host, std::optional<std::uint64_t> ticket)
{
    for (auto &[name, service] : services_) {
        for (auto position = service.queue.begin(); position != service.queue.end();) {
            const bool isMeant = position->host == host
                && position->request.ticket == ticket.value_or(position->request.ticket);
            position = isMeant ? removeFromQueue(service, position) : std::next(position);
        }
    }
}

void SlotBroker::sortByShare(const Service &service, std::vector<Queue::iterator> &requests) const
{
    if (requests.size() < 2) {
        return;
    }
    const auto shares = service.shares.find(requests.front()->request.priority);
    if (shares == service.shares.end()) {
        return;
    }
    Starts starts(shares->second, typicalHoldTime(requests.front()->request.service));
    std::vector<std::pair<double, Queue::iterator>> byStart;
    byStart.reserve(requests.size());
    for (const Queue::iterator request : requests) {
        byStart.emplace_back(starts.next(request->request), request);
    }
    // Requests of the same start keep their order by deadline.
    std::ranges::stable_sort(byStart, {}, &std::pair<double, Queue::iterator>::first);
    std::ranges::transform(byStart, requests.begin(), &std::pair<double, Queue::iterator>::second);
}

std::size_t SlotBroker::queuedAheadByShare(const Service &service, const SlotRequest &request,
                                           MonotonicTime now) const
{
    static const FairShares noShares;
    const auto known = service.shares.find(request.priority);
    const FairShares &shares = known == service.shares.end() ? noShares : known->second;
    const MonotonicTime startBy
        = now + Milliseconds(static_cast<std::int64_t>(request.startWithinMs));
    // Requests of the same priority that are served before `request` if their start is not later.
    std::vector<std::pair<double, MonotonicTime>> competing;
    Starts starts(shares, typicalHoldTime(request.service));
    std::size_t ahead = 0;
    for (const WaitingRequest &waiting : service.queue) {
        if (waiting.request.priority < request.priority) {
            ++ahead;
            continue;
        }
        // A request that can start in time is served before a late one.
        if (waiting.request.priority > request.priority || waiting.startBy < now) {
            continue;
        }
        if (waiting.request.customer != request.customer) {
            competing.emplace_back(starts.next(waiting.request), waiting.startBy);
        } else if (waiting.startBy <= startBy) {
            ++ahead;
            (void)starts.next(waiting.request);
        }
    }
    const std::pair own(starts.next(request), startBy);
    const auto before
        = std::ranges::count_if(competing, [&](const auto &other) { return other <= own; });
    return ahead + static_cast<std::size_t>(before);
}

} // namespace persimmonlb
