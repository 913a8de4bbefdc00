#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/base/error.h"
#include "persimmonlb/store/logstore.h"

/// Records on disk. Each carries a CRC-32C of its key and content, so that a record that was
/// changed or moved is noticed whatever lies below.
namespace persimmonlb::internal
{

/// 8 bytes, big-endian, so that byte order is number order.
std::string encodeNumber(std::uint64_t number);
/// Requires 8 bytes at `offset`.
std::uint64_t decodeNumber(std::string_view bytes, std::size_t offset = 0);

/// Puts the checksum before the content.
std::string seal(std::string_view key, std::string_view content);
/// The content of a sealed record, as a part of `record`. Errors: CorruptStore, naming the key.
Result<std::string_view> unseal(std::string_view key, std::string_view record);

/// Key of a log entry.
std::string entryKey(std::uint64_t index);
std::string encodeEntry(const LogEntry &entry);
/// Errors: CorruptStore, naming the index.
Result<LogEntry> decodeEntry(std::string_view key, std::string_view record);

std::string encodeHardState(const HardState &hardState);
/// Errors: CorruptStore.
Result<HardState> decodeHardState(std::string_view content);

std::string encodeMark(const SnapshotMark &mark);
/// Errors: CorruptStore.
Result<SnapshotMark> decodeMark(std::string_view content);

/// Whose folder it is.
struct Identity {
    HostId host;
    std::uint64_t disk = 0;
    std::uint32_t format = 0;

    bool operator==(const Identity &) const = default;
};

std::string encodeIdentity(const Identity &identity);
/// Errors: CorruptStore.
Result<Identity> decodeIdentity(std::string_view content);

} // namespace persimmonlb::internal
