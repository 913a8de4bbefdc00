#pragma once

#include <cstdint>
#include <optional>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Proof that at `provenAt`, on this host's clock, `version` was the newest version of the routes
/// that had been acknowledged to an operator.
struct RoutesProof {
    std::uint64_t version = 0; ///< 0: no proof.
    MonotonicTime provenAt;

    bool operator==(const RoutesProof &) const = default;
};

/// What a host knows of how current its routes are, from its parent's replies to its reports.
///
/// A reply that echoes a report proves nothing later than the sending of that report, so a message
/// that was held up, or a process that was suspended, can only make a proof older. Not
/// thread-safe. The clock must count suspension.
class RoutesFreshness
{
public:
    explicit RoutesFreshness(Clock clock);

    /// Returns the stamp that the next report carries; never 0.
    [[nodiscard]] std::uint64_t stamp() const;
    /// Takes a reply to the report with this stamp: `version` was proven `age` before the parent
    /// received that report. Ignores stamps that this process did not give out.
    void confirm(std::uint64_t stamp, std::uint64_t version, Milliseconds age);
    /// Takes a proof of the host's own: it leads and holds a lease now.
    void confirmNow(std::uint64_t version);
    /// The host put this version in force.
    void setVersion(std::uint64_t version);

    /// Returns the newest proof, of whatever version; its version is 0 if there is none.
    [[nodiscard]] const RoutesProof &newest() const;
    /// Returns the time since the version in force was last proven to be the newest one; nothing if
    /// it never was.
    [[nodiscard]] std::optional<Milliseconds> age() const;

private:
    void accept(const RoutesProof &proof);

    Clock clock_;
    MonotonicTime startedAt_;
    std::uint64_t versionInForce_ = 0;
    RoutesProof newest_;
    /// Newest proof of a version that is not above the one in force.
    RoutesProof inForce_;
};

} // namespace persimmonlb
