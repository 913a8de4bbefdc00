#pragma once

#include <type_traits>

#include "persimmonlb/wire/message.h"

/// The fields of every message, once for both directions. An archive is a writer, which gets
/// constant messages, or a reader, which fills them.
///
/// Numbers that are 0 and texts and lists that are empty are not written, and a field that is
/// missing keeps its default, so that fields can be added from one release to the next. Names are
/// never used anew.
namespace persimmonlb::internal
{

/// `Message`, constant for a writer.
template <typename Archive, typename Message>
using Fields = std::conditional_t<Archive::isWriter, const Message, Message>;

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, VoteRequest> &message)
{
    archive.field("t", message.term);
    archive.field("p", message.preVote);
    archive.field("s", message.afterStart);
    archive.field("i", message.lastLogIndex);
    archive.field("l", message.lastLogTerm);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, VoteReply> &message)
{
    archive.field("t", message.term);
    archive.field("p", message.preVote);
    archive.field("g", message.granted);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, AppendRequest> &message)
{
    archive.field("t", message.term);
    archive.field("i", message.previousIndex);
    archive.field("l", message.previousTerm);
    archive.field("c", message.commitIndex);
    archive.field("r", message.round);
    archive.list("e", message.entries);
}

/// Four positions without names, because a message may hold thousands.
template <typename Archive>
void describePositions(Archive &archive, Fields<Archive, LogEntry> &entry)
{
    archive.position(entry.index);
    archive.position(entry.term);
    archive.enumPosition(entry.kind, EntryKind::NoOperation);
    archive.bytesPosition(entry.data);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, AppendReply> &message)
{
    archive.field("t", message.term);
    archive.field("s", message.success);
    archive.field("m", message.matchIndex);
    archive.field("h", message.hintIndex);
    archive.field("r", message.round);
    archive.field("d", message.disk);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SnapshotChunk> &message)
{
    archive.field("t", message.term);
    archive.field("i", message.lastIndex);
    archive.field("l", message.lastTerm);
    archive.bytes("c", message.configuration);
    archive.field("n", message.chunk);
    archive.field("z", message.last);
    archive.list("p", message.pairs);
}

template <typename Archive>
void describePositions(Archive &archive,
                       Fields<Archive, std::pair<std::string, std::string>> &keyAndValue)
{
    archive.bytesPosition(keyAndValue.first);
    archive.bytesPosition(keyAndValue.second);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SnapshotReply> &message)
{
    archive.field("t", message.term);
    archive.field("i", message.lastIndex);
    archive.field("n", message.nextChunk);
    archive.field("d", message.installed);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ProposeRequest> &message)
{
    archive.field("q", message.requestId);
    archive.bytes("c", message.command);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, QueryRequest> &message)
{
    archive.field("q", message.requestId);
    archive.bytes("c", message.query);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ControlReply> &message)
{
    archive.field("q", message.requestId);
    archive.code("r", message.code);
    archive.field("m", message.message);
    archive.field("l", message.leader);
    archive.bytes("p", message.payload);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, LeaseRequest> &message)
{
    archive.field("q", message.sequence);
    archive.field("i", message.incarnation);
    archive.field("a", message.address);
    archive.field("z", message.availabilityZone);
    archive.field("r", message.region);
    archive.field("n", message.sheetNumber);
    archive.field("v", message.entryStateVersion);
    archive.field("hv", message.hostsVersion);
    archive.field("wh", message.wantHosts);
    archive.field("ma", message.meshAddress);
    archive.field("d", message.draining);
    archive.field("s", message.stopped);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, EntryHostInfo> &info)
{
    archive.field("h", info.host);
    archive.field("a", info.address);
    archive.field("z", info.availabilityZone);
    archive.field("r", info.region);
    archive.field("i", info.incarnation);
    archive.field("n", info.sheetNumber);
    archive.field("v", info.entryStateVersion);
    archive.field("ma", info.meshAddress);
    archive.field("d", info.draining);
    archive.field("l", info.leaseLeftMs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, LeaseGrant> &message)
{
    archive.field("q", message.sequence);
    archive.field("m", message.leaseMs);
    archive.field("l", message.leader);
    archive.field("n", message.sheetNumber);
    archive.field("v", message.entryStateVersion);
    archive.field("d", message.draining);
    archive.field("hv", message.hostsVersion);
    archive.list("ps", message.pendingServices);
    archive.field("hh", message.hasHosts);
    archive.list("h", message.hosts);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerLoad> &load)
{
    constexpr double wholeCache = 1.0;
    archive.field("r", load.running);
    archive.field("q", load.queued);
    archive.share("k", load.kvFree, wholeCache);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerAnnouncement> &announcement)
{
    archive.field("s", announcement.server);
    archive.field("a", announcement.address);
    archive.field("z", announcement.availabilityZone);
    archive.field("v", announcement.service);
    archive.enumeration("k", announcement.kind, ServerKind::Plain);
    archive.enumeration("t", announcement.state, ServerState::Leaving);
    archive.field("m", announcement.model);
    archive.field("n", announcement.version);
    archive.list("ad", announcement.adapters);
    archive.field("r", announcement.role);
    archive.field("f", announcement.checksFencing);
    archive.field("c", announcement.slots);
    archive.structure("l", announcement.load);
    archive.field("i", announcement.incarnation);
    archive.field("q", announcement.sequence);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerDigestRow> &row)
{
    archive.structure("a", row.announcement);
    archive.field("g", row.ageMs);
    archive.field("o", row.onlineInFlight);
    archive.field("b", row.batchInFlight);
    archive.field("f", row.firstHand);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, CallerDemand> &demand)
{
    archive.field("c", demand.caller);
    archive.rate("p", demand.perSecond);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerDigest> &message)
{
    archive.field("q", message.sequence);
    archive.field("e", message.echo);
    archive.list("r", message.rows);
    archive.list("d", message.demand);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, YieldRequest> &message)
{
    archive.field("s", message.server);
    archive.field("n", message.slots);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, FleetServer> &message)
{
    archive.field("id", message.id);
    archive.field("b", message.bornMs);
    archive.field("q", message.sequence);
    archive.field("s", message.service);
    archive.field("a", message.address);
    archive.field("z", message.availabilityZone);
    archive.field("n", message.slots);
    archive.field("d", message.draining);
    archive.field("rl", message.requestsPerKs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, FleetEntry> &message)
{
    archive.field("h", message.host);
    archive.field("n", message.name);
    archive.field("a", message.address);
    archive.field("z", message.availabilityZone);
    archive.field("r", message.region);
    archive.field("d", message.draining);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, FleetStore> &message)
{
    archive.field("h", message.host);
    archive.field("n", message.name);
    archive.field("m", message.meshAddress);
    archive.field("c", message.controlAddress);
    archive.field("z", message.availabilityZone);
    archive.field("v", message.votes);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerProcess> &message)
{
    archive.field("s", message.server);
    archive.field("n", message.bornMs);
}

/// "s" was a list of server ids in earlier releases.
template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, CrashSuspect> &message)
{
    archive.field("f", message.fingerprint);
    archive.list("p", message.processes);
    archive.field("b", message.blocks);
    archive.field("u", message.blockedForMs);
    archive.field("k", message.isPart);
    archive.list("r", message.requests);
    archive.list("a", message.abortAgesMs);
    archive.field("h", message.prober);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, FleetView> &message)
{
    archive.field("t", message.term);
    archive.field("v", message.version);
    archive.field("l", message.leader);
    archive.field("rv", message.routesVersion);
    archive.list("s", message.servers);
    archive.list("e", message.entries);
    archive.list("st", message.stores);
    archive.list("k", message.blockedSuspects);
    archive.list("x", message.endedServers);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, FleetChange> &message)
{
    archive.field("bt", message.baseTerm);
    archive.field("bv", message.baseVersion);
    archive.field("t", message.term);
    archive.field("v", message.version);
    archive.field("l", message.leader);
    archive.field("rv", message.routesVersion);
    archive.list("s", message.servers);
    archive.list("sg", message.goneServers);
    archive.list("e", message.entries);
    archive.list("eg", message.goneEntries);
    archive.list("st", message.stores);
    archive.list("stg", message.goneStores);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, AttachedHosts> &message)
{
    archive.field("w", message.whole);
    archive.list("e", message.entries);
    archive.list("g", message.gone);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, HostReport> &message)
{
    archive.field("m", message.member);
    archive.field("u", message.unused);
    archive.field("n", message.name);
    archive.field("a", message.address);
    archive.field("ma", message.meshAddress);
    archive.field("ca", message.controlAddress);
    archive.field("z", message.availabilityZone);
    archive.field("r", message.region);
    archive.field("d", message.draining);
    archive.field("rv", message.routesVersion);
    archive.field("t", message.viewTerm);
    archive.field("v", message.viewVersion);
    archive.field("l", message.leaving);
    archive.field("f", message.followers);
    archive.field("fb", message.followersBehind);
    archive.field("st", message.stamp);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, LeaderBeat> &message)
{
    archive.field("t", message.term);
    archive.field("v", message.version);
    archive.field("a", message.ageMs);
    archive.field("e", message.echoedStamp);
    archive.field("pv", message.provenVersion);
    archive.field("pa", message.proofAgeMs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, RoutesPush> &message)
{
    archive.field("v", message.version);
    archive.bytes("t", message.text);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerNotice> &message)
{
    archive.field("q", message.requestId);
    archive.structure("s", message.server);
    archive.field("g", message.gone);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerNoticeReply> &message)
{
    archive.field("q", message.requestId);
    archive.field("t", message.taken);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, MemberRemoved> &message)
{
    archive.field("m", message.member);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, PromptPart> &message)
{
    archive.field("k", message.key);
    archive.field("t", message.tokens);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SlotRequest> &message)
{
    archive.field("i", message.ticket);
    archive.field("s", message.service);
    archive.field("z", message.availabilityZone);
    archive.field("p", message.priority);
    archive.field("w", message.startWithinMs);
    archive.field("g", message.giveUpAfterMs);
    archive.field("b", message.cameBack);
    archive.field("t", message.tokens);
    archive.list("pp", message.prompt);
    archive.list("x", message.excluded);
    archive.field("cu", message.customer);
    archive.rate("cw", message.customerWeight);
    archive.field("ch", message.isCharged);
    archive.field("al", message.admittedLocally);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SlotGrant> &message)
{
    archive.field("i", message.ticket);
    archive.field("s", message.server);
    archive.field("a", message.address);
    archive.field("n", message.bornMs);
    archive.field("ls", message.localSharePermille);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerLeaving> &message)
{
    archive.field("s", message.server);
    archive.field("n", message.bornMs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, ServerLimit> &message)
{
    archive.field("s", message.server);
    archive.field("b", message.bornMs);
    archive.field("r", message.requestsPerKs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SlotRefusal> &message)
{
    archive.field("i", message.ticket);
    archive.field("r", message.retryAfterMs);
    archive.field("q", message.quotaExceeded);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SlotEnd> &message)
{
    archive.field("i", message.ticket);
    archive.enumeration("o", message.outcome, SlotOutcome::Failed);
    archive.field("h", message.heldMs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, HeldSlot> &message)
{
    archive.field("i", message.ticket);
    archive.field("s", message.server);
    archive.field("t", message.tokens);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, CustomerHistory> &history)
{
    archive.field("c", history.customer);
    archive.list("s", history.sentBySecond);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SentHistory> &history)
{
    archive.field("w", history.isWhole);
    archive.list("c", history.customers);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, SlotsHeld> &message)
{
    archive.list("s", message.slots);
    archive.structure("h", message.history);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, RunVerdict> &message)
{
    archive.field("f", message.fingerprint);
    archive.field("s", message.server);
    archive.field("b", message.broken);
    archive.field("n", message.bornMs);
    archive.list("p", message.parts);
    archive.field("a", message.ageMs);
}

template <typename Archive>
void describeFields(Archive &archive, Fields<Archive, CrashSuspects> &message)
{
    archive.field("t", message.term);
    archive.field("v", message.version);
    archive.list("s", message.suspects);
}

} // namespace persimmonlb::internal
