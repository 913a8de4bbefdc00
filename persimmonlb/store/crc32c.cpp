#include "persimmonlb/store/internal/crc32c.h"

#include <array>
#include <cstddef>

namespace persimmonlb::internal
{

namespace
{

constexpr std::uint32_t reflectedPolynomial = 0x82F63B78;
constexpr std::size_t byteValues = 256;
constexpr std::size_t wordBytes = 8;
constexpr unsigned byteBits = 8;
constexpr std::uint32_t byteMask = 0xff;

using Table = std::array<std::uint32_t, byteValues>;
using Tables = std::array<Table, wordBytes>;

/// Table n gives the checksum of a byte that is followed by n zero bytes.
constexpr Tables makeTables()
{
    Tables tables{};
    for (std::uint32_t value = 0; value < byteValues; ++value) {
        std::uint32_t crc = value;
        for (unsigned bit = 0; bit < byteBits; ++bit) {
            crc = (crc & 1U) != 0 ? (crc >> 1U) ^ reflectedPolynomial : crc >> 1U;
        }
        tables[0][value] = crc;
    }
    for (std::size_t number = 1; number < wordBytes; ++number) {
        for (std::size_t value = 0; value < byteValues; ++value) {
            const std::uint32_t crc = tables[number - 1][value];
            tables[number][value] = (crc >> byteBits) ^ tables[0][crc & byteMask];
        }
    }
    return tables;
}

constexpr Tables tables = makeTables();

std::uint32_t byteAt(std::string_view bytes, std::size_t position)
{
    return static_cast<unsigned char>(bytes[position]);
}

/// The first four bytes of `bytes`, little-endian.
std::uint32_t firstWord(std::string_view bytes)
{
    return byteAt(bytes, 0) | byteAt(bytes, 1) << 8U | byteAt(bytes, 2) << 16U
        | byteAt(bytes, 3) << 24U;
}

} // namespace

std::uint32_t crc32c(std::string_view bytes, std::uint32_t before)
{
    std::uint32_t crc = ~before;
    while (bytes.size() >= wordBytes) {
        const std::uint32_t low = firstWord(bytes) ^ crc;
        crc = tables[7][low & byteMask] ^ tables[6][(low >> 8U) & byteMask]
            ^ tables[5][(low >> 16U) & byteMask] ^ tables[4][low >> 24U]
            ^ tables[3][byteAt(bytes, 4)] ^ tables[2][byteAt(bytes, 5)]
            ^ tables[1][byteAt(bytes, 6)] ^ tables[0][byteAt(bytes, 7)];
        bytes.remove_prefix(wordBytes);
    }
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        crc = (crc >> byteBits) ^ tables[0][(crc ^ byteAt(bytes, position)) & byteMask];
    }
    return ~crc;
}

} // namespace persimmonlb::internal
