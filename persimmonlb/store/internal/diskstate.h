#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "persimmonlb/store/internal/database.h"
#include "persimmonlb/store/logstore.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb::internal
{

/// The keyed state of a member in the database. It lies in one of two column families; a snapshot
/// is received in the other one, and one write switches over.
///
/// Applied changes are gathered and written together with the newest applied index. Until flush()
/// they are in memory only, which a crash may lose: their log entries are replayed.
class DiskState
{
public:
    explicit DiskState(Database &database);

    /// Errors: CorruptStore.
    Result<void> load();

    [[nodiscard]] std::uint64_t appliedIndex() const;
    /// Takes changes and applied index. Errors: StoreUnavailable.
    Result<void> apply(std::uint64_t index, const MutationList &changes);
    Result<void> write(const MutationList &changes);
    /// Writes what apply() gathered. Errors: StoreUnavailable.
    Result<void> flush();
    [[nodiscard]] std::optional<std::string> get(std::string_view key) const;
    void scan(std::string_view prefix,
              const std::function<bool(std::string_view key, std::string_view value)> &visit);

    /// Errors: StoreUnavailable.
    [[nodiscard]] Result<SnapshotView> openSnapshot();
    Result<void> beginStaging();
    Result<void> stage(const KeyValueList &pairs);
    /// Adds to `batch` what makes the staged pairs the state.
    void install(rocksdb::WriteBatch &batch, std::uint64_t appliedIndex) const;
    /// The batch of install() was written; empties the family that was in use before.
    Result<void> installed(std::uint64_t appliedIndex);

private:
    [[nodiscard]] Family active() const;
    [[nodiscard]] Family staging() const;
    void putChanges(rocksdb::WriteBatch &batch, const MutationList &changes) const;
    void putApplied(rocksdb::WriteBatch &batch, Family family, std::uint64_t index) const;

    Database &database_;
    bool secondActive_ = false; ///< StateB is in use.
    std::uint64_t appliedIndex_ = 0;
    rocksdb::WriteBatch gathered_;
    std::unordered_map<std::string, std::optional<std::string>> gatheredValues_; ///< For get().
    std::size_t gatheredEntries_ = 0;
};

} // namespace persimmonlb::internal
