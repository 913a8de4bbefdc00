#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/agreement/options.h"
#include "persimmonlb/agreement/rolemachine.h"
#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/state/statemachine.h"
#include "persimmonlb/store/logstore.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// One committed change of the group, for the audit trail.
struct MemberEvent {
    std::string kind; ///< "initialised", "learner_added", "promoted" or "removed".
    HostId host;
    std::uint64_t index = 0; ///< Log index of the change.

    bool operator==(const MemberEvent &) const = default;
};

struct AgreementHooks {
    /// Sends to a peer, at most once. Every body is a Vote, Append or Snapshot message.
    std::function<void(const HostId &to, PeerBody body)> send;
    /// This member leads, and its state holds everything acknowledged before.
    std::function<void()> becameLeader;
    /// Called once after each becameLeader.
    std::function<void()> lostLeadership;
    /// A change of the member list was committed. Called on the leader only; a change that commits
    /// around a change of leader may be told twice.
    std::function<void(const MemberEvent &)> memberEvent;
    /// The store failed: this member takes part in nothing any more.
    std::function<void(const Error &)> storeFailed;
};

/// All that an Agreement is built from; every hook must be set.
struct AgreementDependencies {
    LogStore log;
    StateStore state;
    StateMachine machine;
    Clock clock; ///< Only `monotonic` is read. It must count suspension.
    RandomSource random;
    AgreementHooks hooks;
};

struct MemberStatus {
    HostId host;
    bool voter = false;
    std::uint64_t matchIndex = 0; ///< Known by the leader; 0 elsewhere.

    bool operator==(const MemberStatus &) const = default;
};

struct GroupStatus {
    Role role = Role::Learner;
    std::uint64_t term = 0;
    std::optional<HostId> leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t lastIndex = 0;
    std::vector<MemberStatus> members; ///< Empty when the group was never started here.
    bool changeInProgress = false; ///< A member is being replaced or added.
    HostId joining = {}; ///< The member that a change in progress adds, also if only invited.

    bool operator==(const GroupStatus &) const = default;
};

/// One member of a replicated log in the manner of Raft: pre-vote, check-quorum, leader lease,
/// learners, single-member changes and chunked snapshots.
///
/// Example:
///   Agreement agreement(options, {.log = store.logStore(), .state = store.stateStore(), ...});
///   BOOST_LEAF_CHECK(agreement.start());
///   agreement.propose(encodeCommand(command), [](Outcome<std::string> reply) { ... });
///
/// Every method and hook runs on the decision thread. A callback is called exactly once, within the
/// method that took it or a later one, and may call any method. The caller calls tick() about every
/// 20 ms and may destroy the object only outside of its callbacks.
class Agreement
{
public:
    using ProposeDone = std::function<void(Outcome<std::string>)>;
    using BarrierDone = std::function<void(Outcome<Done>)>;

    Agreement(AgreementOptions options, AgreementDependencies dependencies);
    ~Agreement();
    Agreement(const Agreement &) = delete;
    Agreement &operator=(const Agreement &) = delete;

    /// Loads the member's log position and the state machine. Errors: CorruptStore.
    Result<void> start();

    /// Lets time-driven work happen: heartbeats, elections, timeouts.
    void tick();

    /// Takes a message of a peer. Bodies of other kinds are ignored.
    void receive(const HostId &from, const PeerBody &body);

    /// Starts a group that never existed with these voters, this host among them. Every one of
    /// them must be reachable and have an unused data folder; none serves before. The start goes
    /// on in the background; status() shows a leader when it is complete. The same call again
    /// resumes a start that was broken off. Errors: GroupAlreadyInitialised, MalformedRequest.
    Result<void> initialise(std::vector<HostId> members);

    /// Appends a command. `done` gets the state machine's reply once the command is committed and
    /// applied; NotLeader or Overloaded when it was surely never appended; NoQuorum or
    /// StoreUnavailable when its outcome is not known.
    void propose(std::string command, ProposeDone done);

    /// Calls `done` with success when the state on this member holds everything that was
    /// acknowledged anywhere before this call. Errors: NotLeader, NoQuorum.
    void readBarrier(BarrierDone done);

    /// Replaces a member, or adds one when `lost` is empty, by a host with an unused data folder
    /// and an id that was never a member. `done` gets success once the new member votes, the lost
    /// one is removed, and the new one holds the whole log synced. Errors: NotLeader,
    /// MemberChangeInProgress, MalformedRequest; NoQuorum when leadership was lost meanwhile: the
    /// next leader carries the change on.
    void replaceMember(const HostId &lost, const HostId &fresh, BarrierDone done);

    /// Takes a replacement back whose fresh host was lost, for example with its disk. Does nothing
    /// on a member that does not lead, while the last change is not committed, and for a host that
    /// votes while it answers or no majority of the voters does. A leader does the same by itself
    /// for a host that takes no entries for 10 s.
    void giveUpFresh();

    [[nodiscard]] GroupStatus status() const;
    /// True while this member leads and its state holds everything acknowledged before.
    [[nodiscard]] bool isLeader() const;
    /// True while isLeader() and no other member can have been elected: a quorum was heard lately.
    [[nodiscard]] bool holdsLease() const;
    /// The member believed to lead, if any.
    [[nodiscard]] std::optional<HostId> leader() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation_;
};

} // namespace persimmonlb
