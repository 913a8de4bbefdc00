#include "persimmonlb/base/cborcheck.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace persimmonlb
{

namespace
{

constexpr std::size_t maxDepth = 16;

enum class MajorType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

struct Header {
    MajorType type = MajorType::Unsigned;
    std::uint8_t information = 0;
    std::uint64_t argument = 0;
};

/// Reads one item header and advances `bytes` past it.
std::optional<Header> readHeader(std::string_view &bytes)
{
    constexpr std::uint8_t firstLongArgument = 24;
    constexpr std::uint8_t firstReserved = 28;
    if (bytes.empty()) {
        return std::nullopt;
    }
    const auto initial = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    Header header{.type = static_cast<MajorType>(initial >> 5U),
                  .information = static_cast<std::uint8_t>(initial & 31U)};
    if (header.information < firstLongArgument) {
        header.argument = header.information;
        return header;
    }
    if (header.information >= firstReserved) {
        return std::nullopt;
    }
    const std::size_t size = std::size_t{1} << (header.information - firstLongArgument);
    if (bytes.size() < size) {
        return std::nullopt;
    }
    for (const char byte : bytes.substr(0, size)) {
        header.argument = (header.argument << 8U) | static_cast<std::uint8_t>(byte);
    }
    bytes.remove_prefix(size);
    return header;
}

/// Number of items that follow a container's header, or nothing when it cannot fit in `left`.
std::optional<std::uint64_t> itemsInside(const Header &header, std::size_t left)
{
    const std::uint64_t perEntry = header.type == MajorType::Map ? 2 : 1;
    if (header.argument > left / perEntry) {
        return std::nullopt;
    }
    return header.argument * perEntry;
}

} // namespace

bool isBoundedCbor(std::string_view bytes)
{
    std::array<std::uint64_t, maxDepth> open{1};
    std::size_t depth = 1;
    while (depth > 0) {
        if (open[depth - 1] == 0) {
            --depth;
            continue;
        }
        --open[depth - 1];
        const auto header = readHeader(bytes);
        if (!header || header->type == MajorType::Tag) {
            return false;
        }
        if (header->type == MajorType::Bytes || header->type == MajorType::Text) {
            if (header->argument > bytes.size()) {
                return false;
            }
            bytes.remove_prefix(header->argument);
            continue;
        }
        if (header->type != MajorType::Array && header->type != MajorType::Map) {
            continue;
        }
        const auto inside = itemsInside(*header, bytes.size());
        if (!inside || depth == maxDepth) {
            return false;
        }
        open[depth] = *inside;
        ++depth;
    }
    return bytes.empty();
}

} // namespace persimmonlb
