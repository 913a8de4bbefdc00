#pragma once

#include <cstdint>
#include <optional>

#include "persimmonlb/base/error.h"
#include "persimmonlb/sheet/sheet.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// The sheets that were accepted; the one with the highest number is in force.
///
/// Deterministic. Each command appends its changes, which the caller writes before the next one.
/// Not thread-safe.
class SheetRegistry
{
public:
    explicit SheetRegistry(StateStore store);

    /// Accepts a sheet whose number is above the one in force. The same sheet again is
    /// SheetAlreadyAccepted; another one under the number in force is SheetNumberTaken.
    SheetReply apply(const ApplySheet &command, MutationList &changes);

    /// The sheet in force, or null before the first. Valid until the next apply() or reload().
    [[nodiscard]] const Sheet *inForce() const;
    [[nodiscard]] const SheetAnswer &answer() const;

    /// Reads the sheet in force anew from the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    [[nodiscard]] SheetReply reply(ResultCode code, std::string message) const;

    StateStore store_;
    std::optional<Sheet> sheet_;
    SheetAnswer answer_;
};

} // namespace persimmonlb
