#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/cborcheck.h"
#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

/// CBOR form of value structs, field by field. For .cpp files only: includes nlohmann json.
///
/// A struct becomes codable by one function template beside its users:
///
///   template <typename Visitor, Like<Owner> Value>
///   void visitFields(Visitor &visitor, Value &value)
///   {
///       visitor("host", value.host);
///       visitor("incarnation", value.incarnation);
///   }
///
/// encodeFields() writes a map with these names; decodeFields() reads it: unknown names are
/// ignored, missing ones keep their default, and a value of the wrong type or out of range is
/// refused. An enum type needs a specialisation of lastEnumerator.
namespace persimmonlb
{

using Cbor = nlohmann::ordered_json;

template <typename Type, typename Wanted>
concept Like = std::same_as<std::remove_const_t<Type>, Wanted>;

/// Highest enumerator of a contiguous enum that starts at 0.
template <typename Enum>
inline constexpr Enum lastEnumerator = Enum::undefined;

template <typename Value>
inline constexpr bool isVector = false;
template <typename Element>
inline constexpr bool isVector<std::vector<Element>> = true;
template <typename Value>
inline constexpr bool isStringId = false;
template <typename Tag>
inline constexpr bool isStringId<StringId<Tag>> = true;

template <typename Value>
Cbor toCbor(const Value &value);

/// Collects the fields of one struct in a map. Appends without a search for doubles: a field list
/// names each field once.
class FieldWriter
{
public:
    FieldWriter()
    {
        fields_.reserve(expectedFields);
    }

    template <typename Value>
    void operator()(const char *name, const Value &value)
    {
        fields_.emplace_back(name, toCbor(value));
    }

    Cbor take()
    {
        return Cbor(std::move(fields_));
    }

private:
    static constexpr std::size_t expectedFields = 8;

    Cbor::object_t fields_;
};

template <typename Value>
Cbor toCbor(const Value &value)
{
    if constexpr (std::is_same_v<Value, bool> || std::is_same_v<Value, std::string>) {
        return value;
    } else if constexpr (std::is_enum_v<Value> || std::unsigned_integral<Value>) {
        return static_cast<std::uint64_t>(value);
    } else if constexpr (std::is_same_v<Value, WallTime>) {
        return std::int64_t{value.time_since_epoch().count()};
    } else if constexpr (std::is_same_v<Value, Milliseconds>) {
        return std::int64_t{value.count()};
    } else if constexpr (isStringId<Value>) {
        return value.value;
    } else if constexpr (isVector<Value>) {
        Cbor::array_t array;
        array.reserve(value.size());
        for (const auto &element : value) {
            array.push_back(toCbor(element));
        }
        return Cbor(std::move(array));
    } else {
        FieldWriter writer;
        visitFields(writer, value);
        return writer.take();
    }
}

template <typename Value>
bool fromCbor(const Cbor &cbor, Value &value);

/// Reads the fields of one struct from a map.
class FieldReader
{
public:
    explicit FieldReader(const Cbor &object)
        : object_(object)
    {
    }

    template <typename Value>
    void operator()(const char *name, Value &value)
    {
        if (!wrongField_.empty()) {
            return;
        }
        const auto field = object_.find(name);
        if (field != object_.end() && !fromCbor(*field, value)) {
            wrongField_ = name;
        }
    }

    [[nodiscard]] bool ok() const
    {
        return wrongField_.empty();
    }

private:
    const Cbor &object_;
    std::string_view wrongField_;
};

template <typename Value>
bool integerFromCbor(const Cbor &cbor, std::uint64_t most, Value &value)
{
    if (!cbor.is_number_unsigned()) {
        return false;
    }
    const auto number = cbor.get<std::uint64_t>();
    value = static_cast<Value>(number);
    return number <= most;
}

template <typename Element>
bool vectorFromCbor(const Cbor &cbor, std::vector<Element> &elements)
{
    if (!cbor.is_array()) {
        return false;
    }
    elements.clear();
    for (const Cbor &entry : cbor) {
        if (!fromCbor(entry, elements.emplace_back())) {
            return false;
        }
    }
    return true;
}

template <typename Value>
bool fromCbor(const Cbor &cbor, Value &value)
{
    if constexpr (std::is_same_v<Value, bool>) {
        value = cbor.is_boolean() && cbor.get<bool>();
        return cbor.is_boolean();
    } else if constexpr (std::is_same_v<Value, std::string>) {
        const auto *text = cbor.get_ptr<const Cbor::string_t *>();
        if (text != nullptr) {
            value = *text;
        }
        return text != nullptr;
    } else if constexpr (std::is_same_v<Value, ResultCode>) {
        std::uint16_t number = 0;
        const bool isNumber
            = integerFromCbor(cbor, std::numeric_limits<std::uint16_t>::max(), number);
        value = resultCodeFromNumber(number).value_or(ResultCode::Internal);
        return isNumber;
    } else if constexpr (std::is_enum_v<Value>) {
        return integerFromCbor(cbor, static_cast<std::uint64_t>(lastEnumerator<Value>), value);
    } else if constexpr (std::unsigned_integral<Value>) {
        return integerFromCbor(cbor, std::numeric_limits<Value>::max(), value);
    } else if constexpr (std::is_same_v<Value, WallTime>) {
        if (cbor.is_number_integer()) {
            value = WallTime(Milliseconds(cbor.get<std::int64_t>()));
        }
        return cbor.is_number_integer();
    } else if constexpr (std::is_same_v<Value, Milliseconds>) {
        if (cbor.is_number_integer()) {
            value = Milliseconds(cbor.get<std::int64_t>());
        }
        return cbor.is_number_integer();
    } else if constexpr (isStringId<Value>) {
        return fromCbor(cbor, value.value);
    } else if constexpr (isVector<Value>) {
        return vectorFromCbor(cbor, value);
    } else {
        if (!cbor.is_object()) {
            return false;
        }
        FieldReader reader(cbor);
        visitFields(reader, value);
        return reader.ok();
    }
}

/// The bytes of a CBOR value.
inline std::string cborBytes(const Cbor &cbor)
{
    std::string bytes;
    Cbor::to_cbor(cbor, bytes);
    return bytes;
}

/// Parses bytes; a discarded value when they are not bounded CBOR. Never throws.
inline Cbor parseCbor(std::string_view bytes)
{
    constexpr bool strict = true;
    constexpr bool allowExceptions = false;
    if (!isBoundedCbor(bytes)) {
        return Cbor(Cbor::value_t::discarded);
    }
    try {
        return Cbor::from_cbor(bytes, strict, allowExceptions);
    } catch (const std::exception &) {
        return Cbor(Cbor::value_t::discarded);
    }
}

/// CBOR map of one struct.
template <typename Value>
std::string encodeFields(const Value &value)
{
    return cborBytes(toCbor(value));
}

/// Reads what encodeFields() wrote. Errors: MalformedRequest.
template <typename Value>
Outcome<Value> decodeFields(std::string_view bytes)
{
    Value value;
    if (!fromCbor(parseCbor(bytes), value)) {
        return makeError(ResultCode::MalformedRequest, "not a record of the expected kind");
    }
    return value;
}

} // namespace persimmonlb
