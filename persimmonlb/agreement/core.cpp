#include "persimmonlb/agreement/internal/core.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb::internal
{

namespace
{

/// Of the election timeouts of a member that has heard no leader since it started.
constexpr int startTimeoutDivisor = 4;

} // namespace

Core::Core(AgreementOptions agreementOptions, AgreementDependencies agreementDependencies)
    : options(std::move(agreementOptions))
    , dependencies(std::move(agreementDependencies))
{
}

Result<void> Core::load()
{
    const LogStore &log = dependencies.log;
    hardState_ = log.hardState();
    BOOST_LEAF_CHECK(configurations_.load(log.compacted(), log.configurationEntries()));
    appliedIndex = log.appliedIndex();
    if (appliedIndex < log.compacted().index || appliedIndex > log.lastIndex()) {
        return fail(ResultCode::CorruptStore,
                    "applied index " + std::to_string(appliedIndex) + " lies outside the log");
    }
    commitIndex = appliedIndex;
    syncedIndex_ = log.compacted().index;
    leaderHeardAt = options.silentSince.value_or(now());
    restartElectionTimer();
    reviewMembership();
    return {};
}

MonotonicTime Core::now() const
{
    return dependencies.clock.monotonic();
}

Role Core::role() const
{
    return roleMachine_.role();
}

void Core::restartElectionTimer()
{
    Microseconds least = options.timeouts.electionTimeoutMin;
    Microseconds spread = options.timeouts.electionTimeoutMax - least;
    if (options.silentSince && !leaderHeard) {
        // Until the other members can be reached, pre-votes fail and cost nothing; votes are
        // withheld as long as a lease may be held.
        least /= startTimeoutDivisor;
        spread = least;
    }
    const auto extra = dependencies.random() % static_cast<std::uint64_t>(spread.count() + 1);
    electionDeadline = now() + least + Microseconds(static_cast<std::int64_t>(extra));
}

void Core::changeRole(RoleEvent event)
{
    const Role before = role();
    if (event == RoleEvent::ElectionTimeout) {
        restartElectionTimer();
    }
    if (!roleMachine_.handle(event)) {
        return;
    }
    restartElectionTimer();
    LogLine(LogLevel::Info, "role_changed")
        .add("host", options.self.value)
        .add("from", toString(before))
        .add("to", toString(role()))
        .add("term", static_cast<std::int64_t>(counterOf(term())))
        .write();
    if (before == Role::Leader) {
        leader.reset();
        leadershipEnded();
    }
}

void Core::follow(std::uint64_t newTerm, const std::optional<HostId> &newLeader)
{
    if (newTerm > term()) {
        setHardState({.term = newTerm, .vote = {}});
        leader.reset();
    }
    changeRole(RoleEvent::SteppedDown);
    if (!newLeader) {
        return;
    }
    leader = newLeader;
    leaderHeard = true;
    leaderHeardAt = now();
    restartElectionTimer();
}

const Member *Core::membership() const
{
    const Configuration &latest = configurations_.latest();
    const std::uint64_t index = configurations_.latestIndex();
    if (latest.find(options.self) != nullptr || index <= commitIndex) {
        return latest.find(options.self);
    }
    return configurations_.at(index - 1).find(options.self);
}

bool Core::admitted() const
{
    const Member *self = membership();
    return self != nullptr && self->disk == dependencies.log.diskId();
}

bool Core::diskRefused() const
{
    const Member *self = configurations_.latest().find(options.self);
    return self != nullptr && self->disk != dependencies.log.diskId();
}

std::uint64_t Core::term() const
{
    return hardState_.term;
}

const HardState &Core::hardState() const
{
    return hardState_;
}

void Core::setHardState(HardState hardState)
{
    hardState_ = std::move(hardState);
    check([&] { return dependencies.log.setHardState(hardState_); });
}

std::uint64_t Core::lastIndex() const
{
    return dependencies.log.lastIndex();
}

std::uint64_t Core::lastTerm() const
{
    return dependencies.log.termAt(lastIndex()).value_or(0);
}

std::uint64_t Core::syncedIndex() const
{
    return syncedIndex_;
}

void Core::append(const std::vector<LogEntry> &entries)
{
    if (!check([&] { return dependencies.log.append(entries); })) {
        return;
    }
    bool changed = false;
    for (const LogEntry &entry : entries) {
        if (entry.kind != EntryKind::Configuration) {
            continue;
        }
        check([&] { return configurations_.append(entry); });
        changed = true;
    }
    if (changed) {
        reviewMembership();
    }
}

void Core::truncateFrom(std::uint64_t index)
{
    if (!check([&] { return dependencies.log.truncateSuffix(index); })) {
        return;
    }
    syncedIndex_ = std::min(syncedIndex_, index - 1);
    for (auto &[number, upTo] : runningSyncs_) {
        upTo = std::min(upTo, index - 1);
    }
    configurations_.truncateFrom(index);
    reviewMembership();
}

void Core::persist(std::function<void()> then)
{
    const std::uint64_t number = nextSync_++;
    runningSyncs_.emplace(number, lastIndex());
    dependencies.log.sync([this, number, then = std::move(then),
                           alive = std::weak_ptr(alive_)](const Outcome<Done> &outcome) {
        if (alive.expired() || failed_) {
            return;
        }
        if (!outcome.ok()) {
            failStore(outcome.error());
            runCalls();
            return;
        }
        const auto running = runningSyncs_.find(number);
        syncedIndex_ = std::max(syncedIndex_, running->second);
        runningSyncs_.erase(running);
        then();
        afterSync();
    });
}

Result<void> Core::reloadAfterSnapshot()
{
    const LogStore &log = dependencies.log;
    BOOST_LEAF_CHECK(configurations_.load(log.compacted(), {}));
    appliedIndex = log.appliedIndex();
    commitIndex = std::max(commitIndex, appliedIndex);
    for (auto &[number, upTo] : runningSyncs_) {
        upTo = 0;
    }
    syncedIndex_ = 0;
    BOOST_LEAF_CHECK(dependencies.machine.reload());
    reviewMembership();
    return {};
}

void Core::compactTo(const SnapshotMark &mark)
{
    if (check([&] { return dependencies.log.compactPrefix(mark); })) {
        configurations_.compactTo(mark.index);
    }
}

const ConfigurationLog &Core::configurations() const
{
    return configurations_;
}

void Core::reviewMembership()
{
    if (role() == Role::Leader) {
        return; // A leader goes when its own removal is committed.
    }
    const bool voter = admitted() && membership()->voter;
    changeRole(voter ? RoleEvent::BecameVoter : RoleEvent::BecameNonVoter);
    if (diskRefused()) {
        LogLine(LogLevel::Error, "disk_unknown_to_group")
            .add("host", options.self.value)
            .add("advice", "give this host a new id and replace the old member")
            .write();
    }
}

void Core::send(const HostId &to, PeerBody body)
{
    dependencies.hooks.send(to, std::move(body));
}

void Core::callLater(std::function<void()> call)
{
    calls_.push_back(std::move(call));
}

void Core::runCalls()
{
    if (callsRunning_) {
        return;
    }
    callsRunning_ = true;
    while (!calls_.empty()) {
        const auto call = std::move(calls_.front());
        calls_.pop_front();
        call();
    }
    callsRunning_ = false;
}

void Core::failStore(const Error &error)
{
    if (failed_) {
        return;
    }
    failed_ = true;
    LogLine(LogLevel::Error, "store_failed")
        .add("host", options.self.value)
        .add("why", error.message)
        .write();
    changeRole(RoleEvent::SteppedDown);
    callLater([this, error] { dependencies.hooks.storeFailed(error); });
}

bool Core::failed() const
{
    return failed_;
}

} // namespace persimmonlb::internal
