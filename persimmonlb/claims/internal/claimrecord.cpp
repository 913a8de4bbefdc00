#include "persimmonlb/claims/internal/claimrecord.h"

#include "persimmonlb/state/commandfields.h"

namespace persimmonlb::internal
{

template <typename Visitor, Like<ClaimRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("key", value.key);
    visitor("service", value.service);
    visitor("digest", value.bodyDigest);
    visitor("owner", value.owner);
    visitor("requestId", value.requestId);
    visitor("state", value.state);
    visitor("answer", value.answer);
    visitor("endedAt", value.endedAt);
    visitor("neverSent", value.neverSent);
}

template <typename Visitor, Like<RunningClaim> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("key", value.key);
    visitor("owner", value.owner);
}

std::string encode(const ClaimRecord &record)
{
    return encodeFields(record);
}

std::string encode(const RunningClaim &claim)
{
    return encodeFields(claim);
}

std::optional<RunningClaim> decodeRunningClaim(std::string_view bytes)
{
    auto claim = decodeFields<RunningClaim>(bytes);
    if (!claim.ok()) {
        return std::nullopt;
    }
    return std::move(claim.value());
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes)
{
    auto record = decodeFields<ClaimRecord>(bytes);
    if (!record.ok()) {
        return std::nullopt;
    }
    return std::move(record.value());
}

} // namespace persimmonlb::internal
