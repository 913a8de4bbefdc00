#include "persimmonlb/agreement/internal/memberchange.h"

#include <utility>

namespace persimmonlb::internal
{

namespace
{

/// How long the fresh host may take to answer before the change is given up.
constexpr Milliseconds inviteTimeout{10000};
/// How long it may then take nothing although it lacks entries.
constexpr Milliseconds stallTimeout{10000};
/// A member that answered no message of this many heartbeats is taken for gone. A quorum must have
/// answered more lately than that: it may have been lost in the same moment.
constexpr int missedHeartbeats = 4;
constexpr int missedHeartbeatsOfQuorum = 2;

} // namespace

MemberChange::MemberChange(Core &core, Replicator &replicator,
                           std::function<void(const Configuration &)> appendConfiguration)
    : core_(core)
    , replicator_(replicator)
    , appendConfiguration_(std::move(appendConfiguration))
{
}

bool MemberChange::settled() const
{
    return core_.configurations().latestIndex() <= core_.commitIndex;
}

std::optional<Error> MemberChange::refusal(const HostId &lost, const HostId &fresh) const
{
    const Configuration &configuration = core_.configurations().latest();
    if (request_ || configuration.replacement || !settled()) {
        return makeError(ResultCode::MemberChangeInProgress, "another member is being replaced");
    }
    if (!lost.empty() && configuration.find(lost) == nullptr) {
        return makeError(ResultCode::MalformedRequest, "no member " + lost.value);
    }
    if (fresh.empty() || configuration.find(fresh) != nullptr) {
        return makeError(ResultCode::MalformedRequest,
                         "the new member needs an id that is not a member");
    }
    return std::nullopt;
}

void MemberChange::replace(const HostId &lost, const HostId &fresh, Agreement::BarrierDone done)
{
    if (const auto error = refusal(lost, fresh)) {
        core_.callLater([done = std::move(done), error = *error] { done(error); });
        return;
    }
    request_ = Request{.replacement = {.lost = lost, .fresh = fresh},
                       .done = std::move(done),
                       .inviteDeadline = core_.now() + inviteTimeout,
                       .invited = false};
    replicator_.probe(fresh);
}

void MemberChange::receive(const HostId &from, const AppendReply &reply)
{
    if (!request_ || request_->invited || from != request_->replacement.fresh || reply.disk == 0
        || !settled()) {
        return;
    }
    request_->invited = true;
    Configuration changed
        = core_.configurations().latest().with({.host = from, .disk = reply.disk, .voter = false});
    changed.replacement = request_->replacement;
    appendConfiguration_(changed);
}

void MemberChange::step()
{
    if (!settled()) {
        return;
    }
    const Configuration configuration = core_.configurations().latest();
    if (configuration.replacement) {
        carryOn(configuration);
        return;
    }
    completeWhenSynced();
}

bool MemberChange::isAnswering(const HostId &host) const
{
    return core_.now() - core_.options.timeouts.heartbeat * missedHeartbeats
        <= replicator_.contactAt(host);
}

bool MemberChange::isQuorumAnswering() const
{
    return core_.now() - core_.options.timeouts.heartbeat * missedHeartbeatsOfQuorum
        <= replicator_.quorumContact();
}

bool MemberChange::isStalled(const HostId &host) const
{
    return core_.now() - stallTimeout > replicator_.advancedAt(host);
}

HostId MemberChange::joining() const
{
    const Configuration &configuration = core_.configurations().latest();
    if (configuration.replacement) {
        return configuration.replacement->fresh;
    }
    return request_ ? request_->replacement.fresh : HostId();
}

void MemberChange::carryOn(const Configuration &configuration)
{
    const auto &[lost, fresh] = *configuration.replacement;
    const Member *joining = configuration.find(fresh);
    const bool isLostMember = configuration.find(lost) != nullptr;
    if (joining == nullptr || (joining->voter && !isLostMember)) {
        // Nothing is left to do, also if the fresh host has been lost meanwhile.
        complete(configuration);
        return;
    }
    if (replicator_.matchIndex(fresh) < core_.commitIndex) {
        if (isStalled(fresh)) {
            giveUpFresh();
        }
        return;
    }
    const bool removesFirst
        = !joining->voter && isLostMember && !isAnswering(lost) && isQuorumAnswering();
    if (isLostMember && (joining->voter || removesFirst)) {
        appendConfiguration_(configuration.without(lost));
        return;
    }
    appendConfiguration_(configuration.with({.host = fresh, .disk = joining->disk, .voter = true}));
}

void MemberChange::complete(Configuration configuration)
{
    configuration.replacement.reset();
    appendConfiguration_(configuration);
}

void MemberChange::completeWhenSynced()
{
    if (!request_ || !request_->invited) {
        return;
    }
    const HostId &fresh = request_->replacement.fresh;
    if (replicator_.matchIndex(fresh) >= core_.commitIndex) {
        answer(Done{});
        return;
    }
    if (isStalled(fresh)) {
        answer(makeError(ResultCode::PeerUnreachable, "the new member takes no entries"));
    }
}

void MemberChange::takeBack(const Configuration &configuration)
{
    if (request_) {
        answer(makeError(ResultCode::PeerUnreachable, "the new member was given up"));
    }
    complete(configuration.without(configuration.replacement->fresh));
}

void MemberChange::giveUpFresh()
{
    if (!settled()) {
        return;
    }
    const Configuration configuration = core_.configurations().latest();
    if (!configuration.replacement) {
        if (request_) {
            answer(makeError(ResultCode::PeerUnreachable, "the new member was given up"));
        }
        return;
    }
    const auto &[lost, fresh] = *configuration.replacement;
    if (!configuration.isVoter(fresh)) {
        takeBack(configuration);
        return;
    }
    // Without the lost member carryOn() completes the change.
    if (configuration.find(lost) != nullptr && !isAnswering(fresh) && isQuorumAnswering()) {
        takeBack(configuration);
    }
}

void MemberChange::tick()
{
    if (!request_ || request_->invited) {
        return;
    }
    if (core_.now() >= request_->inviteDeadline) {
        answer(makeError(ResultCode::PeerUnreachable, "the new member does not answer"));
        return;
    }
    replicator_.probe(request_->replacement.fresh);
}

void MemberChange::abandon()
{
    if (request_) {
        answer(makeError(ResultCode::NoQuorum, "leadership lost; the next leader carries on"));
    }
}

void MemberChange::answer(Outcome<Done> outcome)
{
    core_.callLater(
        [done = std::move(request_->done), outcome = std::move(outcome)] { done(outcome); });
    request_.reset();
}

} // namespace persimmonlb::internal
