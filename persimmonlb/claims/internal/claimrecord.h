#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/state/command.h"

namespace persimmonlb::internal
{

/// claim/: one claim and its outcome.
struct ClaimRecord {
    ClaimKey key;
    ServiceName service;
    std::string bodyDigest;
    Owner owner;
    std::string requestId;
    ClaimState state = ClaimState::Running;
    RecordedAnswer answer;
    WallTime endedAt;
    /// Requests that were claimed under this key and never sent, newest last. A late double of
    /// one of their claims must not be granted again.
    std::vector<std::string> neverSent;

    bool operator==(const ClaimRecord &) const = default;
};

/// claimrun/: a claim without an outcome.
struct RunningClaim {
    ClaimKey key;
    Owner owner;

    bool operator==(const RunningClaim &) const = default;
};

std::string encode(const ClaimRecord &record);
std::string encode(const RunningClaim &claim);
/// Nothing when the bytes are no claim.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);
/// Nothing when the bytes are no running claim.
std::optional<RunningClaim> decodeRunningClaim(std::string_view bytes);

} // namespace persimmonlb::internal
