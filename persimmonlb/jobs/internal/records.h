#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/jobs/itemphase.h"
#include "persimmonlb/state/query.h"

/// Records of jobs and items in the state store, and their CBOR form.
namespace persimmonlb::internal
{

/// job/: one job.
struct JobRecord {
    JobId id;
    CallerName caller;
    std::string idempotencyKey;
    ServiceName service;
    WallTime due;
    WallTime submittedAt;
    std::string bodyDigest;
    std::uint32_t itemCount = 0;
    JobState state = JobState::Open;
    std::uint32_t succeeded = 0; ///< Counts are set when the job ended.
    std::uint32_t failed = 0;

    bool operator==(const JobRecord &) const = default;
};

/// item/: an item that was leased at least once and has not ended.
struct ItemRecord {
    ItemPhase phase = ItemPhase::Pending;
    std::uint32_t lease = 0; ///< Leases given so far; the attempt number of the last one.
    std::uint32_t failures = 0; ///< Attempts that count.
    std::uint64_t eligibleRound = 0;
    bool idempotent = true;
    Owner owner;
    std::uint64_t sequence = 0;

    bool operator==(const ItemRecord &) const = default;
};

/// result/: how an item ended.
struct ResultRecord {
    ItemState state = ItemState::Succeeded;
    std::uint32_t attempts = 0;
    std::uint16_t status = 0;
    std::uint16_t code = 0;
    std::string body;

    bool operator==(const ResultRecord &) const = default;
};

/// sequence/: last lease request of a host for a service.
struct SequenceRecord {
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const SequenceRecord &) const = default;
};

std::string encode(const JobRecord &record);
std::string encode(const ItemRecord &record);
std::string encode(const ResultRecord &record);
std::string encode(const SequenceRecord &record);
std::string encode(const ItemSpec &item);

/// Nothing when the bytes are no such record.
std::optional<JobRecord> decodeJobRecord(std::string_view bytes);
std::optional<ItemRecord> decodeItemRecord(std::string_view bytes);
std::optional<ResultRecord> decodeResultRecord(std::string_view bytes);
std::optional<SequenceRecord> decodeSequenceRecord(std::string_view bytes);
std::optional<ItemSpec> decodeItemSpec(std::string_view bytes);

} // namespace persimmonlb::internal
