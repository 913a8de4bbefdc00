#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

struct ApplierHooks {
    /// A command was applied.
    std::function<void(const LogEntry &entry, std::string reply)> commandApplied;
    /// A member list is committed and everything before it applied.
    std::function<void(const LogEntry &entry)> configurationCommitted;
};

/// Applies committed entries to the state machine and compacts the log behind them.
class Applier
{
public:
    Applier(Core &core, ApplierHooks hooks);

    /// Applies a bounded number of committed entries.
    void step();
    /// Committed entries wait to be applied.
    [[nodiscard]] bool isBehind() const;

private:
    void apply(const LogEntry &entry);
    void compactWhenLong();

    Core &core_;
    ApplierHooks hooks_;
};

} // namespace persimmonlb::internal
