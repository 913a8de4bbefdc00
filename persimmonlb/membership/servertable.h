#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/membership/server.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// Whose work a request is.
enum class WorkClass : std::uint8_t { Online, Batch };

/// Requests in flight on one backend server.
struct InFlight {
    std::uint32_t online = 0;
    std::uint32_t batch = 0;

    bool operator==(const InFlight &) const = default;
};

struct ServerTableOptions {
    HostId self;
    /// Age of a server's newest ready announcement up to which it gets new work.
    Milliseconds routingLease{3000};
    /// Age from which a server that does not announce here is worth asking.
    Milliseconds probeAge{2000};
    /// A server without any announcement for this long is forgotten, its newest word included.
    Milliseconds forgetAfter{600000};
    /// A peer without a digest for this long counts as gone: its in-flight counts are dropped and
    /// it no longer hears any server.
    Milliseconds peerLifetime{2000};
};

/// One backend server as this host knows it.
struct KnownServer {
    ServerAnnouncement announcement; ///< Its newest word.
    Milliseconds age{0}; ///< Upper bound of the time since its newest ready announcement.
    bool routable = false; ///< May get new work now.
    bool firstHand = false; ///< Announces to this host.
    InFlight own; ///< Sent by this host.
    InFlight others; ///< Sent by the other entry hosts, from their digests.

    bool operator==(const KnownServer &) const = default;
};

/// What an announcement or digest row did to the table.
enum class TableChange : std::uint8_t {
    None, ///< Old, doubled, or a plain renewal.
    Changed, ///< A new server, a new incarnation, or another state, model or version.
};

/// Table of backend servers with the right to route to them.
///
/// Example:
///   ServerTable table(ServerTableOptions{.self = HostId{"entry-1"}}, systemClock());
///   table.tick();                                   // each 100 ms
///   table.announce(announcement);                   // POST /v1/announce
///   mesh.send(peer, table.digest(peer));            // each 500 ms, and when digestDue()
///   for (const KnownServer &server : table.ready(service)) ...
///
/// The right to route ends `routingLease` after the server's newest ready announcement was made,
/// whatever path it came by: each path gives a moment before which the announcement cannot have
/// been made. First-hand that is the tick before the last one, so that bytes read after the process
/// was suspended count as old. Second-hand it is the moment when this host sent the digest that the
/// peer echoes, less the age that the peer states. After GET /state it is the moment of asking.
/// Announcements are ordered by incarnation, then sequence; an older one never replaces a newer
/// one. Not thread-safe.
class ServerTable
{
public:
    ServerTable(ServerTableOptions options, Clock clock);

    /// Notes the passing of time. Call each 100 ms; a longer pause shortens leases, never
    /// prolongs them.
    void tick();

    /// Takes an announcement that the server sent to this host. One that is heard again renews
    /// nothing.
    TableChange announce(const ServerAnnouncement &announcement);

    /// Takes a peer's digest. Old and doubled digests change nothing.
    TableChange merge(const HostId &from, const ServerDigest &digest);

    /// A peer's connection was made anew: its digests start over.
    void forgetPeer(const HostId &peer);

    /// The digest for one peer: servers heard first-hand and servers with work of this host.
    ServerDigest digest(const HostId &to);

    /// True when a server changed since the last call: a digest to every peer is due at once.
    bool takeChanged();

    /// Servers of a service that may get new work, ordered by id.
    [[nodiscard]] std::vector<KnownServer> ready(const ServiceName &service) const;
    /// Every server known, ordered by id.
    [[nodiscard]] std::vector<KnownServer> all() const;
    [[nodiscard]] std::optional<KnownServer> find(const ServerId &server) const;

    /// Servers whose lease will end soon and that do not announce here: ask each for GET /state.
    [[nodiscard]] std::vector<KnownServer> wantProbe() const;
    /// Takes the answer to GET /state that was asked for at `askedAt`.
    TableChange takeProbe(const ServerAnnouncement &announcement, MonotonicTime askedAt);

    /// Servers whose routing lease ran out, without the word "leaving", since the last call.
    std::vector<ServerId> takeLost();

    /// Live entry hosts that hear the server first-hand, this one included, ordered by id.
    [[nodiscard]] std::vector<HostId> heardBy(const ServerId &server) const;

    /// Counts work that this host starts (+1) and ends (-1).
    void changeInFlight(const ServerId &server, WorkClass workClass, int change);
    [[nodiscard]] InFlight ownInFlight(const ServerId &server) const;
    [[nodiscard]] InFlight othersInFlight(const ServerId &server) const;

private:
    struct Row {
        ServerAnnouncement announcement;
        /// The newest ready announcement was made after this; nothing when it cannot be dated.
        std::optional<MonotonicTime> madeAfter;
        MonotonicTime heardAt; ///< The newest word, whatever path it came by.
        std::optional<MonotonicTime> firstHandAt;
        bool everRoutable = false;
        bool lostReported = false;
    };
    struct Peer {
        std::uint64_t sequence = 0; ///< Of its newest digest.
        MonotonicTime heardAt;
        std::map<ServerId, ServerDigestRow> rows;
        std::uint64_t sentSequence = 0;
        std::map<std::uint64_t, MonotonicTime> sentAt; ///< Of our digests to it, by sequence.
    };

    TableChange take(const ServerAnnouncement &announcement,
                     std::optional<MonotonicTime> madeAfter);
    [[nodiscard]] KnownServer describe(const Row &row) const;
    [[nodiscard]] std::uint32_t ageOf(const Row &row) const;
    [[nodiscard]] bool routable(const Row &row) const;
    [[nodiscard]] bool isFirstHand(const Row &row) const;
    [[nodiscard]] bool isLive(const Peer &peer) const;

    ServerTableOptions options_;
    Clock clock_;
    MonotonicTime lastTick_;
    MonotonicTime tickBefore_;
    std::uint64_t firstSequence_ = 1; ///< Above those of this host's earlier starts.
    bool changed_ = false;
    std::map<ServerId, Row> rows_;
    std::map<HostId, Peer> peers_;
    std::map<ServerId, InFlight> own_;
};

} // namespace persimmonlb
