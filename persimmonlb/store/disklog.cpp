#include "persimmonlb/store/internal/disklog.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "persimmonlb/store/internal/records.h"

namespace persimmonlb::internal
{

namespace
{

constexpr std::string_view markKey = "compacted";
constexpr std::uint64_t memoryBytes = 16ULL * 1024 * 1024;
/// Memory of an entry beside its data.
constexpr std::uint64_t entryOverheadBytes = 64;

std::uint64_t memoryOf(const LogEntry &entry)
{
    return entry.data.size() + entryOverheadBytes;
}

} // namespace

DiskLog::DiskLog(Database &database)
    : database_(database)
{
}

Result<void> DiskLog::load()
{
    BOOST_LEAF_AUTO(record, database_.get(Family::Meta, markKey));
    if (record) {
        BOOST_LEAF_AUTO(content, unseal(markKey, *record));
        BOOST_LEAF_ASSIGN(compacted_, decodeMark(content));
    }
    lastIndex_ = compacted_.index;
    rocksdb::ReadOptions options;
    options.fill_cache = false;
    options.readahead_size = 2ULL * 1024 * 1024;
    const std::unique_ptr<rocksdb::Iterator> iterator(
        database_.rocks().NewIterator(options, database_.family(Family::Log)));
    for (iterator->SeekToFirst(); iterator->Valid(); iterator->Next()) {
        BOOST_LEAF_AUTO(entry, decodeEntry(view(iterator->key()), view(iterator->value())));
        if (entry.index != lastIndex_ + 1) {
            return fail(ResultCode::CorruptStore,
                        "log entry " + std::to_string(lastIndex_ + 1) + " is missing");
        }
        BOOST_LEAF_CHECK(take(std::move(entry)));
    }
    if (!iterator->status().ok()) {
        return fail(ResultCode::CorruptStore, iterator->status().ToString());
    }
    return {};
}

Result<void> DiskLog::take(LogEntry entry)
{
    const std::uint64_t termBefore = termAt(lastIndex_).value_or(0);
    if (entry.term < termBefore) {
        return fail(ResultCode::CorruptStore,
                    "log entry " + std::to_string(entry.index) + " is of an older term");
    }
    lastIndex_ = entry.index;
    noteTerm(entry);
    if (entry.kind == EntryKind::Configuration) {
        configurations_.push_back(entry);
    }
    keepInMemory(std::move(entry));
    return {};
}

void DiskLog::noteTerm(const LogEntry &entry)
{
    if (terms_.empty() || terms_.back().term != entry.term) {
        terms_.push_back({.index = entry.index, .term = entry.term});
    }
}

void DiskLog::keepInMemory(LogEntry entry)
{
    newestBytes_ += memoryOf(entry);
    newest_.push_back(std::move(entry));
    while (newestBytes_ > memoryBytes && newest_.size() > 1) {
        newestBytes_ -= memoryOf(newest_.front());
        newest_.pop_front();
    }
}

const SnapshotMark &DiskLog::compacted() const
{
    return compacted_;
}

std::uint64_t DiskLog::lastIndex() const
{
    return lastIndex_;
}

std::optional<std::uint64_t> DiskLog::termAt(std::uint64_t index) const
{
    if (index == compacted_.index) {
        return compacted_.term;
    }
    if (index < compacted_.index || index > lastIndex_) {
        return std::nullopt;
    }
    const auto after = std::ranges::upper_bound(terms_, index, {}, &TermStart::index);
    return std::prev(after)->term;
}

std::vector<LogEntry> DiskLog::configurationEntries() const
{
    return configurations_;
}

Result<std::vector<LogEntry>> DiskLog::read(std::uint64_t first, std::uint64_t last,
                                            std::uint64_t maxBytes) const
{
    if (newest_.empty() || first < newest_.front().index) {
        return readFromDisk(first, last, maxBytes);
    }
    std::vector<LogEntry> entries;
    std::uint64_t bytes = 0;
    auto position = newest_.begin() + static_cast<std::ptrdiff_t>(first - newest_.front().index);
    for (; position != newest_.end() && position->index <= last; ++position) {
        bytes += position->data.size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(*position);
    }
    return entries;
}

Result<std::vector<LogEntry>> DiskLog::readFromDisk(std::uint64_t first, std::uint64_t last,
                                                    std::uint64_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::uint64_t bytes = 0;
    const std::unique_ptr<rocksdb::Iterator> iterator(
        database_.rocks().NewIterator(rocksdb::ReadOptions(), database_.family(Family::Log)));
    const std::string firstKey = entryKey(first);
    for (iterator->Seek(firstKey); iterator->Valid(); iterator->Next()) {
        BOOST_LEAF_AUTO(entry, decodeEntry(view(iterator->key()), view(iterator->value())));
        bytes += entry.data.size();
        if (entry.index > last || (!entries.empty() && bytes > maxBytes)) {
            break;
        }
        if (entry.index != first + entries.size()) {
            break;
        }
        entries.push_back(std::move(entry));
    }
    if (entries.empty()) {
        return fail(ResultCode::CorruptStore,
                    "log entry " + std::to_string(first)
                        + " cannot be read: " + iterator->status().ToString());
    }
    return entries;
}

Result<void> DiskLog::append(const std::vector<LogEntry> &entries)
{
    rocksdb::WriteBatch batch;
    for (const LogEntry &entry : entries) {
        batch.Put(database_.family(Family::Log), slice(entryKey(entry.index)),
                  slice(encodeEntry(entry)));
    }
    BOOST_LEAF_CHECK(database_.write(batch));
    for (const LogEntry &entry : entries) {
        BOOST_LEAF_CHECK(take(entry));
    }
    return {};
}

void DiskLog::removeRange(rocksdb::WriteBatch &batch, std::uint64_t first, std::uint64_t last) const
{
    if (first > last) {
        return;
    }
    batch.DeleteRange(database_.family(Family::Log), slice(entryKey(first)),
                      slice(entryKey(last + 1)));
}

Result<void> DiskLog::truncateSuffix(std::uint64_t first)
{
    rocksdb::WriteBatch batch;
    removeRange(batch, first, lastIndex_);
    BOOST_LEAF_CHECK(database_.write(batch));
    lastIndex_ = first - 1;
    while (!terms_.empty() && terms_.back().index >= first) {
        terms_.pop_back();
    }
    while (!configurations_.empty() && configurations_.back().index >= first) {
        configurations_.pop_back();
    }
    while (!newest_.empty() && newest_.back().index >= first) {
        newestBytes_ -= memoryOf(newest_.back());
        newest_.pop_back();
    }
    return {};
}

Result<void> DiskLog::compactPrefix(const SnapshotMark &mark)
{
    rocksdb::WriteBatch batch;
    removeRange(batch, compacted_.index + 1, mark.index);
    batch.Put(database_.family(Family::Meta), slice(markKey),
              slice(seal(markKey, encodeMark(mark))));
    BOOST_LEAF_CHECK(database_.write(batch));
    compacted_ = mark;
    while (terms_.size() > 1 && terms_[1].index <= mark.index + 1) {
        terms_.erase(terms_.begin());
    }
    std::erase_if(configurations_,
                  [&](const LogEntry &entry) { return entry.index <= mark.index; });
    while (!newest_.empty() && newest_.front().index <= mark.index) {
        newestBytes_ -= memoryOf(newest_.front());
        newest_.pop_front();
    }
    return {};
}

void DiskLog::clear(rocksdb::WriteBatch &batch, const SnapshotMark &mark) const
{
    removeRange(batch, compacted_.index + 1, lastIndex_);
    batch.Put(database_.family(Family::Meta), slice(markKey),
              slice(seal(markKey, encodeMark(mark))));
}

void DiskLog::cleared(const SnapshotMark &mark)
{
    compacted_ = mark;
    lastIndex_ = mark.index;
    terms_.clear();
    configurations_.clear();
    newest_.clear();
    newestBytes_ = 0;
}

} // namespace persimmonlb::internal
