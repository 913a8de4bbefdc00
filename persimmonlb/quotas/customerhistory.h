#pragma once

#include <cstdint>
#include <vector>

#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// Requests of a customer that an entry host sent in each of the last seconds, the latest first.
struct CustomerHistory {
    CustomerName customer;
    std::vector<std::uint64_t> sentBySecond;

    bool operator==(const CustomerHistory &) const = default;
};

/// What an entry host tells a new leader of the quotas that its requests used.
struct SentHistory {
    bool isWhole = false; ///< The host was up for the whole window of the quotas.
    std::vector<CustomerHistory> customers = {};

    bool operator==(const SentHistory &) const = default;
};

} // namespace persimmonlb
