#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/agreement/internal/configurationlog.h"
#include "persimmonlb/agreement/internal/term.h"
#include "persimmonlb/agreement/rolemachine.h"

namespace persimmonlb::internal
{

/// What the parts of one member share: its durable position, its role and its clock.
///
/// A write that fails stops the member for good: nothing that waits for a sync is called any more,
/// so that it acknowledges nothing.
class Core
{
public:
    Core(AgreementOptions agreementOptions, AgreementDependencies agreementDependencies);

    /// Reads the member's position from the store. Errors: CorruptStore.
    Result<void> load();

    // ---- time, role and leader
    [[nodiscard]] MonotonicTime now() const;
    [[nodiscard]] Role role() const;
    /// Becomes or stays a follower of `term`, which must not be below the current one.
    void follow(std::uint64_t term, const std::optional<HostId> &leader);
    /// Moves the role; tells `leadershipEnded` when this member stops leading.
    void changeRole(RoleEvent event);
    /// Draws a new election deadline.
    void restartElectionTimer();
    /// This member may vote: the group knows it with its own disk. One that the newest list removes
    /// takes part until it knows that to be committed: its log may be needed to commit it, as a
    /// leader that removes itself is the first to have that list.
    [[nodiscard]] bool admitted() const;
    /// Takes the role that the member lists give to this member. Call when they change, or when one
    /// is committed.
    void reviewMembership();
    /// The newest member list names this host with another disk.
    [[nodiscard]] bool diskRefused() const;

    // ---- durable log
    [[nodiscard]] std::uint64_t term() const;
    [[nodiscard]] const HardState &hardState() const;
    void setHardState(HardState hardState);
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] std::uint64_t lastTerm() const;
    [[nodiscard]] std::uint64_t syncedIndex() const;
    void append(const std::vector<LogEntry> &entries);
    void truncateFrom(std::uint64_t index);
    /// Calls `then` once everything written so far survives a crash; never when the store fails.
    void persist(std::function<void()> then);
    /// The log was replaced by a snapshot, which is not synced yet.
    Result<void> reloadAfterSnapshot();
    void compactTo(const SnapshotMark &mark);
    [[nodiscard]] const ConfigurationLog &configurations() const;

    // ---- calls to the outside
    void send(const HostId &to, PeerBody body);
    /// Queues a call to the outside, made when the member's own work is done.
    void callLater(std::function<void()> call);
    void runCalls();
    void failStore(const Error &error);
    [[nodiscard]] bool failed() const;
    /// Runs an operation of the store; fails the store for good when it fails. True on success.
    template <typename Operation>
    bool check(const Operation &operation)
    {
        const auto outcome = capture(operation);
        if (!outcome.ok()) {
            failStore(outcome.error());
        }
        return outcome.ok();
    }

    const AgreementOptions options;
    const AgreementDependencies dependencies;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::optional<HostId> leader;
    /// Another member was heard to lead since the start of this process.
    bool leaderHeard = false;
    MonotonicTime leaderHeardAt; ///< Votes are withheld for electionTimeoutMin from here.
    MonotonicTime electionDeadline;

    // ---- set by the Agreement
    std::function<void()> leadershipEnded;
    std::function<void()> afterSync;

private:
    /// This member in the list that is in force for it, see admitted(); or null.
    [[nodiscard]] const Member *membership() const;

    RoleMachine roleMachine_;
    HardState hardState_;
    ConfigurationLog configurations_;
    std::uint64_t syncedIndex_ = 0;
    std::uint64_t nextSync_ = 0;
    std::map<std::uint64_t, std::uint64_t> runningSyncs_; ///< Highest index each will have synced.
    std::deque<std::function<void()>> calls_;
    bool callsRunning_ = false;
    bool failed_ = false;
    std::shared_ptr<const char> alive_ = std::make_shared<const char>('a');
};

} // namespace persimmonlb::internal
