#include "persimmonlb/daemon/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <set>

#include "persimmonlb/daemon/settingstext.h"

namespace persimmonlb
{

namespace
{

constexpr std::int64_t noLimit = 0;

constexpr auto table = std::to_array<SettingInfo>({
    {"host.id", SettingType::Text, "", noLimit, noLimit, "",
     "Name of this host. A host that lost its data folder gets a new one."},
    {"host.region", SettingType::Text, "", noLimit, noLimit, "", "Region of this host."},
    {"host.availability_zone", SettingType::Text, "", noLimit, noLimit, "",
     "Availability zone of this host."},
    {"host.roles", SettingType::TextList, "", noLimit, noLimit, "",
     "\"entry\", \"control\" or both."},
    {"host.data_folder", SettingType::Text, "", noLimit, noLimit, "none",
     "Folder for all durable files; needed for the role control."},
    {"entry.listen", SettingType::Text, "", noLimit, noLimit, "",
     "\"ip:port\" of the HTTP listener."},
    {"entry.advertise", SettingType::Text, "", noLimit, noLimit, "none",
     "\"ip:port\" that callers are given; entry.listen when not set."},
    {"entry.lapse_policy", SettingType::Text, "", noLimit, noLimit, "refuse",
     "\"refuse\" or \"serve\": what is done with new idempotent requests after the lease ran out."},
    {"entry.answer_ttl_ms", SettingType::Integer, "ms", 100, 600000, "5000",
     "How long callers may keep a directory answer."},
    {"entry.drain_linger_ms", SettingType::Integer, "ms", 0, 600000, "1000",
     "A planned stop goes on accepting for answer_ttl_ms and this long."},
    {"entry.max_body_bytes", SettingType::Integer, "bytes", 1024, 1073741824, "134217728",
     "Largest request body."},
    {"entry.max_header_bytes", SettingType::Integer, "bytes", 1024, 1048576, "16384",
     "Largest header section."},
    {"entry.max_connections", SettingType::Integer, "", 1, 1000000, "20000",
     "Connections served at once, at most three eighths of the descriptors that the process may "
     "have."},
    {"entry.caller_memory_mb", SettingType::Integer, "MB", 0, 1000000, "1024",
     "Memory for what callers send and do not read, at least four of entry.max_body_bytes; 0: no "
     "bound."},
    {"entry.header_timeout_ms", SettingType::Integer, "ms", 10, 600000, "10000",
     "Time to receive a header section."},
    {"entry.body_timeout_ms", SettingType::Integer, "ms", 10, 3600000, "60000",
     "Time to receive a body."},
    {"entry.idle_timeout_ms", SettingType::Integer, "ms", 10, 3600000, "60000",
     "Time between two requests of a connection."},
    {"entry.routing_policy", SettingType::Text, "", noLimit, noLimit, "affinity",
     "\"affinity\", \"least_in_flight\", \"round_robin\" or \"random\"."},
    {"mesh.listen", SettingType::Text, "", noLimit, noLimit, "",
     "\"ip:port\" of the listener for our own processes."},
    {"mesh.key_file", SettingType::Text, "", noLimit, noLimit, "",
     "File with the key that all our processes share; readable by its owner only."},
    {"keys.operator_key_file", SettingType::Text, "", noLimit, noLimit, "",
     "File with the operators' key; readable by its owner only."},
    {"keys.backend_key_file", SettingType::Text, "", noLimit, noLimit, "",
     "File with the backend servers' key; readable by its owner only."},
    {"control.lease_ms", SettingType::Integer, "ms", 500, 7000, "5000",
     "Lease of an entry host; the same on every control host."},
    {"control.snapshot_entries", SettingType::Integer, "", 100, 100000000, "100000",
     "Log entries after which the log is compacted."},
    {"batch.enabled", SettingType::Boolean, "", noLimit, noLimit, "true",
     "Whether this host sends batch items."},
    {"batch.yield", SettingType::Boolean, "", noLimit, noLimit, "true",
     "Whether running batch items yield to waiting online requests."},
    {"batch.max_in_flight_per_server", SettingType::Integer, "", 1, 10000, "256",
     "Most batch items in flight on one backend server."},
    {"log.level", SettingType::Text, "", noLimit, noLimit, "info",
     "\"debug\", \"info\", \"warning\" or \"error\"."},
});

std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return "a string";
    case SettingType::Integer:
        return "an integer";
    case SettingType::Boolean:
        return "true or false";
    case SettingType::TextList:
        break;
    }
    return "a list of strings";
}

std::string atLine(const toml::node &node, std::string_view key)
{
    return "line " + std::to_string(node.source().begin.line) + ": " + std::string(key) + ": ";
}

bool hasType(const toml::node &node, SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return node.is_string();
    case SettingType::Integer:
        return node.is_integer();
    case SettingType::Boolean:
        return node.is_boolean();
    case SettingType::TextList:
        break;
    }
    return node.is_array() && node.as_array()->is_homogeneous(toml::node_type::string);
}

const SettingInfo *findInfo(std::string_view key)
{
    const auto row = std::ranges::find(table, key, &SettingInfo::key);
    return row == table.end() ? nullptr : &*row;
}

Result<void> checkNode(const toml::node &node, const SettingInfo &info)
{
    if (!hasType(node, info.type)) {
        return fail(ResultCode::SettingsInvalid,
                    atLine(node, info.key) + "must be " + std::string(typeName(info.type)));
    }
    if (info.type != SettingType::Integer) {
        return {};
    }
    const std::int64_t number = node.as_integer()->get();
    if (number < info.least || number > info.most) {
        return fail(ResultCode::SettingsInvalid,
                    atLine(node, info.key) + "must be " + std::to_string(info.least) + " to "
                        + std::to_string(info.most));
    }
    return {};
}

/// Checks every key of the file against the table.
Result<void> checkTable(const toml::table &root)
{
    for (const auto &[sectionKey, sectionNode] : root) {
        const std::string section(sectionKey.str());
        const toml::table *keys = sectionNode.as_table();
        if (keys == nullptr) {
            return fail(ResultCode::SettingsInvalid, atLine(sectionNode, section) + "unknown key");
        }
        for (const auto &[name, node] : *keys) {
            const std::string key = section + "." + std::string(name.str());
            if (key == "mesh.peer") {
                continue;
            }
            const SettingInfo *info = findInfo(key);
            if (info == nullptr) {
                return fail(ResultCode::SettingsInvalid, atLine(node, key) + "unknown key");
            }
            BOOST_LEAF_CHECK(checkNode(node, *info));
        }
    }
    return {};
}

/// Reads checked values and falls back to the table's defaults.
class Reader
{
public:
    explicit Reader(const toml::table &root)
        : root_(root)
    {
    }

    [[nodiscard]] std::string text(std::string_view key) const
    {
        const auto value = root_.at_path(key).value<std::string>();
        return value ? *value : defaultOf(key);
    }

    [[nodiscard]] std::int64_t integer(std::string_view key) const
    {
        const auto value = root_.at_path(key).value<std::int64_t>();
        return value ? *value : std::stoll(defaultOf(key));
    }

    [[nodiscard]] Milliseconds duration(std::string_view key) const
    {
        return Milliseconds(integer(key));
    }

    [[nodiscard]] bool boolean(std::string_view key) const
    {
        const auto value = root_.at_path(key).value<bool>();
        return value ? *value : defaultOf(key) == "true";
    }

    Result<std::string> required(std::string_view key) const
    {
        std::string value = text(key);
        if (value.empty()) {
            return fail(ResultCode::SettingsInvalid, std::string(key) + ": missing");
        }
        return value;
    }

    Result<std::string> endpoint(std::string_view key) const
    {
        BOOST_LEAF_AUTO(value, required(key));
        if (!isEndpoint(value)) {
            return fail(ResultCode::SettingsInvalid, std::string(key) + ": must be \"ip:port\"");
        }
        return value;
    }

    /// One of `choices`, by position.
    Result<std::size_t> choice(std::string_view key,
                               std::span<const std::string_view> choices) const
    {
        const std::string value = text(key);
        const auto found = std::ranges::find(choices, value);
        if (found == choices.end()) {
            return fail(ResultCode::SettingsInvalid,
                        std::string(key) + ": unknown value \"" + value + "\"");
        }
        return static_cast<std::size_t>(found - choices.begin());
    }

private:
    static std::string defaultOf(std::string_view key)
    {
        const SettingInfo *info = findInfo(key);
        const bool none = info == nullptr || info->defaultText == "none";
        return none ? std::string() : std::string(info->defaultText);
    }

    const toml::table &root_;
};

Result<HostSettings> readHost(const Reader &reader, const toml::table &root)
{
    HostSettings host;
    BOOST_LEAF_ASSIGN(host.id.value, reader.required("host.id"));
    BOOST_LEAF_ASSIGN(host.region.value, reader.required("host.region"));
    BOOST_LEAF_ASSIGN(host.availabilityZone.value, reader.required("host.availability_zone"));
    host.dataFolder = reader.text("host.data_folder");
    const toml::array *roles = root.at_path("host.roles").as_array();
    if (roles == nullptr || roles->empty()) {
        return fail(ResultCode::SettingsInvalid, "host.roles: missing");
    }
    for (const toml::node &role : *roles) {
        const std::string name = role.value_or(std::string());
        if (name == "entry") {
            host.entry = true;
            continue;
        }
        if (name == "control") {
            host.control = true;
            continue;
        }
        return fail(ResultCode::SettingsInvalid, "host.roles: unknown role \"" + name + "\"");
    }
    if (host.control && host.dataFolder.empty()) {
        return fail(ResultCode::SettingsInvalid, "host.data_folder: missing for the role control");
    }
    return host;
}

/// A single request of the largest size is always within it: a body that grows takes up to twice
/// its size, and a handler has a copy to send on.
std::uint64_t readCallerMemory(std::uint64_t megabytes, std::uint64_t maxBodyBytes)
{
    constexpr std::uint64_t bytesPerMb = 1024ULL * 1024;
    constexpr std::uint64_t leastBodies = 4;
    return megabytes == 0 ? 0 : std::max(megabytes * bytesPerMb, leastBodies * maxBodyBytes);
}

Result<EntrySettings> readEntry(const Reader &reader)
{
    constexpr std::array<std::string_view, 2> lapsePolicies = {"refuse", "serve"};
    constexpr std::array<std::string_view, 4> routingPolicies
        = {"affinity", "least_in_flight", "round_robin", "random"};
    EntrySettings entry;
    BOOST_LEAF_ASSIGN(entry.listen, reader.endpoint("entry.listen"));
    entry.advertise = reader.text("entry.advertise");
    if (entry.advertise.empty()) {
        entry.advertise = entry.listen;
    }
    if (!isEndpoint(entry.advertise)) {
        return fail(ResultCode::SettingsInvalid, "entry.advertise: must be \"ip:port\"");
    }
    BOOST_LEAF_AUTO(lapse, reader.choice("entry.lapse_policy", lapsePolicies));
    entry.lapsePolicy = lapse == 0 ? LapsePolicy::Refuse : LapsePolicy::Serve;
    BOOST_LEAF_AUTO(policy, reader.choice("entry.routing_policy", routingPolicies));
    entry.routingPolicy = routingPolicies[policy];
    entry.answerTtl = reader.duration("entry.answer_ttl_ms");
    entry.drainLinger = reader.duration("entry.drain_linger_ms");
    entry.maxBodyBytes = static_cast<std::uint64_t>(reader.integer("entry.max_body_bytes"));
    entry.maxHeaderBytes = static_cast<std::uint32_t>(reader.integer("entry.max_header_bytes"));
    entry.maxConnections = static_cast<std::uint32_t>(reader.integer("entry.max_connections"));
    entry.callerMemoryBytes = readCallerMemory(
        static_cast<std::uint64_t>(reader.integer("entry.caller_memory_mb")), entry.maxBodyBytes);
    entry.headerTimeout = reader.duration("entry.header_timeout_ms");
    entry.bodyTimeout = reader.duration("entry.body_timeout_ms");
    entry.idleTimeout = reader.duration("entry.idle_timeout_ms");
    return entry;
}

Result<PeerSettings> readPeer(const toml::node &node)
{
    const toml::table *peer = node.as_table();
    if (peer == nullptr) {
        return fail(ResultCode::SettingsInvalid, "mesh.peer: must be [[mesh.peer]] tables");
    }
    for (const auto &[name, value] : *peer) {
        const std::string_view key = name.str();
        const bool text = (key == "host" || key == "address") && value.is_string();
        const bool flag = key == "control" && value.is_boolean();
        if (!text && !flag) {
            return fail(ResultCode::SettingsInvalid,
                        atLine(value, "mesh.peer." + std::string(key))
                            + "unknown key or wrong type");
        }
    }
    PeerSettings result{HostId{peer->at_path("host").value_or(std::string())},
                        peer->at_path("address").value_or(std::string()),
                        peer->at_path("control").value_or(false)};
    if (result.host.empty() || !isEndpoint(result.address)) {
        return fail(ResultCode::SettingsInvalid,
                    atLine(node, "mesh.peer") + "needs host and address \"ip:port\"");
    }
    return result;
}

Result<MeshSettings> readMesh(const Reader &reader, const toml::table &root)
{
    MeshSettings mesh;
    BOOST_LEAF_ASSIGN(mesh.listen, reader.endpoint("mesh.listen"));
    BOOST_LEAF_ASSIGN(mesh.keyFile, reader.required("mesh.key_file"));
    const toml::array *peers = root.at_path("mesh.peer").as_array();
    if (peers == nullptr) {
        return mesh;
    }
    std::set<HostId> seen;
    for (const toml::node &node : *peers) {
        BOOST_LEAF_AUTO(peer, readPeer(node));
        if (!seen.insert(peer.host).second) {
            return fail(ResultCode::SettingsInvalid,
                        atLine(node, "mesh.peer") + "host \"" + peer.host.value + "\" twice");
        }
        mesh.peers.push_back(peer);
    }
    return mesh;
}

Result<Settings> readSettings(const toml::table &root)
{
    constexpr std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
    BOOST_LEAF_CHECK(checkTable(root));
    const Reader reader(root);
    Settings settings;
    BOOST_LEAF_ASSIGN(settings.host, readHost(reader, root));
    BOOST_LEAF_ASSIGN(settings.entry, readEntry(reader));
    BOOST_LEAF_ASSIGN(settings.mesh, readMesh(reader, root));
    BOOST_LEAF_ASSIGN(settings.keys.operatorKeyFile, reader.required("keys.operator_key_file"));
    BOOST_LEAF_ASSIGN(settings.keys.backendKeyFile, reader.required("keys.backend_key_file"));
    settings.control.lease = reader.duration("control.lease_ms");
    settings.control.snapshotEntries
        = static_cast<std::uint64_t>(reader.integer("control.snapshot_entries"));
    settings.batch.enabled = reader.boolean("batch.enabled");
    settings.batch.yield = reader.boolean("batch.yield");
    settings.batch.maxInFlightPerServer
        = static_cast<std::uint32_t>(reader.integer("batch.max_in_flight_per_server"));
    BOOST_LEAF_AUTO(level, reader.choice("log.level", levels));
    settings.logLevel = static_cast<LogLevel>(level);
    return settings;
}

} // namespace

bool isEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint32_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return error == std::errc() && end == digits.data() + digits.size() && port <= 65535;
}

std::span<const SettingInfo> allSettings()
{
    return table;
}

Result<Settings> parseSettings(std::string_view text)
{
    return readSettingsText<Settings>(text, readSettings);
}

} // namespace persimmonlb
