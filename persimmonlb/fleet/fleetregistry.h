#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/endedservers.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/fleet/leavingservers.h"

namespace persimmonlb
{

struct FleetRegistryOptions {
    /// A server that was not heard for so long is taken for lost. Announcements come each
    /// 1.2 s and may be seconds late.
    Milliseconds serverSilence{6000};
    /// An entry host whose parent was lost, and that no other one names for so long, is no longer
    /// named to callers.
    Milliseconds orphanSilence{1500};
    /// A storage host that was not heard for so long is no longer named to other hosts.
    Milliseconds storeSilence{3000};
    EndedServersOptions ended;
};

/// A storage host as it reports itself.
struct ReportedStore {
    FleetStore store;
    HostId member;
    bool unused = false; ///< Its store was never part of a group.
    MonotonicTime heardAt;
    /// Named to other hosts: it was heard lately, or adopted with a view lately.
    bool listed = true;
    MonotonicTime listedAt;

    bool operator==(const ReportedStore &) const = default;
};

/// What the leader knows of backend servers, entry hosts and storage hosts, from their own words.
///
/// Lives of servers are ordered by their start and by the number of each announcement, so that a
/// late announcement revives nothing. Not thread-safe.
class FleetRegistry
{
public:
    FleetRegistry(FleetRegistryOptions options, Clock clock);

    /// Takes an announcement. False when it is of a life that has ended or an older one.
    bool announce(const FleetServer &server);
    /// The server ends its registration.
    void serverGone(const ServerId &id);
    /// A server said in an answer that it leaves: for this start it drains, whatever it announces.
    /// True when that is new.
    bool serverLeaves(const ServerLeaving &leaving);
    /// A server named another limit of requests. True when the server is known and that is new.
    bool setLimit(const ServerLimit &limit);
    /// Takes the report of a storage host.
    void report(const HostId &from, const HostReport &report);
    /// Takes which entry hosts report to a storage host.
    void attach(const HostId &parent, const AttachedHosts &hosts);
    /// The connection to a host was lost: the entry hosts that reported to it must be named by
    /// another one in time.
    void hostLost(const HostId &host);
    /// Starts from what another leader knew; what it names must be heard again in time.
    void adopt(const FleetView &view);
    /// Takes over from the view that the log keeps which starts of servers have ended or leave,
    /// whatever the adopted view says: that one may be older.
    void adoptEnds(const FleetView &saved);
    /// Drops what was not heard for too long. Call each 100 ms or so.
    void tick();

    [[nodiscard]] std::vector<FleetServer> servers() const;
    /// Starts of servers that have ended, to be kept for the next leader.
    [[nodiscard]] std::vector<ServerProcess> endedServers() const;
    [[nodiscard]] std::vector<FleetEntry> entries() const;
    [[nodiscard]] std::vector<FleetStore> stores() const;
    [[nodiscard]] const std::map<HostId, ReportedStore> &reportedStores() const;
    /// Rises with each change of servers(), entries() or stores(), and with each end of a server.
    [[nodiscard]] std::uint64_t version() const;

private:
    struct Server {
        FleetServer info;
        MonotonicTime heardAt;
    };
    struct Entry {
        FleetEntry info;
        std::set<HostId> parents; ///< Storage hosts that name it; more than one while it moves.
        MonotonicTime orphanSince; ///< When the last parent was lost.
    };
    void dropSilentServers();
    void unlistSilentStores();
    void detach(const HostId &entry, const HostId &parent);
    void endLife(const FleetServer &server);
    /// False if the server was known to leave.
    bool markDraining(FleetServer &server);
    /// False when another life has the address and is the later one.
    bool takeAddress(const FleetServer &server);

    FleetRegistryOptions options_;
    Clock clock_;
    std::map<ServerId, Server> servers_;
    EndedServers ended_;
    LeavingServers leaving_;
    std::map<HostId, Entry> entries_;
    std::map<HostId, ReportedStore> stores_;
    std::uint64_t version_ = 1;
};

} // namespace persimmonlb
