#include "persimmonlb/agreement/internal/election.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb::internal
{

Election::Election(Core &core, std::function<void()> won)
    : core_(core)
    , won_(std::move(won))
{
}

void Election::tick()
{
    if (!mayCampaign()) {
        return;
    }
    if (core_.now() >= core_.electionDeadline) {
        campaign();
        return;
    }
    if (core_.role() == Role::Follower && knowsOfNoLeader() && core_.now() >= nextQuestion_) {
        nextQuestion_ = core_.now() + core_.options.timeouts.heartbeat / 2;
        askAfterStart();
    }
}

bool Election::knowsOfNoLeader() const
{
    return !core_.leaderHeard && core_.role() != Role::Leader;
}

std::optional<std::set<HostId>> Election::membersToAsk() const
{
    const ConfigurationLog &configurations = core_.configurations();
    const Configuration &latest = configurations.latest();
    if (latest.replacement) {
        return std::nullopt;
    }
    std::set<HostId> asked;
    const auto add = [&](const Configuration &configuration) {
        for (const Member &member : configuration.members) {
            if (member.voter && member.host != core_.options.self) {
                asked.insert(member.host);
            }
        }
    };
    add(latest);
    // A leader that removes itself leads until that is committed.
    const std::uint64_t index = configurations.latestIndex();
    if (index > core_.commitIndex && index > 0) {
        add(configurations.at(index - 1));
    }
    return asked;
}

void Election::askAfterStart()
{
    const auto asked = membersToAsk();
    if (!asked) {
        return;
    }
    withoutLeader_.clear();
    for (const HostId &member : *asked) {
        core_.send(member, makeRequest(true, true));
    }
}

void Election::countAfterStart(const HostId &from)
{
    withoutLeader_.insert(from);
    const auto asked = membersToAsk();
    if (!asked || !std::ranges::includes(withoutLeader_, *asked)) {
        return;
    }
    core_.changeRole(RoleEvent::ElectionTimeout);
    if (core_.role() == Role::PreCandidate) {
        afterStart_ = true;
        becomeCandidate();
    }
}

bool Election::goesBefore(const HostId &candidate, const VoteRequest &request) const
{
    const auto own = std::pair(core_.lastTerm(), core_.lastIndex());
    const auto theirs = std::pair(request.lastLogTerm, request.lastLogIndex);
    return theirs > own || (theirs == own && candidate < core_.options.self);
}

bool Election::mayCampaign() const
{
    if (core_.role() == Role::Leader || core_.role() == Role::Learner) {
        return false;
    }
    // Before the first election only the host that starts the group campaigns, once every member
    // holds the first entry.
    return counterOf(core_.term()) > firstCounter;
}

void Election::campaign()
{
    core_.leader.reset();
    core_.changeRole(RoleEvent::ElectionTimeout);
    if (core_.role() != Role::PreCandidate) {
        return;
    }
    granted_.clear();
    afterStart_ = false;
    askForVotes(true);
    count(core_.options.self);
}

VoteRequest Election::makeRequest(bool preVote, bool afterStart) const
{
    return {
        .term = preVote ? core_.term() + 1 : core_.term(),
        .preVote = preVote,
        .afterStart = afterStart,
        .lastLogIndex = core_.lastIndex(),
        .lastLogTerm = core_.lastTerm(),
    };
}

void Election::askForVotes(bool preVote)
{
    const VoteRequest request = makeRequest(preVote, afterStart_);
    for (const Member &member : core_.configurations().latest().members) {
        if (!member.voter || member.host == core_.options.self) {
            continue;
        }
        core_.send(member.host, request);
    }
}

bool Election::withholdsVotes(const HostId &candidate) const
{
    if (core_.role() == Role::Leader) {
        return true;
    }
    return core_.leader != std::optional(candidate)
        && core_.now() - core_.leaderHeardAt < core_.options.timeouts.electionTimeoutMin;
}

bool Election::isUpToDate(const VoteRequest &request) const
{
    return std::pair(request.lastLogTerm, request.lastLogIndex)
        >= std::pair(core_.lastTerm(), core_.lastIndex());
}

void Election::receive(const HostId &from, const VoteRequest &request)
{
    const bool needsNoWait = request.afterStart && knowsOfNoLeader();
    if (!core_.admitted() || core_.term() == 0 || (!needsNoWait && withholdsVotes(from))) {
        return;
    }
    if (request.preVote) {
        answerPreVote(from, request);
    } else {
        answerVote(from, request);
    }
}

void Election::answerPreVote(const HostId &from, const VoteRequest &request)
{
    const bool mayWin = request.afterStart ? goesBefore(from, request) : isUpToDate(request);
    const bool granted = request.term > core_.term() && mayWin;
    core_.send(from,
               VoteReply{.term = granted ? request.term : core_.term(),
                         .preVote = true,
                         .granted = granted});
}

void Election::answerVote(const HostId &from, const VoteRequest &request)
{
    if (request.term > core_.term()) {
        core_.follow(request.term, std::nullopt);
    }
    const HostId &vote = core_.hardState().vote;
    const bool free = vote.empty() || vote == from;
    if (request.term < core_.term() || !free || !isUpToDate(request)) {
        core_.send(from, VoteReply{.term = core_.term(), .preVote = false, .granted = false});
        return;
    }
    core_.setHardState({.term = request.term, .vote = from});
    core_.restartElectionTimer();
    core_.persist([this, from, term = request.term] {
        if (core_.term() == term) {
            core_.send(from, VoteReply{.term = term, .preVote = false, .granted = true});
        }
    });
}

void Election::receive(const HostId &from, const VoteReply &reply)
{
    if (!reply.granted) {
        if (reply.term > core_.term()) {
            core_.follow(reply.term, std::nullopt);
        }
        return;
    }
    const bool isPreVote = reply.preVote && reply.term == core_.term() + 1;
    if (isPreVote && core_.role() == Role::Follower && knowsOfNoLeader()) {
        countAfterStart(from);
        return;
    }
    const bool preVoteCounts = isPreVote && core_.role() == Role::PreCandidate;
    const bool voteCounts
        = !reply.preVote && core_.role() == Role::Candidate && reply.term == core_.term();
    if (preVoteCounts || voteCounts) {
        count(from);
    }
}

void Election::count(const HostId &voter)
{
    granted_.insert(voter);
    const Configuration &configuration = core_.configurations().latest();
    const auto votes = std::ranges::count_if(
        granted_, [&](const HostId &host) { return configuration.isVoter(host); });
    if (static_cast<std::size_t>(votes) < configuration.quorum()) {
        return;
    }
    if (core_.role() == Role::PreCandidate) {
        becomeCandidate();
        return;
    }
    core_.changeRole(RoleEvent::VoteWon);
    won_();
}

void Election::becomeCandidate()
{
    core_.changeRole(RoleEvent::PreVoteWon);
    granted_.clear();
    core_.setHardState({.term = core_.term() + 1, .vote = core_.options.self});
    LogLine(LogLevel::Info, "campaign")
        .add("host", core_.options.self.value)
        .add("term", static_cast<std::int64_t>(counterOf(core_.term())))
        .add("after_start", afterStart_ ? "yes" : "no")
        .write();
    core_.persist([this, term = core_.term()] {
        if (core_.term() != term || core_.role() != Role::Candidate) {
            return;
        }
        askForVotes(false);
        count(core_.options.self);
    });
}

} // namespace persimmonlb::internal
