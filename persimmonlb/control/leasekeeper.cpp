#include "persimmonlb/control/leasekeeper.h"

#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds answerTimeout{1500}; ///< Without a grant, another control host is asked.
constexpr Milliseconds refreshTimeout{2000};
constexpr std::size_t rememberedRequests = 64;

} // namespace

LeaseKeeper::LeaseKeeper(LeaseKeeperOptions options, Clock clock, LeaseKeeperHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , nextRequest_(clock_.monotonic())
    , lastGrant_(clock_.monotonic())
{
    chooseOtherTarget();
}

void LeaseKeeper::tick()
{
    const MonotonicTime now = clock_.monotonic();
    expireWaiters();
    if (now < nextRequest_) {
        return;
    }
    if (now - lastGrant_ > answerTimeout) {
        chooseOtherTarget();
        lastGrant_ = now;
    }
    sendRequest(false);
}

void LeaseKeeper::chooseOtherTarget()
{
    if (options_.controlHosts.empty()) {
        return;
    }
    target_ = options_.controlHosts[nextTarget_ % options_.controlHosts.size()];
    ++nextTarget_;
}

void LeaseKeeper::sendRequest(bool wantHosts)
{
    const MonotonicTime now = clock_.monotonic();
    nextRequest_ = now + options_.interval;
    const LeaseRequest request{.sequence = ++sequence_,
                               .incarnation = options_.self.incarnation,
                               .address = options_.address,
                               .availabilityZone = options_.availabilityZone,
                               .region = options_.region,
                               .sheetNumber = sheet_ ? sheet_->number : 0,
                               .entryStateVersion = entryState_.version,
                               .hostsVersion = hostsVersion_,
                               .wantHosts = wantHosts,
                               .meshAddress = options_.meshAddress,
                               .draining = draining_,
                               .stopped = stopped_};
    if (!hooks_.send(target_, request)) {
        chooseOtherTarget();
        return;
    }
    sentAt_[sequence_] = now;
    if (sentAt_.size() > rememberedRequests) {
        sentAt_.erase(sentAt_.begin());
    }
}

void LeaseKeeper::receive(const HostId &from, const LeaseGrant &grant)
{
    const auto sent = sentAt_.find(grant.sequence);
    if (sent == sentAt_.end()) {
        return;
    }
    const MonotonicTime sentAt = sent->second;
    sentAt_.erase(sent);
    if (grant.leaseMs == 0) {
        stopConfirmed_ = stopConfirmed_ || (stopped_ && grant.leader == from);
        if (!grant.leader.empty() && grant.leader != from) {
            target_ = grant.leader;
            nextRequest_ = clock_.monotonic();
            return;
        }
        if (grant.leader.empty()) {
            chooseOtherTarget();
        }
        return;
    }
    target_ = from;
    lastGrant_ = clock_.monotonic();
    withdrawalKnown_ = withdrawalKnown_ || (draining_ && grant.sequence >= drainSequence_);
    takeHosts(grant);
    hooks_.workWaits(grant.pendingServices);
    if (grant.draining != drainRequested_) {
        drainRequested_ = grant.draining;
        hooks_.drainRequested(grant.draining);
    }
    const std::uint64_t number = sheet_ ? sheet_->number : 0;
    if (grant.sheetNumber > number || grant.entryStateVersion > entryState_.version) {
        fetchWhatIsMissing(grant);
        return;
    }
    const MonotonicTime end = sentAt + Milliseconds(grant.leaseMs);
    leaseEnd_ = everGranted_ ? std::max(leaseEnd_, end) : end;
    everGranted_ = true;
}

void LeaseKeeper::fetchWhatIsMissing(const LeaseGrant &grant)
{
    if (grant.sheetNumber > (sheet_ ? sheet_->number : 0) && !fetchingSheet_) {
        fetchingSheet_ = true;
        hooks_.fetchSheet([this](const Outcome<SheetAnswer> &answer) {
            fetchingSheet_ = false;
            if (answer.ok()) {
                takeSheet(answer.value());
            }
        });
    }
    if (grant.entryStateVersion > entryState_.version && !fetchingEntryState_) {
        fetchingEntryState_ = true;
        hooks_.fetchEntryState([this](const Outcome<EntryStateAnswer> &answer) {
            fetchingEntryState_ = false;
            if (!answer.ok() || answer.value().version <= entryState_.version) {
                return;
            }
            entryState_ = answer.value();
            hooks_.entryStateChanged(entryState_);
            nextRequest_ = clock_.monotonic();
        });
    }
}

void LeaseKeeper::takeSheet(const SheetAnswer &answer)
{
    if (answer.number <= (sheet_ ? sheet_->number : 0)) {
        return;
    }
    const Outcome<Sheet> parsed = capture([&] { return parseSheet(answer.text); });
    if (!parsed.ok()) {
        LogLine(LogLevel::Error, "sheet_unreadable")
            .add("number", static_cast<std::int64_t>(answer.number))
            .add("why", parsed.error().message)
            .write();
        return;
    }
    sheet_ = std::make_shared<const Sheet>(parsed.value());
    LogLine(LogLevel::Info, "sheet_in_force")
        .add("number", static_cast<std::int64_t>(sheet_->number))
        .add("digest", sheet_->digest)
        .write();
    hooks_.sheetChanged(sheet_);
    nextRequest_ = clock_.monotonic();
}

void LeaseKeeper::takeHosts(const LeaseGrant &grant)
{
    if (!grant.hasHosts) {
        return;
    }
    hosts_ = grant.hosts;
    hostsVersion_ = grant.hostsVersion;
    hooks_.hostsChanged(hosts_);
    std::vector<Waiter> answered;
    std::erase_if(waiters_, [&](Waiter &waiter) {
        if (waiter.sequence > grant.sequence) {
            return false;
        }
        answered.push_back(std::move(waiter));
        return true;
    });
    for (const Waiter &waiter : answered) {
        waiter.done(hosts_);
    }
}

bool LeaseKeeper::inForce() const
{
    return everGranted_ && clock_.monotonic() < leaseEnd_;
}

std::shared_ptr<const Sheet> LeaseKeeper::sheet() const
{
    return sheet_;
}

const EntryStateAnswer &LeaseKeeper::entryState() const
{
    return entryState_;
}

const std::vector<EntryHostInfo> &LeaseKeeper::hosts() const
{
    return hosts_;
}

void LeaseKeeper::setDraining(bool draining)
{
    draining_ = draining;
    drainSequence_ = sequence_ + 1;
    withdrawalKnown_ = false;
    nextRequest_ = clock_.monotonic();
}

bool LeaseKeeper::withdrawalKnown() const
{
    return draining_ && (withdrawalKnown_ || !inForce());
}

void LeaseKeeper::announceStopped()
{
    stopped_ = true;
    nextRequest_ = clock_.monotonic();
}

bool LeaseKeeper::stopConfirmed() const
{
    return stopConfirmed_;
}

void LeaseKeeper::refreshHosts(std::function<void(Outcome<std::vector<EntryHostInfo>>)> done)
{
    sendRequest(true);
    waiters_.push_back(Waiter{sequence_, clock_.monotonic() + refreshTimeout, std::move(done)});
}

void LeaseKeeper::expireWaiters()
{
    const MonotonicTime now = clock_.monotonic();
    std::vector<Waiter> expired;
    std::erase_if(waiters_, [&](Waiter &waiter) {
        if (waiter.deadline > now) {
            return false;
        }
        expired.push_back(std::move(waiter));
        return true;
    });
    for (const Waiter &waiter : expired) {
        waiter.done(makeError(ResultCode::PeerUnreachable, "no control leader answers"));
    }
}

} // namespace persimmonlb
