#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// One member of a group. A host is this member only with the disk that the group knows.
struct Member {
    HostId host;
    std::uint64_t disk = 0; ///< LogStore::diskId of the host when it was added.
    bool voter = false;

    bool operator==(const Member &) const = default;
};

/// A replacement that is under way; any leader carries it on.
struct Replacement {
    HostId lost;
    HostId fresh;

    bool operator==(const Replacement &) const = default;
};

/// The member list, as an entry of the log. Immutable: changes make a new one.
struct Configuration {
    std::vector<Member> members; ///< Ordered by host.
    std::optional<Replacement> replacement;

    [[nodiscard]] const Member *find(const HostId &host) const;
    [[nodiscard]] bool isVoter(const HostId &host) const;
    [[nodiscard]] std::size_t voterCount() const;
    /// Number of voters that make a majority.
    [[nodiscard]] std::size_t quorum() const;

    /// The same list with `member` added or replaced.
    [[nodiscard]] Configuration with(Member member) const;
    /// The same list without `host`.
    [[nodiscard]] Configuration without(const HostId &host) const;

    bool operator==(const Configuration &) const = default;
};

/// The highest value that a majority of the voters has reached, where `valueOf` gives the value of
/// one voter; the type's default without voters.
template <typename Value, typename ValueOf>
Value quorumValue(const Configuration &configuration, const ValueOf &valueOf)
{
    std::vector<Value> values;
    for (const Member &member : configuration.members) {
        if (!member.voter) {
            continue;
        }
        values.push_back(valueOf(member.host));
    }
    if (values.empty()) {
        return Value{};
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end(), std::greater<>());
    return *middle;
}

std::string encodeConfiguration(const Configuration &configuration);
/// Errors: CorruptStore.
Result<Configuration> decodeConfiguration(std::string_view bytes);

} // namespace persimmonlb
