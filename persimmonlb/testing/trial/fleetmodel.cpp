#include "persimmonlb/testing/trial/fleetmodel.h"

#include <utility>

namespace persimmonlb::trial
{

FleetModel::FleetModel(FleetModelOptions options, VirtualTime &time)
    : options_(std::move(options))
    , time_(time)
{
    for (std::size_t i = 0; i < options_.servers; ++i) {
        Server server;
        server.engine = makeEngine(i);
        servers_.push_back(std::move(server));
    }
}

std::unique_ptr<EngineModel> FleetModel::makeEngine(std::size_t server) const
{
    EngineOptions engine = options_.engine;
    if (!options_.speeds.empty()) {
        const double speed = options_.speeds[server % options_.speeds.size()];
        const auto slower = [speed](Microseconds time) {
            return Microseconds(
                static_cast<std::int64_t>(static_cast<double>(time.count()) / speed));
        };
        engine.tokenTime = slower(engine.tokenTime);
        engine.prefillPerToken = slower(engine.prefillPerToken);
    }
    return std::make_unique<EngineModel>(engine, [](EngineRequestId) {});
}

std::uint64_t FleetModel::start(std::size_t server, std::string prompt, std::uint32_t first,
                                std::uint32_t events, RunHooks hooks)
{
    const std::uint64_t number = nextRun_++;
    runs_.emplace(number, Run{server, std::move(hooks)});
    const Microseconds until = options_.network + options_.firstStep;
    time_.after(until, [this, number, server, prompt = std::move(prompt), first, events] {
        const auto run = runs_.find(number);
        if (run == runs_.end()) {
            return;
        }
        if (!servers_[server].up) {
            const RunHooks told = std::move(run->second.hooks);
            runs_.erase(run);
            told.lost();
            return;
        }
        servers_[server].engine->submit(number, prompt, first, events);
        step(server);
    });
    return number;
}

void FleetModel::step(std::size_t number)
{
    Server &server = servers_[number];
    if (server.stepping || server.engine->idle()) {
        return;
    }
    server.stepping = true;
    const Microseconds alike = server.engine->beginStep();
    const Microseconds length(
        static_cast<std::int64_t>(static_cast<double>(alike.count()) * server.slowdown));
    time_.after(length, [this, number, life = server.life] {
        Server &stepped = servers_[number];
        if (stepped.life != life) {
            return;
        }
        stepped.stepping = false;
        const std::vector<EngineToken> tokens = stepped.engine->endStep();
        step(number);
        for (const EngineToken &token : tokens) {
            time_.after(options_.network, [this, token] { deliver(token); });
        }
    });
}

void FleetModel::deliver(const EngineToken &token)
{
    const auto run = runs_.find(token.request);
    if (run == runs_.end()) {
        return;
    }
    const RunHooks told = run->second.hooks;
    if (token.last) {
        runs_.erase(run);
    }
    told.event(token.index, token.last);
}

void FleetModel::cancel(std::uint64_t number)
{
    const auto run = runs_.find(number);
    if (run == runs_.end()) {
        return;
    }
    const std::size_t server = run->second.server;
    runs_.erase(run);
    time_.after(options_.network,
                [this, number, server] { servers_[server].engine->cancel(number); });
}

void FleetModel::setUp(std::size_t number, bool up)
{
    Server &server = servers_[number];
    server.up = up;
    if (up) {
        return;
    }
    ++server.life;
    server.stepping = false;
    server.engine = makeEngine(number);
    std::vector<RunHooks> lost;
    for (auto run = runs_.begin(); run != runs_.end();) {
        if (run->second.server != number) {
            ++run;
            continue;
        }
        lost.push_back(std::move(run->second.hooks));
        run = runs_.erase(run);
    }
    for (const RunHooks &told : lost) {
        told.lost();
    }
}

void FleetModel::setSlowdown(std::size_t server, double factor)
{
    servers_[server].slowdown = factor;
}

std::uint64_t FleetModel::memoryTokens() const
{
    return options_.engine.memoryTokens;
}

bool FleetModel::isUp(std::size_t server) const
{
    return servers_[server].up;
}

std::size_t FleetModel::size() const
{
    return servers_.size();
}

AvailabilityZone FleetModel::zoneOf(std::size_t server) const
{
    return options_.zones == 0
        ? AvailabilityZone()
        : AvailabilityZone{std::to_string(server * options_.zones / servers_.size())};
}

std::size_t FleetModel::zones() const
{
    return options_.zones;
}

std::uint32_t FleetModel::slots() const
{
    return options_.engine.slots;
}

std::uint32_t FleetModel::load(std::size_t server) const
{
    const EngineLoad load = servers_[server].engine->currentLoad();
    return load.running + load.queued;
}

std::uint64_t FleetModel::promptTokens() const
{
    std::uint64_t total = 0;
    for (const Server &server : servers_) {
        total += server.engine->counts().promptTokens;
    }
    return total;
}

std::uint64_t FleetModel::cachedTokens() const
{
    std::uint64_t total = 0;
    for (const Server &server : servers_) {
        total += server.engine->counts().cachedTokens;
    }
    return total;
}

} // namespace persimmonlb::trial
