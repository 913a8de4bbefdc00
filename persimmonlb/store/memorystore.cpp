#include "persimmonlb/store/memorystore.h"

#include <memory>
#include <utility>

namespace persimmonlb
{

MemoryStore::MemoryStore(std::uint64_t diskId, Later later)
    : diskId_(diskId)
    , later_(std::move(later))
{
}

void MemoryStore::crash(std::size_t kept)
{
    for (std::size_t number = 0; number < kept && !unsynced_.empty(); ++number) {
        unsynced_.front()(synced_);
        unsynced_.pop_front();
        ++writesSynced_;
    }
    unsynced_.clear();
    current_ = synced_;
    ++life_;
}

void MemoryStore::replaceDisk(std::uint64_t diskId)
{
    crash(0);
    current_ = Contents{};
    synced_ = Contents{};
    diskId_ = diskId;
}

std::size_t MemoryStore::unsyncedWrites() const
{
    return unsynced_.size();
}

void MemoryStore::breakDown()
{
    broken_ = true;
}

void MemoryStore::repair()
{
    broken_ = false;
}

Result<void> MemoryStore::write(Write write)
{
    if (broken_) {
        return fail(ResultCode::StoreUnavailable, "the store was broken by a test");
    }
    write(current_);
    unsynced_.push_back(std::move(write));
    return {};
}

void MemoryStore::sync(std::function<void(Outcome<Done>)> done)
{
    const std::uint64_t written = writesSynced_ + unsynced_.size();
    later_([this, written, life = life_, done = std::move(done)] {
        if (life != life_) {
            return;
        }
        if (broken_) {
            done(makeError(ResultCode::StoreUnavailable, "the store was broken by a test"));
            return;
        }
        completeSync(written);
        done(Done{});
    });
}

void MemoryStore::completeSync(std::uint64_t written)
{
    while (writesSynced_ < written && !unsynced_.empty()) {
        unsynced_.front()(synced_);
        unsynced_.pop_front();
        ++writesSynced_;
    }
}

std::uint64_t MemoryStore::lastIndex() const
{
    return current_.compacted.index + current_.entries.size();
}

const LogEntry *MemoryStore::entryAt(std::uint64_t index) const
{
    if (index <= current_.compacted.index || index > lastIndex()) {
        return nullptr;
    }
    return &current_.entries[index - current_.compacted.index - 1];
}

Result<std::vector<LogEntry>> MemoryStore::read(std::uint64_t first, std::uint64_t last,
                                                std::uint64_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::uint64_t bytes = 0;
    for (std::uint64_t index = first; index <= last; ++index) {
        const LogEntry *entry = entryAt(index);
        if (entry == nullptr) {
            return fail(ResultCode::CorruptStore, "no log entry " + std::to_string(index));
        }
        bytes += entry->data.size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(*entry);
    }
    return entries;
}

SnapshotView MemoryStore::openSnapshot() const
{
    auto pairs = std::make_shared<const KeyValueList>(current_.state.begin(), current_.state.end());
    auto position = std::make_shared<std::size_t>(0);
    return SnapshotView{
        .appliedIndex = current_.appliedIndex,
        .next = [pairs, position](std::uint64_t maxBytes) -> Result<KeyValueList> {
            KeyValueList piece;
            std::uint64_t bytes = 0;
            while (*position < pairs->size() && (piece.empty() || bytes < maxBytes)) {
                const auto &pair = (*pairs)[(*position)++];
                bytes += pair.first.size() + pair.second.size();
                piece.push_back(pair);
            }
            return piece;
        },
    };
}

void MemoryStore::applyMutations(std::map<std::string, std::string> &state,
                                 const MutationList &changes)
{
    for (const Mutation &change : changes) {
        if (!change.value) {
            state.erase(change.key);
            continue;
        }
        state.insert_or_assign(change.key, *change.value);
    }
}

StateStore MemoryStore::stateStore()
{
    StateStore store;
    store.get = [this](std::string_view key) -> std::optional<std::string> {
        const auto found = current_.state.find(std::string(key));
        if (found == current_.state.end()) {
            return std::nullopt;
        }
        return found->second;
    };
    store.scan
        = [this](std::string_view prefix,
                 const std::function<bool(std::string_view key, std::string_view value)> &visit) {
              for (auto position = current_.state.lower_bound(std::string(prefix));
                   position != current_.state.end(); ++position) {
                  if (!position->first.starts_with(prefix)
                      || !visit(position->first, position->second)) {
                      return;
                  }
              }
          };
    store.write = [this](const MutationList &changes) {
        return write([changes](Contents &contents) { applyMutations(contents.state, changes); });
    };
    return store;
}

LogStore MemoryStore::logStore()
{
    LogStore store;
    store.diskId = [this] {
        return diskId_;
    };
    store.hardState = [this] {
        return current_.hardState;
    };
    store.setHardState = [this](const HardState &hardState) {
        return write([hardState](Contents &contents) { contents.hardState = hardState; });
    };
    store.compacted = [this] {
        return current_.compacted;
    };
    store.lastIndex = [this] {
        return lastIndex();
    };
    store.termAt = [this](std::uint64_t index) -> std::optional<std::uint64_t> {
        if (index == current_.compacted.index) {
            return current_.compacted.term;
        }
        const LogEntry *entry = entryAt(index);
        return entry == nullptr ? std::nullopt : std::optional(entry->term);
    };
    store.configurationEntries = [this] {
        std::vector<LogEntry> found;
        for (const LogEntry &entry : current_.entries) {
            if (entry.kind == EntryKind::Configuration) {
                found.push_back(entry);
            }
        }
        return found;
    };
    store.read = [this](std::uint64_t first, std::uint64_t last, std::uint64_t maxBytes) {
        return read(first, last, maxBytes);
    };
    store.append = [this](const std::vector<LogEntry> &entries) {
        return write([entries](Contents &contents) {
            contents.entries.insert(contents.entries.end(), entries.begin(), entries.end());
        });
    };
    store.truncateSuffix = [this](std::uint64_t first) {
        return write([first](Contents &contents) {
            contents.entries.resize(first - contents.compacted.index - 1);
        });
    };
    store.compactPrefix = [this](const SnapshotMark &mark) {
        return write([mark](Contents &contents) {
            const auto removed = static_cast<std::ptrdiff_t>(mark.index - contents.compacted.index);
            contents.entries.erase(contents.entries.begin(), contents.entries.begin() + removed);
            contents.compacted = mark;
        });
    };
    store.appliedIndex = [this] {
        return current_.appliedIndex;
    };
    store.apply = [this](std::uint64_t index, const MutationList &changes) {
        return write([index, changes](Contents &contents) {
            applyMutations(contents.state, changes);
            contents.appliedIndex = index;
        });
    };
    store.sync = [this](std::function<void(Outcome<Done>)> done) {
        sync(std::move(done));
    };
    store.openSnapshot = [this]() -> Result<SnapshotView> {
        return openSnapshot();
    };
    store.beginStaging = [this] {
        return write([](Contents &contents) { contents.staging.clear(); });
    };
    store.stage = [this](const KeyValueList &pairs) {
        return write(
            [pairs](Contents &contents) { contents.staging.insert(pairs.begin(), pairs.end()); });
    };
    store.installStaged = [this](const SnapshotMark &mark) {
        return write([mark](Contents &contents) {
            contents.state = std::move(contents.staging);
            contents.staging.clear();
            contents.entries.clear();
            contents.compacted = mark;
            contents.appliedIndex = mark.index;
        });
    };
    return store;
}

} // namespace persimmonlb
