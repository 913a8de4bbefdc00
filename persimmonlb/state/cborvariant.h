#pragma once

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "persimmonlb/state/cborfields.h"

/// CBOR form of a variant of structs: {"type": NAME, "body": {...}}. For .cpp files only. Every
/// alternative needs a specialisation of typeName.
namespace persimmonlb
{

/// Name of a struct on the wire. Stable across releases.
template <typename Struct>
inline constexpr std::string_view typeName = Struct::undefined;

template <typename... Alternatives>
Cbor variantEnvelope(const std::variant<Alternatives...> &variant)
{
    return std::visit(
        [](const auto &value) {
            using Value = std::decay_t<decltype(value)>;
            Cbor envelope = Cbor::object();
            envelope.push_back({"type", std::string(typeName<Value>)});
            envelope.push_back({"body", toCbor(value)});
            return envelope;
        },
        variant);
}

template <typename... Alternatives>
std::string encodeVariant(const std::variant<Alternatives...> &variant)
{
    return cborBytes(variantEnvelope(variant));
}

/// Reads `body` as `Alternative` when `type` names it; false leaves `variant` unchanged.
template <typename Alternative, typename Variant>
bool decodeAlternative(std::string_view type, const Cbor &body, Variant &variant)
{
    if (type != typeName<Alternative>) {
        return false;
    }
    Alternative value;
    if (!fromCbor(body, value)) {
        return false;
    }
    variant = std::move(value);
    return true;
}

/// Reads what variantEnvelope() gave. Errors: MalformedRequest. Never throws.
template <typename... Alternatives>
Outcome<std::variant<Alternatives...>>
decodeVariant(const Cbor &envelope, std::type_identity<std::variant<Alternatives...>> /*type*/)
{
    const Error malformed
        = makeError(ResultCode::MalformedRequest, "not a message of a known type");
    if (!envelope.is_object()) {
        return malformed;
    }
    const auto type = envelope.find("type");
    const auto body = envelope.find("body");
    if (type == envelope.end() || !type->is_string() || body == envelope.end()) {
        return malformed;
    }
    std::variant<Alternatives...> variant;
    const auto &name = type->template get_ref<const std::string &>();
    if (!(decodeAlternative<Alternatives>(name, *body, variant) || ...)) {
        return malformed;
    }
    return variant;
}

} // namespace persimmonlb
