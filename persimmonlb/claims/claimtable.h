#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

namespace internal
{
struct ClaimRecord;
} // namespace internal

/// Claims of requests that are not idempotent: one grant per key, one outcome.
///
/// A claim stays for ever, so a key is never granted again after its request may have been sent.
/// Its recorded answer is kept for 24 hours after the outcome; afterwards the claim is Answered
/// with status 0, for which a caller is told already_ran_once. Only claims without an outcome are
/// held in memory.
///
/// Deterministic: holds no clock. Each command appends its changes, which the caller writes
/// before the next one. Not thread-safe.
class ClaimTable
{
public:
    explicit ClaimTable(StateStore store);

    /// Granted: the asker may send the request, once. The same owner and request id are answered
    /// Granted again while there is no outcome, because the first answer may have been lost.
    ClaimReply claim(const ClaimRequest &command, MutationList &changes);

    /// Records the owner's first outcome and answers with the claim as it is then. After a release
    /// made it Unknown, the owner's true answer is still taken; a late NotSent is not.
    ClaimReply record(const RecordOutcome &command, MutationList &changes);

    /// Claims of `owner` without outcome become Unknown. Returns their number.
    std::uint32_t release(const Owner &owner, WallTime at, MutationList &changes);

    /// Removes recorded answers that are past their retention; a few at a time.
    void expire(WallTime at, MutationList &changes);

    /// The claim of a key; NotSent when there is none.
    [[nodiscard]] ClaimReply find(const ClaimKey &key) const;
    [[nodiscard]] std::set<Owner> owners() const;
    [[nodiscard]] std::size_t running(const Owner &owner) const;

    /// Reads the index anew from the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    [[nodiscard]] std::optional<internal::ClaimRecord> load(const ClaimKey &key) const;
    void end(const ClaimKey &key, internal::ClaimRecord &record, WallTime at,
             MutationList &changes);

    StateStore store_;
    std::map<Owner, std::set<ClaimKey>> running_;
    std::optional<WallTime> oldestAnswer_; ///< No kept answer ended before this.
};

} // namespace persimmonlb
