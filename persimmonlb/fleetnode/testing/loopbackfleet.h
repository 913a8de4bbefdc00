#pragma once

#include <array>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/fleetnode/fleetnode.h"

namespace persimmonlb::testing
{

/// Fleet nodes in one process, each with an address of its own in 127.0.0.0/8.
///
/// Example:
///   LoopbackFleet fleet;
///   fleet.startStore(2, true);
///   BOOST_REQUIRE(fleet.runUntil([&] { return fleet.leader() != 0; }));
class LoopbackFleet
{
public:
    LoopbackFleet();
    ~LoopbackFleet();
    LoopbackFleet(const LoopbackFleet &) = delete;
    LoopbackFleet &operator=(const LoopbackFleet &) = delete;

    /// Starts the storage host 127.0.0.`number` with the data folder it had.
    void startStore(int number, bool mayForm);
    void startEntry(int number);
    /// Starts the three hosts of the first seeds with a new group; false when none of them leads.
    bool formGroup();
    /// Ends a node without a planned stop.
    void kill(int number);
    void wipe(int number);
    /// Hosts that nodes started from now on are told; 2, 3 and 4 at first.
    void setSeeds(std::vector<int> seeds);

    /// The next parses of routes on a host throw.
    void throwInParses(int number, int count);
    [[nodiscard]] int parsesLeftToThrow(int number) const;

    [[nodiscard]] FleetNode &node(int number);
    [[nodiscard]] boost::asio::io_context &context(int number);
    /// Number of the storage host that leads, or 0.
    [[nodiscard]] int leader() const;
    /// A storage host of the first three that does not lead, other than `other`.
    [[nodiscard]] int follower(int other = 0) const;
    /// True once the leader counts on the host's present store, and changes no members any more.
    [[nodiscard]] bool isVoter(int number);
    /// Lets every node work until `done` or some twenty seconds have passed.
    bool runUntil(const std::function<bool()> &done);
    /// Lets every node work for so long, and calls `step` between their turns.
    void runFor(Milliseconds time, const std::function<void()> &step);
    /// Size of all data folders.
    [[nodiscard]] std::uint64_t diskKilobytes() const;
    /// Proposes through a node, again while it is not taken; false when that took too long.
    bool propose(int through, const Command &command);

private:
    static constexpr std::array<int, 3> firstStores{2, 3, 4};

    struct Process {
        boost::asio::io_context context;
        std::unique_ptr<FleetNode> node;
        bool stores = false;
    };

    void start(int number, FleetSettings settings);
    /// Lets every node do what is due.
    void turn();
    [[nodiscard]] FleetSettings settingsFor(int number) const;

    std::filesystem::path folder_;
    std::uint16_t meshPort_;
    std::vector<int> seeds_{firstStores.begin(), firstStores.end()};
    std::map<int, int> parsesThatThrow_; ///< By host.
    std::map<int, std::unique_ptr<Process>> processes_;
};

} // namespace persimmonlb::testing
