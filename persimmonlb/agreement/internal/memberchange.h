#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "persimmonlb/agreement/internal/core.h"
#include "persimmonlb/agreement/internal/replicator.h"

namespace persimmonlb::internal
{

/// Replaces a member, one single-member change after the other: the fresh host is asked for its
/// disk and joins as a learner; when it holds everything acknowledged it is promoted and the lost
/// one is removed. The replacement is part of the member list, so that any leader carries it on.
///
/// A lost member that still answers is removed after the promotion, so that the group bears a loss
/// at any moment. One that does not answer is removed before it: with both of them as voters, the
/// loss of the fresh host would leave the group without a quorum for good. A replacement whose
/// fresh host is lost or does not advance is taken back, or complete once the lost one is removed.
class MemberChange
{
public:
    /// `appendConfiguration` appends a member list to the log and sends it.
    MemberChange(Core &core, Replicator &replicator,
                 std::function<void(const Configuration &)> appendConfiguration);

    void replace(const HostId &lost, const HostId &fresh, Agreement::BarrierDone done);
    /// Takes a replacement back whose fresh host was lost. Nothing happens while the newest member
    /// list is not committed or no quorum answers; one that votes and answers stays.
    void giveUpFresh();
    /// The member that a change adds, from its invitation on; empty if no change is in progress.
    [[nodiscard]] HostId joining() const;
    /// Takes the answer of a host that may not be a member yet.
    void receive(const HostId &from, const AppendReply &reply);
    /// Does the next change when the one before is committed and its condition holds.
    void step();
    void tick();
    /// Leadership ended.
    void abandon();

private:
    struct Request {
        Replacement replacement;
        Agreement::BarrierDone done;
        MonotonicTime inviteDeadline;
        bool invited = false; ///< The fresh host is in the member list.
    };

    [[nodiscard]] std::optional<Error> refusal(const HostId &lost, const HostId &fresh) const;
    [[nodiscard]] bool settled() const;
    void carryOn(const Configuration &configuration);
    void complete(Configuration configuration);
    void completeWhenSynced();
    /// Takes the fresh host out of the member list.
    void takeBack(const Configuration &configuration);
    /// True if the member answered a message of the last few heartbeats.
    [[nodiscard]] bool isAnswering(const HostId &host) const;
    /// True if a majority of the voters did.
    [[nodiscard]] bool isQuorumAnswering() const;
    /// True if a member that lacks entries has taken none for too long.
    [[nodiscard]] bool isStalled(const HostId &host) const;
    void answer(Outcome<Done> outcome);

    Core &core_;
    Replicator &replicator_;
    std::function<void(const Configuration &)> appendConfiguration_;
    std::optional<Request> request_;
};

} // namespace persimmonlb::internal
