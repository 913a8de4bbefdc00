#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace persimmonlb
{

/// The keys of all customers, as HMACs under a random secret of the process, so that neither the
/// time of a look-up nor a memory dump of the table tells a key. A look-up costs one HMAC however
/// many keys there are. Thread-compatible.
class CustomerKeys
{
public:
    CustomerKeys() = default;

    /// Adds a key of the customer at this position. Returns false if another customer has it, or
    /// if it is empty.
    bool add(std::string_view key, std::size_t customer);
    /// Returns the position of the customer with this key, or nothing.
    [[nodiscard]] std::optional<std::size_t> find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const;

    bool operator==(const CustomerKeys &) const = default;

private:
    std::unordered_map<std::string, std::size_t> customerByHash_;
};

} // namespace persimmonlb
