#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct DirectoryOptions {
    Milliseconds ttl{30000}; ///< Longest time an answer may be kept.
    double ttlJitter = 0.2; ///< Answers of different callers are shortened by up to this share.
};

/// Who asks which entry hosts to use.
struct DirectoryQuery {
    AvailabilityZone availabilityZone; ///< Empty: not known.
    Region region; ///< Empty: not known.
    std::string caller; ///< Name or address; spreads callers over equal hosts.

    bool operator==(const DirectoryQuery &) const = default;
};

struct DirectoryAnswer {
    std::vector<EntryHostInfo> hosts; ///< Nearest first.
    Milliseconds ttl{0};

    bool operator==(const DirectoryAnswer &) const = default;
};

/// Answers GET /v1/entry-hosts: hosts that are not draining, those of the caller's availability
/// zone first, then of its region, then the others; equal ones rotated by the caller.
DirectoryAnswer answerDirectory(std::span<const EntryHostInfo> hosts, const DirectoryQuery &query,
                                const DirectoryOptions &options);

/// The JSON body of GET /v1/entry-hosts.
std::string formatDirectoryAnswer(const DirectoryAnswer &answer);

/// The two entry hosts, of different availability zones where possible, that a backend server
/// should announce to; the same on every host with the same list.
std::vector<EntryHostInfo> announceTargets(std::span<const EntryHostInfo> hosts,
                                           const ServerId &server);

/// The host that wins `key` by rendezvous hash; empty when there is none. Hosts that see the same
/// list name the same winner, and a host that leaves moves only the keys it had won.
HostId rendezvousHost(std::string_view key, std::span<const HostId> hosts);

} // namespace persimmonlb
