#include "persimmonlb/state/command.h"

#include "persimmonlb/state/cborvariant.h"
#include "persimmonlb/state/commandfields.h"
#include "persimmonlb/state/fleetfields.h"

namespace persimmonlb
{

constexpr const char *originField = "origin";

template <typename Visitor, Like<CommandOrigin> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("session", value.session);
    visitor("sequence", value.sequence);
    visitor("oldestPending", value.oldestPending);
}

template <>
inline constexpr ItemOutcomeKind lastEnumerator<ItemOutcomeKind> = ItemOutcomeKind::NotRun;

template <typename Visitor, Like<ApplySheet> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("text", value.text);
    visitor("by", value.by);
    visitor("at", value.at);
}

template <typename Visitor, Like<SheetReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("code", value.code);
    visitor("message", value.message);
    visitor("numberInForce", value.numberInForce);
    visitor("digestInForce", value.digestInForce);
}

template <typename Visitor, Like<OpenJob> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("caller", value.caller);
    visitor("idempotencyKey", value.idempotencyKey);
    visitor("service", value.service);
    visitor("due", value.due);
    visitor("itemCount", value.itemCount);
    visitor("bodyDigest", value.bodyDigest);
    visitor("at", value.at);
}

template <typename Visitor, Like<AddItems> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("firstIndex", value.firstIndex);
    visitor("items", value.items);
}

template <typename Visitor, Like<SealJob> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("at", value.at);
}

template <typename Visitor, Like<JobReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("code", value.code);
    visitor("message", value.message);
    visitor("id", value.id);
    visitor("sealed", value.sealed);
    visitor("existed", value.existed);
}

template <typename Visitor, Like<CancelJob> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("caller", value.caller);
    visitor("by", value.by);
    visitor("at", value.at);
}

template <typename Visitor, Like<LeaseItems> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("owner", value.owner);
    visitor("sequence", value.sequence);
    visitor("service", value.service);
    visitor("maxItems", value.maxItems);
    visitor("at", value.at);
}

template <typename Visitor, Like<LeasedItem> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("job", value.job);
    visitor("index", value.index);
    visitor("attempt", value.attempt);
    visitor("caller", value.caller);
    visitor("customId", value.customId);
    visitor("idempotent", value.idempotent);
    visitor("body", value.body);
    visitor("due", value.due);
}

template <typename Visitor, Like<LeaseReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("items", value.items);
    visitor("pending", value.pending);
}

template <typename Visitor, Like<ItemOutcome> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("job", value.job);
    visitor("index", value.index);
    visitor("attempt", value.attempt);
    visitor("kind", value.kind);
    visitor("status", value.status);
    visitor("body", value.body);
}

template <typename Visitor, Like<CompleteItems> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("owner", value.owner);
    visitor("outcomes", value.outcomes);
    visitor("at", value.at);
}

template <typename Visitor, Like<CompleteReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("recorded", value.recorded);
    visitor("dropped", value.dropped);
}

template <typename Visitor, Like<ReleaseOwner> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("owner", value.owner);
    visitor("at", value.at);
}

template <typename Visitor, Like<ClaimRequest> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("key", value.key);
    visitor("service", value.service);
    visitor("bodyDigest", value.bodyDigest);
    visitor("owner", value.owner);
    visitor("requestId", value.requestId);
    visitor("at", value.at);
}

template <typename Visitor, Like<RecordOutcome> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("key", value.key);
    visitor("owner", value.owner);
    visitor("requestId", value.requestId);
    visitor("state", value.state);
    visitor("answer", value.answer);
    visitor("at", value.at);
}

template <typename Visitor, Like<RegisterHost> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("owner", value.owner);
    visitor("address", value.address);
    visitor("availabilityZone", value.availabilityZone);
    visitor("region", value.region);
    visitor("at", value.at);
}

template <typename Visitor, Like<DrainHost> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("host", value.host);
    visitor("draining", value.draining);
    visitor("by", value.by);
    visitor("at", value.at);
}

template <typename Visitor, Like<ReportSuspects> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("server", value.server);
    visitor("serverIncarnation", value.serverIncarnation);
    visitor("fingerprints", value.fingerprints);
    visitor("alone", value.alone);
    visitor("period", value.period);
    visitor("at", value.at);
}

template <typename Visitor, Like<ReleaseQuarantine> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("fingerprint", value.fingerprint);
    visitor("by", value.by);
    visitor("at", value.at);
}

template <typename Visitor, Like<ReserveFencing> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("count", value.count);
    visitor("description", value.description);
    visitor("at", value.at);
}

template <typename Visitor, Like<FencingReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("first", value.first);
}

template <typename Visitor, Like<AppendAudit> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("owner", value.owner);
    visitor("batch", value.batch);
    visitor("records", value.records);
}

template <>
inline constexpr std::string_view typeName<ApplySheet> = "apply_sheet";
template <>
inline constexpr std::string_view typeName<OpenJob> = "open_job";
template <>
inline constexpr std::string_view typeName<AddItems> = "add_items";
template <>
inline constexpr std::string_view typeName<SealJob> = "seal_job";
template <>
inline constexpr std::string_view typeName<CancelJob> = "cancel_job";
template <>
inline constexpr std::string_view typeName<LeaseItems> = "lease_items";
template <>
inline constexpr std::string_view typeName<CompleteItems> = "complete_items";
template <>
inline constexpr std::string_view typeName<ReleaseOwner> = "release_owner";
template <>
inline constexpr std::string_view typeName<ClaimRequest> = "claim_request";
template <>
inline constexpr std::string_view typeName<RecordOutcome> = "record_outcome";
template <>
inline constexpr std::string_view typeName<RegisterHost> = "register_host";
template <>
inline constexpr std::string_view typeName<DrainHost> = "drain_host";
template <>
inline constexpr std::string_view typeName<ReportSuspects> = "report_suspects";
template <>
inline constexpr std::string_view typeName<ReleaseQuarantine> = "release_quarantine";
template <>
inline constexpr std::string_view typeName<ReserveFencing> = "reserve_fencing";
template <>
inline constexpr std::string_view typeName<AppendAudit> = "append_audit";
template <>
inline constexpr std::string_view typeName<PlainReply> = "plain_reply";
template <>
inline constexpr std::string_view typeName<SheetReply> = "sheet_reply";
template <>
inline constexpr std::string_view typeName<JobReply> = "job_reply";
template <>
inline constexpr std::string_view typeName<LeaseReply> = "lease_reply";
template <>
inline constexpr std::string_view typeName<CompleteReply> = "complete_reply";
template <>
inline constexpr std::string_view typeName<ClaimReply> = "claim_reply";
template <>
inline constexpr std::string_view typeName<FencingReply> = "fencing_reply";

std::string_view commandName(const Command &command)
{
    return std::visit(
        [](const auto &value) -> std::string_view {
            return typeName<std::decay_t<decltype(value)>>;
        },
        command);
}

std::string encodeCommand(const Command &command, const CommandOrigin &origin)
{
    Cbor envelope = variantEnvelope(command);
    if (origin.session != 0) {
        envelope.push_back({originField, toCbor(origin)});
    }
    return cborBytes(envelope);
}

Outcome<LoggedCommand> decodeLoggedCommand(std::string_view bytes)
{
    const Cbor envelope = parseCbor(bytes);
    auto command = decodeVariant(envelope, std::type_identity<Command>{});
    if (!command.ok()) {
        return command.error();
    }
    LoggedCommand logged{.command = std::move(command.value()), .origin = {}};
    const auto origin = envelope.find(originField);
    if (origin != envelope.end() && !fromCbor(*origin, logged.origin)) {
        return makeError(ResultCode::MalformedRequest, "a command whose origin is unreadable");
    }
    return logged;
}

Outcome<Command> decodeCommand(std::string_view bytes)
{
    return decodeVariant(parseCbor(bytes), std::type_identity<Command>{});
}

std::string encodeReply(const Reply &reply)
{
    return encodeVariant(reply);
}

Outcome<Reply> decodeReply(std::string_view bytes)
{
    return decodeVariant(parseCbor(bytes), std::type_identity<Reply>{});
}

} // namespace persimmonlb
