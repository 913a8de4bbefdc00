#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/state/command.h"

namespace persimmonlb::internal
{

/// Value of a claim/ key: one claim and its outcome.
struct ClaimRecord {
    ClaimKey key;
    ServiceName service;
    std::string bodyDigest;
    Owner owner;
    std::string requestId;
    ClaimState state = ClaimState::Running;
    RecordedAnswer answer;
    WallTime endedAt;
    /// Requests that claimed this key and were never sent, newest last. A delayed duplicate of one
    /// of their claims must not be granted.
    std::vector<std::string> neverSent;

    bool operator==(const ClaimRecord &) const = default;
};

/// Value of a claimrun/ key: a claim without an outcome.
struct RunningClaim {
    ClaimKey key;
    Owner owner;

    bool operator==(const RunningClaim &) const = default;
};

std::string encode(const ClaimRecord &record);
std::string encode(const RunningClaim &claim);
/// Returns nullopt when `bytes` cannot be decoded.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);
/// Returns nullopt when `bytes` cannot be decoded.
std::optional<RunningClaim> decodeRunningClaim(std::string_view bytes);

} // namespace persimmonlb::internal
