#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/jobs/internal/records.h"
#include "persimmonlb/jobs/itemphase.h"

namespace persimmonlb::internal
{

/// What is kept in memory of an item that was leased at least once.
struct ItemSlot {
    std::uint32_t lease = 0;
    std::uint8_t failures = 0;
    ItemPhase phase = ItemPhase::Pending;

    bool operator==(const ItemSlot &) const = default;
};

/// Index of one job that has not ended. Items that were never leased cost no memory: they are
/// leased in order, so one cursor tells them from the others.
class LiveJob
{
public:
    LiveJob(std::uint64_t number, JobRecord record);

    [[nodiscard]] std::uint64_t number() const;
    [[nodiscard]] const JobRecord &record() const;
    void setState(JobState state);

    // Before the job is sealed.
    /// Marks an item as received; false when it was before.
    bool addItem(std::uint32_t index);
    [[nodiscard]] bool isComplete() const;
    void seal();

    // Items that may be leased.
    [[nodiscard]] bool hasReady() const;
    /// Takes the next ready item: those never leased in order, then those with fewest leases.
    std::uint32_t takeReady();
    /// Makes a pending item ready again.
    void putBack(std::uint32_t index);

    /// The slot of an item that was leased; null for others.
    [[nodiscard]] ItemSlot *slot(std::uint32_t index);
    /// Like slot(), and makes one: for reload.
    ItemSlot &makeSlot(std::uint32_t index);
    /// Moves an item to `phase` and keeps the counts.
    void setPhase(ItemSlot &slot, ItemPhase phase);

    [[nodiscard]] ItemPhase phaseOf(std::uint32_t index) const;
    [[nodiscard]] std::uint32_t pending() const;
    [[nodiscard]] std::uint32_t leased() const;
    [[nodiscard]] std::uint32_t succeeded() const;
    [[nodiscard]] std::uint32_t failed() const;
    [[nodiscard]] bool allEnded() const;

    /// Two bits for each item of a chunk: 0 not ended, 1 succeeded, 2 failed.
    [[nodiscard]] std::string endedChunk(std::uint32_t chunk) const;
    /// Takes what endedChunk() gave: for reload.
    void takeEndedChunk(std::uint32_t chunk, const std::string &bytes);
    static std::uint32_t chunkOf(std::uint32_t index);

    [[nodiscard]] std::size_t memoryBytes() const;

private:
    std::uint64_t number_;
    JobRecord record_;
    std::vector<bool> received_;
    std::uint32_t receivedCount_ = 0;
    std::vector<ItemSlot> slots_; ///< Items [0, slots_.size()) were leased.
    std::vector<std::uint64_t> returned_; ///< Min-heap of (lease, index).
    std::uint32_t leased_ = 0;
    std::uint32_t succeeded_ = 0;
    std::uint32_t failed_ = 0;
};

} // namespace persimmonlb::internal
