#include "persimmonlb/base/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace persimmonlb
{

namespace
{

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

/// Finalizer that spreads every input bit over the whole word.
std::uint64_t spreadBits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

std::string hmacSha256Hex(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stableHash(std::string_view bytes)
{
    std::uint64_t hash = fnvOffset;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnvPrime;
    }
    return spreadBits(hash);
}

std::uint64_t combineHash(std::uint64_t left, std::uint64_t right)
{
    return spreadBits(left ^ (spreadBits(right) + 0x9e3779b97f4a7c15ULL));
}

} // namespace persimmonlb
