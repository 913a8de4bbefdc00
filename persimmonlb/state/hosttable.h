#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// A registered entry host.
struct HostRecord {
    Owner owner; ///< Its latest incarnation.
    std::string address;
    AvailabilityZone availabilityZone;
    Region region;
    bool draining = false;

    bool operator==(const HostRecord &) const = default;
};

/// Entry hosts by their latest incarnation, and their drain marks. A new incarnation takes the mark
/// away: a drained host was stopped, and its restart serves again. Deterministic; not thread-safe.
class HostTable
{
public:
    explicit HostTable(StateStore store);

    /// NotInForce for an incarnation below the registered one.
    PlainReply registerHost(const RegisterHost &command, MutationList &changes);
    /// Returns true when the mark changed.
    bool drain(const DrainHost &command, MutationList &changes);

    /// False for an owner whose host has registered a later incarnation.
    [[nodiscard]] bool isCurrent(const Owner &owner) const;
    /// The latest incarnation of a host, or nothing.
    [[nodiscard]] std::optional<Owner> current(const HostId &host) const;
    [[nodiscard]] std::vector<HostId> draining() const;
    [[nodiscard]] const std::map<HostId, HostRecord> &hosts() const;

    /// Errors: CorruptStore.
    Result<void> reload();

private:
    void write(const HostRecord &record, MutationList &changes) const;

    StateStore store_;
    std::map<HostId, HostRecord> hosts_;
};

} // namespace persimmonlb
