#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonlb::internal
{

struct CborValue;
struct CborMember;

using CborArray = std::vector<CborValue>;
using CborMap = std::vector<CborMember>;

/// One decoded CBOR item. Text and byte strings are not told apart.
struct CborValue {
    std::variant<std::monostate, bool, std::uint64_t, std::int64_t, double, std::string, CborArray,
                 CborMap>
        data;
};

/// One name of a map with its value.
struct CborMember {
    std::string name;
    CborValue value;
};

/// Parses one item that fills `bytes`. Nothing when it is broken, tagged, or nested deeper than
/// maxCborDepth. Never throws. Each item takes about 40 bytes of memory, however small it is.
std::optional<CborValue> parseCbor(std::string_view bytes);

constexpr std::size_t maxCborDepth = 8;

} // namespace persimmonlb::internal
