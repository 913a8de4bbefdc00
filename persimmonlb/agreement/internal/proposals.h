#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// Proposals of this leader: first queued, then appended and waiting to be applied.
class Proposals
{
public:
    explicit Proposals(Core &core);

    /// Queues a command, or refuses it with Overloaded.
    void add(std::string command, Agreement::ProposeDone done);
    [[nodiscard]] bool hasQueued() const;
    /// Turns every queued command into a log entry that follows the log.
    [[nodiscard]] std::vector<LogEntry> takeQueued();
    /// Answers the proposal of an applied entry.
    void applied(const LogEntry &entry, std::string reply);
    /// Gives up what has waited too long: its outcome is not known.
    void expire();
    /// Leadership ended: queued commands were never appended, the others have no known outcome.
    void abandon();

private:
    struct Proposal {
        std::string command; ///< Moved away once appended.
        Agreement::ProposeDone done;
        MonotonicTime deadline;
    };

    void answer(Proposal &proposal, Outcome<std::string> outcome);

    Core &core_;
    std::deque<Proposal> queued_;
    std::map<std::uint64_t, Proposal> appended_; ///< By log index.
};

} // namespace persimmonlb::internal
