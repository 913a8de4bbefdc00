#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "persimmonlb/agreement/internal/core.h"

namespace persimmonlb::internal
{

/// The explicit first start of a group. The starting host asks every member for its disk, writes
/// the first entry, which holds the member list, and hands it to all. Only when each of them has it
/// synced may an election begin, so that of two starts with a host in common one at most succeeds.
class Formation
{
public:
    /// `campaign` starts an election at once.
    Formation(Core &core, std::function<void()> campaign);

    /// Errors: GroupAlreadyInitialised, MalformedRequest.
    Result<void> begin(std::vector<HostId> members);
    /// Sends again what was not answered. Call each heartbeat.
    void tick();
    /// Takes an answer; false when it does not concern the start of a group.
    bool receive(const HostId &from, const AppendReply &reply);

private:
    [[nodiscard]] bool active() const;
    [[nodiscard]] bool entryWritten() const;
    void askForDisk(const HostId &host);
    void sendFirstEntry(const HostId &host);
    void writeFirstEntry();
    void acknowledged(const HostId &host);
    void giveUp(const HostId &host);

    Core &core_;
    std::function<void()> campaign_;
    std::set<HostId> members_; ///< Empty when no start is under way here.
    std::map<HostId, std::uint64_t> disks_;
    std::set<HostId> holders_; ///< Members that have the first entry synced.
};

} // namespace persimmonlb::internal
