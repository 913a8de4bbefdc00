#include "persimmonlb/store/internal/diskstate.h"

#include <memory>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/store/internal/records.h"

namespace persimmonlb::internal
{

namespace
{

/// Lies in the same family as the state, so that a lost table file loses both or neither. Hidden
/// from readers.
constexpr std::string_view appliedKey{"\0applied", 8};
constexpr std::string_view activeKey = "active-state";
constexpr std::string_view firstName = "a";
constexpr std::string_view secondName = "b";
/// Applied entries that are written together at most.
constexpr std::size_t mostGatheredEntries = 1024;
constexpr std::size_t mostGatheredBytes = 4ULL * 1024 * 1024;
/// Bytes of a key that sort after every key in use.
constexpr std::size_t lastKeyBytes = 256;

/// Removes every pair of a family.
Result<void> empty(Database &database, Family family)
{
    const std::string end(lastKeyBytes, '\xff');
    rocksdb::WriteBatch batch;
    batch.DeleteRange(database.family(family), rocksdb::Slice(), slice(end));
    return database.write(batch);
}

/// An iterator over a family as it was when this was made.
class FamilyReader
{
public:
    FamilyReader(rocksdb::DB &database, rocksdb::ColumnFamilyHandle *family)
        : iterator_(database.NewIterator(rocksdb::ReadOptions(), family))
    {
        iterator_->SeekToFirst();
    }

    Result<KeyValueList> next(std::uint64_t maxBytes)
    {
        KeyValueList pairs;
        std::uint64_t bytes = 0;
        for (; iterator_->Valid() && (pairs.empty() || bytes < maxBytes); iterator_->Next()) {
            if (view(iterator_->key()) == appliedKey) {
                continue;
            }
            pairs.emplace_back(iterator_->key().ToString(), iterator_->value().ToString());
            bytes += pairs.back().first.size() + pairs.back().second.size();
        }
        if (!iterator_->status().ok()) {
            return fail(ResultCode::CorruptStore, iterator_->status().ToString());
        }
        return pairs;
    }

private:
    std::unique_ptr<rocksdb::Iterator> iterator_;
};

} // namespace

DiskState::DiskState(Database &database)
    : database_(database)
{
}

Result<void> DiskState::load()
{
    BOOST_LEAF_AUTO(activeName, database_.get(Family::Meta, activeKey));
    if (activeName) {
        BOOST_LEAF_AUTO(name, unseal(activeKey, *activeName));
        secondActive_ = name == secondName;
    }
    BOOST_LEAF_AUTO(applied, database_.get(active(), appliedKey));
    if (applied) {
        BOOST_LEAF_AUTO(content, unseal(appliedKey, *applied));
        appliedIndex_ = decodeNumber(content);
    }
    return empty(database_, staging()); // What a snapshot cut off by a crash left behind.
}

Family DiskState::active() const
{
    return secondActive_ ? Family::StateB : Family::StateA;
}

Family DiskState::staging() const
{
    return secondActive_ ? Family::StateA : Family::StateB;
}

std::uint64_t DiskState::appliedIndex() const
{
    return appliedIndex_;
}

void DiskState::putChanges(rocksdb::WriteBatch &batch, const MutationList &changes) const
{
    rocksdb::ColumnFamilyHandle *family = database_.family(active());
    for (const Mutation &change : changes) {
        if (change.value) {
            batch.Put(family, slice(change.key), slice(*change.value));
        } else {
            batch.Delete(family, slice(change.key));
        }
    }
}

void DiskState::putApplied(rocksdb::WriteBatch &batch, Family family, std::uint64_t index) const
{
    batch.Put(database_.family(family), slice(appliedKey),
              slice(seal(appliedKey, encodeNumber(index))));
}

Result<void> DiskState::apply(std::uint64_t index, const MutationList &changes)
{
    putChanges(gathered_, changes);
    for (const Mutation &change : changes) {
        gatheredValues_.insert_or_assign(change.key, change.value);
    }
    appliedIndex_ = index;
    if (++gatheredEntries_ < mostGatheredEntries && gathered_.GetDataSize() < mostGatheredBytes) {
        return {};
    }
    return flush();
}

Result<void> DiskState::flush()
{
    if (gatheredEntries_ == 0) {
        return {};
    }
    putApplied(gathered_, active(), appliedIndex_);
    BOOST_LEAF_CHECK(database_.write(gathered_));
    gathered_.Clear();
    gatheredValues_.clear();
    gatheredEntries_ = 0;
    return {};
}

Result<void> DiskState::write(const MutationList &changes)
{
    BOOST_LEAF_CHECK(flush());
    rocksdb::WriteBatch batch;
    putChanges(batch, changes);
    return database_.write(batch);
}

std::optional<std::string> DiskState::get(std::string_view key) const
{
    const auto gathered = gatheredValues_.find(std::string(key));
    if (gathered != gatheredValues_.end()) {
        return gathered->second;
    }
    auto value = capture([&] { return database_.get(active(), key); });
    if (!value.ok()) {
        LogLine(LogLevel::Error, "state_read_failed").add("why", value.error().message).write();
        return std::nullopt;
    }
    return std::move(value.value());
}

void DiskState::scan(std::string_view prefix,
                     const std::function<bool(std::string_view key, std::string_view value)> &visit)
{
    const auto flushed = capture([&] { return flush(); });
    if (!flushed.ok()) {
        LogLine(LogLevel::Error, "state_write_failed").add("why", flushed.error().message).write();
        return; // The next apply() or sync fails in the same way and stops the member.
    }
    const std::unique_ptr<rocksdb::Iterator> iterator(
        database_.rocks().NewIterator(rocksdb::ReadOptions(), database_.family(active())));
    for (iterator->Seek(slice(prefix)); iterator->Valid(); iterator->Next()) {
        const std::string_view key = view(iterator->key());
        if (key == appliedKey) {
            continue;
        }
        if (!key.starts_with(prefix) || !visit(key, view(iterator->value()))) {
            return;
        }
    }
    if (!iterator->status().ok()) {
        LogLine(LogLevel::Error, "state_read_failed")
            .add("why", iterator->status().ToString())
            .write();
    }
}

Result<SnapshotView> DiskState::openSnapshot()
{
    BOOST_LEAF_CHECK(flush());
    auto reader = std::make_shared<FamilyReader>(database_.rocks(), database_.family(active()));
    return SnapshotView{.appliedIndex = appliedIndex_, .next = [reader](std::uint64_t maxBytes) {
                            return reader->next(maxBytes);
                        }};
}

Result<void> DiskState::beginStaging()
{
    BOOST_LEAF_CHECK(flush());
    return empty(database_, staging());
}

Result<void> DiskState::stage(const KeyValueList &pairs)
{
    rocksdb::WriteBatch batch;
    for (const auto &[key, value] : pairs) {
        batch.Put(database_.family(staging()), slice(key), slice(value));
    }
    return database_.write(batch);
}

void DiskState::install(rocksdb::WriteBatch &batch, std::uint64_t appliedIndex) const
{
    const std::string_view name = secondActive_ ? firstName : secondName;
    batch.Put(database_.family(Family::Meta), slice(activeKey), slice(seal(activeKey, name)));
    putApplied(batch, staging(), appliedIndex);
}

Result<void> DiskState::installed(std::uint64_t appliedIndex)
{
    secondActive_ = !secondActive_;
    appliedIndex_ = appliedIndex;
    return empty(database_, staging());
}

} // namespace persimmonlb::internal
