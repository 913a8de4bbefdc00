#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

enum class ServiceKind : std::uint8_t { Engine, Plain };

/// How a service's batch work is balanced against its online work.
enum class BatchPreset : std::uint8_t { Latency, Throughput };

/// One [[service]] table.
struct SheetService {
    ServiceName name;
    ServiceKind kind = ServiceKind::Engine;
    ModelName model; ///< Engines only.
    std::uint32_t minReady = 1; ///< Orders keep at least this many servers ready.
    std::uint32_t maxBatchAttempts = 3;
    BatchPreset batchPreset = BatchPreset::Latency;
    Milliseconds deadline{30000}; ///< When the caller sends none.

    bool operator==(const SheetService &) const = default;
};

/// One [[model]] table.
struct SheetModel {
    ModelName name;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const SheetModel &) const = default;
};

/// One [[role]] table: what one backend server is to run.
struct SheetRole {
    ServerId server;
    ServiceName service;
    std::string role; ///< "serve", "prefill" or "decode".

    bool operator==(const SheetRole &) const = default;
};

/// One [[quota]] table.
struct SheetQuota {
    CallerName caller;
    std::string keyDigest; ///< SHA-256 of the caller's bearer key, hexadecimal.
    double requestsPerSecond = 0;
    std::uint32_t burst = 0;
    std::uint32_t weight = 1; ///< Share of batch capacity.

    bool operator==(const SheetQuota &) const = default;
};

/// A sheet that parsed and checked. Immutable.
struct Sheet {
    std::uint64_t number = 0;
    std::string digest; ///< SHA-256 of the text, hexadecimal.
    std::vector<SheetService> services;
    std::vector<SheetModel> models;
    std::vector<SheetRole> roles;
    std::vector<SheetQuota> quotas;

    [[nodiscard]] const SheetService *findService(const ServiceName &name) const;
    [[nodiscard]] const SheetModel *findModel(const ModelName &name) const;
    [[nodiscard]] const SheetQuota *findQuota(const CallerName &caller) const;
    bool operator==(const Sheet &) const = default;
};

/// Parses and checks a sheet. Errors: SheetMalformed, with line and key in the message (unknown
/// key, wrong type, out of range, name twice, role or service that names what does not exist).
Result<Sheet> parseSheet(std::string_view text);

} // namespace persimmonlb
