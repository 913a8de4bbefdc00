#include "persimmonlb/agreement/internal/applier.h"

#include <algorithm>
#include <utility>

namespace persimmonlb::internal
{

namespace
{

/// Bound on one step, so that a long replay does not keep messages and heartbeats waiting.
constexpr std::uint64_t entriesPerStep = 4096;
constexpr std::uint64_t bytesPerRead = 4ULL * 1024 * 1024;

} // namespace

Applier::Applier(Core &core, ApplierHooks hooks)
    : core_(core)
    , hooks_(std::move(hooks))
{
}

bool Applier::isBehind() const
{
    return core_.appliedIndex < core_.commitIndex;
}

void Applier::step()
{
    const std::uint64_t end = std::min(core_.commitIndex, core_.appliedIndex + entriesPerStep);
    while (core_.appliedIndex < end && !core_.failed()) {
        std::vector<LogEntry> entries;
        const std::uint64_t first = core_.appliedIndex + 1;
        const bool read = core_.check([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(entries, core_.dependencies.log.read(first, end, bytesPerRead));
            return {};
        });
        if (!read) {
            return;
        }
        for (const LogEntry &entry : entries) {
            apply(entry);
            if (core_.failed()) {
                return;
            }
        }
    }
    compactWhenLong();
}

void Applier::apply(const LogEntry &entry)
{
    MutationList changes;
    std::string reply;
    if (entry.kind == EntryKind::Command) {
        reply = core_.dependencies.machine.apply(entry.index, entry.data, changes);
    }
    const bool written
        = core_.check([&] { return core_.dependencies.log.apply(entry.index, changes); });
    if (!written) {
        return;
    }
    core_.appliedIndex = entry.index;
    if (entry.kind == EntryKind::Command) {
        hooks_.commandApplied(entry, std::move(reply));
    }
    if (entry.kind == EntryKind::Configuration) {
        hooks_.configurationCommitted(entry);
    }
}

void Applier::compactWhenLong()
{
    const AgreementLimits &limits = core_.options.limits;
    const LogStore &log = core_.dependencies.log;
    const std::uint64_t kept = limits.retainedEntries;
    if (core_.appliedIndex < log.compacted().index + limits.compactAfterEntries + kept) {
        return;
    }
    const std::uint64_t index = core_.appliedIndex - kept;
    core_.compactTo({.index = index,
                     .term = log.termAt(index).value_or(0),
                     .configuration = encodeConfiguration(core_.configurations().at(index))});
}

} // namespace persimmonlb::internal
