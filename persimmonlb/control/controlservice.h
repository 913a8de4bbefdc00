#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/control/leasetable.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// What the control service needs of the replicated log and the state behind it.
struct ControlServiceHooks {
    std::function<bool()> isLeader;
    std::function<std::optional<HostId>()> leader;
    /// Appends a command; `done` gets its encoded reply. Errors: NotLeader, NoQuorum.
    std::function<void(std::string command, std::function<void(Outcome<std::string>)> done)>
        propose;
    /// Calls `done` once the local state holds everything acknowledged before the call.
    std::function<void(std::function<void(Outcome<Done>)> done)> readBarrier;
    std::function<Answer(const Query &)> answer;
    std::function<InForce()> inForce;
    /// Owners that hold leases on items or claims.
    std::function<std::vector<Owner>()> owners;
    std::function<bool(const HostId &to, PeerBody body)> send;
};

/// Serves entry hosts on a control host: commands, queries and leases. Anything but the leader
/// answers NotLeader with a hint. Also releases what lapsed owners hold. Not thread-safe.
class ControlService
{
public:
    ControlService(LeaseTableOptions options, HostId self, Clock clock, ControlServiceHooks hooks);

    void receive(const HostId &from, const ProposeRequest &request);
    void receive(const HostId &from, const QueryRequest &request);
    void receive(const HostId &from, const LeaseRequest &request);

    /// This host began to lead.
    void leadershipBegan();
    /// Releases lapsed owners. Call every 100 ms or so.
    void tick();

private:
    void release(const Owner &owner);
    [[nodiscard]] ControlReply notLeader(std::uint64_t requestId) const;
    [[nodiscard]] ControlReply failed(std::uint64_t requestId, const Error &error) const;

    Clock clock_;
    ControlServiceHooks hooks_;
    HostId self_;
    LeaseTable leases_;
    std::set<Owner> releasing_; ///< A release is under way.
};

} // namespace persimmonlb
