#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/state/replicatedstate.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct ControlRoleDeps {
    HostId member; ///< Id of this host in the group.
    std::string dataFolder;
    std::uint64_t snapshotEntries = 0; ///< Log entries after which the log is compacted.
    Milliseconds lease{0}; ///< Of an entry host.
    AgreementTimeouts timeouts = {};
    Clock clock;
    RandomSource random;
    /// Sends to a host, this one included.
    std::function<bool(const HostId &to, PeerBody body)> send;
    /// Runs a function on the decision thread. Thread-safe.
    std::function<void(std::function<void()>)> post;
    /// The store failed or another fault that only a restart of the role can mend.
    std::function<void(const std::string &why)> failed;
    /// This member began or ceased to lead; may be empty.
    std::function<void(bool leads)> leadershipChanged;
};

/// The role `control`: durable store, replicated log, the state behind it and the service to entry
/// hosts. Used on the decision thread.
class ControlRole
{
public:
    explicit ControlRole(ControlRoleDeps deps);
    ControlRole(const ControlRole &) = delete;
    ControlRole &operator=(const ControlRole &) = delete;
    ~ControlRole();

    /// Opens the data folder and takes part in the group. Errors: DataFolderUnusable, CorruptStore.
    Result<void> start();
    void stop();

    /// Call each 20 ms.
    void tick();
    void receive(const HostId &from, const PeerBody &body);

    /// Errors: GroupAlreadyInitialised, MalformedRequest.
    Outcome<Done> initGroup(const std::vector<HostId> &members);
    void replaceMember(const HostId &lost, const HostId &fresh,
                       std::function<void(Outcome<Done>)> done);
    /// See Agreement::giveUpFresh().
    void giveUpFresh();
    /// Role, term, leader, positions and members as JSON.
    [[nodiscard]] std::string statusJson() const;
    /// Empty while the role does not run.
    [[nodiscard]] GroupStatus status() const;
    /// Null while the role does not run.
    [[nodiscard]] const ReplicatedState *state() const;
    /// Proposes on this member. Errors: NotLeader, NoQuorum, StoreUnavailable, Overloaded.
    void propose(const Command &command, std::function<void(Outcome<Reply>)> done);
    [[nodiscard]] bool isLeader() const;
    /// See Agreement::holdsLease().
    [[nodiscard]] bool holdsLease() const;

private:
    struct Parts;

    ControlRoleDeps deps_;
    std::unique_ptr<Parts> parts_;
};

} // namespace persimmonlb
