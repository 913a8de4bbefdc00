#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/membership/server.h"

/// Typed messages between our processes. One CBOR map per websocket message; the codec is in
/// message.cpp. Unknown fields are ignored, so that releases can differ by one.
namespace persimmonlb
{

/// Replicated group a message belongs to. Today there is one.
using GroupId = std::uint32_t;
constexpr GroupId defaultGroup = 0;

enum class EntryKind : std::uint8_t { Command, Configuration, NoOperation };

/// One entry of the replicated log.
struct LogEntry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::string data;

    bool operator==(const LogEntry &) const = default;
};

struct VoteRequest {
    std::uint64_t term = 0;
    bool preVote = false;
    /// The sender has heard of no leader since it started. As a vote: every member has told it that
    /// none leads.
    bool afterStart = false;
    std::uint64_t lastLogIndex = 0;
    std::uint64_t lastLogTerm = 0;

    bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
    std::uint64_t term = 0;
    bool preVote = false;
    bool granted = false;

    bool operator==(const VoteReply &) const = default;
};

struct AppendRequest {
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t round = 0; ///< Echoed; dates the leader lease.
    std::vector<LogEntry> entries;

    bool operator==(const AppendRequest &) const = default;
};

struct AppendReply {
    std::uint64_t term = 0;
    bool success = false;
    std::uint64_t matchIndex = 0; ///< Highest index synced here that agrees with the leader.
    std::uint64_t hintIndex = 0; ///< After a mismatch: where to try next.
    std::uint64_t round = 0;
    std::uint64_t disk = 0; ///< LogStore::diskId of the sender.

    bool operator==(const AppendReply &) const = default;
};

struct SnapshotChunk {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0; ///< Last log index that the snapshot holds.
    std::uint64_t lastTerm = 0;
    std::string configuration; ///< Encoded member list at lastIndex.
    std::uint64_t chunk = 0; ///< 0, 1, 2, ...
    bool last = false;
    std::vector<std::pair<std::string, std::string>> pairs; ///< Keys and values.

    bool operator==(const SnapshotChunk &) const = default;
};

struct SnapshotReply {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t nextChunk = 0;
    bool installed = false;

    bool operator==(const SnapshotReply &) const = default;
};

/// Asks the group's leader to append a command (state/command.h).
struct ProposeRequest {
    std::uint64_t requestId = 0;
    std::string command;

    bool operator==(const ProposeRequest &) const = default;
};

/// Asks the group's leader a question (state/query.h).
struct QueryRequest {
    std::uint64_t requestId = 0;
    std::string query;

    bool operator==(const QueryRequest &) const = default;
};

/// Answer to ProposeRequest and QueryRequest. code Ok: `payload` holds the encoded Reply or
/// Answer. NotLeader: `leader` names the one to ask, when known. NoQuorum: outcome not known.
struct ControlReply {
    std::uint64_t requestId = 0;
    ResultCode code = ResultCode::Ok;
    std::string message;
    HostId leader;
    std::string payload;

    bool operator==(const ControlReply &) const = default;
};

/// An entry host asks the leader to renew its lease, and says what it has in force.
struct LeaseRequest {
    std::uint64_t sequence = 0;
    Incarnation incarnation = 0;
    std::string address;
    AvailabilityZone availabilityZone;
    Region region;
    std::uint64_t sheetNumber = 0;
    std::uint64_t entryStateVersion = 0;
    std::uint64_t hostsVersion = 0; ///< Of the host list this entry has.
    bool wantHosts = false; ///< Send the host list even when it has not changed.
    std::string meshAddress; ///< "ip:port" of the mesh listener.
    bool draining = false;
    bool stopped = false; ///< Last word of a planned stop: nothing runs here any more.

    bool operator==(const LeaseRequest &) const = default;
};

/// An entry host as the leader knows it.
struct EntryHostInfo {
    HostId host;
    std::string address;
    AvailabilityZone availabilityZone;
    Region region;
    Incarnation incarnation = 0;
    std::uint64_t sheetNumber = 0;
    std::uint64_t entryStateVersion = 0;
    std::string meshAddress; ///< "ip:port" of its mesh listener.
    bool draining = false;
    std::uint64_t leaseLeftMs = 0; ///< 0: lapsed for certain.

    bool operator==(const EntryHostInfo &) const = default;
};

/// Lease of an entry host, counted from when it sent the request with this sequence.
struct LeaseGrant {
    std::uint64_t sequence = 0;
    std::uint64_t leaseMs = 0; ///< 0: refused (not leader, or an older incarnation).
    HostId leader;
    std::uint64_t sheetNumber = 0; ///< In force; an entry behind it fetches it.
    std::uint64_t entryStateVersion = 0;
    bool draining = false; ///< An operator asked this host to drain.
    std::uint64_t hostsVersion = 0;
    std::vector<ServiceName> pendingServices; ///< Services with batch items that wait.
    bool hasHosts = false; ///< `hosts` is filled: the list changed, or was asked for.
    std::vector<EntryHostInfo> hosts;

    bool operator==(const LeaseGrant &) const = default;
};

/// What one entry host heard of its servers since its last digest, and its own in-flight counts.
struct ServerDigestRow {
    ServerAnnouncement announcement;
    std::uint32_t ageMs = 0; ///< Since the announcement was heard first-hand.
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchInFlight = 0;
    bool firstHand = true; ///< The server announces to the sender; else the row tells its load.

    bool operator==(const ServerDigestRow &) const = default;
};

/// Requests of one caller that one entry host saw, smoothed; for splitting quotas.
struct CallerDemand {
    CallerName caller;
    double perSecond = 0;

    bool operator==(const CallerDemand &) const = default;
};

struct ServerDigest {
    std::uint64_t sequence = 0;
    /// The newest digest sequence that the sender has from the receiver; dates the rows.
    std::uint64_t echo = 0;
    std::vector<ServerDigestRow> rows;
    std::vector<CallerDemand> demand;

    bool operator==(const ServerDigest &) const = default;
};

/// Asks the batch owner of a server to cancel batch work there at once.
struct YieldRequest {
    ServerId server;
    std::uint32_t slots = 0;

    bool operator==(const YieldRequest &) const = default;
};

using PeerBody
    = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
                   ProposeRequest, QueryRequest, ControlReply, LeaseRequest, LeaseGrant,
                   ServerDigest, YieldRequest, FleetView, HostReport, RoutesPush, ServerNotice,
                   ServerNoticeReply, MemberRemoved, SlotRequest, SlotGrant, SlotRefusal, SlotEnd,
                   SlotsHeld, LeaderBeat, RunVerdict, CrashSuspects, FleetChange, AttachedHosts,
                   ServerLeaving, ServerLimit>;

struct PeerMessage {
    GroupId group = defaultGroup;
    PeerBody body;
    /// Members of the group that the message is between, where a host's member id is not its
    /// host id; otherwise empty.
    HostId fromMember = {};
    HostId toMember = {};

    bool operator==(const PeerMessage &) const = default;
};

/// Name of the body's type, for metrics.
std::string_view peerBodyName(const PeerBody &body);

std::string encodeMessage(const PeerMessage &message);
/// Errors: MalformedRequest; never throws, whatever the bytes.
Outcome<PeerMessage> decodeMessage(std::string_view bytes);

} // namespace persimmonlb
