#include <set>
#include <string>
#include <utility>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/base/toml.h"
#include "persimmonlb/sheet/internal/tablereader.h"
#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

namespace
{

using internal::TableReader;

constexpr std::size_t maxSheetBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t maxSheetNumber = 999'999'999'999'999;
constexpr std::uint64_t maxServers = 100'000;
constexpr std::uint64_t maxAttempts = 100;
constexpr std::uint64_t maxDeadlineMs = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t maxWeight = 1000;
constexpr double maxRequestsPerSecond = 1e6;
constexpr std::uint64_t maxBurst = 1'000'000;

Result<SheetService> readService(const toml::table &table)
{
    TableReader reader(table, "service");
    SheetService service;
    service.name = {reader.name("name")};
    service.kind = reader.choice("kind", {"engine", "plain"}, "") == "plain" ? ServiceKind::Plain
                                                                             : ServiceKind::Engine;
    service.model = {reader.optionalName("model")};
    service.minReady
        = static_cast<std::uint32_t>(reader.integer("min_ready", service.minReady, 0, maxServers));
    service.maxBatchAttempts = static_cast<std::uint32_t>(
        reader.integer("max_batch_attempts", service.maxBatchAttempts, 1, maxAttempts));
    service.batchPreset
        = reader.choice("batch_preset", {"latency", "throughput"}, "latency") == "throughput"
        ? BatchPreset::Throughput
        : BatchPreset::Latency;
    service.deadline = Milliseconds(reader.integer(
        "deadline_ms", static_cast<std::uint64_t>(service.deadline.count()), 1, maxDeadlineMs));
    if (service.kind == ServiceKind::Engine && service.model.empty()) {
        reader.refuse("model", "is missing; a service of kind engine needs one");
    }
    if (service.kind == ServiceKind::Plain && !service.model.empty()) {
        reader.refuse("model", "a service of kind plain has none");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return service;
}

Result<SheetModel> readModel(const toml::table &table)
{
    TableReader reader(table, "model");
    SheetModel model;
    model.name = {reader.name("name")};
    model.version = reader.name("version");
    model.adapters = reader.names("adapters");
    BOOST_LEAF_CHECK(reader.finish());
    return model;
}

Result<SheetRole> readRole(const toml::table &table)
{
    TableReader reader(table, "role");
    SheetRole role;
    role.server = {reader.name("server")};
    role.service = {reader.name("service")};
    role.role = reader.choice("role", {"serve", "prefill", "decode"}, "serve");
    BOOST_LEAF_CHECK(reader.finish());
    return role;
}

Result<SheetQuota> readQuota(const toml::table &table)
{
    TableReader reader(table, "quota");
    SheetQuota quota;
    quota.caller = {reader.name("caller")};
    quota.keyDigest = reader.sha256("key_digest");
    quota.requestsPerSecond = reader.number("requests_per_second", maxRequestsPerSecond);
    quota.burst = static_cast<std::uint32_t>(reader.integer("burst", std::nullopt, 1, maxBurst));
    quota.weight = static_cast<std::uint32_t>(reader.integer("weight", quota.weight, 1, maxWeight));
    BOOST_LEAF_CHECK(reader.finish());
    return quota;
}

std::string lineOf(const toml::table &table)
{
    return "line " + std::to_string(table.source().begin.line) + ": ";
}

/// Reads every table of one kind; refuses a name that stands twice.
template <typename Row, typename Read, typename Name>
Result<std::vector<Row>> readRows(const std::vector<const toml::table *> &tables,
                                  const std::string &kind, Read read, Name name)
{
    std::vector<Row> rows;
    std::set<std::string> names;
    for (const toml::table *table : tables) {
        BOOST_LEAF_AUTO(row, read(*table));
        if (!names.insert(name(row)).second) {
            return fail(ResultCode::SheetMalformed,
                        lineOf(*table) + kind + ": " + name(row) + " stands twice");
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Refuses services that name no model and roles that name no service.
Result<void> checkReferences(const Sheet &sheet,
                             const std::vector<const toml::table *> &serviceTables,
                             const std::vector<const toml::table *> &roleTables)
{
    for (std::size_t i = 0; i < sheet.services.size(); ++i) {
        const SheetService &service = sheet.services[i];
        if (service.kind == ServiceKind::Engine && sheet.findModel(service.model) == nullptr) {
            return fail(ResultCode::SheetMalformed,
                        lineOf(*serviceTables[i]) + "service.model: no [[model]] is named "
                            + service.model.value);
        }
    }
    for (std::size_t i = 0; i < sheet.roles.size(); ++i) {
        if (sheet.findService(sheet.roles[i].service) == nullptr) {
            return fail(ResultCode::SheetMalformed,
                        lineOf(*roleTables[i]) + "role.service: no [[service]] is named "
                            + sheet.roles[i].service.value);
        }
    }
    return {};
}

Result<Sheet> readSheet(const toml::table &root)
{
    TableReader reader(root, "");
    Sheet sheet;
    sheet.number = reader.integer("number", std::nullopt, 1, maxSheetNumber);
    const auto services = reader.tables("service");
    const auto models = reader.tables("model");
    const auto roles = reader.tables("role");
    const auto quotas = reader.tables("quota");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(
        sheet.services,
        readRows<SheetService>(services, "service", readService,
                               [](const SheetService &row) { return row.name.value; }));
    BOOST_LEAF_ASSIGN(sheet.models,
                      readRows<SheetModel>(models, "model", readModel,
                                           [](const SheetModel &row) { return row.name.value; }));
    BOOST_LEAF_ASSIGN(sheet.roles,
                      readRows<SheetRole>(roles, "role", readRole,
                                          [](const SheetRole &row) { return row.server.value; }));
    BOOST_LEAF_ASSIGN(sheet.quotas,
                      readRows<SheetQuota>(quotas, "quota", readQuota,
                                           [](const SheetQuota &row) { return row.caller.value; }));
    BOOST_LEAF_CHECK(checkReferences(sheet, services, roles));
    return sheet;
}

} // namespace

Result<Sheet> parseSheet(std::string_view text)
{
    if (text.size() > maxSheetBytes) {
        return fail(ResultCode::SheetMalformed, "the sheet is larger than 1 MiB");
    }
    try {
        const toml::parse_result parsed = toml::parse(text);
        if (!parsed) {
            return fail(ResultCode::SheetMalformed,
                        "line " + std::to_string(parsed.error().source().begin.line) + ": "
                            + std::string(parsed.error().description()));
        }
        BOOST_LEAF_AUTO(sheet, readSheet(parsed.table()));
        sheet.digest = sha256Hex(text);
        return sheet;
    } catch (const std::exception &error) {
        return fail(ResultCode::SheetMalformed, error.what());
    }
}

} // namespace persimmonlb
