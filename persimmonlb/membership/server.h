#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

enum class ServerKind : std::uint8_t { Engine, Plain };
enum class ServerState : std::uint8_t { Ready, Leaving };

/// Load as a backend server reports it; late by up to a few announcements.
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    double kvFree = 1.0; ///< Free share of the KV cache, 0 to 1.

    bool operator==(const ServerLoad &) const = default;
};

/// What a backend server says of itself each second (POST /v1/announce).
struct ServerAnnouncement {
    ServerId server;
    std::string address; ///< "ip:port".
    AvailabilityZone availabilityZone;
    ServiceName service;
    ServerKind kind = ServerKind::Engine;
    ServerState state = ServerState::Ready;
    ModelName model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
    bool checksFencing = false;
    std::uint32_t slots = 0; ///< Requests it runs at once; 0 when it does not say.
    ServerLoad load;
    std::uint64_t incarnation = 0; ///< Higher at each start of the server.
    std::uint64_t sequence = 0; ///< Higher with each announcement of an incarnation.

    bool operator==(const ServerAnnouncement &) const = default;
};

/// Parses the JSON body of an announcement. Errors: MalformedRequest, naming the field.
Result<ServerAnnouncement> parseAnnouncement(std::string_view json);

/// The JSON that parseAnnouncement reads.
std::string formatAnnouncement(const ServerAnnouncement &announcement);

} // namespace persimmonlb
