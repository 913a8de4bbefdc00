#include "persimmonlb/slots/fairshares.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

/// How far a customer may be ahead of its share before others are served first: a second of it, but
/// at least some requests. In the load of fairload_test, the requests of other customers wait
/// longer with 0.5 s, as chance bursts are put behind, and with 3 s, as more of an excess is let in
/// front.
constexpr double burstSeconds = 1;
constexpr double burstRequests = 4;

double advanceOf(double weight, double slotMs)
{
    return slotMs / (weight > 0 ? weight : 1);
}

} // namespace

ShareCursor::ShareCursor(double earliest, double virtualTime)
    : earliest_(earliest)
    , virtualTime_(virtualTime)
{
}

double ShareCursor::next(double weight, double slotMs)
{
    const double advance = advanceOf(weight, slotMs);
    const double burst = std::max(burstRequests, burstSeconds * weight);
    const double start = std::max(earliest_, virtualTime_ - burst * advance);
    virtualTime_ += advance;
    return start;
}

double ShareCursor::virtualTime() const
{
    return virtualTime_;
}

ShareCursor FairShares::startsOf(const CustomerName &customer) const
{
    const auto known = customers_.find(customer);
    if (known == customers_.end()) {
        return {virtualTime_, virtualTime_};
    }
    if (known->second.waiting > 0) {
        return {known->second.earliest, known->second.virtualTime};
    }
    return {virtualTime_, std::max(known->second.virtualTime, virtualTime_)};
}

void FairShares::addWaiting(const CustomerName &customer)
{
    Customer &known = customers_[customer];
    if (known.waiting == 0) {
        known.earliest = virtualTime_;
        known.virtualTime = std::max(known.virtualTime, virtualTime_);
    }
    ++known.waiting;
    ++waiting_;
}

void FairShares::removeWaiting(const CustomerName &customer)
{
    const auto known = customers_.find(customer);
    if (known == customers_.end() || known->second.waiting == 0) {
        return;
    }
    --known->second.waiting;
    --waiting_;
    dropIfUnused(known);
}

void FairShares::grant(const CustomerName &customer, double weight, double estimateMs)
{
    ShareCursor starts = startsOf(customer);
    virtualTime_ = std::max(virtualTime_, starts.next(weight, estimateMs));
    Customer &known = customers_[customer];
    known.virtualTime = starts.virtualTime();
    ++known.held;
    ++held_;
}

void FairShares::release(const CustomerName &customer, double weight, double excessMs)
{
    const auto known = customers_.find(customer);
    if (known == customers_.end() || known->second.held == 0) {
        return;
    }
    known->second.virtualTime += advanceOf(weight, excessMs);
    --known->second.held;
    --held_;
    dropIfUnused(known);
}

void FairShares::dropIfUnused(std::map<CustomerName, Customer>::iterator customer)
{
    const Customer &known = customer->second;
    if (known.waiting == 0 && known.held == 0 && known.virtualTime <= virtualTime_) {
        customers_.erase(customer);
    }
}

bool FairShares::isIdle() const
{
    return waiting_ == 0 && held_ == 0;
}

} // namespace persimmonlb
