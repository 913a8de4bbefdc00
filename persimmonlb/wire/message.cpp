#include "persimmonlb/wire/message.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "persimmonlb/wire/internal/cborvalue.h"
#include "persimmonlb/wire/internal/fieldreader.h"
#include "persimmonlb/wire/internal/fieldwriter.h"

namespace persimmonlb
{

namespace
{

using internal::CborMap;
using internal::CborValue;
using internal::FieldReader;
using internal::FieldWriter;

/// Fields of every message: group, kind of body (its place in PeerBody) and body.
constexpr const char *groupField = "g";
constexpr const char *kindField = "m";
constexpr const char *bodyField = "b";
constexpr const char *fromField = "f";
constexpr const char *toField = "t";

Error malformed(std::string message)
{
    return makeError(ResultCode::MalformedRequest, std::move(message));
}

template <typename Body>
Outcome<PeerBody> decodeBody(CborValue &value)
{
    Body body;
    FieldReader reader(value);
    internal::describeFields(reader, body);
    if (reader.failed()) {
        return malformed("peer message: wrong field " + reader.failedField());
    }
    return PeerBody(std::move(body));
}

using BodyDecoder = Outcome<PeerBody> (*)(CborValue &);

template <std::size_t... kinds>
constexpr auto makeDecoders(std::index_sequence<kinds...>)
{
    return std::array<BodyDecoder, sizeof...(kinds)>{
        &decodeBody<std::variant_alternative_t<kinds, PeerBody>>...};
}

constexpr auto decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<PeerBody>>());

CborValue *find(CborMap &map, std::string_view name)
{
    for (auto &[key, value] : map) {
        if (key == name) {
            return &value;
        }
    }
    return nullptr;
}

std::optional<std::uint64_t> findNumber(CborMap &map, std::string_view name)
{
    const CborValue *value = find(map, name);
    const auto *number = value != nullptr ? std::get_if<std::uint64_t>(&value->data) : nullptr;
    return number != nullptr ? std::optional(*number) : std::nullopt;
}

/// Empty when there is no such text.
std::string findText(CborMap &map, std::string_view name)
{
    const CborValue *value = find(map, name);
    const auto *text = value != nullptr ? std::get_if<std::string>(&value->data) : nullptr;
    return text != nullptr ? *text : std::string();
}

} // namespace

std::string_view peerBodyName(const PeerBody &body)
{
    static constexpr std::array<std::string_view, std::variant_size_v<PeerBody>> names{
        "vote_request",   "vote_reply",      "append_request", "append_reply",   "snapshot_chunk",
        "snapshot_reply", "propose_request", "query_request",  "control_reply",  "lease_request",
        "lease_grant",    "server_digest",   "yield_request",  "fleet_view",     "host_report",
        "routes_push",    "server_notice",   "notice_reply",   "member_removed", "slot_request",
        "slot_grant",     "slot_refusal",    "slot_end",       "slots_held",     "leader_beat",
        "run_verdict",    "crash_suspects",  "fleet_change",   "attached_hosts", "server_leaving",
        "server_limit"};
    return names.at(body.index());
}

std::string encodeMessage(const PeerMessage &message)
{
    nlohmann::json root = nlohmann::json::object();
    root[groupField] = message.group;
    root[kindField] = message.body.index();
    root[bodyField] = std::visit(
        [](const auto &body) {
            FieldWriter writer;
            internal::describeFields(writer, body);
            return writer.take();
        },
        message.body);
    if (!message.fromMember.empty()) {
        root[fromField] = message.fromMember.value;
    }
    if (!message.toMember.empty()) {
        root[toField] = message.toMember.value;
    }
    std::string bytes;
    nlohmann::json::to_cbor(root, bytes);
    return bytes;
}

Outcome<PeerMessage> decodeMessage(std::string_view bytes)
{
    std::optional<CborValue> root = internal::parseCbor(bytes);
    auto *map = root ? std::get_if<CborMap>(&root->data) : nullptr;
    if (map == nullptr) {
        return malformed("peer message: not a CBOR map");
    }
    const std::optional<std::uint64_t> group = findNumber(*map, groupField);
    const std::optional<std::uint64_t> kind = findNumber(*map, kindField);
    CborValue *body = find(*map, bodyField);
    if (!group || *group > std::numeric_limits<GroupId>::max()) {
        return malformed("peer message: wrong group");
    }
    if (!kind || *kind >= decoders.size() || body == nullptr
        || !std::holds_alternative<CborMap>(body->data)) {
        return malformed("peer message: unknown kind or no body");
    }
    Outcome<PeerBody> decoded = decoders.at(*kind)(*body);
    if (!decoded.ok()) {
        return decoded.error();
    }
    return PeerMessage{static_cast<GroupId>(*group), std::move(decoded.value()),
                       HostId{findText(*map, fromField)}, HostId{findText(*map, toField)}};
}

} // namespace persimmonlb
