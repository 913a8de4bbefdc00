#pragma once

#include <cstdint>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// Gives out fencing numbers for orders to backend servers. Every reservation is above all
/// earlier ones, whoever leads. Deterministic; not thread-safe.
class FencingCounter
{
public:
    explicit FencingCounter(StateStore store);

    /// Reserves `count` numbers (at least one, at most 10,000). A repeated command reserves
    /// further numbers: unused ones do no harm.
    FencingReply reserve(const ReserveFencing &command, MutationList &changes);

    Result<void> reload();

private:
    StateStore store_;
    std::uint64_t next_ = 1;
};

} // namespace persimmonlb
