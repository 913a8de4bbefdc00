#pragma once

#include <set>
#include <string>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// Routes in force, storage hosts that were asked to leave, and the servers that a leader saved.
/// Deterministic; not thread-safe.
class FleetTable
{
public:
    explicit FleetTable(StateStore store);

    /// Returns true when the routes are newer than those in force.
    bool put(const PutRoutes &command, MutationList &changes);
    /// Returns true when the host was not asked before.
    bool retire(const RetireStore &command, MutationList &changes);
    static void save(const SaveFleet &command, MutationList &changes);

    /// Version 0 before the first.
    [[nodiscard]] const RoutesAnswer &routes() const;
    [[nodiscard]] const std::set<std::string> &retired() const;
    /// What the last SaveFleet held, or empty.
    [[nodiscard]] std::string saved() const;

    /// Errors: CorruptStore.
    Result<void> reload();

private:
    StateStore store_;
    RoutesAnswer routes_;
    std::set<std::string> retired_; ///< Names.
};

} // namespace persimmonlb
