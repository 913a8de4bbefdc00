#include "persimmonlb/agreement/internal/proposals.h"

#include <utility>

namespace persimmonlb::internal
{

Proposals::Proposals(Core &core)
    : core_(core)
{
}

void Proposals::add(std::string command, Agreement::ProposeDone done)
{
    Proposal proposal{.command = std::move(command),
                      .done = std::move(done),
                      .deadline = core_.now() + core_.options.timeouts.propose};
    if (queued_.size() + appended_.size() >= core_.options.limits.maxQueuedProposals) {
        answer(proposal, makeError(ResultCode::Overloaded, "too many proposals wait"));
        return;
    }
    queued_.push_back(std::move(proposal));
}

bool Proposals::hasQueued() const
{
    return !queued_.empty();
}

std::vector<LogEntry> Proposals::takeQueued()
{
    std::vector<LogEntry> entries;
    entries.reserve(queued_.size());
    std::uint64_t index = core_.lastIndex();
    for (Proposal &proposal : queued_) {
        ++index;
        entries.push_back({.index = index,
                           .term = core_.term(),
                           .kind = EntryKind::Command,
                           .data = std::move(proposal.command)});
        appended_.insert_or_assign(index, std::move(proposal));
    }
    queued_.clear();
    return entries;
}

void Proposals::applied(const LogEntry &entry, std::string reply)
{
    const auto found = appended_.find(entry.index);
    if (found == appended_.end()) {
        return;
    }
    answer(found->second, std::move(reply));
    appended_.erase(found);
}

void Proposals::expire()
{
    const MonotonicTime now = core_.now();
    for (auto item = appended_.begin(); item != appended_.end();) {
        if (item->second.deadline > now) {
            ++item;
            continue;
        }
        answer(item->second, makeError(ResultCode::NoQuorum, "not committed in time"));
        item = appended_.erase(item);
    }
}

void Proposals::abandon()
{
    for (auto &[index, proposal] : appended_) {
        answer(proposal, makeError(ResultCode::NoQuorum, "leadership lost before commit"));
    }
    appended_.clear();
    for (Proposal &proposal : queued_) {
        answer(proposal, makeError(ResultCode::NotLeader, "leadership lost before append"));
    }
    queued_.clear();
}

void Proposals::answer(Proposal &proposal, Outcome<std::string> outcome)
{
    core_.callLater(
        [done = std::move(proposal.done), outcome = std::move(outcome)] { done(outcome); });
}

} // namespace persimmonlb::internal
