#include "persimmonlb/customers/customerkeys.h"

#include <array>

#include <openssl/rand.h>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

std::string makeSecret()
{
    constexpr std::size_t secretBytes = 32;
    std::array<unsigned char, secretBytes> bytes{};
    // Without random bytes the hashes are still one-way, only not secret.
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string hashOf(std::string_view key)
{
    static const std::string secret = makeSecret();
    return hmacSha256Hex(secret, key);
}

} // namespace

bool CustomerKeys::add(std::string_view key, std::size_t customer)
{
    if (key.empty()) {
        return false;
    }
    const auto [entry, isNew] = customerByHash_.try_emplace(hashOf(key), customer);
    return isNew || entry->second == customer;
}

std::optional<std::size_t> CustomerKeys::find(std::string_view key) const
{
    const auto found = customerByHash_.find(hashOf(key));
    return found == customerByHash_.end() ? std::nullopt : std::optional(found->second);
}

std::size_t CustomerKeys::size() const
{
    return customerByHash_.size();
}

} // namespace persimmonlb
