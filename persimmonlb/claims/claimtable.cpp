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
constexpr std::size_t expiriesPerCommand = 100;
constexpr std::size_t rememberedNeverSent = 8;

ClaimReply replyOf(const ClaimRecord &record)
{
    return ClaimReply{.state = record.state, .owner = record.owner, .answer = record.answer};
}

std::string requestName(const Owner &owner, const std::string &requestId)
{
    return owner.host.value + "/" + std::to_string(owner.incarnation) + "/" + requestId;
}

WallTime endOf(std::string_view key)
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
    const auto known = load(command.key);
    const std::string request = requestName(command.owner, command.requestId);
    const bool free = !known || known->state == ClaimState::NotSent;
    if (known && (known->bodyDigest != command.bodyDigest || known->service != command.service)) {
        return ClaimReply{.state = ClaimState::Conflict, .owner = known->owner, .answer = {}};
    }
    if (!free) {
        const bool sameRequest = known->state == ClaimState::Running
            && known->owner == command.owner && known->requestId == command.requestId;
        ClaimReply reply = replyOf(*known);
        reply.state = sameRequest ? ClaimState::Granted : reply.state;
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
                       .neverSent = known ? known->neverSent : std::vector<std::string>{}};
    if (std::ranges::find(record.neverSent, request) != record.neverSent.end()) {
        return replyOf(*known);
    }
    running_[command.owner].insert(command.key);
    changes.push_back({keys::claim(command.key), internal::encode(record)});
    changes.push_back(
        {keys::runningClaim(command.key),
         internal::encode(internal::RunningClaim{.key = command.key, .owner = command.owner})});
    return ClaimReply{.state = ClaimState::Granted, .owner = command.owner, .answer = {}};
}

/// Writes a record that has just got its outcome.
void ClaimTable::end(const ClaimKey &key, ClaimRecord &record, WallTime at, MutationList &changes)
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
    auto known = load(command.key);
    if (!known) {
        return ClaimReply{.state = ClaimState::NotSent, .owner = {}, .answer = {}};
    }
    const bool mine = known->owner == command.owner && known->requestId == command.requestId;
    const bool isOutcome = command.state == ClaimState::Answered
        || command.state == ClaimState::Unknown || command.state == ClaimState::NotSent;
    const bool first = known->state == ClaimState::Running;
    const bool lateAnswer
        = known->state == ClaimState::Unknown && command.state == ClaimState::Answered;
    if (!mine || !isOutcome || !(first || lateAnswer)) {
        return replyOf(*known);
    }
    known->state = command.state;
    if (command.state == ClaimState::Answered) {
        known->answer = command.answer;
    }
    if (command.state == ClaimState::NotSent) {
        known->neverSent.push_back(requestName(command.owner, command.requestId));
        if (known->neverSent.size() > rememberedNeverSent) {
            known->neverSent.erase(known->neverSent.begin());
        }
    }
    end(command.key, *known, command.at, changes);
    return replyOf(*known);
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
        end(key, *record, at, changes);
    }
    return static_cast<std::uint32_t>(claims.size());
}

void ClaimTable::expire(WallTime at, MutationList &changes)
{
    if (!oldestAnswer_ || *oldestAnswer_ + answerRetention >= at) {
        return;
    }
    std::vector<std::string> past;
    std::optional<WallTime> oldest;
    store_.scan(keys::endedClaimPrefix, [&](std::string_view key, std::string_view) {
        if (endOf(key) + answerRetention >= at || past.size() == expiriesPerCommand) {
            oldest = endOf(key);
            return false;
        }
        past.emplace_back(key);
        return true;
    });
    oldestAnswer_ = oldest;
    for (const std::string &key : past) {
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

std::size_t ClaimTable::running(const Owner &owner) const
{
    const auto owned = running_.find(owner);
    return owned == running_.end() ? 0 : owned->second.size();
}

Result<void> ClaimTable::reload()
{
    running_.clear();
    oldestAnswer_.reset();
    bool sound = true;
    store_.scan(keys::runningClaimPrefix, [&](std::string_view, std::string_view value) {
        const auto claim = internal::decodeRunningClaim(value);
        sound = claim.has_value();
        if (sound) {
            running_[claim->owner].insert(claim->key);
        }
        return sound;
    });
    store_.scan(keys::endedClaimPrefix, [&](std::string_view key, std::string_view) {
        oldestAnswer_ = endOf(key);
        return false;
    });
    if (!sound) {
        return fail(ResultCode::CorruptStore, "the state store holds a bad claim");
    }
    return {};
}

} // namespace persimmonlb
