#include "persimmonlb/agreement/internal/memberchange.h"

#include <utility>

namespace persimmonlb::internal
{

namespace
{

/// How long the fresh host may take to answer before the change is given up.
constexpr Milliseconds inviteTimeout{10000};

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

void MemberChange::carryOn(const Configuration &configuration)
{
    const auto &[lost, fresh] = *configuration.replacement;
    const Member *learner = configuration.find(fresh);
    const bool caughtUp = replicator_.matchIndex(fresh) >= core_.commitIndex;
    if (learner == nullptr || !caughtUp) {
        return;
    }
    if (!learner->voter) {
        appendConfiguration_(
            configuration.with({.host = fresh, .disk = learner->disk, .voter = true}));
        return;
    }
    if (configuration.find(lost) != nullptr) {
        appendConfiguration_(configuration.without(lost));
        return;
    }
    Configuration complete = configuration;
    complete.replacement.reset();
    appendConfiguration_(complete);
}

void MemberChange::completeWhenSynced()
{
    if (!request_ || !request_->invited) {
        return;
    }
    if (replicator_.matchIndex(request_->replacement.fresh) >= core_.commitIndex) {
        answer(Done{});
    }
}

void MemberChange::giveUpFresh()
{
    const Configuration &configuration = core_.configurations().latest();
    if (!configuration.replacement || !settled()) {
        return;
    }
    const HostId fresh = configuration.replacement->fresh;
    if (configuration.isVoter(fresh)) {
        return;
    }
    Configuration without = configuration.without(fresh);
    without.replacement.reset();
    if (request_) {
        answer(makeError(ResultCode::PeerUnreachable, "the new member was given up"));
    }
    appendConfiguration_(without);
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
