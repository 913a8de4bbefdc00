#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonlb::internal
{

/// CRC-32C (Castagnoli) of `bytes`, continuing from the checksum of what lies before them. Eight
/// bytes at a time.
std::uint32_t crc32c(std::string_view bytes, std::uint32_t before = 0);

} // namespace persimmonlb::internal
