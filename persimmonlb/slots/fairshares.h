#pragma once

#include <cstddef>
#include <map>

#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// Yields the starts of a customer's next requests in virtual time.
class ShareCursor
{
public:
    ShareCursor(double earliest, double virtualTime);

    /// Returns the start of the next request and advances the virtual time by its slot time over
    /// the weight.
    double next(double weight, double slotMs);
    [[nodiscard]] double virtualTime() const;

private:
    double earliest_;
    double virtualTime_;
};

/// Virtual times of the customers that share the slots of one service, by start-time fair queueing.
///
/// The request with the lowest start is to be served first. A granted request advances the virtual
/// time of its customer by the estimated slot time over the customer's weight; the difference from
/// the time that it really held the slot follows on release. A customer without waiting requests
/// starts at the current virtual time, that of the last grant: it neither saves up what it did not
/// use nor waits for what others used before.
///
/// Starts count only what a customer is ahead of its share by more than a second of it, or four
/// requests. The virtual time of a small customer advances by seconds with each request, so that
/// without this its second request would wait behind all those of a customer that sends far more
/// than its share.
///
///     shares.grant(customer, weight, estimateMs);
///     ...
///     shares.release(customer, weight, heldMs - estimateMs);
///
/// Not thread-safe. Times are in ms; a weight is in requests per second, and 0 counts as 1.
class FairShares
{
public:
    /// Returns the starts of the customer's requests, from the first one that waits or would wait.
    [[nodiscard]] ShareCursor startsOf(const CustomerName &customer) const;

    /// Counts a request that waits for a slot.
    void addWaiting(const CustomerName &customer);
    /// Call when a waiting request was granted a slot, after grant(), or was removed.
    void removeWaiting(const CustomerName &customer);
    void grant(const CustomerName &customer, double weight, double estimateMs);
    /// Releases a granted slot that was held for `excessMs` longer than estimated.
    void release(const CustomerName &customer, double weight, double excessMs);
    /// True if no request waits or holds a slot.
    [[nodiscard]] bool isIdle() const;

private:
    struct Customer {
        double virtualTime = 0;
        double earliest = 0; ///< The current virtual time when its first waiting request came.
        std::size_t waiting = 0;
        std::size_t held = 0;
    };

    /// Drops a customer whose history no longer matters.
    void dropIfUnused(std::map<CustomerName, Customer>::iterator customer);

    double virtualTime_ = 0; ///< Highest start of a granted request.
    std::map<CustomerName, Customer> customers_;
    std::size_t waiting_ = 0;
    std::size_t held_ = 0;
};

} // namespace persimmonlb
