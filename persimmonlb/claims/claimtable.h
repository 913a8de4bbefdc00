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

/// Stores the claims of requests that are not idempotent: each key is granted to one request and
/// gets one outcome.
///
/// Claims are never deleted, so a key is never granted again after its request may have been sent.
/// The recorded answer is kept for 24 hours after the outcome. After that the claim is still
/// Answered but has status 0, and callers get already_ran_once. Only claims without an outcome are
/// kept in memory.
///
/// Deterministic: reads no clock. Each command appends its changes to `changes`, which the caller
/// must write to the state store before it calls the next command. Not thread-safe.
class ClaimTable
{
public:
    explicit ClaimTable(StateStore store);

    /// Claims a key. If the reply is Granted, the claimant may send the request once. A repeated
    /// claim with the same owner and request id returns Granted again while the claim has no
    /// outcome, because the first reply may have been lost.
    ClaimReply claim(const ClaimRequest &command, MutationList &changes);

    /// Records the first outcome that the owner reports, and returns the resulting claim. If
    /// release() has set the claim to Unknown, a later Answered from the owner is still recorded,
    /// but a later NotSent is not.
    ClaimReply record(const RecordOutcome &command, MutationList &changes);

    /// Sets all claims of `owner` without an outcome to Unknown. Returns their number.
    std::uint32_t release(const Owner &owner, WallTime at, MutationList &changes);

    /// Removes recorded answers whose retention has ended, a limited number per call.
    void expire(WallTime at, MutationList &changes);

    /// Returns the claim of a key; NotSent when there is none.
    [[nodiscard]] ClaimReply find(const ClaimKey &key) const;
    /// Returns the owners of claims without an outcome.
    [[nodiscard]] std::set<Owner> owners() const;
    /// Returns the number of claims of `owner` without an outcome.
    [[nodiscard]] std::size_t runningCount(const Owner &owner) const;

    /// Rebuilds the in-memory index from the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    [[nodiscard]] std::optional<internal::ClaimRecord> load(const ClaimKey &key) const;
    /// Writes a record whose state was just set to its outcome.
    void writeOutcome(const ClaimKey &key, internal::ClaimRecord &record, WallTime at,
                      MutationList &changes);

    StateStore store_;
    std::map<Owner, std::set<ClaimKey>> running_;
    std::optional<WallTime> oldestAnswer_; ///< Lower bound of the end times of kept answers.
};

} // namespace persimmonlb
