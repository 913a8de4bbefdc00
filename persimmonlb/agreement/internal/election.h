#pragma once

#include <functional>
#include <optional>
#include <set>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// Elections with a pre-vote. Votes are withheld while a leader may hold its lease, and told only
/// after they are synced.
///
/// A member that has just started does not know whether a leader holds a lease that it helped to
/// renew, and waits for an election timeout. When all members have just started, as after a loss of
/// power, that wait is left out: once every member has said that it neither leads nor has heard of
/// a leader, no lease can be held. Of these members the one with the newest log, and among equals
/// the first by name, is elected.
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
    /// This member does not lead, and has heard of no leader since its process started.
    [[nodiscard]] bool knowsOfNoLeader() const;
    /// Members that must say that they know of no leader; nothing when that would not suffice.
    [[nodiscard]] std::optional<std::set<HostId>> membersToAsk() const;
    void askAfterStart();
    void countAfterStart(const HostId &from);
    [[nodiscard]] bool goesBefore(const HostId &candidate, const VoteRequest &request) const;
    [[nodiscard]] bool isUpToDate(const VoteRequest &request) const;
    void answerPreVote(const HostId &from, const VoteRequest &request);
    void answerVote(const HostId &from, const VoteRequest &request);
    void becomeCandidate();
    [[nodiscard]] VoteRequest makeRequest(bool preVote, bool afterStart) const;
    void askForVotes(bool preVote);
    void count(const HostId &voter);

    Core &core_;
    std::function<void()> won_;
    std::set<HostId> granted_;
    std::set<HostId> withoutLeader_; ///< Members that said so since the last question.
    MonotonicTime nextQuestion_;
    bool afterStart_ = false; ///< The present election needs no wait for a lease.
};

} // namespace persimmonlb::internal
