/// Benchmark of the replicated log on real disks; not part of ctest.
///
///   agreement_bench append FOLDER [SECONDS]   acknowledged appends for 1, 16 and 256 writers
///   agreement_bench failover FOLDER           time from the loss of a leader to the next one
///   agreement_bench fill FOLDER COUNT         a store with COUNT log entries and keys
///   agreement_bench restart FOLDER            time and memory to open such a store
///
/// Three members run in one process, each with one thread for decisions and one for syncs. Messages
/// pass through memory, so the figures hold no network time.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/store/diskstore.h"

namespace
{

using namespace persimmonlb;
using Timer = std::chrono::steady_clock;

constexpr Milliseconds tickInterval{20};
constexpr std::size_t commandBytes = 200;
constexpr double percentBase = 100.0;
constexpr int failoverRounds = 10;
constexpr std::uint64_t fillBatch = 1000;

struct Latencies {
    std::vector<double> milliseconds;

    [[nodiscard]] double percentile(double percent)
    {
        std::ranges::sort(milliseconds);
        const auto last = static_cast<double>(milliseconds.size() - 1);
        return milliseconds[static_cast<std::size_t>(last * percent / percentBase)];
    }
};

double millisecondsSince(Timer::time_point start)
{
    return std::chrono::duration<double, std::milli>(Timer::now() - start).count();
}

/// Processor time of the whole process, all three members.
double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double microsecondsPerSecond = 1e6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec)
        / microsecondsPerSecond;
}

StateMachine oneKeyPerCommand()
{
    StateMachine machine;
    machine.apply = [](std::uint64_t index, std::string_view command, MutationList &changes) {
        changes.push_back({.key = "k" + std::to_string(index), .value = std::string(command)});
        return std::string();
    };
    machine.reload = []() -> Result<void> {
        return {};
    };
    return machine;
}

class Host;
using Hosts = std::map<HostId, std::unique_ptr<Host>>;

/// One member with its decision thread.
class Host
{
public:
    Host(HostId id, const std::string &folder, Hosts &hosts)
        : id_(std::move(id))
        , hosts_(hosts)
        , work_(boost::asio::make_work_guard(context_))
        , timer_(context_)
    {
        auto post = [this](std::function<void()> task) {
            boost::asio::post(context_, std::move(task));
        };
        store_ = std::move(
            DiskStore::open({.folder = folder + "/" + id_.value, .host = id_, .post = post})
                .value());
        AgreementHooks hooks;
        hooks.send = [this](const HostId &to, PeerBody body) {
            send(to, std::move(body));
        };
        hooks.becameLeader = [this] {
            leads = true;
        };
        hooks.lostLeadership = [this] {
            leads = false;
        };
        hooks.memberEvent = [](const MemberEvent & /*event*/) {
        };
        hooks.storeFailed = [](const Error &error) {
            std::cerr << error.message << "\n";
        };
        AgreementOptions options;
        options.self = id_;
        agreement_
            = std::make_unique<Agreement>(options,
                                          AgreementDependencies{.log = store_->logStore(),
                                                                .state = store_->stateStore(),
                                                                .machine = oneKeyPerCommand(),
                                                                .clock = systemClock(),
                                                                .random = systemRandom(),
                                                                .hooks = std::move(hooks)});
    }

    ~Host()
    {
        work_.reset();
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
        call([this] {
            agreement_->start().value();
            tick();
        });
    }

    /// Runs a function on the decision thread and waits for it.
    void call(const std::function<void()> &function)
    {
        std::promise<void> finished;
        boost::asio::post(context_, [&] {
            function();
            finished.set_value();
        });
        finished.get_future().wait();
    }

    Agreement &agreement()
    {
        return *agreement_;
    }

    void deliver(const HostId &from, PeerBody body)
    {
        boost::asio::post(context_, [this, from, body = std::move(body)] {
            if (!dead) {
                agreement_->receive(from, body);
            }
        });
    }

    std::atomic<bool> leads = false;
    std::atomic<bool> dead = false; ///< Neither takes nor sends anything.

private:
    void send(const HostId &to, PeerBody body)
    {
        if (!dead) {
            hosts_.at(to)->deliver(id_, std::move(body));
        }
    }

    void tick()
    {
        if (!dead) {
            agreement_->tick();
        }
        timer_.expires_after(tickInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    HostId id_;
    Hosts &hosts_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<DiskStore> store_;
    std::unique_ptr<Agreement> agreement_;
    std::thread thread_;
};

Host &waitForLeader(Hosts &hosts)
{
    while (true) {
        for (const auto &[id, host] : hosts) {
            if (host->leads && !host->dead) {
                return *host;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

Host &startThree(Hosts &hosts, const std::string &folder)
{
    const std::vector<HostId> ids{{"a"}, {"b"}, {"c"}};
    for (const HostId &id : ids) {
        hosts.emplace(id, std::make_unique<Host>(id, folder, hosts));
    }
    for (const HostId &id : ids) {
        hosts.at(id)->start();
    }
    Host &first = *hosts.at(ids.front());
    first.call([&] { first.agreement().initialise(ids).value(); });
    return waitForLeader(hosts);
}

/// Writers that propose again as soon as their last command is acknowledged.
class Writers
{
public:
    explicit Writers(Host &leader)
        : leader_(leader)
    {
    }

    Latencies run(std::size_t count, std::chrono::seconds duration)
    {
        leader_.call([&] {
            end_ = Timer::now() + duration;
            running_ = count;
            for (std::size_t writer = 0; writer < count; ++writer) {
                propose();
            }
        });
        finished_.get_future().wait();
        return std::move(latencies_);
    }

private:
    void propose()
    {
        const auto start = Timer::now();
        leader_.agreement().propose(
            std::string(commandBytes, 'x'), [this, start](const Outcome<std::string> &reply) {
                if (reply.ok()) {
                    latencies_.milliseconds.push_back(millisecondsSince(start));
                }
                next();
            });
    }

    void next()
    {
        if (Timer::now() < end_) {
            propose();
        } else if (--running_ == 0) {
            finished_.set_value();
        }
    }

    Host &leader_;
    Latencies latencies_;
    Timer::time_point end_;
    std::size_t running_ = 0;
    std::promise<void> finished_;
};

void benchAppend(const std::string &folder, std::chrono::seconds duration)
{
    Hosts hosts;
    Host &leader = startThree(hosts, folder);
    for (const std::size_t writers : {1, 16, 256}) {
        const double processorBefore = processorSeconds();
        Latencies latencies = Writers(leader).run(writers, duration);
        const double processor = processorSeconds() - processorBefore;
        const auto count = static_cast<double>(latencies.milliseconds.size());
        std::printf("writers=%zu acknowledged_per_s=%.0f p50_ms=%.2f p99_ms=%.2f "
                    "processor_us_per_command=%.1f\n",
                    writers, count / static_cast<double>(duration.count()),
                    latencies.percentile(50), latencies.percentile(99), processor * 1e6 / count);
    }
    for (const auto &[id, host] : hosts) {
        host->dead = true;
    }
    for (const auto &[id, host] : hosts) {
        host->call([] {});
    }
}

void benchFailover(const std::string &folder)
{
    Hosts hosts;
    startThree(hosts, folder);
    Latencies latencies;
    for (int round = 0; round < failoverRounds; ++round) {
        Host &leader = waitForLeader(hosts);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const auto start = Timer::now();
        leader.dead = true;
        waitForLeader(hosts);
        latencies.milliseconds.push_back(millisecondsSince(start));
        leader.dead = false;
    }
    std::printf("failover rounds=%d p50_ms=%.0f max_ms=%.0f\n", failoverRounds,
                latencies.percentile(50), latencies.percentile(percentBase));
}

std::unique_ptr<DiskStore> openAlone(const std::string &folder)
{
    return std::move(DiskStore::open({.folder = folder,
                                      .host = {"a"},
                                      .post =
                                          [](const std::function<void()> & /*task*/) {
                                          }})
                         .value());
}

void fill(const std::string &folder, std::uint64_t count)
{
    const auto start = Timer::now();
    const auto store = openAlone(folder);
    LogStore &log = store->logStore();
    log.setHardState({.term = 1, .vote = {}}).value();
    const StateMachine machine = oneKeyPerCommand();
    for (std::uint64_t index = 1; index <= count;) {
        std::vector<LogEntry> entries;
        for (std::uint64_t number = 0; number < fillBatch && index <= count; ++number, ++index) {
            entries.push_back({.index = index,
                               .term = 1,
                               .kind = EntryKind::Command,
                               .data = std::string(commandBytes, 'x')});
        }
        log.append(entries).value();
        for (const LogEntry &entry : entries) {
            MutationList changes;
            machine.apply(entry.index, entry.data, changes);
            log.apply(entry.index, changes).value();
        }
    }
    std::printf("fill entries=%llu s=%.1f\n", static_cast<unsigned long long>(count),
                millisecondsSince(start) / 1000);
}

std::string memoryInUse()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return line.substr(line.find_first_not_of("VmRSS: \t"));
        }
    }
    return "unknown";
}

void benchRestart(const std::string &folder)
{
    const auto start = Timer::now();
    const auto store = openAlone(folder);
    std::printf("restart entries=%llu ms=%.0f rss=%s\n",
                static_cast<unsigned long long>(store->logStore().lastIndex()
                                                - store->logStore().compacted().index),
                millisecondsSince(start), memoryInUse().c_str());
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() < 2) {
        std::cerr << "usage: agreement_bench append|failover|fill|restart FOLDER [NUMBER]\n";
        return 2;
    }
    const std::string &mode = arguments[0];
    const std::uint64_t number = arguments.size() > 2 ? std::stoull(arguments[2]) : 5;
    if (mode == "append") {
        benchAppend(arguments[1], std::chrono::seconds(number));
    } else if (mode == "failover") {
        benchFailover(arguments[1]);
    } else if (mode == "fill") {
        fill(arguments[1], number);
    } else if (mode == "restart") {
        benchRestart(arguments[1]);
    }
    return 0;
}
