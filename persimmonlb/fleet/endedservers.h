#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

struct EndedServersOptions {
    /// How long an end is remembered against late announcements.
    Milliseconds memory{120000};
    /// A server whose announcements still arrive, with rising numbers, so long after the first one
    /// that was refused is running: what ended it was meant for an earlier start. Late
    /// announcements are seconds old.
    Milliseconds revivalTime{10000};
    std::uint32_t revivalAnnouncements = 5; ///< At least, within revivalTime.
    std::size_t mostKept = 4096; ///< Beyond it the oldest are forgotten.
};

/// Starts of servers that have ended, against which announcements are checked that were held up on
/// their way. A later start of the same server is not affected. Not thread-safe.
class EndedServers
{
public:
    EndedServers(EndedServersOptions options, Clock clock);

    /// The start `bornMs` of a server, and all earlier ones, have ended.
    void record(const ServerId &server, std::uint64_t bornMs);
    /// Like record(), for a server that has asked for it.
    void recordCall(const ServerId &server, std::uint64_t bornMs);
    /// True if the newest end of the server is one that it has asked for.
    [[nodiscard]] bool isEndedByCall(const ServerId &server) const;
    [[nodiscard]] bool contains(const ServerId &server, std::uint64_t bornMs) const;
    /// Takes an announcement into account: returns true if it is of a start that has ended. Forgets
    /// the end and returns false once the announcements prove that the server is running.
    bool refuses(const FleetServer &announced);
    /// Forgets old ends.
    void tick();
    /// Forgets all ends.
    void clear();

    /// Ends to be kept beyond this process, ordered by id.
    [[nodiscard]] std::vector<ServerProcess> all() const;

private:
    struct End {
        std::uint64_t bornMs = 0;
        MonotonicTime at;
        bool byCall = false;
        // Of the newest start that was refused:
        std::uint64_t refusedBornMs = 0;
        std::uint64_t lastSequence = 0;
        std::uint32_t announcements = 0;
        MonotonicTime firstRefusedAt = {};
    };

    void forgetOldest();

    EndedServersOptions options_;
    Clock clock_;
    std::map<ServerId, End> ends_;
};

} // namespace persimmonlb
