#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "persimmonlb/base/ids.h"
#include "persimmonlb/quotas/customerhistory.h"

/// What the leader of the storage hosts tells every other process of the fleet.
namespace persimmonlb
{

/// One life of a backend server, as it announces itself.
struct FleetServer {
    ServerId id = {};
    std::uint64_t bornMs = 0; ///< Wall time of its start; a later life has a higher one.
    std::uint64_t sequence = 0; ///< Rises with each announcement of one life.
    ServiceName service = {};
    std::string address = {}; ///< "ip:port".
    AvailabilityZone availabilityZone = {};
    std::uint32_t slots = 0; ///< Requests it runs at once.
    bool draining = false; ///< Takes no new requests.
    /// Requests that it takes from all hosts together, in 1,000 s, as its responses say; 0: any.
    std::uint64_t requestsPerKs = 0;

    bool operator==(const FleetServer &) const = default;
};

/// An entry host that callers may connect to.
struct FleetEntry {
    HostId host = {};
    std::string name = {}; ///< As operators call it.
    std::string address = {}; ///< "ip:port" for callers.
    AvailabilityZone availabilityZone = {};
    Region region = {};
    bool draining = false;

    bool operator==(const FleetEntry &) const = default;
};

/// A storage host.
struct FleetStore {
    HostId host = {};
    std::string name = {}; ///< As operators call it.
    std::string meshAddress = {};
    std::string controlAddress = {}; ///< "ip:port" for operators and servers.
    AvailabilityZone availabilityZone = {};
    bool votes = false; ///< In the replicated group, so that it may lead.

    bool operator==(const FleetStore &) const = default;
};

/// One start of a server.
struct ServerProcess {
    ServerId server;
    std::uint64_t bornMs = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const ServerProcess &) const = default;
};

/// A request, or a part of prompts, whose runs servers broke off lately.
struct CrashSuspect {
    std::uint64_t fingerprint = 0;
    std::vector<ServerProcess> processes; ///< That broke it off since one answered it last.
    std::uint32_t blocks = 0; ///< Times that it was blocked.
    std::uint64_t blockedForMs = 0; ///< From the sending on; 0: it may run.
    bool isPart = false;
    std::vector<std::uint64_t> requests = {}; ///< Of a part: the requests that were broken off.
    std::vector<std::uint64_t> abortAgesMs = {}; ///< Of a part: when, from the sending back.
    /// After a block: the entry host that may run it once.
    HostId prober = {};

    bool operator==(const CrashSuspect &) const = default;
};

/// The whole fleet as one leader sees it. A view with a higher (term, version) replaces another.
struct FleetView {
    std::uint64_t term = 0; ///< Of the leader.
    std::uint64_t version = 0; ///< Rises with each change of one leader's view.
    HostId leader = {};
    std::uint64_t routesVersion = 0; ///< In force.
    std::vector<FleetServer> servers = {};
    std::vector<FleetEntry> entries = {};
    std::vector<FleetStore> stores = {};
    std::vector<CrashSuspect> blockedSuspects = {}; ///< Only in the view that the log keeps.
    std::vector<ServerProcess> endedServers = {}; ///< Only in the view that the log keeps.

    bool operator==(const FleetView &) const = default;
};

/// What a newer view has that an older one has not. It fits one view alone, that of the base.
struct FleetChange {
    std::uint64_t baseTerm = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    HostId leader = {};
    std::uint64_t routesVersion = 0;
    std::vector<FleetServer> servers = {}; ///< New or changed.
    std::vector<ServerId> goneServers = {};
    std::vector<FleetEntry> entries = {}; ///< New or changed.
    std::vector<HostId> goneEntries = {};
    std::vector<FleetStore> stores = {}; ///< New or changed.
    std::vector<HostId> goneStores = {};

    bool operator==(const FleetChange &) const = default;
};

/// Sent by every host to its parent, a few times a second: an entry host's parent is a storage
/// host of its zone, a storage host's parent is the leader.
struct HostReport {
    HostId member; ///< Id in the replicated group; empty on hosts without storage.
    bool unused = false; ///< Its store was never part of a group.
    std::string name;
    std::string address; ///< For callers; empty on hosts that take none.
    std::string meshAddress;
    std::string controlAddress;
    AvailabilityZone availabilityZone;
    Region region;
    bool draining = false;
    std::uint64_t routesVersion = 0; ///< In force at the sender.
    std::uint64_t viewTerm = 0; ///< 0: the host needs a whole view.
    std::uint64_t viewVersion = 0;
    bool leaving = false; ///< The host reports to another one from now on.
    std::uint32_t followers = 0; ///< Hosts that report to the sender.
    std::uint32_t followersBehind = 0; ///< Those of them with older routes than the sender.
    /// Echoed by the reply, see RoutesFreshness; 0: the sender needs no proof.
    std::uint64_t stamp = 0;

    bool operator==(const HostReport &) const = default;
};

/// Tells the leader which entry hosts report to the sender.
struct AttachedHosts {
    bool whole = false; ///< All of them are named; else only what has changed.
    std::vector<FleetEntry> entries = {};
    std::vector<HostId> gone = {}; ///< Silent or disconnected.

    bool operator==(const AttachedHosts &) const = default;
};

/// A parent's answer to each HostReport.
struct LeaderBeat {
    std::uint64_t term = 0; ///< Of the sender's view.
    std::uint64_t version = 0;
    std::uint64_t ageMs = 0; ///< Since the sender heard of the leader; 0: it leads.
    std::uint64_t echoedStamp = 0; ///< Of the report; 0: no proof comes with this message.
    std::uint64_t provenVersion = 0; ///< Routes that were proven to be the newest ones.
    std::uint64_t proofAgeMs = 0; ///< Of that proof when the report arrived.

    bool operator==(const LeaderBeat &) const = default;
};

/// Routes in force, to a host that has older ones.
struct RoutesPush {
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const RoutesPush &) const = default;
};

/// Passes a server's announcement on to the leader.
struct ServerNotice {
    std::uint64_t requestId = 0;
    FleetServer server;
    bool gone = false; ///< The server ends its registration.

    bool operator==(const ServerNotice &) const = default;
};

/// The leader has taken a ServerNotice, and what it changed is on its way to every host.
struct ServerNoticeReply {
    std::uint64_t requestId = 0;
    bool taken = false;

    bool operator==(const ServerNoticeReply &) const = default;
};

/// A server said in an answer that it leaves: it must get no new work. Told to the leader by the
/// host that got the answer, until the leader's view says the same.
struct ServerLeaving {
    ServerId server;
    std::uint64_t bornMs = 0; ///< Which start of the server.

    bool operator==(const ServerLeaving &) const = default;
};

/// The limit that a server named in a response, if the leader's view has another one. Told to the
/// leader by the host that got the response.
struct ServerLimit {
    ServerId server;
    std::uint64_t bornMs = 0; ///< Which start of the server.
    std::uint64_t requestsPerKs = 0; ///< Requests in 1,000 s; 0: it names no limit any more.

    bool operator==(const ServerLimit &) const = default;
};

/// Tells a storage host that the group goes on without it: its store is of no more use.
struct MemberRemoved {
    HostId member;

    bool operator==(const MemberRemoved &) const = default;
};

// ---- requests that crash servers ----------------------------------------------------------------

/// How a server's run of a request ended, told to the leader by the host that sent it.
struct RunVerdict {
    std::uint64_t fingerprint = 0; ///< Of the request, see requestFingerprint(); 0: not judged.
    ServerId server;
    bool broken = false; ///< The server broke it off without an answer; else it answered.
    std::uint64_t bornMs = 0; ///< Which start of the server.
    /// Parts of the prompt that other requests may share, in order. If `broken`, the server had not
    /// begun its response; else it had.
    std::vector<std::uint64_t> parts = {};
    std::uint64_t ageMs = 0; ///< From the event to the sending.

    bool operator==(const RunVerdict &) const = default;
};

/// All suspects of a leader, told to every host. A higher (term, version) replaces another.
struct CrashSuspects {
    std::uint64_t term = 0; ///< Of the leader.
    std::uint64_t version = 0; ///< Rises with each change of one leader's list.
    std::vector<CrashSuspect> suspects;

    bool operator==(const CrashSuspects &) const = default;
};

// ---- slots ----------------------------------------------------------------------------------

/// One part of a prompt; requests that share it share its place in a server's cache.
struct PromptPart {
    std::uint64_t key = 0; ///< Hash of the part's id and of all parts before it.
    std::uint64_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// An entry host asks for a slot of a service.
struct SlotRequest {
    std::uint64_t ticket = 0; ///< Chosen by the entry host, unique in its life.
    ServiceName service;
    AvailabilityZone availabilityZone; ///< Of the entry host.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint64_t startWithinMs = 0; ///< To meet the objective.
    std::uint64_t giveUpAfterMs = 0; ///< The caller is gone then.
    bool cameBack = false; ///< The caller was refused before, or its server failed.
    std::uint64_t tokens = 0; ///< Prompt and longest answer.
    std::vector<PromptPart> prompt;
    std::vector<ServerId> excluded;
    CustomerName customer = {}; ///< Empty: none.
    double customerWeight = 0; ///< Share of the slots when they are short; 0 counts as 1.
    bool isCharged = false; ///< An earlier attempt was charged to the customer's quota.
    /// Requests of the customer that the host admitted without the leader since it asked last.
    std::uint32_t admittedLocally = 0;

    bool operator==(const SlotRequest &) const = default;
};

/// Without a server: the request waits for a slot.
struct SlotGrant {
    std::uint64_t ticket = 0;
    ServerId server = {};
    std::string address = {};
    std::uint64_t bornMs = 0; ///< Which start of the server.
    /// Share, in thousandths, of the customer's requests in the last window that the host may admit
    /// while it cannot ask the leader.
    std::uint32_t localSharePermille = 0;

    bool operator==(const SlotGrant &) const = default;
};

/// No slot in time. Nothing of the request ran.
struct SlotRefusal {
    std::uint64_t ticket = 0;
    std::uint64_t retryAfterMs = 0;
    bool quotaExceeded = false; ///< The customer's quota is used up; else no slot is free in time.

    bool operator==(const SlotRefusal &) const = default;
};

enum class SlotOutcome : std::uint8_t {
    Completed,
    Abandoned, ///< The caller went away, or the wait was given up.
    Refused, ///< The server said that it did not run the request.
    Unreachable, ///< No connection.
    Failed, ///< The server broke off, gave a wrong answer or none.
};

/// Gives a slot back, or withdraws a request that still waits.
struct SlotEnd {
    std::uint64_t ticket = 0;
    SlotOutcome outcome = SlotOutcome::Completed;
    std::uint64_t heldMs = 0; ///< From the grant to the end.

    bool operator==(const SlotEnd &) const = default;
};

struct HeldSlot {
    std::uint64_t ticket = 0;
    ServerId server;
    std::uint64_t tokens = 0;

    bool operator==(const HeldSlot &) const = default;
};

/// Every slot that an entry host holds, and what it sent lately, told to a new leader.
struct SlotsHeld {
    std::vector<HeldSlot> slots;
    SentHistory history = {};

    bool operator==(const SlotsHeld &) const = default;
};

} // namespace persimmonlb
