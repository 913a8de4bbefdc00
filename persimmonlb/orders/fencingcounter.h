#pragma once

#include <cstdint>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// Allocates fencing numbers for orders to backend servers. Each reservation is above all earlier
/// ones, including those of other leaders. Deterministic. Not thread-safe.
class FencingCounter
{
public:
    explicit FencingCounter(StateStore store);

    /// Reserves `count` numbers (clamped to 1 to 10,000). A repeated command reserves further
    /// numbers; numbers that stay unused do no harm.
    FencingReply reserve(const ReserveFencing &command, MutationList &changes);

    /// Reads the next number from the state store.
    Result<void> reload();

private:
    StateStore store_;
    std::uint64_t next_ = 1;
};

} // namespace persimmonlb
