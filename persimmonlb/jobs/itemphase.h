#pragma once

#include <cstdint>
#include <optional>

namespace persimmonlb
{

/// Life of one batch item.
enum class ItemPhase : std::uint8_t { Pending, Leased, Succeeded, Failed, Cancelled };

enum class ItemEvent : std::uint8_t {
    Lease, ///< Given to an owner.
    Succeed, ///< A server answered.
    Reject, ///< A server says that it can never be done.
    Fail, ///< The attempt failed; pending again when it may be retried, else failed.
    NotRun, ///< Nothing was sent.
    Release, ///< The owner was lost; pending again when it may be retried, else failed.
    Cancel,
};

/// The phase after `event`, or nothing when the event does not apply in `phase`. `mayRetry`
/// matters to Fail and Release only. Allocates nothing. Thread-safe.
std::optional<ItemPhase> nextPhase(ItemPhase phase, ItemEvent event, bool mayRetry);

/// True for Succeeded, Failed and Cancelled.
constexpr bool hasEnded(ItemPhase phase)
{
    return phase != ItemPhase::Pending && phase != ItemPhase::Leased;
}

} // namespace persimmonlb
