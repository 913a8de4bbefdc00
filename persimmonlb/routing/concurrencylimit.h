#pragma once

#include <cstdint>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

struct ConcurrencyOptions {
    std::uint32_t initial = 16; ///< For a server that does not announce its slots.
    std::uint32_t least = 1;
    std::uint32_t most = 512;
    /// A recent mean time to first byte above this multiple of the best one lowers the limit.
    double tolerance = 3.0;
    Milliseconds slack{10}; ///< Differences below this never lower the limit.
    double decrease = 0.9;

    bool operator==(const ConcurrencyOptions &) const = default;
};

/// Adaptive bound of the requests in flight on one backend server.
///
/// Raises the bound by one per full round of good answers while the bound is in use, lowers it by a
/// factor when the recent mean of the time to first byte grows above the tolerance or the server
/// refuses, at most once per round. Never above the slots that the server announces. It compares
/// means, so that a mix of short and long prompts does not look like overload.
class ConcurrencyLimit
{
public:
    /// `slots` 0: the server does not say.
    ConcurrencyLimit(ConcurrencyOptions options, std::uint32_t slots);

    /// The server announced another number of slots.
    void setSlots(std::uint32_t slots);
    /// An answer began `latency` after its request was sent, with `inFlight` requests there.
    void answered(Milliseconds latency, std::uint32_t inFlight);
    /// The server refused before admission.
    void refused();

    [[nodiscard]] std::uint32_t limit() const;

private:
    [[nodiscard]] double most() const;
    void lower();

    ConcurrencyOptions options_;
    std::uint32_t slots_;
    double limit_;
    double bestMs_ = 0; ///< Least recent mean; rises slowly, so that a change of load is followed.
    double recentMs_ = 0;
    std::uint32_t answersSinceLowered_ = 0;
};

} // namespace persimmonlb
