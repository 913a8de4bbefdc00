#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonlb
{

/// SHA-256 of `bytes` as 64 lower-case hexadecimal digits. Thread-safe.
std::string sha256Hex(std::string_view bytes);

/// HMAC-SHA-256 as 64 lower-case hexadecimal digits. Thread-safe.
std::string hmacSha256Hex(std::string_view key, std::string_view bytes);

/// True when both are equal; takes the same time wherever they differ (not for unequal lengths).
bool equalInConstantTime(std::string_view left, std::string_view right);

/// A 64-bit hash that is the same on every host and in every release. Not for secrets.
std::uint64_t stableHash(std::string_view bytes);

/// Mixes a second value into a hash, for rendezvous hashing.
std::uint64_t combineHash(std::uint64_t left, std::uint64_t right);

} // namespace persimmonlb
