#include <atomic>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rocksdb/file_system.h>

#include "persimmonlb/store/diskstore.h"
#include "persimmonlb/store/internal/crc32c.h"
#include "persimmonlb/store/internal/database.h"
#include "persimmonlb/store/internal/records.h"

namespace persimmonlb
{

namespace
{

namespace fs = std::filesystem;
const HostId self{"h1"};

/// The decision thread's queue: posted functions run within runOne().
class PostQueue
{
public:
    void post(std::function<void()> task)
    {
        const std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
        wake_.notify_one();
    }

    void runOne()
    {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return !tasks_.empty(); });
        const auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
    }

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
};

/// A file of a disk that can be full.
class FullDiskFile : public rocksdb::FSWritableFileOwnerWrapper
{
public:
    FullDiskFile(std::unique_ptr<rocksdb::FSWritableFile> file, const std::atomic<bool> &full)
        : FSWritableFileOwnerWrapper(std::move(file))
        , full_(full)
    {
    }
    rocksdb::IOStatus Append(const rocksdb::Slice &data, const rocksdb::IOOptions &options,
                             rocksdb::IODebugContext *debug) override
    {
        if (full_) {
            return rocksdb::IOStatus::NoSpace();
        }
        return target()->Append(data, options, debug);
    }
    rocksdb::IOStatus Append(const rocksdb::Slice &data, const rocksdb::IOOptions &options,
                             const rocksdb::DataVerificationInfo & /*info*/,
                             rocksdb::IODebugContext *debug) override
    {
        return Append(data, options, debug);
    }

private:
    const std::atomic<bool> &full_;
};

/// A disk that refuses new bytes while it is full.
class FullDisk : public rocksdb::FileSystemWrapper
{
public:
    FullDisk()
        : FileSystemWrapper(rocksdb::FileSystem::Default())
    {
    }
    [[nodiscard]] const char *Name() const override
    {
        return "FullDisk";
    }
    rocksdb::IOStatus NewWritableFile(const std::string &name, const rocksdb::FileOptions &options,
                                      std::unique_ptr<rocksdb::FSWritableFile> *file,
                                      rocksdb::IODebugContext *debug) override
    {
        rocksdb::IOStatus status = target()->NewWritableFile(name, options, file, debug);
        if (status.ok()) {
            *file = std::make_unique<FullDiskFile>(std::move(*file), full);
        }
        return status;
    }

    std::atomic<bool> full = false;
};

LogEntry entry(std::uint64_t index)
{
    return {.index = index,
            .term = 1 + index / 10,
            .kind = EntryKind::Command,
            .data = "command " + std::to_string(index) + std::string(100, 'x')};
}

struct Folder {
    Folder()
        : path(fs::temp_directory_path()
               / ("persimmonlb-store-" + std::to_string(systemRandom()())))
    {
    }
    ~Folder()
    {
        fs::remove_all(path);
    }

    Outcome<std::unique_ptr<DiskStore>> open(const fs::path &folder, const HostId &host = self)
    {
        return capture([&] {
            return DiskStore::open(
                {.folder = folder.string(),
                 .host = host,
                 .post = [this](std::function<void()> task) { queue.post(std::move(task)); },
                 .files = disk});
        });
    }

    std::unique_ptr<DiskStore> openWell(const fs::path &folder)
    {
        auto opened = open(folder);
        BOOST_TEST_REQUIRE(opened.ok(), (opened.ok() ? "" : opened.error().message));
        return std::move(opened.value());
    }

    void sync(DiskStore &store)
    {
        bool done = false;
        store.logStore().sync([&](const Outcome<Done> &outcome) { done = outcome.ok(); });
        queue.runOne();
        BOOST_TEST_REQUIRE(done);
    }

    bool syncs(DiskStore &store)
    {
        bool succeeded = false;
        store.logStore().sync([&](const Outcome<Done> &outcome) { succeeded = outcome.ok(); });
        queue.runOne();
        return succeeded;
    }

    static void append(DiskStore &store, std::uint64_t first, std::uint64_t last)
    {
        const HardState hardState{.term = entry(last).term, .vote = {}};
        BOOST_TEST_REQUIRE(capture([&] { return store.logStore().setHardState(hardState); }).ok());
        std::vector<LogEntry> entries;
        for (std::uint64_t index = first; index <= last; ++index) {
            entries.push_back(entry(index));
        }
        BOOST_TEST_REQUIRE(capture([&] { return store.logStore().append(entries); }).ok());
    }

    static void apply(DiskStore &store, std::uint64_t index)
    {
        const MutationList changes{{.key = "k" + std::to_string(index), .value = "v"}};
        BOOST_TEST_REQUIRE(capture([&] { return store.logStore().apply(index, changes); }).ok());
    }

    static std::vector<std::string> keysOf(DiskStore &store)
    {
        std::vector<std::string> keys;
        store.stateStore().scan("", [&](std::string_view key, std::string_view /*value*/) {
            keys.emplace_back(key);
            return true;
        });
        return keys;
    }

    /// A copy of the files as a killed process leaves them.
    fs::path copyOf(const fs::path &folder)
    {
        fs::path copy = folder.string() + "-copy" + std::to_string(++copies);
        fs::copy(folder, copy, fs::copy_options::recursive);
        return copy;
    }

    /// A store with table files and a write-ahead log, all of it synced.
    void fill()
    {
        {
            const auto store = openWell(main());
            append(*store, 1, 40);
            sync(*store);
        }
        const auto store = openWell(main());
        append(*store, 41, 80);
        for (std::uint64_t index = 1; index <= 60; ++index) {
            apply(*store, index);
        }
        sync(*store);
    }

    [[nodiscard]] fs::path main() const
    {
        return path / "main";
    }

    fs::path path;
    PostQueue queue;
    std::shared_ptr<FullDisk> disk = std::make_shared<FullDisk>();
    int copies = 0;
};

template <typename Value>
ResultCode codeOf(const Outcome<Value> &outcome)
{
    return outcome.ok() ? ResultCode::Ok : outcome.error().code;
}

/// The largest file of a folder whose name holds `part`.
fs::path largest(const fs::path &folder, const std::string &part)
{
    fs::path found;
    for (const auto &file : fs::recursive_directory_iterator(folder)) {
        const std::string name = file.path().filename().string();
        if (!file.is_regular_file() || name.find(part) == std::string::npos) {
            continue;
        }
        if (found.empty() || file.file_size() > fs::file_size(found)) {
            found = file.path();
        }
    }
    return found;
}

void flipByte(const fs::path &file, std::uintmax_t position)
{
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(static_cast<std::streamoff>(position));
    const char byte = static_cast<char>(stream.get() ^ 0x40);
    stream.seekp(static_cast<std::streamoff>(position));
    stream.put(byte);
}

const std::vector<std::string> files{".sst", ".log", "MANIFEST", "CURRENT", "synced"};
const std::vector<std::string> damages{"flipped early", "flipped late", "halved", "removed"};

void damage(const fs::path &file, const std::string &how)
{
    const std::uintmax_t size = fs::file_size(file);
    if (how == "flipped early") {
        flipByte(file, size / 5);
    } else if (how == "flipped late") {
        flipByte(file, size * 4 / 5);
    } else if (how == "halved") {
        fs::resize_file(file, size / 2);
    } else {
        fs::remove(file);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DiskStoreTest, Folder)

BOOST_AUTO_TEST_CASE(everythingWrittenIsThereAfterReopening)
{
    std::uint64_t disk = 0;
    {
        const auto store = openWell(main());
        disk = store->logStore().diskId();
        append(*store, 1, 30);
        BOOST_TEST(capture([&] { return store->logStore().truncateSuffix(26); }).ok());
        append(*store, 26, 28);
        apply(*store, 1);
        apply(*store, 2);
        const HardState hardState{.term = 5, .vote = {"h2"}};
        BOOST_TEST(capture([&] { return store->logStore().setHardState(hardState); }).ok());
        const SnapshotMark mark{.index = 2, .term = 1, .configuration = "members"};
        BOOST_TEST(capture([&] { return store->logStore().compactPrefix(mark); }).ok());
        sync(*store);
    }
    const auto store = openWell(main());
    const LogStore &log = store->logStore();
    BOOST_TEST(log.diskId() == disk);
    BOOST_TEST((log.hardState() == HardState{.term = 5, .vote = {"h2"}}));
    BOOST_TEST(log.compacted().configuration == "members");
    BOOST_TEST(log.lastIndex() == 28U);
    BOOST_TEST(log.appliedIndex() == 2U);
    BOOST_TEST((log.termAt(2) == std::optional<std::uint64_t>(1)));
    BOOST_TEST((log.termAt(28) == std::optional<std::uint64_t>(3)));
    BOOST_TEST(!log.termAt(1).has_value());
    BOOST_TEST((store->stateStore().get("k2") == std::optional<std::string>("v")));
    const auto entries = capture([&] { return log.read(3, 28, 1U << 20U); });
    BOOST_TEST_REQUIRE(entries.ok());
    BOOST_TEST(entries.value().size() == 26U);
    BOOST_TEST((entries.value().back() == entry(28)));
}

BOOST_AUTO_TEST_CASE(checksumsAreCrc32C)
{
    BOOST_TEST(internal::crc32c("123456789") == 0xE3069283U);
    BOOST_TEST(internal::crc32c("56789", internal::crc32c("1234")) == 0xE3069283U);
}

BOOST_AUTO_TEST_CASE(aFolderOfAnotherHostIsRefused)
{
    openWell(main()).reset();
    BOOST_TEST((codeOf(open(main(), HostId{"h2"})) == ResultCode::DataFolderUnusable));
}

BOOST_AUTO_TEST_CASE(aFolderInUseIsRefused)
{
    const auto store = openWell(main());
    BOOST_TEST((codeOf(open(main())) == ResultCode::DataFolderUnusable));
}

BOOST_AUTO_TEST_CASE(aFolderThatCannotBeMadeIsRefused)
{
    fs::create_directories(path);
    std::ofstream(path / "file") << "x";
    BOOST_TEST((codeOf(open(path / "file" / "data")) == ResultCode::DataFolderUnusable));
}

BOOST_AUTO_TEST_CASE(anEmptiedFolderGetsAnotherDiskId)
{
    const std::uint64_t before = openWell(main())->logStore().diskId();
    fs::remove_all(main());
    BOOST_TEST(openWell(main())->logStore().diskId() != before);
}

BOOST_DATA_TEST_CASE(damageToSyncedDataIsDetectedAtStart,
                     boost::unit_test::data::make(files) * damages, file, how)
{
    fill();
    const fs::path damaged = largest(main(), file);
    BOOST_TEST_REQUIRE(!damaged.empty());
    damage(damaged, how);
    const auto opened = open(main());
    BOOST_TEST((codeOf(opened) == ResultCode::CorruptStore));
    if (!opened.ok()) {
        BOOST_TEST_MESSAGE(opened.error().message);
        BOOST_TEST(opened.error().message.find('\n') == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(aTornTailThatWasNeverSyncedIsNoCorruption)
{
    const auto store = openWell(main());
    append(*store, 1, 20);
    sync(*store);
    append(*store, 21, 30);
    apply(*store, 1);
    const std::uintmax_t whole = fs::file_size(largest(main(), ".log"));
    for (const std::uintmax_t lost : {1, 30, 200, 700}) {
        const fs::path copy = copyOf(main());
        fs::resize_file(largest(copy, ".log"), whole - lost);
        const auto reopened = openWell(copy);
        BOOST_TEST(reopened->logStore().lastIndex() >= 20U);
        BOOST_TEST(reopened->logStore().appliedIndex() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(aFullDiskEndsTheStoreAndTheNextOneHasAllThatWasSynced)
{
    auto store = openWell(main());
    append(*store, 1, 20);
    sync(*store);
    disk->full = true;
    const auto appended = capture([&] { return store->logStore().append({entry(21)}); });
    BOOST_TEST((codeOf(appended) == ResultCode::StoreUnavailable));
    disk->full = false;
    // With room again the store still refuses: what it holds is no longer what is on disk.
    BOOST_TEST(!capture([&] { return store->logStore().append({entry(21)}); }).ok());
    BOOST_TEST(!syncs(*store));
    store.reset();
    const auto reopened = openWell(main());
    BOOST_TEST(reopened->logStore().lastIndex() == 20U);
    append(*reopened, 21, 30);
    sync(*reopened);
}

BOOST_AUTO_TEST_CASE(aStoreWhoseFirstWriteIsRefusedCanBeSyncedAndClosed)
{
    fill();
    for (int round = 0; round < 3; ++round) {
        const auto store = openWell(main());
        disk->full = true;
        const HardState hardState{.term = 50, .vote = {}};
        BOOST_TEST(!capture([&] { return store->logStore().setHardState(hardState); }).ok());
        BOOST_TEST(!syncs(*store));
        disk->full = false;
    }
}

BOOST_AUTO_TEST_CASE(aFullDiskAtOpenIsNotTakenForACorruptStore)
{
    fill();
    disk->full = true;
    BOOST_TEST((codeOf(open(main())) == ResultCode::StoreUnavailable));
    disk->full = false;
    BOOST_TEST(openWell(main())->logStore().lastIndex() == 80U);
}

BOOST_AUTO_TEST_CASE(aFullDiskInAFlushOfTheDatabaseEndsTheStore)
{
    constexpr std::uint64_t valueBytes = 1024UL * 1024;
    const auto store = openWell(main());
    append(*store, 1, 1);
    sync(*store);
    disk->full = true;
    // More than a write buffer: the database flushes while the disk is full.
    bool refused = false;
    for (int round = 0; round < 40 && !refused; ++round) {
        const MutationList changes{
            {.key = std::to_string(round), .value = std::string(valueBytes, 'v')}};
        refused = !capture([&] { return store->stateStore().write(changes); }).ok();
    }
    BOOST_TEST(refused);
    BOOST_TEST(!syncs(*store));
}

// Guards against a start after a loss of power that waits for tens of megabytes to be replayed.
BOOST_AUTO_TEST_CASE(keepsWhatMustBeReplayedAtStartSmall)
{
    constexpr std::uint64_t valueBytes = 64UL * 1024;
    constexpr int values = 512;
    constexpr std::uintmax_t maxLogBytes = 16UL * 1024 * 1024;
    {
        const auto store = openWell(main());
        for (int number = 0; number < values; ++number) {
            const MutationList changes{
                {.key = std::to_string(number % 50), .value = std::string(valueBytes, 'v')}};
            BOOST_REQUIRE(capture([&] { return store->stateStore().write(changes); }).ok());
        }
        sync(*store);
    }
    std::uintmax_t bytes = 0;
    for (const auto &file : fs::directory_iterator(main() / "db")) {
        bytes += file.path().extension() == ".log" ? file.file_size() : 0;
    }
    BOOST_TEST(bytes <= maxLogBytes);
}

BOOST_AUTO_TEST_CASE(aMissingLogEntryIsDetectedAtStart)
{
    fill();
    {
        const auto database = capture([&] {
            return internal::Database::open(main().string(), rocksdb::FileSystem::Default());
        });
        BOOST_TEST_REQUIRE(database.ok());
        rocksdb::WriteBatch batch;
        batch.Delete(database.value()->family(internal::Family::Log), internal::entryKey(50));
        BOOST_TEST(capture([&] { return database.value()->write(batch); }).ok());
    }
    const auto opened = open(main());
    BOOST_TEST_REQUIRE((codeOf(opened) == ResultCode::CorruptStore));
    BOOST_TEST(opened.error().message == "log entry 50 is missing");
}

BOOST_AUTO_TEST_CASE(aSnapshotIsInstalledWholeOrNotAtAll)
{
    const auto store = openWell(main());
    append(*store, 1, 20);
    apply(*store, 1);
    LogStore &log = store->logStore();
    BOOST_TEST(capture([&] { return log.beginStaging(); }).ok());
    BOOST_TEST(capture([&] { return log.stage({{"s1", "w"}, {"s2", "w"}}); }).ok());
    const fs::path before = copyOf(main());
    const HardState later{.term = 7, .vote = {}};
    BOOST_TEST(capture([&] { return log.setHardState(later); }).ok());
    const SnapshotMark mark{.index = 100, .term = 7, .configuration = "members"};
    BOOST_TEST(capture([&] { return log.installStaged(mark); }).ok());
    BOOST_TEST((store->stateStore().get("s1") == std::optional<std::string>("w")));
    const fs::path after = copyOf(main());

    const auto old = openWell(before);
    BOOST_TEST(old->logStore().lastIndex() == 20U);
    BOOST_TEST(old->stateStore().get("k1").has_value());
    BOOST_TEST(!old->stateStore().get("s1").has_value());
    const auto switched = openWell(after);
    BOOST_TEST(switched->logStore().lastIndex() == 100U);
    BOOST_TEST(switched->logStore().appliedIndex() == 100U);
    BOOST_TEST((switched->logStore().termAt(100) == std::optional<std::uint64_t>(7)));
    BOOST_TEST(!switched->stateStore().get("k1").has_value());
    BOOST_TEST(switched->stateStore().get("s2").has_value());
}

BOOST_AUTO_TEST_CASE(appliedChangesAreReadAtOnceAndLostOnlyWithTheAppliedIndex)
{
    const auto store = openWell(main());
    append(*store, 1, 20);
    apply(*store, 1);
    BOOST_TEST((keysOf(*store) == std::vector<std::string>{"k1"}));
    sync(*store);
    apply(*store, 2);
    const MutationList removal{{.key = "k1", .value = std::nullopt}};
    BOOST_TEST(capture([&] { return store->logStore().apply(3, removal); }).ok());
    BOOST_TEST(!store->stateStore().get("k1").has_value());
    BOOST_TEST(store->stateStore().get("k2").has_value());
    const auto lost = openWell(copyOf(main()));
    BOOST_TEST(lost->logStore().appliedIndex() == 1U);
    BOOST_TEST((keysOf(*lost) == std::vector<std::string>{"k1"}));
    BOOST_TEST((keysOf(*store) == std::vector<std::string>{"k2"}));
    sync(*store);
    const auto kept = openWell(copyOf(main()));
    BOOST_TEST(kept->logStore().appliedIndex() == 3U);
    BOOST_TEST((keysOf(*kept) == std::vector<std::string>{"k2"}));
}

BOOST_AUTO_TEST_CASE(compactionKeepsTheStateOfWhatItRemoves)
{
    const auto store = openWell(main());
    append(*store, 1, 20);
    for (std::uint64_t index = 1; index <= 9; ++index) {
        apply(*store, index);
    }
    const SnapshotMark mark{.index = 5, .term = 1, .configuration = "members"};
    BOOST_TEST(capture([&] { return store->logStore().compactPrefix(mark); }).ok());
    sync(*store);
    const auto kept = openWell(copyOf(main()));
    BOOST_TEST(kept->logStore().appliedIndex() >= 5U);
    BOOST_TEST(kept->stateStore().get("k5").has_value());
}

BOOST_AUTO_TEST_CASE(aSnapshotViewDoesNotSeeLaterWrites)
{
    const auto store = openWell(main());
    append(*store, 1, 20);
    for (std::uint64_t index = 1; index <= 9; ++index) {
        apply(*store, index);
    }
    auto view = capture([&] { return store->logStore().openSnapshot(); });
    BOOST_TEST_REQUIRE(view.ok());
    apply(*store, 10);
    KeyValueList all;
    while (true) {
        const auto piece = capture([&] { return view.value().next(3); });
        BOOST_TEST_REQUIRE(piece.ok());
        if (piece.value().empty()) {
            break;
        }
        all.insert(all.end(), piece.value().begin(), piece.value().end());
    }
    BOOST_TEST(view.value().appliedIndex == 9U);
    BOOST_TEST(all.size() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
