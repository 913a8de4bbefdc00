#include "persimmonlb/state/replicatedstate.h"

#include <type_traits>
#include <variant>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

namespace
{

constexpr std::string_view entryStateCounter = "entrystate";

AuditRecord auditRecord(WallTime at, std::string kind, std::string who, std::string subject,
                        ResultCode code, std::string detail)
{
    return AuditRecord{.sequence = 0,
                       .at = at,
                       .kind = std::move(kind),
                       .who = std::move(who),
                       .subject = std::move(subject),
                       .code = static_cast<std::uint16_t>(code),
                       .count = 1,
                       .detail = std::move(detail)};
}

PlainReply olderIncarnation()
{
    return PlainReply{.code = ResultCode::NotInForce,
                      .message = "a later incarnation of this host is registered"};
}

} // namespace

ReplicatedState::ReplicatedState(const StateStore &store)
    : store_(store)
    , sheets_(store)
    , jobs_(store,
            JobPolicy{.maxBatchAttempts
                      = [this](const ServiceName &service) { return maxBatchAttempts(service); },
                      .weight =
                          [this](const CallerName &caller) {
                              return weight(caller);
                          }})
    , claims_(store)
    , hosts_(store)
    , quarantine_(store)
    , audit_(store)
    , fencing_(store)
    , bulk_(store)
    , fleet_(store)
    , sessions_(store)
{
}

StateMachine ReplicatedState::machine()
{
    return StateMachine{
        .apply =
            [this](std::uint64_t index, std::string_view bytes, MutationList &changes) {
                const auto logged = decodeLoggedCommand(bytes);
                if (!logged.ok()) {
                    return encodeReply(
                        PlainReply{.code = logged.error().code, .message = logged.error().message});
                }
                return applyLogged(index, logged.value(), changes);
            },
        .reload = [this] { return reload(); },
    };
}

std::string ReplicatedState::applyLogged(std::uint64_t index, const LoggedCommand &logged,
                                         MutationList &changes)
{
    if (logged.origin.session == 0) {
        return encodeReply(apply(logged.command, changes));
    }
    if (auto reply = sessions_.replyOfCopy(logged.origin)) {
        return std::move(*reply);
    }
    std::string reply = encodeReply(apply(logged.command, changes));
    sessions_.record(logged.origin, index, reply, changes);
    return reply;
}

Reply ReplicatedState::apply(const Command &command, MutationList &changes)
{
    return std::visit(
        [&](const auto &value) {
            if constexpr (requires { value.at; }) {
                expire(value.at, changes);
            }
            return applyOne(value, changes);
        },
        command);
}

Result<void> ReplicatedState::reload()
{
    BOOST_LEAF_CHECK(sheets_.reload());
    BOOST_LEAF_CHECK(jobs_.reload());
    BOOST_LEAF_CHECK(claims_.reload());
    BOOST_LEAF_CHECK(hosts_.reload());
    BOOST_LEAF_CHECK(quarantine_.reload());
    BOOST_LEAF_CHECK(audit_.reload());
    BOOST_LEAF_CHECK(fencing_.reload());
    BOOST_LEAF_CHECK(bulk_.reload());
    BOOST_LEAF_CHECK(fleet_.reload());
    BOOST_LEAF_CHECK(sessions_.reload());
    const auto version = store_.get(keys::counter(entryStateCounter));
    entryStateVersion_ = version ? keys::parseNumber(*version).value_or(0) : 0;
    return {};
}

void ReplicatedState::expire(WallTime at, MutationList &changes)
{
    claims_.expire(at, changes);
    bulk_.expire(at, changes);
    const bool jobsChanged = jobs_.expire(at, changes);
    const bool quarantineChanged = quarantine_.expire(at, changes);
    if (jobsChanged || quarantineChanged) {
        entryStateChanged(changes);
    }
}

void ReplicatedState::entryStateChanged(MutationList &changes)
{
    ++entryStateVersion_;
    changes.push_back({keys::counter(entryStateCounter), keys::number(entryStateVersion_)});
}

void ReplicatedState::releaseOwner(const Owner &owner, WallTime at, MutationList &changes)
{
    jobs_.release(owner, changes);
    claims_.release(owner, at, changes);
}

Reply ReplicatedState::applyOne(const ApplySheet &command, MutationList &changes)
{
    const SheetReply reply = sheets_.apply(command, changes);
    const bool inForce = reply.code == ResultCode::Ok;
    audit_.append(auditRecord(command.at, "sheet", command.by.value,
                              inForce ? std::to_string(reply.numberInForce) : "", reply.code,
                              inForce ? reply.digestInForce : reply.message),
                  changes);
    return reply;
}

Reply ReplicatedState::applyOne(const OpenJob &command, MutationList &changes)
{
    const JobReply reply = jobs_.open(command, changes);
    if (!reply.existed) {
        audit_.append(auditRecord(command.at, "job", command.caller.value,
                                  reply.code == ResultCode::Ok ? reply.id.value : command.id.value,
                                  reply.code,
                                  "open service=" + command.service.value
                                      + " items=" + std::to_string(command.itemCount)),
                      changes);
    }
    return reply;
}

Reply ReplicatedState::applyOne(const AddItems &command, MutationList &changes)
{
    return jobs_.add(command, changes);
}

Reply ReplicatedState::applyOne(const SealJob &command, MutationList &changes)
{
    const JobReply reply = jobs_.seal(command, changes);
    if (!reply.existed) {
        const auto found = jobs_.find(command.id).jobs;
        audit_.append(auditRecord(command.at, "job",
                                  found.empty() ? "" : found.front().caller.value, command.id.value,
                                  reply.code, "seal"),
                      changes);
    }
    return reply;
}

Reply ReplicatedState::applyOne(const CancelJob &command, MutationList &changes)
{
    const std::size_t before = jobs_.cancelledRecently().size();
    const PlainReply reply = jobs_.cancel(command, changes);
    if (jobs_.cancelledRecently().size() != before) {
        entryStateChanged(changes);
    }
    audit_.append(
        auditRecord(command.at, "cancel", command.by, command.id.value, reply.code, reply.message),
        changes);
    return reply;
}

Reply ReplicatedState::applyOne(const LeaseItems &command, MutationList &changes)
{
    if (!hosts_.isCurrent(command.owner)) {
        return LeaseReply{.items = {}, .pending = jobs_.pendingItems(command.service)};
    }
    return jobs_.lease(command, changes);
}

Reply ReplicatedState::applyOne(const CompleteItems &command, MutationList &changes)
{
    if (!hosts_.isCurrent(command.owner)) {
        return CompleteReply{.recorded = 0,
                             .dropped = static_cast<std::uint32_t>(command.outcomes.size())};
    }
    return jobs_.complete(command, changes);
}

Reply ReplicatedState::applyOne(const ReleaseOwner &command, MutationList &changes)
{
    releaseOwner(command.owner, command.at, changes);
    return PlainReply{};
}

Reply ReplicatedState::applyOne(const ClaimRequest &command, MutationList &changes)
{
    if (hosts_.isCurrent(command.owner)) {
        return claims_.claim(command, changes);
    }
    ClaimReply reply = claims_.find(command.key);
    if (reply.state == ClaimState::NotSent) {
        reply = ClaimReply{.state = ClaimState::Running,
                           .owner = hosts_.current(command.owner.host).value_or(Owner{}),
                           .answer = {}};
    }
    return reply;
}

Reply ReplicatedState::applyOne(const RecordOutcome &command, MutationList &changes)
{
    if (!hosts_.isCurrent(command.owner)) {
        return claims_.find(command.key);
    }
    return claims_.record(command, changes);
}

Reply ReplicatedState::applyOne(const RegisterHost &command, MutationList &changes)
{
    const std::size_t drainingBefore = hosts_.draining().size();
    const PlainReply reply = hosts_.registerHost(command, changes);
    if (reply.code != ResultCode::Ok) {
        return reply;
    }
    if (hosts_.draining().size() != drainingBefore) {
        entryStateChanged(changes);
    }
    for (const Owner &owner : owners()) {
        if (owner.host == command.owner.host && !hosts_.isCurrent(owner)) {
            releaseOwner(owner, command.at, changes);
        }
    }
    return reply;
}

Reply ReplicatedState::applyOne(const DrainHost &command, MutationList &changes)
{
    if (hosts_.drain(command, changes)) {
        entryStateChanged(changes);
    }
    audit_.append(auditRecord(command.at, "drain", command.by, command.host.value, ResultCode::Ok,
                              command.draining ? "draining" : "taken back"),
                  changes);
    return PlainReply{};
}

Reply ReplicatedState::applyOne(const ReportSuspects &command, MutationList &changes)
{
    const auto changed = quarantine_.report(command, changes);
    for (const std::string &fingerprint : changed.convicted) {
        audit_.append(auditRecord(command.at, "quarantine", command.server.value, fingerprint,
                                  ResultCode::Quarantined, "convicted"),
                      changes);
    }
    for (const std::string &fingerprint : changed.lifted) {
        audit_.append(auditRecord(command.at, "quarantine", command.server.value, fingerprint,
                                  ResultCode::Ok, "lifted"),
                      changes);
    }
    if (changed.suspectsChanged || !changed.convicted.empty() || !changed.lifted.empty()) {
        entryStateChanged(changes);
    }
    return PlainReply{};
}

Reply ReplicatedState::applyOne(const ReleaseQuarantine &command, MutationList &changes)
{
    const bool released = quarantine_.release(command.fingerprint, changes);
    const ResultCode code = released ? ResultCode::Ok : ResultCode::NotFound;
    if (released) {
        entryStateChanged(changes);
    }
    audit_.append(
        auditRecord(command.at, "quarantine", command.by, command.fingerprint, code, "released"),
        changes);
    return PlainReply{.code = code, .message = released ? "" : "not quarantined"};
}

Reply ReplicatedState::applyOne(const ReserveFencing &command, MutationList &changes)
{
    const FencingReply reply = fencing_.reserve(command, changes);
    audit_.append(auditRecord(command.at, "order", "control", std::to_string(reply.first),
                              ResultCode::Ok, command.description),
                  changes);
    return reply;
}

Reply ReplicatedState::applyOne(const AppendAudit &command, MutationList &changes)
{
    if (!hosts_.isCurrent(command.owner)) {
        return olderIncarnation();
    }
    return audit_.appendBatch(command, changes);
}

Reply ReplicatedState::applyOne(const PutRoutes &command, MutationList &changes)
{
    if (!fleet_.put(command, changes)) {
        return PlainReply{.code = ResultCode::Ok, .message = "a newer version is in force"};
    }
    audit_.append(auditRecord(command.at, "routes", "operator", std::to_string(command.version),
                              ResultCode::Ok, sha256Hex(command.text)),
                  changes);
    return PlainReply{};
}

Reply ReplicatedState::applyOne(const AcceptBulk &command, MutationList &changes)
{
    return bulk_.accept(command, changes);
}

Reply ReplicatedState::applyOne(const RecordBulk &command, MutationList &changes)
{
    return bulk_.record(command, changes);
}

Reply ReplicatedState::applyOne(const EndBulk &command, MutationList &changes)
{
    return bulk_.end(command, changes);
}

Reply ReplicatedState::applyOne(const RetireStore &command, MutationList &changes)
{
    if (fleet_.retire(command, changes)) {
        audit_.append(
            auditRecord(command.at, "member", "operator", command.name, ResultCode::Ok, "retire"),
            changes);
    }
    return PlainReply{};
}

Reply ReplicatedState::applyOne(const SaveBulkProgress &command, MutationList &changes)
{
    bulk_.saveProgress(command, changes);
    return PlainReply{};
}

Reply ReplicatedState::applyOne(const SaveFleet &command, MutationList &changes)
{
    FleetTable::save(command, changes);
    return PlainReply{};
}

} // namespace persimmonlb
