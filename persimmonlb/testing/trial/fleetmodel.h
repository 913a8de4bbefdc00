#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonlb/base/ids.h"
#include "persimmonlb/testing/enginemodel.h"
#include "persimmonlb/testing/virtualtime.h"

namespace persimmonlb::trial
{

/// Told to the sender of a run.
struct RunHooks {
    std::function<void(std::uint32_t index, bool last)> event;
    std::function<void()> lost; ///< The server went away.
};

struct FleetModelOptions {
    std::size_t servers = 9;
    EngineOptions engine;
    /// Relative speeds of the servers, in turn; empty: all alike.
    std::vector<double> speeds = {};
    std::size_t zones = 0; ///< Of equal size; 0: the servers have no zone.
    Microseconds network{1000}; ///< One way between a host and a server.
    Microseconds firstStep{12000}; ///< Of each run, beside the model's own; gives the sites' 60 ms.
};

/// Engines that run in virtual time, each as EngineModel says. Not thread-safe.
class FleetModel
{
public:
    FleetModel(FleetModelOptions options, VirtualTime &time);
    FleetModel(const FleetModel &) = delete;
    FleetModel &operator=(const FleetModel &) = delete;

    /// Sends a run that begins with event `first` and ends with event `events` - 1.
    std::uint64_t start(std::size_t server, std::string prompt, std::uint32_t first,
                        std::uint32_t events, RunHooks hooks);
    void cancel(std::uint64_t run);
    /// The server loses all runs and takes none until it is back.
    void setUp(std::size_t server, bool up);
    /// Steps of the server that begin from now on last so many times longer.
    void setSlowdown(std::size_t server, double factor);

    [[nodiscard]] bool isUp(std::size_t server) const;
    [[nodiscard]] std::size_t size() const;
    /// Returns an empty name if the servers have no zone.
    [[nodiscard]] AvailabilityZone zoneOf(std::size_t server) const;
    [[nodiscard]] std::size_t zones() const;
    [[nodiscard]] std::uint32_t slots() const;
    /// Memory of each server in tokens; 0: not limited.
    [[nodiscard]] std::uint64_t memoryTokens() const;
    /// Runs and waiting requests of the server.
    [[nodiscard]] std::uint32_t load(std::size_t server) const;
    [[nodiscard]] std::uint64_t promptTokens() const;
    [[nodiscard]] std::uint64_t cachedTokens() const;

private:
    struct Server {
        std::unique_ptr<EngineModel> engine;
        bool up = true;
        bool stepping = false;
        std::uint64_t life = 0;
        double slowdown = 1;
    };
    struct Run {
        std::size_t server = 0;
        RunHooks hooks;
    };

    [[nodiscard]] std::unique_ptr<EngineModel> makeEngine(std::size_t server) const;
    void step(std::size_t server);
    void deliver(const EngineToken &token);

    FleetModelOptions options_;
    VirtualTime &time_;
    std::vector<Server> servers_;
    std::map<std::uint64_t, Run> runs_;
    std::uint64_t nextRun_ = 1;
};

} // namespace persimmonlb::trial
