#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "persimmonlb/state/testing/stateharness.h"
#include "persimmonlb/store/diskstore.h"

/// Measures the replicated state without a log: how many batch items a second it accepts, leases
/// and completes, how much memory items and claims take, and how long a reload takes. Prints one
/// line of key=value pairs for each figure.
///
///   jobs_bench --items 1000000 --body-bytes 1024 --batch 100 [--folder EMPTY_FOLDER]
namespace persimmonlb
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr std::uint32_t itemsPerJob = 100'000;
constexpr std::uint32_t itemsPerAdd = 1000;
constexpr std::uint32_t callers = 4;
const ServiceName service{"lettering-lm"};
const Owner owner{.host = {"entry-1"}, .incarnation = 1};
const WallTime start{Milliseconds(1'796'299'200'000)};

struct BenchOptions {
    std::uint32_t items = 0;
    std::uint32_t bodyBytes = 0;
    std::uint32_t batch = 0;
    std::uint32_t claims = 0;
    std::string folder;
};

/// Processor time of this thread: other work on the machine does not count.
Seconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Bytes that are allocated now.
std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Processor time spent in one kind of command.
struct Cost {
    Seconds applying{0}; ///< Decode, apply, encode the reply.
    Seconds writing{0}; ///< Write of the changes.

    void report(const std::string &what, std::uint64_t count) const
    {
        const double microseconds = 1e6 / static_cast<double>(count);
        std::cout << "event=" << what << " count=" << count
                  << " apply_us_each=" << applying.count() * microseconds
                  << " write_us_each=" << writing.count() * microseconds
                  << " per_second=" << static_cast<double>(count) / (applying + writing).count()
                  << std::endl;
    }
};

/// Applies encoded commands and writes their changes, as the replicated log does.
class Bench
{
public:
    Bench(BenchOptions options, StateStore store)
        : options_(std::move(options))
        , store_(std::move(store))
        , state_(std::make_unique<ReplicatedState>(store_))
    {
    }

    void acceptItems();
    void workOffHalf();
    void grantClaims();
    void reload(const std::string &what, std::uint64_t count);

private:
    Reply apply(const Command &command, Cost &cost);
    void addItems(const JobId &job, std::uint32_t count, Cost &cost);

    BenchOptions options_;
    StateStore store_;
    std::unique_ptr<ReplicatedState> state_;
    std::uint64_t index_ = 0;
};

Reply Bench::apply(const Command &command, Cost &cost)
{
    const std::string encoded = encodeCommand(command);
    MutationList changes;
    ++index_;
    const Seconds begin = processorTime();
    const std::string reply = state_->machine().apply(index_, encoded, changes);
    const Seconds applied = processorTime();
    const bool written = capture([&] { return store_.write(changes); }).ok();
    cost.applying += applied - begin;
    cost.writing += processorTime() - applied;
    if (!written) {
        std::cerr << "event=write_failed" << std::endl;
    }
    return decodeReply(reply).value();
}

void Bench::addItems(const JobId &job, std::uint32_t count, Cost &cost)
{
    const std::string body(options_.bodyBytes, 'x');
    for (std::uint32_t first = 0; first < count; first += itemsPerAdd) {
        AddItems add{.id = job, .firstIndex = first, .items = {}};
        for (std::uint32_t i = first; i < std::min(first + itemsPerAdd, count); ++i) {
            add.items.push_back(
                {.customId = "item-" + std::to_string(i), .idempotent = true, .body = body});
        }
        apply(add, cost);
    }
}

void Bench::acceptItems()
{
    Cost cost;
    for (std::uint32_t first = 0; first < options_.items; first += itemsPerJob) {
        const std::uint32_t count = std::min(itemsPerJob, options_.items - first);
        const std::uint32_t number = first / itemsPerJob;
        const JobId job{"job-" + std::to_string(number)};
        apply(OpenJob{.id = job,
                      .caller = {"caller-" + std::to_string(number % callers)},
                      .idempotencyKey = job.value,
                      .service = service,
                      .due = start + std::chrono::hours(1 + number % callers),
                      .itemCount = count,
                      .bodyDigest = "d",
                      .at = start},
              cost);
        addItems(job, count, cost);
        apply(SealJob{.id = job, .at = start}, cost);
    }
    cost.report("accept", options_.items);
}

void Bench::workOffHalf()
{
    const std::string answer(options_.bodyBytes, 'y');
    Cost leasing;
    Cost completing;
    std::uint64_t done = 0;
    std::uint64_t sequence = 0;
    const std::uint64_t wanted = options_.items / 2 + itemsPerJob / 2; // the last job is half done
    while (done < wanted) {
        const LeaseItems lease{.owner = owner,
                               .sequence = ++sequence,
                               .service = service,
                               .maxItems = options_.batch,
                               .at = start};
        const auto items = std::get<LeaseReply>(apply(lease, leasing)).items;
        if (items.empty()) {
            break;
        }
        CompleteItems complete{.owner = owner, .outcomes = {}, .at = start};
        for (const LeasedItem &item : items) {
            complete.outcomes.push_back({.job = item.job,
                                         .index = item.index,
                                         .attempt = item.attempt,
                                         .kind = ItemOutcomeKind::Succeeded,
                                         .status = 200,
                                         .body = answer});
        }
        apply(complete, completing);
        done += items.size();
    }
    leasing.report("lease", done);
    completing.report("complete", done);
}

void Bench::grantClaims()
{
    Cost granting;
    for (std::uint32_t i = 0; i < options_.claims; ++i) {
        apply(ClaimRequest{.key = {.caller = {"caller-1"},
                                   .idempotencyKey = "painter-acceptance-" + std::to_string(i)},
                           .service = {"booking-app"},
                           .bodyDigest = std::string(64, 'd'),
                           .owner = owner,
                           .requestId = "request-" + std::to_string(i),
                           .at = start},
              granting);
    }
    granting.report("claim", options_.claims);
}

void Bench::reload(const std::string &what, std::uint64_t count)
{
    state_.reset();
    const std::size_t before = allocatedBytes();
    const Seconds begin = processorTime();
    state_ = std::make_unique<ReplicatedState>(store_);
    const bool sound = capture([this] { return state_->reload(); }).ok();
    const Seconds taken = processorTime() - begin;
    const std::size_t bytes = allocatedBytes() - before;
    std::cout << "event=reload of=" << what << " sound=" << sound << " seconds=" << taken.count()
              << " bytes=" << bytes
              << " bytes_each=" << static_cast<double>(bytes) / static_cast<double>(count)
              << std::endl;
}

int run(const BenchOptions &options)
{
    testing::MapStore memory;
    std::unique_ptr<DiskStore> disk;
    if (!options.folder.empty()) {
        auto opened = capture([&options] {
            return DiskStore::open(
                {.folder = options.folder, .host = {"bench"}, .post = [](const auto &) {
                 }});
        });
        if (!opened.ok()) {
            std::cerr << "event=open_failed message=" << opened.error().message << std::endl;
            return 1;
        }
        disk = std::move(opened.value());
    }
    Bench bench(options, disk ? disk->stateStore() : memory.hooks());
    bench.acceptItems();
    bench.reload("waiting_items", options.items);
    bench.workOffHalf();
    bench.reload("half_done_items", options.items);
    bench.grantClaims();
    bench.reload("claims", std::max(options.claims, 1U));
    return 0;
}

} // namespace

} // namespace persimmonlb

int main(int argc, char **argv)
{
    try {
        using TCLAP::ValueArg;
        TCLAP::CmdLine line("Benchmark of the replicated state");
        ValueArg<std::uint32_t> items("", "items", "batch items", false, 1'000'000, "N", line);
        ValueArg<std::uint32_t> bytes("", "body-bytes", "bytes of a body", false, 1024, "N", line);
        ValueArg<std::uint32_t> batch("", "batch", "items in a lease", false, 100, "N", line);
        ValueArg<std::uint32_t> claims("", "claims", "claims", false, 100'000, "N", line);
        ValueArg<std::string> folder("", "folder", "RocksDB folder; default: in memory", false, "",
                                     "PATH", line);
        line.parse(argc, argv);
        return persimmonlb::run({.items = items.getValue(),
                                 .bodyBytes = bytes.getValue(),
                                 .batch = batch.getValue(),
                                 .claims = claims.getValue(),
                                 .folder = folder.getValue()});
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "event=bad_arguments message=" << error.error() << std::endl;
        return 2;
    }
}
