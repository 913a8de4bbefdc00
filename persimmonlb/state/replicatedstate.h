#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/audit/audittrail.h"
#include "persimmonlb/bulk/bulktable.h"
#include "persimmonlb/claims/claimtable.h"
#include "persimmonlb/jobs/jobtable.h"
#include "persimmonlb/orders/fencingcounter.h"
#include "persimmonlb/sheet/sheetregistry.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/commandsessions.h"
#include "persimmonlb/state/fleettable.h"
#include "persimmonlb/state/hosttable.h"
#include "persimmonlb/state/quarantinetable.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/state/statemachine.h"
#include "persimmonlb/store/statestore.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// Everything that one replicated group holds, driven by its log.
///
/// Replies: ApplySheet SheetReply; OpenJob, AddItems, SealJob JobReply; LeaseItems LeaseReply;
/// CompleteItems CompleteReply; ClaimRequest, RecordOutcome ClaimReply; ReserveFencing
/// FencingReply; every other command PlainReply. A command that does not decode is answered with
/// PlainReply MalformedRequest.
///
/// Commands of an owner whose host registered a later incarnation change nothing: LeaseItems is
/// answered without items, CompleteItems drops all, ClaimRequest is answered as it stands (Running
/// under the later incarnation when there is no claim), others NotInForce.
///
/// A command with an origin is applied once: each further copy gets the reply of the first one and
/// changes nothing.
///
/// Time comes from the commands alone. Not thread-safe; the object must outlive the hooks that
/// machine() returns.
///
/// Example:
///   ReplicatedState state(store);
///   const StateMachine machine = state.machine();
///   BOOST_LEAF_CHECK(machine.reload());
///   MutationList changes;
///   const std::string reply = machine.apply(index, encodeCommand(command), changes);
///   BOOST_LEAF_CHECK(store.write(changes));
class ReplicatedState
{
public:
    explicit ReplicatedState(const StateStore &store);
    ReplicatedState(const ReplicatedState &) = delete;
    ReplicatedState &operator=(const ReplicatedState &) = delete;

    [[nodiscard]] StateMachine machine();

    /// Applies a decoded command without an origin. `changes` must be written before the next one.
    Reply apply(const Command &command, MutationList &changes);

    /// Reads the index anew from the state store. Errors: CorruptStore.
    Result<void> reload();

    /// Answers a read-only question from the state as it is.
    [[nodiscard]] Answer answer(const Query &query) const;

    /// The sheet in force, or null. Valid until the next command.
    [[nodiscard]] const Sheet *sheetInForce() const;
    [[nodiscard]] std::uint64_t sheetNumber() const;
    /// Version of the answer to EntryStateQuery.
    [[nodiscard]] std::uint64_t entryStateVersion() const;
    [[nodiscard]] std::uint64_t pendingItems(const ServiceName &service) const;
    /// Services with items that wait.
    [[nodiscard]] std::vector<ServiceName> pendingServices() const;
    /// Entry hosts as registered, without their lease and mesh address.
    [[nodiscard]] std::vector<EntryHostInfo> registeredHosts() const;
    [[nodiscard]] std::set<HostId> drainingHosts() const;
    /// Owners that hold leases on items or claims: those that a release would take from.
    [[nodiscard]] std::vector<Owner> owners() const;
    /// Claims of an owner that have no outcome.
    [[nodiscard]] std::size_t runningClaims(const Owner &owner) const;
    /// The routes in force; version 0 before the first.
    [[nodiscard]] const RoutesAnswer &routes() const;
    [[nodiscard]] const BulkTable &bulk() const;
    [[nodiscard]] const std::set<std::string> &retiredStores() const;
    /// What the last SaveFleet held, or empty.
    [[nodiscard]] std::string savedFleet() const;
    /// Bytes of the jobs' index in memory, near enough for a benchmark.
    [[nodiscard]] std::size_t jobMemoryBytes() const;

private:
    std::string applyLogged(std::uint64_t index, const LoggedCommand &logged,
                            MutationList &changes);
    Reply applyOne(const ApplySheet &command, MutationList &changes);
    Reply applyOne(const OpenJob &command, MutationList &changes);
    Reply applyOne(const AddItems &command, MutationList &changes);
    Reply applyOne(const SealJob &command, MutationList &changes);
    Reply applyOne(const CancelJob &command, MutationList &changes);
    Reply applyOne(const LeaseItems &command, MutationList &changes);
    Reply applyOne(const CompleteItems &command, MutationList &changes);
    Reply applyOne(const ReleaseOwner &command, MutationList &changes);
    Reply applyOne(const ClaimRequest &command, MutationList &changes);
    Reply applyOne(const RecordOutcome &command, MutationList &changes);
    Reply applyOne(const RegisterHost &command, MutationList &changes);
    Reply applyOne(const DrainHost &command, MutationList &changes);
    Reply applyOne(const ReportSuspects &command, MutationList &changes);
    Reply applyOne(const ReleaseQuarantine &command, MutationList &changes);
    Reply applyOne(const ReserveFencing &command, MutationList &changes);
    Reply applyOne(const AppendAudit &command, MutationList &changes);
    Reply applyOne(const PutRoutes &command, MutationList &changes);
    Reply applyOne(const AcceptBulk &command, MutationList &changes);
    Reply applyOne(const RecordBulk &command, MutationList &changes);
    Reply applyOne(const EndBulk &command, MutationList &changes);
    Reply applyOne(const RetireStore &command, MutationList &changes);
    Reply applyOne(const SaveBulkProgress &command, MutationList &changes);
    Reply applyOne(const SaveFleet &command, MutationList &changes);

    void expire(WallTime at, MutationList &changes);
    void releaseOwner(const Owner &owner, WallTime at, MutationList &changes);
    void entryStateChanged(MutationList &changes);
    [[nodiscard]] EntryStateAnswer entryState() const;
    [[nodiscard]] std::uint32_t maxBatchAttempts(const ServiceName &service) const;
    [[nodiscard]] std::uint32_t weight(const CallerName &caller) const;

    StateStore store_;
    SheetRegistry sheets_;
    JobTable jobs_;
    ClaimTable claims_;
    HostTable hosts_;
    QuarantineTable quarantine_;
    AuditTrail audit_;
    FencingCounter fencing_;
    BulkTable bulk_;
    FleetTable fleet_;
    CommandSessions sessions_;
    std::uint64_t entryStateVersion_ = 0;
};

} // namespace persimmonlb
