#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "persimmonlb/agreement/internal/core.h"
#include "persimmonlb/agreement/internal/progress.h"

namespace persimmonlb::internal
{

/// The leader's side of replication: what each member is sent next, what a quorum has synced, and
/// how long the leader lease lasts. Used only while this member leads.
class Replicator
{
public:
    explicit Replicator(Core &core);

    /// Starts afresh at the start of a term.
    void beginTerm();
    /// Follows the newest member list: adds and drops members.
    void refreshMembers();

    /// Sends what each member lacks. Messages sent from here on belong to a new round.
    void broadcast();
    /// Sends a heartbeat to every member; a new round.
    void heartbeat();
    /// Asks a host that is not a member for its disk id.
    void probe(const HostId &host);

    void receive(const HostId &from, const AppendReply &reply);
    void receive(const HostId &from, const SnapshotReply &reply);

    /// Raises the commit index to what a quorum has synced in this term. True when it moved.
    bool advanceCommit();
    /// No other member can have been elected before this moment.
    [[nodiscard]] MonotonicTime leaseEnd() const;
    /// A quorum answered a message sent at this moment or later.
    [[nodiscard]] MonotonicTime quorumContact() const;
    /// The newest round that a quorum has answered.
    [[nodiscard]] std::uint64_t quorumRound() const;
    [[nodiscard]] std::uint64_t currentRound() const;
    [[nodiscard]] std::uint64_t matchIndex(const HostId &host) const;
    /// The member answered a message sent at this moment or later; the least time if it has not.
    [[nodiscard]] MonotonicTime contactAt(const HostId &host) const;
    /// When the member last took something that it lacked, or when it became one.
    [[nodiscard]] MonotonicTime advancedAt(const HostId &host) const;

private:
    [[nodiscard]] AppendRequest makeRequest(std::uint64_t previousIndex) const;
    [[nodiscard]] bool isThatMember(const HostId &host, const AppendReply &reply) const;
    void replicate(const HostId &host, Progress &progress);
    bool sendEntries(const HostId &host, Progress &progress);
    void sendHeartbeat(const HostId &host, Progress &progress);
    void startSnapshot(const HostId &host, Progress &progress);
    void acknowledged(const HostId &host, Progress &progress, std::uint64_t matchIndex);
    void rejected(const HostId &host, Progress &progress, const AppendReply &reply);

    Core &core_;
    std::map<HostId, Progress> progress_;
    RoundClock rounds_;
};

} // namespace persimmonlb::internal
