#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace persimmonlb
{

/// A name that cannot be mixed up with a name of another kind.
template <typename Tag>
struct StringId {
    std::string value;

    [[nodiscard]] bool empty() const
    {
        return value.empty();
    }
    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    friend auto operator<=>(const StringId &, const StringId &) = default;
};

/// A host that runs persimmonlbd. A host that lost its disk gets a new one.
using HostId = StringId<struct HostIdTag>;
/// A backend server, by the name it announces.
using ServerId = StringId<struct ServerIdTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using ModelName = StringId<struct ModelNameTag>;
using CallerName = StringId<struct CallerNameTag>;
/// A customer whose callers authenticate with the keys that the routes list for it.
using CustomerName = StringId<struct CustomerNameTag>;
using OperatorName = StringId<struct OperatorNameTag>;
using JobId = StringId<struct JobIdTag>;
using AvailabilityZone = StringId<struct AvailabilityZoneTag>;
using Region = StringId<struct RegionTag>;

/// Number of one start of a process; a later start has a higher one.
using Incarnation = std::uint64_t;

} // namespace persimmonlb

template <typename Tag>
struct std::hash<persimmonlb::StringId<Tag>> {
    std::size_t operator()(const persimmonlb::StringId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
