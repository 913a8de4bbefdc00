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

std::string encode(const ClaimRecord &record);
/// Nothing when the bytes are no claim.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace persimmonlb::internal
