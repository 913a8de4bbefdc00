#include "persimmonlb/fleetnode/fleetsettings.h"

#include <algorithm>
#include <array>
#include <optional>

#include "persimmonlb/daemon/settings.h"
#include "persimmonlb/daemon/settingstext.h"

namespace persimmonlb
{

namespace
{

/// Looks values up by their dotted key; the first that is missing or wrong is the error.
class Reader
{
public:
    explicit Reader(const toml::table &root)
        : root_(root)
    {
    }

    std::string text(std::string_view key)
    {
        const auto value = root_.at_path(key).value_exact<std::string>();
        if (!value || value->empty()) {
            complain(key, "missing");
            return {};
        }
        return *value;
    }
    std::string endpoint(std::string_view key, bool required)
    {
        std::string value = root_.at_path(key).value_or(std::string());
        if (value.empty() && !required) {
            return {};
        }
        if (!isEndpoint(value)) {
            complain(key, "must be \"ip:port\"");
        }
        return value;
    }
    Milliseconds duration(std::string_view key)
    {
        const auto value = root_.at_path(key).value_exact<std::int64_t>();
        if (!value || *value <= 0) {
            complain(key, "must be a number of milliseconds above 0");
            return Milliseconds(0);
        }
        return Milliseconds(*value);
    }
    Milliseconds seconds(std::string_view key)
    {
        const auto value = root_.at_path(key).value<double>();
        if (!value || !(*value > 0)) {
            complain(key, "must be a number of seconds above 0");
            return Milliseconds(0);
        }
        constexpr double millisecondsPerSecond = 1000;
        return Milliseconds(static_cast<std::int64_t>(*value * millisecondsPerSecond));
    }
    /// A number from 0 to `most`, or `otherwise` if the key is missing.
    double amountOr(std::string_view key, double otherwise, double most)
    {
        const auto node = root_.at_path(key);
        if (!node) {
            return otherwise;
        }
        const auto value = node.value<double>();
        if (!value || !(*value >= 0 && *value <= most)) {
            complain(key, "must be a number from 0 to " + std::to_string(most));
            return otherwise;
        }
        return *value;
    }
    std::uint16_t port(std::string_view key)
    {
        constexpr std::int64_t mostPort = 65535;
        const auto value = root_.at_path(key).value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > mostPort) {
            complain(key, "must be a port");
            return 0;
        }
        return static_cast<std::uint16_t>(*value);
    }
    std::uint32_t count(std::string_view key)
    {
        constexpr std::int64_t most = 10;
        const auto value = root_.at_path(key).value_exact<std::int64_t>();
        if (!value || *value < 0 || *value > most) {
            complain(key, "must be a number from 0 to 10");
            return 0;
        }
        return static_cast<std::uint32_t>(*value);
    }
    bool flag(std::string_view key)
    {
        const auto value = root_.at_path(key).value_exact<bool>();
        if (!value) {
            complain(key, "must be true or false");
        }
        return value.value_or(false);
    }
    std::vector<std::string> endpoints(std::string_view key)
    {
        std::vector<std::string> values;
        const toml::array *array = root_.at_path(key).as_array();
        if (array == nullptr) {
            complain(key, "must be a list");
            return values;
        }
        for (const toml::node &node : *array) {
            values.push_back(node.value_or(std::string()));
            if (!isEndpoint(values.back())) {
                complain(key, "must hold \"ip:port\" only");
            }
        }
        return values;
    }
    void complain(std::string_view key, std::string_view what)
    {
        if (complaint_.empty()) {
            complaint_ = std::string(key) + ": " + std::string(what);
        }
    }
    [[nodiscard]] const std::string &complaint() const
    {
        return complaint_;
    }

private:
    const toml::table &root_;
    std::string complaint_;
};

CustomerSettings readCustomers(const toml::table &table, Reader &reader)
{
    constexpr double maxMs = 1e7;
    constexpr double maxSeconds = 1e4;
    constexpr double maxRequests = 1e9;
    constexpr double msPerSecond = 1000;
    const auto milliseconds = [](double amount) {
        return Milliseconds(static_cast<std::int64_t>(amount));
    };
    CustomerSettings customers;
    customers.failClosed
        = table.at_path("customers.fail_closed") && reader.flag("customers.fail_closed");
    customers.revokeTimeout = milliseconds(reader.amountOr(
        "customers.revoke_ms", static_cast<double>(customers.revokeTimeout.count()), maxMs));
    QuotaTolerance &quotas = customers.quotas;
    quotas.window = milliseconds(
        msPerSecond
        * reader.amountOr("customers.quota_window_s",
                          static_cast<double>(quotas.window.count()) / msPerSecond, maxSeconds));
    quotas.overshoot = reader.amountOr("customers.quota_overshoot", quotas.overshoot, 1);
    quotas.slack = reader.amountOr("customers.quota_slack", quotas.slack, maxRequests);
    return customers;
}

std::uint64_t readCallerMemory(Reader &reader, std::uint64_t otherwise)
{
    constexpr double bytesPerMb = 1024.0 * 1024;
    constexpr double maxMb = 1e6;
    return static_cast<std::uint64_t>(bytesPerMb
                                      * reader.amountOr("limits.caller_memory_mb",
                                                        static_cast<double>(otherwise) / bytesPerMb,
                                                        maxMb));
}

std::string hostPart(const std::string &endpoint)
{
    return endpoint.substr(0, endpoint.rfind(':'));
}

Result<FleetSettings> readSettings(const toml::table &table)
{
    Reader reader(table);
    constexpr double maxDescriptors = 1e9;
    constexpr std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
    FleetSettings settings;
    settings.host.value = reader.text("host.ip");
    settings.name = reader.text("host.name");
    settings.region.value = reader.text("host.region");
    settings.availabilityZone.value = reader.text("host.availability_zone");
    settings.takesCallers = reader.flag("host.takes_callers");
    settings.stores = reader.flag("host.stores");
    if (settings.stores) {
        settings.dataFolder = reader.text("host.data_folder");
    }
    settings.callerListen = reader.endpoint("listen.callers", settings.takesCallers);
    settings.directoryListen = reader.endpoint("listen.directory", false);
    settings.readinessListen = reader.endpoint("listen.readiness", false);
    settings.controlListen = reader.endpoint("listen.control", settings.stores);
    settings.metricsListen = reader.endpoint("listen.metrics", false);
    settings.meshPort = reader.port("mesh.port");
    settings.meshListen = settings.host.value + ":" + std::to_string(settings.meshPort);
    settings.meshKey = reader.text("mesh.key");
    settings.seeds = reader.endpoints("fleet.seeds");
    settings.mayForm = reader.flag("fleet.may_form");
    settings.lossesBorne = reader.count("fleet.losses_borne");
    settings.answerTtl = reader.duration("fleet.answer_ttl_ms");
    settings.stopGrace = reader.seconds("fleet.stop_grace_s");
    settings.resultsKept = reader.seconds("fleet.results_kept_s");
    settings.customers = readCustomers(table, reader);
    settings.callerMemoryBytes = readCallerMemory(reader, settings.callerMemoryBytes);
    if (table.at_path("host.descriptors")) {
        settings.descriptors = static_cast<std::uint32_t>(
            reader.amountOr("host.descriptors", settings.descriptors, maxDescriptors));
    }
    settings.learnsServerSpeeds
        = table.at_path("scheduling.learned_costs") && reader.flag("scheduling.learned_costs");
    const std::string level = reader.text("log.level");
    const auto found = std::ranges::find(levels, level);
    if (found == levels.end()) {
        reader.complain("log.level", "unknown value");
    } else {
        settings.logLevel = static_cast<LogLevel>(found - levels.begin());
    }
    if (!settings.takesCallers && !settings.stores) {
        reader.complain("host", "neither takes callers nor stores");
    }
    if (!reader.complaint().empty()) {
        return fail(ResultCode::SettingsInvalid, reader.complaint());
    }
    return settings;
}

} // namespace

Result<FleetSettings> parseFleetSettings(std::string_view text)
{
    return readSettingsText<FleetSettings>(text, readSettings);
}

std::vector<HostId> seedHosts(const FleetSettings &settings)
{
    std::vector<HostId> hosts;
    for (const std::string &seed : settings.seeds) {
        hosts.push_back(HostId{hostPart(seed)});
    }
    std::ranges::sort(hosts);
    return hosts;
}

} // namespace persimmonlb
