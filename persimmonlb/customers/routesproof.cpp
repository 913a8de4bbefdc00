#include "persimmonlb/customers/routesproof.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Added to the clock's reading, so that no stamp is 0.
constexpr std::uint64_t stampOffset = 1;

std::uint64_t stampOf(MonotonicTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count()) + stampOffset;
}

} // namespace

RoutesFreshness::RoutesFreshness(Clock clock)
    : clock_(std::move(clock))
    , startedAt_(clock_.monotonic())
{
}

std::uint64_t RoutesFreshness::stamp() const
{
    return stampOf(clock_.monotonic());
}

void RoutesFreshness::confirm(std::uint64_t stamp, std::uint64_t version, Milliseconds age)
{
    // The parent may still echo a stamp of the process that ran on this host before.
    const bool isOwn = stamp >= stampOf(startedAt_) && stamp <= stampOf(clock_.monotonic());
    if (!isOwn || version == 0 || age.count() < 0) {
        return;
    }
    const MonotonicTime sentAt{Microseconds(static_cast<std::int64_t>(stamp - stampOffset))};
    accept({.version = version, .provenAt = sentAt - age});
}

void RoutesFreshness::confirmNow(std::uint64_t version)
{
    if (version > 0) {
        accept({.version = version, .provenAt = clock_.monotonic()});
    }
}

void RoutesFreshness::accept(const RoutesProof &proof)
{
    // A later proof of an older version comes from a host that does not know of the newer one.
    if (proof.version > newest_.version
        || (proof.version == newest_.version && proof.provenAt > newest_.provenAt)) {
        newest_ = proof;
    }
    if (proof.version <= versionInForce_
        && (inForce_.version == 0 || proof.provenAt > inForce_.provenAt)) {
        inForce_ = proof;
    }
}

void RoutesFreshness::setVersion(std::uint64_t version)
{
    versionInForce_ = std::max(versionInForce_, version);
    accept(RoutesProof(newest_));
}

const RoutesProof &RoutesFreshness::newest() const
{
    return newest_;
}

std::optional<Milliseconds> RoutesFreshness::age() const
{
    if (inForce_.version == 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - inForce_.provenAt);
}

} // namespace persimmonlb
