#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

enum class SettingType : std::uint8_t { Text, Integer, Boolean, TextList };

/// One key of the settings file (docs/SETTINGS.md).
struct SettingInfo {
    std::string_view key; ///< Dotted, as "entry.listen".
    SettingType type;
    std::string_view unit; ///< "ms", "bytes" or empty.
    std::int64_t least; ///< Of integers.
    std::int64_t most; ///< Of integers.
    std::string_view defaultText; ///< Empty: required, or no value.
    std::string_view meaning;
};

/// Every key but those of [[mesh.peer]], ordered as in docs/SETTINGS.md.
std::span<const SettingInfo> allSettings();

/// What an entry host does once its lease has run out.
enum class LapsePolicy : std::uint8_t {
    Refuse, ///< New requests are refused as not run.
    Serve, ///< Idempotent requests are still served with the last known sheet.
};

/// One [[mesh.peer]] table.
struct PeerSettings {
    HostId host;
    std::string address; ///< "ip:port" of the peer's mesh listener.
    bool control = false;

    bool operator==(const PeerSettings &) const = default;
};

struct HostSettings {
    HostId id;
    Region region;
    AvailabilityZone availabilityZone;
    bool entry = false;
    bool control = false;
    std::string dataFolder; ///< Control hosts only.

    bool operator==(const HostSettings &) const = default;
};

struct EntrySettings {
    std::string listen;
    std::string advertise; ///< Address that callers are given; `listen` when not set.
    LapsePolicy lapsePolicy = LapsePolicy::Refuse;
    Milliseconds answerTtl{0};
    Milliseconds drainLinger{0};
    std::uint64_t maxBodyBytes = 0;
    std::uint32_t maxHeaderBytes = 0;
    std::uint32_t maxConnections = 0;
    std::uint64_t callerMemoryBytes = 0; ///< 0: no bound.
    Milliseconds headerTimeout{0};
    Milliseconds bodyTimeout{0};
    Milliseconds idleTimeout{0};
    std::string routingPolicy;

    bool operator==(const EntrySettings &) const = default;
};

struct MeshSettings {
    std::string listen;
    std::string keyFile;
    std::vector<PeerSettings> peers;

    bool operator==(const MeshSettings &) const = default;
};

struct KeySettings {
    std::string operatorKeyFile;
    std::string backendKeyFile;

    bool operator==(const KeySettings &) const = default;
};

struct ControlSettings {
    Milliseconds lease{0};
    std::uint64_t snapshotEntries = 0;

    bool operator==(const ControlSettings &) const = default;
};

struct BatchSettings {
    bool enabled = true;
    bool yield = true;
    std::uint32_t maxInFlightPerServer = 0;

    bool operator==(const BatchSettings &) const = default;
};

/// Checked settings of one persimmonlbd. Immutable.
struct Settings {
    HostSettings host;
    EntrySettings entry;
    MeshSettings mesh;
    KeySettings keys;
    ControlSettings control;
    BatchSettings batch;
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const Settings &) const = default;
};

/// Parses and checks a settings file's text. Errors: SettingsInvalid, with line and key: unknown
/// key, wrong type, out of range, missing, or not an "ip:port".
Result<Settings> parseSettings(std::string_view text);

/// True for "ip:port".
bool isEndpoint(std::string_view text);

/// Reads the one line of a key file. Errors: SettingsInvalid when it cannot be read, is empty, or
/// others than its owner may read it.
Result<std::string> readKeyFile(const std::string &path);

} // namespace persimmonlb
