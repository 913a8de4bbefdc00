#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Reads a limit of requests a second, a decimal number without exponent, and returns it in
/// requests per 1,000 s. Returns at least 1, as 0 means no limit; nothing if the text is not such a
/// number.
std::optional<std::uint64_t> parseRequestsPerKs(std::string_view text);

/// Token bucket that limits the requests to a server. Without a rate, it limits nothing. Not
/// thread-safe.
class RequestLimiter
{
public:
    /// Sets the rate in requests per second, or no limit if it is 0. `burst`: the number of
    /// requests that may be sent at once after a pause. A bucket that had no rate before starts
    /// with `initialRequests`.
    void setRate(double perSecond, double burst, double initialRequests, MonotonicTime now);
    /// True if a request may be sent now.
    [[nodiscard]] bool allowsRequest(MonotonicTime now) const;
    /// True if the whole burst may be sent now.
    [[nodiscard]] bool allowsBurst(MonotonicTime now) const;
    /// Counts a request that is sent, even if it is not allowed.
    void take(MonotonicTime now);
    /// Returns the rate in requests per second; 0: no limit.
    [[nodiscard]] double rate() const;

private:
    [[nodiscard]] double available(MonotonicTime now) const;

    double rate_ = 0;
    double burst_ = 0;
    double available_ = 0; ///< At updatedAt_.
    MonotonicTime updatedAt_;
};

} // namespace persimmonlb
