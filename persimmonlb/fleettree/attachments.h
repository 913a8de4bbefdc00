#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

struct AttachmentsOptions {
    /// An entry host that sends no report for so long is no longer named to callers.
    Milliseconds entrySilence{1500};
};

/// The entry hosts that report to this storage host, and what the leader was not told of them yet.
/// Not thread-safe.
class Attachments
{
public:
    Attachments(AttachmentsOptions options, Clock clock);

    /// Takes a report; one of a host that takes no callers is ignored.
    void report(const HostId &from, const HostReport &report);
    void hostLost(const HostId &host);
    /// Drops what was silent for too long. Call each 100 ms or so.
    void tick();

    /// Who leads, and in which term: a new leader knows nothing of what the one before was told,
    /// also when it is the same host.
    void setLeader(const HostId &leader, std::uint64_t term);
    /// Nothing that was told holds any more: the connection to the leader is new, or broke.
    void forgetTold();
    /// True when the leader must be told something.
    [[nodiscard]] bool hasNews() const;
    /// True when a host that leaves is among the news: that must not wait.
    [[nodiscard]] bool isUrgent() const;
    /// What the leader must be told now; counts as told. Call forgetTold() when it was not sent.
    [[nodiscard]] AttachedHosts takeNews();

    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        FleetEntry info;
        MonotonicTime heardAt;
    };

    AttachmentsOptions options_;
    Clock clock_;
    std::map<HostId, Entry> entries_;
    std::set<HostId> changed_;
    std::set<HostId> gone_;
    HostId leader_;
    std::uint64_t term_ = 0;
    bool toldAny_ = false; ///< The leader has had the whole list.
};

} // namespace persimmonlb
