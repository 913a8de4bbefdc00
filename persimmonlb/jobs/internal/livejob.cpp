#include "persimmonlb/jobs/internal/livejob.h"

#include <algorithm>
#include <functional>

namespace persimmonlb::internal
{

namespace
{

constexpr std::uint32_t itemsPerChunk = 512;
constexpr std::uint32_t itemsPerByte = 4;
constexpr std::uint32_t bitsPerItem = 2;
constexpr std::uint32_t itemMask = 3;
constexpr std::uint32_t succeededBits = 1;
constexpr std::uint32_t failedBits = 2;

std::uint32_t endedBits(ItemPhase phase)
{
    if (phase == ItemPhase::Succeeded) {
        return succeededBits;
    }
    return phase == ItemPhase::Failed ? failedBits : 0;
}

std::uint32_t bitShift(std::uint32_t index)
{
    return (index % itemsPerByte) * bitsPerItem;
}

} // namespace

LiveJob::LiveJob(std::uint64_t number, JobRecord record)
    : number_(number)
    , record_(std::move(record))
{
}

std::uint64_t LiveJob::number() const
{
    return number_;
}

const JobRecord &LiveJob::record() const
{
    return record_;
}

void LiveJob::setState(JobState state)
{
    record_.state = state;
    record_.succeeded = succeeded_;
    record_.failed = failed_;
}

bool LiveJob::addItem(std::uint32_t index)
{
    if (index >= received_.size()) {
        received_.resize(std::size_t{index} + 1);
    }
    if (received_[index]) {
        return false;
    }
    received_[index] = true;
    ++receivedCount_;
    return true;
}

bool LiveJob::isComplete() const
{
    return receivedCount_ == record_.itemCount;
}

void LiveJob::seal()
{
    record_.state = JobState::Running;
    received_ = {};
}

bool LiveJob::hasReady() const
{
    return slots_.size() < record_.itemCount || !returned_.empty();
}

std::uint32_t LiveJob::takeReady()
{
    if (slots_.size() < record_.itemCount) {
        slots_.emplace_back();
        return static_cast<std::uint32_t>(slots_.size() - 1);
    }
    std::ranges::pop_heap(returned_, std::greater());
    const auto index = static_cast<std::uint32_t>(returned_.back());
    returned_.pop_back();
    return index;
}

void LiveJob::putBack(std::uint32_t index)
{
    constexpr std::uint32_t leaseShift = 32;
    returned_.push_back((std::uint64_t{slots_[index].lease} << leaseShift) | index);
    std::ranges::push_heap(returned_, std::greater());
}

ItemSlot *LiveJob::slot(std::uint32_t index)
{
    return index < slots_.size() ? &slots_[index] : nullptr;
}

ItemSlot &LiveJob::makeSlot(std::uint32_t index)
{
    if (index >= slots_.size()) {
        slots_.resize(std::size_t{index} + 1);
    }
    return slots_[index];
}

void LiveJob::setPhase(ItemSlot &slot, ItemPhase phase)
{
    leased_ -= slot.phase == ItemPhase::Leased ? 1 : 0;
    slot.phase = phase;
    leased_ += phase == ItemPhase::Leased ? 1 : 0;
    succeeded_ += phase == ItemPhase::Succeeded ? 1 : 0;
    failed_ += phase == ItemPhase::Failed ? 1 : 0;
}

ItemPhase LiveJob::phaseOf(std::uint32_t index) const
{
    return index < slots_.size() ? slots_[index].phase : ItemPhase::Pending;
}

std::uint32_t LiveJob::pending() const
{
    return record_.itemCount - leased_ - succeeded_ - failed_;
}

std::uint32_t LiveJob::leased() const
{
    return leased_;
}

std::uint32_t LiveJob::succeeded() const
{
    return succeeded_;
}

std::uint32_t LiveJob::failed() const
{
    return failed_;
}

bool LiveJob::allEnded() const
{
    return succeeded_ + failed_ == record_.itemCount;
}

std::string LiveJob::endedChunk(std::uint32_t chunk) const
{
    const std::uint32_t first = chunk * itemsPerChunk;
    const std::uint32_t end
        = std::min(first + itemsPerChunk, static_cast<std::uint32_t>(slots_.size()));
    std::string bytes((end - first + itemsPerByte - 1) / itemsPerByte, '\0');
    for (std::uint32_t index = first; index < end; ++index) {
        char &byte = bytes[(index - first) / itemsPerByte];
        byte = static_cast<char>(static_cast<std::uint8_t>(byte)
                                 | (endedBits(slots_[index].phase) << bitShift(index)));
    }
    return bytes;
}

void LiveJob::takeEndedChunk(std::uint32_t chunk, const std::string &bytes)
{
    const std::uint32_t first = chunk * itemsPerChunk;
    const std::uint32_t end
        = first + std::min(static_cast<std::uint32_t>(bytes.size()) * itemsPerByte, itemsPerChunk);
    for (std::uint32_t index = first; index < std::min(end, record_.itemCount); ++index) {
        const auto byte = static_cast<std::uint8_t>(bytes[(index - first) / itemsPerByte]);
        const std::uint32_t bits = (byte >> bitShift(index)) & itemMask;
        if (bits == 0) {
            continue;
        }
        setPhase(makeSlot(index), bits == succeededBits ? ItemPhase::Succeeded : ItemPhase::Failed);
    }
}

std::uint32_t LiveJob::chunkOf(std::uint32_t index)
{
    return index / itemsPerChunk;
}

std::size_t LiveJob::memoryBytes() const
{
    return sizeof(LiveJob) + slots_.capacity() * sizeof(ItemSlot)
        + returned_.capacity() * sizeof(std::uint64_t) + received_.capacity() / 8;
}

} // namespace persimmonlb::internal
