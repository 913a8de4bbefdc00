#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "persimmonlb/agreement/internal/core.h"
#include "persimmonlb/agreement/internal/replicator.h"

namespace persimmonlb::internal
{

/// Replaces a member, one single-member change after the other: the fresh host is asked for its
/// disk, joins as a learner, is promoted when it holds everything acknowledged, then the lost one
/// is removed. The replacement is part of the member list, so that any leader carries it on.
class MemberChange
{
public:
    /// `appendConfiguration` appends a member list to the log and sends it.
    MemberChange(Core &core, Replicator &replicator,
                 std::function<void(const Configuration &)> appendConfiguration);

    void replace(const HostId &lost, const HostId &fresh, Agreement::BarrierDone done);
    /// Takes the fresh host out again while it does not vote.
    void giveUpFresh();
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
    void completeWhenSynced();
    void answer(Outcome<Done> outcome);

    Core &core_;
    Replicator &replicator_;
    std::function<void(const Configuration &)> appendConfiguration_;
    std::optional<Request> request_;
};

} // namespace persimmonlb::internal
