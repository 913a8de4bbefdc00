#pragma once

#include <functional>
#include <set>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// Elections with a pre-vote. Votes are withheld while a leader may hold its lease, and told only
/// after they are synced.
class Election
{
public:
    /// `won` is called when this member has become the leader of its term.
    Election(Core &core, std::function<void()> won);

    /// Starts an election when no leader was heard for an election timeout.
    void tick();
    /// Asks for pre-votes now.
    void campaign();

    void receive(const HostId &from, const VoteRequest &request);
    void receive(const HostId &from, const VoteReply &reply);

private:
    [[nodiscard]] bool mayCampaign() const;
    [[nodiscard]] bool withholdsVotes(const HostId &candidate) const;
    [[nodiscard]] bool isUpToDate(const VoteRequest &request) const;
    void answerPreVote(const HostId &from, const VoteRequest &request);
    void answerVote(const HostId &from, const VoteRequest &request);
    void becomeCandidate();
    void askForVotes(bool preVote);
    void count(const HostId &voter);

    Core &core_;
    std::function<void()> won_;
    std::set<HostId> granted_;
};

} // namespace persimmonlb::internal
