#include "persimmonlb/claims/claimtable.h"

#include <algorithm>

#include "persimmonlb/claims/internal/claimrecord.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

using internal::ClaimRecord;

namespace
{

constexpr Milliseconds answerRetention{std::chrono::hours(24)};
constexpr std::size_t maxExpiriesPerCommand = 100;
constexpr std::size_t maxNeverSentRequests = 8;

ClaimReply replyOf(const ClaimRecord &record)
{
    return ClaimReply{.state = record.state, .owner = record.owner, .answer = record.answer};
}

std::string qualifiedRequestId(const Owner &owner, const std::string &requestId)
{
    return owner.host.value + "/" + std::to_string(owner.incarnation) + "/" + requestId;
}

WallTime endTimeOf(std::string_view key)
{
    key.remove_prefix(keys::endedClaimPrefix.size());
    const auto number = keys::parseNumber(key).value_or(0);
    return WallTime(Milliseconds(static_cast<std::int64_t>(number)));
}

} // namespace

ClaimTable::ClaimTable(StateStore store)
    : store_(std::move(store))
{
}

std::optional<ClaimRecord> ClaimTable::load(const ClaimKey &key) const
{
    const auto bytes = store_.get(keys::claim(key));
    return bytes ? internal::decodeClaimRecord(*bytes) : std::nullopt;
}

ClaimReply ClaimTable::claim(const ClaimRequest &command, MutationList &changes)
{
    const auto existing = load(command.key);
    const std::string request = qualifiedRequestId(command.owner, command.requestId);
    const bool isClaimable = !existing || existing->state == ClaimState::NotSent;
    if (existing
        && (existing->bodyDigest != command.bodyDigest || existing->service != command.service)) {
        return ClaimReply{.state = ClaimState::Conflict, .owner = existing->owner, .answer = {}};
    }
    if (!isClaimable) {
        const bool isSameRequest = existing->state == ClaimState::Running
            && existing->owner == command.owner && existing->requestId == command.requestId;
        ClaimReply reply = replyOf(*existing);
        reply.state = isSameRequest ? ClaimState::Granted : reply.state;
        return reply;
    }
    ClaimRecord record{.key = command.key,
                       .service = command.service,
                       .bodyDigest = command.bodyDigest,
                       .owner = command.owner,
                       .requestId = command.requestId,
                       .state = ClaimState::Running,
                       .answer = {},
                       .endedAt = {},
                       .neverSent = existing ? existing->neverSent : std::vector<std::string>{}};
    if (std::ranges::find(record.neverSent, request) != record.neverSent.end()) {
        return replyOf(*existing);
    }
    running_[command.owner].insert(command.key);
    changes.push_back({keys::claim(command.key), internal::encode(record)});
    changes.push_back(
        {keys::runningClaim(command.key),
         internal::encode(internal::RunningClaim{.key = command.key, .owner = command.owner})});
    return ClaimReply{.state = ClaimState::Granted, .owner = command.owner, .answer = {}};
}

void ClaimTable::writeOutcome(const ClaimKey &key, ClaimRecord &record, WallTime at,
                              MutationList &changes)
{
    record.endedAt = at;
    if (record.state == ClaimState::Answered) {
        changes.push_back({keys::endedClaim(at, key), std::string()});
        oldestAnswer_ = std::min(oldestAnswer_.value_or(at), at);
    }
    changes.push_back({keys::claim(key), internal::encode(record)});
    changes.push_back({keys::runningClaim(key), std::nullopt});
    const auto owned = running_.find(record.owner);
    if (owned == running_.end()) {
        return;
    }
    owned->second.erase(key);
    if (owned->second.empty()) {
        running_.erase(owned);
    }
}

ClaimReply ClaimTable::record(const RecordOutcome &command, MutationList &changes)
{
    auto existing = load(command.key);
    if (!existing) {
        return ClaimReply{.state = ClaimState::NotSent, .owner = {}, .answer = {}};
    }
    const bool isOwner
        = existing->owner == command.owner && existing->requestId == command.requestId;
    const bool isOutcome = command.state == ClaimState::Answered
        || command.state == ClaimState::Unknown || command.state == ClaimState::NotSent;
    const bool isFirstOutcome = existing->state == ClaimState::Running;
    const bool isLateAnswer
        = existing->state == ClaimState::Unknown && command.state == ClaimState::Answered;
    if (!isOwner || !isOutcome || !(isFirstOutcome || isLateAnswer)) {
        return replyOf(*existing);
    }
    existing->state = command.state;
    if (command.state == ClaimState::Answered) {
        existing->answer = command.answer;
    }
    if (command.state == ClaimState::NotSent) {
        existing->neverSent.push_back(qualifiedRequestId(command.owner, command.requestId));
        if (existing->neverSent.size() > maxNeverSentRequests) {
            existing->neverSent.erase(existing->neverSent.begin());
        }
    }
    writeOutcome(command.key, *existing, command.at, changes);
    return replyOf(*existing);
}

std::uint32_t ClaimTable::release(const Owner &owner, WallTime at, MutationList &changes)
{
    const auto owned = running_.find(owner);
    if (owned == running_.end()) {
        return 0;
    }
    const std::set<ClaimKey> claims = owned->second;
    for (const ClaimKey &key : claims) {
        auto record = load(key);
        if (!record) {
            continue;
        }
        record->state = ClaimState::Unknown;
        writeOutcome(key, *record, at, changes);
    }
    return static_cast<std::uint32_t>(claims.size());
}

void ClaimTable::expire(WallTime at, MutationList &changes)
{
    if (!oldestAnswer_ || *oldestAnswer_ + answerRetention >= at) {
        return;
    }
    std::vector<std::string> expired;
    std::optional<WallTime> oldest;
    store_.scan(keys::endedClaimPrefix, [&](std::string_view key, std::string_view) {
        if (endTimeOf(key) + answerRetention >= at || expired.size() == maxExpiriesPerCommand) {
            oldest = endTimeOf(key);
            return false;
        }
        expired.emplace_back(key);
        return true;
    });
    oldestAnswer_ = oldest;
    for (const std::string &key : expired) {
        changes.push_back({key, std::nullopt});
        const std::string claimKey = std::string(keys::claimPrefix)
            + key.substr(keys::endedClaimPrefix.size() + sizeof(std::uint64_t));
        const auto bytes = store_.get(claimKey);
        auto record = bytes ? internal::decodeClaimRecord(*bytes) : std::nullopt;
        if (record && record->state == ClaimState::Answered) {
            record->answer = RecordedAnswer{};
            changes.push_back({claimKey, internal::encode(*record)});
        }
    }
}

ClaimReply ClaimTable::find(const ClaimKey &key) const
{
    const auto record = load(key);
    return record ? replyOf(*record)
                  : ClaimReply{.state = ClaimState::NotSent, .owner = {}, .answer = {}};
}

std::set<Owner> ClaimTable::owners() const
{
    std::set<Owner> owners;
    for (const auto &[owner, claims] : running_) {
        owners.insert(owner);
    }
    return owners;
}

std::size_t ClaimTable::runningCount(const Owner &owner) const
{
    const auto owned = running_.find(owner);
    return owned == running_.end() ? 0 : owned->second.size();
}

Result<void> ClaimTable::reload()
{
    running_.clear();
    oldestAnswer_.reset();
    bool allValid = true;
    store_.scan(keys::runningClaimPrefix, [&](std::string_view, std::string_view value) {
        const auto claim = internal::decodeRunningClaim(value);
        allValid = claim.has_value();
        if (allValid) {
            running_[claim->owner].insert(claim->key);
        }
        return allValid;
    });
    store_.scan(keys::endedClaimPrefix, [&](std::string_view key, std::string_view) {
        oldestAnswer_ = endTimeOf(key);
        return false;
    });
    if (!allValid) {
        return fail(ResultCode::CorruptStore,
                    "the state store contains a running claim that cannot be decoded");
    }
    return {};
}

} // namespace persimmonlb
