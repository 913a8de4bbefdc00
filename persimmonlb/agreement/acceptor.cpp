#include "persimmonlb/agreement/internal/acceptor.h"

#include <algorithm>

namespace persimmonlb::internal
{

Acceptor::Acceptor(Core &core)
    : core_(core)
{
}

void Acceptor::receive(const HostId &from, const AppendRequest &request)
{
    if (core_.diskRefused()) {
        refuse(from, request);
        return;
    }
    if (!agrees(request)) {
        core_.send(from,
                   AppendReply{.term = core_.term(),
                               .success = false,
                               .matchIndex = 0,
                               .hintIndex = hintFor(request),
                               .round = request.round,
                               .disk = core_.dependencies.log.diskId()});
        return;
    }
    appendMissing(request.entries);
    if (core_.failed()) {
        return;
    }
    if (core_.diskRefused()) {
        refuse(from, request);
        return;
    }
    const std::uint64_t covered = request.previousIndex + request.entries.size();
    core_.commitIndex = std::max(core_.commitIndex, std::min(request.commitIndex, covered));
    if (covered <= core_.syncedIndex() && syncedTerm_ == core_.term()) {
        acknowledge(from, request.round, covered);
        return;
    }
    core_.persist([this, from, round = request.round, term = request.term, covered] {
        if (core_.term() != term) {
            return;
        }
        syncedTerm_ = term;
        acknowledge(from, round, std::min(covered, core_.syncedIndex()));
    });
}

void Acceptor::refuse(const HostId &from, const AppendRequest &request)
{
    core_.send(from,
               AppendReply{.term = core_.term(),
                           .success = false,
                           .matchIndex = 0,
                           .hintIndex = 1,
                           .round = request.round,
                           .disk = core_.dependencies.log.diskId()});
}

bool Acceptor::agrees(const AppendRequest &request) const
{
    const LogStore &log = core_.dependencies.log;
    if (request.previousIndex < log.compacted().index) {
        return true; // Everything up to there is committed, so it agrees with every leader's log.
    }
    return log.termAt(request.previousIndex) == std::optional(request.previousTerm);
}

std::uint64_t Acceptor::hintFor(const AppendRequest &request) const
{
    const LogStore &log = core_.dependencies.log;
    if (request.previousIndex > core_.lastIndex()) {
        return core_.lastIndex() + 1;
    }
    std::uint64_t index = request.previousIndex;
    const auto conflicting = log.termAt(index);
    while (index > core_.commitIndex + 1 && log.termAt(index - 1) == conflicting) {
        --index;
    }
    return index;
}

void Acceptor::appendMissing(const std::vector<LogEntry> &entries)
{
    const LogStore &log = core_.dependencies.log;
    const auto missing = std::ranges::find_if(entries, [&](const LogEntry &entry) {
        return entry.index > log.compacted().index
            && log.termAt(entry.index) != std::optional(entry.term);
    });
    if (missing == entries.end()) {
        return;
    }
    if (missing->index <= core_.commitIndex) {
        core_.failStore(makeError(ResultCode::CorruptStore,
                                  "the leader's log differs at committed entry "
                                      + std::to_string(missing->index)));
        return;
    }
    if (missing->index <= core_.lastIndex()) {
        core_.truncateFrom(missing->index);
    }
    core_.append({missing, entries.end()});
}

void Acceptor::acknowledge(const HostId &to, std::uint64_t round, std::uint64_t upTo)
{
    core_.send(to,
               AppendReply{.term = core_.term(),
                           .success = true,
                           .matchIndex = upTo,
                           .hintIndex = 0,
                           .round = round,
                           .disk = core_.dependencies.log.diskId()});
}

} // namespace persimmonlb::internal
