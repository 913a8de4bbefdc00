#include "persimmonlb/store/diskstore.h"

#include <utility>

#include <rocksdb/file_system.h>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/store/internal/database.h"
#include "persimmonlb/store/internal/disklog.h"
#include "persimmonlb/store/internal/diskstate.h"
#include "persimmonlb/store/internal/records.h"
#include "persimmonlb/store/internal/syncer.h"

namespace persimmonlb
{

using namespace internal;

namespace
{

constexpr std::uint32_t formatVersion = 1;
constexpr std::string_view identityKey = "identity";
constexpr std::string_view hardStateKey = "hard-state";

} // namespace

class DiskStore::Implementation
{
public:
    Implementation(std::unique_ptr<Database> database, DiskStoreOptions options);
    ~Implementation();
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    Result<void> load();

    LogStore logStore;
    StateStore stateStore;

private:
    /// Log, state and hard state must fit together. Errors: CorruptStore.
    [[nodiscard]] Result<void> checkAgreement() const;
    Result<void> loadIdentity();
    Result<void> loadHardState();
    Result<void> put(std::string_view key, const std::string &content);
    Result<void> installStaged(const SnapshotMark &mark);
    void bindLog();
    void bindSnapshots();
    void bindState();

    DiskStoreOptions options_;
    std::unique_ptr<Database> database_;
    DiskLog log_;
    DiskState state_;
    Identity identity_;
    HardState hardState_;
    Syncer syncer_;
};

DiskStore::Implementation::Implementation(std::unique_ptr<Database> database,
                                          DiskStoreOptions options)
    : options_(std::move(options))
    , database_(std::move(database))
    , log_(*database_)
    , state_(*database_)
    , syncer_(*database_, options_.post)
{
    bindLog();
    bindSnapshots();
    bindState();
}

DiskStore::Implementation::~Implementation()
{
    // What is not written here is replayed from the log.
    static_cast<void>(capture([&] { return state_.flush(); }));
}

Result<void> DiskStore::Implementation::put(std::string_view key, const std::string &content)
{
    rocksdb::WriteBatch batch;
    batch.Put(database_->family(Family::Meta), slice(key), slice(seal(key, content)));
    return database_->write(batch);
}

Result<void> DiskStore::Implementation::load()
{
    BOOST_LEAF_CHECK(loadIdentity());
    BOOST_LEAF_CHECK(loadHardState());
    BOOST_LEAF_CHECK(log_.load());
    BOOST_LEAF_CHECK(state_.load());
    return checkAgreement();
}

Result<void> DiskStore::Implementation::checkAgreement() const
{
    const std::uint64_t applied = state_.appliedIndex();
    if (applied < log_.compacted().index || applied > log_.lastIndex()) {
        return fail(ResultCode::CorruptStore,
                    options_.folder + ": applied index " + std::to_string(applied)
                        + " lies outside the log");
    }
    if (hardState_.term < log_.termAt(log_.lastIndex()).value_or(0)) {
        return fail(ResultCode::CorruptStore,
                    options_.folder + ": the hard state is older than the log");
    }
    return {};
}

Result<void> DiskStore::Implementation::loadIdentity()
{
    BOOST_LEAF_AUTO(record, database_->get(Family::Meta, identityKey));
    if (!record && database_->wasUsed()) {
        return fail(ResultCode::CorruptStore, options_.folder + ": record identity is missing");
    }
    if (!record) {
        identity_ = {.host = options_.host, .disk = systemRandom()() | 1U, .format = formatVersion};
        BOOST_LEAF_CHECK(put(identityKey, encodeIdentity(identity_)));
        return database_->sync(database_->sequence());
    }
    BOOST_LEAF_AUTO(content, unseal(identityKey, *record));
    BOOST_LEAF_ASSIGN(identity_, decodeIdentity(content));
    if (identity_.host != options_.host) {
        return fail(ResultCode::DataFolderUnusable,
                    options_.folder + " belongs to host " + identity_.host.value);
    }
    if (identity_.format != formatVersion) {
        return fail(ResultCode::DataFolderUnusable,
                    options_.folder + " has format " + std::to_string(identity_.format));
    }
    return {};
}

Result<void> DiskStore::Implementation::loadHardState()
{
    BOOST_LEAF_AUTO(record, database_->get(Family::Meta, hardStateKey));
    if (!record) {
        return {};
    }
    BOOST_LEAF_AUTO(content, unseal(hardStateKey, *record));
    BOOST_LEAF_ASSIGN(hardState_, decodeHardState(content));
    return {};
}

Result<void> DiskStore::Implementation::installStaged(const SnapshotMark &mark)
{
    BOOST_LEAF_CHECK(state_.flush());
    rocksdb::WriteBatch batch;
    log_.clear(batch, mark);
    state_.install(batch, mark.index);
    BOOST_LEAF_CHECK(database_->write(batch));
    log_.cleared(mark);
    return state_.installed(mark.index);
}

void DiskStore::Implementation::bindLog()
{
    logStore.diskId = [this] {
        return identity_.disk;
    };
    logStore.hardState = [this] {
        return hardState_;
    };
    logStore.setHardState = [this](const HardState &hardState) -> Result<void> {
        BOOST_LEAF_CHECK(put(hardStateKey, encodeHardState(hardState)));
        hardState_ = hardState;
        return {};
    };
    logStore.compacted = [this] {
        return log_.compacted();
    };
    logStore.lastIndex = [this] {
        return log_.lastIndex();
    };
    logStore.termAt = [this](std::uint64_t index) {
        return log_.termAt(index);
    };
    logStore.configurationEntries = [this] {
        return log_.configurationEntries();
    };
    logStore.read = [this](std::uint64_t first, std::uint64_t last, std::uint64_t maxBytes) {
        return log_.read(first, last, maxBytes);
    };
    logStore.append = [this](const std::vector<LogEntry> &entries) {
        return log_.append(entries);
    };
    logStore.truncateSuffix = [this](std::uint64_t first) {
        return log_.truncateSuffix(first);
    };
    logStore.compactPrefix = [this](const SnapshotMark &mark) -> Result<void> {
        BOOST_LEAF_CHECK(state_.flush()); // Its entries can no longer be replayed.
        return log_.compactPrefix(mark);
    };
    logStore.sync = [this](std::function<void(Outcome<Done>)> done) {
        syncer_.sync(std::move(done));
    };
}

void DiskStore::Implementation::bindSnapshots()
{
    logStore.appliedIndex = [this] {
        return state_.appliedIndex();
    };
    logStore.apply = [this](std::uint64_t index, const MutationList &changes) {
        return state_.apply(index, changes);
    };
    logStore.openSnapshot = [this]() -> Result<SnapshotView> {
        return state_.openSnapshot();
    };
    logStore.beginStaging = [this] {
        return state_.beginStaging();
    };
    logStore.stage = [this](const KeyValueList &pairs) {
        return state_.stage(pairs);
    };
    logStore.installStaged = [this](const SnapshotMark &mark) {
        return installStaged(mark);
    };
}

void DiskStore::Implementation::bindState()
{
    stateStore.get = [this](std::string_view key) {
        return state_.get(key);
    };
    stateStore.scan
        = [this](std::string_view prefix,
                 const std::function<bool(std::string_view key, std::string_view value)> &visit) {
              state_.scan(prefix, visit);
          };
    stateStore.write = [this](const MutationList &changes) {
        return state_.write(changes);
    };
}

Result<std::unique_ptr<DiskStore>> DiskStore::open(DiskStoreOptions options)
{
    BOOST_LEAF_AUTO(database,
                    Database::open(options.folder,
                                   options.files ? options.files : rocksdb::FileSystem::Default()));
    auto implementation = std::make_unique<Implementation>(std::move(database), std::move(options));
    BOOST_LEAF_CHECK(implementation->load());
    return std::unique_ptr<DiskStore>(new DiskStore(std::move(implementation)));
}

DiskStore::DiskStore(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

DiskStore::~DiskStore() = default;

LogStore &DiskStore::logStore()
{
    return implementation_->logStore;
}

StateStore &DiskStore::stateStore()
{
    return implementation_->stateStore;
}

} // namespace persimmonlb
