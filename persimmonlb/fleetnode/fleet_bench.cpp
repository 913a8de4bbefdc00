// Times of a storage group of three on this machine, over real sockets and disks, all in one
// thread.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "persimmonlb/fleetnode/testing/loopbackfleet.h"

namespace
{

using namespace persimmonlb;
using persimmonlb::testing::LoopbackFleet;

constexpr int entryHost = 9;
constexpr std::size_t itemBytes = 1500; ///< As the sites' bodies.
constexpr std::size_t itemsPerJob = 10;
constexpr std::size_t jobsInFlight = 16;

double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

void require(bool done, const char *what)
{
    if (!done) {
        throw std::runtime_error(std::string("not done in time: ") + what);
    }
}

void form(LoopbackFleet &fleet)
{
    require(fleet.formGroup(), "forming");
    fleet.startEntry(entryHost);
    require(fleet.propose(entryHost, PutRoutes{1, "1", WallTime()}), "the first routes");
}

AcceptBulk job(std::uint64_t number, std::size_t items, std::size_t bytes)
{
    AcceptBulk command{.id = JobId{std::to_string(number)},
                       .route = "r",
                       .host = "a.example",
                       .items = {},
                       .maxAttempts = 1,
                       .dueAfter = std::chrono::hours(1),
                       .abandonAfter = std::chrono::hours(2),
                       .keepFor = std::chrono::hours(3),
                       .at = WallTime(std::chrono::milliseconds(number))};
    const auto random = seededRandom(number);
    for (std::size_t i = 0; i < items; ++i) {
        std::string body(bytes, 'x');
        for (std::size_t at = 0; at < bytes; at += sizeof(std::uint64_t)) {
            const std::uint64_t word = random();
            body.replace(at, sizeof(word), reinterpret_cast<const char *>(&word), sizeof(word));
        }
        command.items.push_back({.id = std::to_string(number) + "-" + std::to_string(i),
                                 .path = "/x",
                                 .headers = {},
                                 .body = std::move(body),
                                 .tokens = 1});
    }
    return command;
}

/// From the end of the leader to the next command that is taken.
void measureFailover(int rounds)
{
    LoopbackFleet fleet;
    form(fleet);
    std::vector<double> took;
    for (int round = 0; round < rounds; ++round) {
        const int leader = fleet.leader();
        fleet.kill(leader);
        const auto begin = std::chrono::steady_clock::now();
        const auto version = static_cast<std::uint64_t>(round) + 2;
        require(fleet.propose(entryHost, PutRoutes{version, "1", WallTime()}), "a new leader");
        took.push_back(secondsSince(begin));
        fleet.startStore(leader, false);
        require(fleet.runUntil([&] {
            return fleet.leader() != 0 && fleet.node(leader).storage()->group().leader.has_value();
        }),
                "the host that came back");
    }
    std::ranges::sort(took);
    std::printf("failover: %d rounds, to the next acknowledgement median %.2f s, most %.2f s\n",
                rounds, took[took.size() / 2], took.back());
}

/// From the start of a host with an empty disk until it votes.
void measureCatchUp(std::size_t megabytes)
{
    constexpr std::size_t itemSize = 100UL * 1024;
    LoopbackFleet fleet;
    form(fleet);
    const auto filling = std::chrono::steady_clock::now();
    for (std::uint64_t number = 1; number <= megabytes; ++number) {
        require(fleet.propose(fleet.leader(), job(number, itemsPerJob, itemSize)), "a job");
    }
    const double filled = secondsSince(filling);
    const int lost = fleet.follower();
    fleet.kill(lost);
    fleet.wipe(lost);
    const auto begin = std::chrono::steady_clock::now();
    fleet.startStore(lost, false);
    require(fleet.runUntil([&] { return fleet.isVoter(lost); }), "catching up");
    std::printf("catch-up: %zu MB, written in %.1f s, from start to vote %.2f s\n", megabytes,
                filled, secondsSince(begin));
}

std::uint64_t residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtoull(line.c_str() + std::string("VmRSS:").size(), nullptr, 10);
        }
    }
    return 0;
}

/// Jobs that are acknowledged while several are always on their way.
void measureJobs(int seconds)
{
    LoopbackFleet fleet;
    form(fleet);
    std::uint64_t next = 1;
    std::uint64_t taken = 0;
    std::size_t inFlight = 0;
    const auto begin = std::chrono::steady_clock::now();
    double reportAt = 0;
    fleet.runFor(std::chrono::seconds(seconds), [&] {
        while (inFlight < jobsInFlight) {
            ++inFlight;
            fleet.node(entryHost).control().propose(job(next++, itemsPerJob, itemBytes),
                                                    [&](const Outcome<Reply> &reply) {
                                                        --inFlight;
                                                        taken += reply.ok() ? 1 : 0;
                                                    });
        }
        if (secondsSince(begin) >= reportAt) {
            std::printf("jobs: %.0f s, %llu acknowledged, four processes' parts resident %llu kB, "
                        "disk %llu kB\n",
                        secondsSince(begin), static_cast<unsigned long long>(taken),
                        static_cast<unsigned long long>(residentKilobytes()),
                        static_cast<unsigned long long>(fleet.diskKilobytes()));
            reportAt += 10;
        }
    });
    std::printf("jobs: %.0f a second of %zu items of %zu bytes, %zu in flight\n",
                static_cast<double>(taken) / seconds, itemsPerJob, itemBytes, jobsInFlight);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine arguments("Times of a storage group on this machine.");
        TCLAP::ValueArg<int> rounds("", "failover", "Kills of the leader.", false, 0, "rounds",
                                    arguments);
        TCLAP::MultiArg<std::size_t> sizes("", "catch-up", "State that an empty disk gets.", false,
                                           "megabytes", arguments);
        TCLAP::ValueArg<int> seconds("", "jobs", "Time of load with jobs.", false, 0, "seconds",
                                     arguments);
        arguments.parse(argc, argv);
        if (rounds.getValue() > 0) {
            measureFailover(rounds.getValue());
        }
        for (const std::size_t megabytes : sizes.getValue()) {
            measureCatchUp(megabytes);
        }
        if (seconds.getValue() > 0) {
            measureJobs(seconds.getValue());
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fleet_bench: " << error.what() << '\n';
        return 1;
    }
}
