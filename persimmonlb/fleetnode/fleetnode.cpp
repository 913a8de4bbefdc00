#include "persimmonlb/fleetnode/fleetnode.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/fleetnode/internal/fleetparts.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds tickInterval{20};
/// A storage host that stops waits at least this long for calls that cross its stop.
constexpr Milliseconds storeLinger{400};
/// Of the stop grace, never used: the process must end by itself before it is killed.
constexpr Milliseconds storeExitMargin{300};
constexpr Milliseconds reportInterval{300}; ///< A fifth of the silence that drops an entry host.

} // namespace

FleetNode::FleetNode(boost::asio::io_context &context, FleetSettings settings,
                     const std::function<FleetFace(FleetNode &)> &makeFace)
    : parts_(std::make_unique<Parts>(context, std::move(settings)))
{
    parts_->face = makeFace(*this);
    parts_->makeRoles();
    Supervisor &supervisor = parts_->supervisor;
    // Open requests outlive a failure of the gateway: it has no state that a restart would mend.
    const auto nothing = [] {
    };
    const auto nothingToStart = []() -> Result<void> {
        return {};
    };
    supervisor.add({loopChild, nothingToStart, nothing});
    if (parts_->storage) {
        supervisor.add({storageChild, [parts = parts_.get()] { return parts->startStorage(); },
                        [parts = parts_.get()] {
                            parts->storage->stop();
                        }});
    }
    if (parts_->gateway) {
        supervisor.add({gatewayChild, nothingToStart, nothing});
    }
}

FleetNode::~FleetNode()
{
    if (parts_->storage) {
        parts_->storage->stop();
    }
    parts_->mesh.reset();
}

Result<void> FleetNode::start()
{
    // Connections are made while the store opens.
    BOOST_LEAF_CHECK(parts_->startMesh());
    BOOST_LEAF_CHECK(parts_->supervisor.startAll());
    BOOST_LEAF_CHECK(parts_->startListeners());
    parts_->timers.every(tickInterval, [parts = parts_.get()] { parts->tick(); });
    parts_->timers.every(reportInterval, [parts = parts_.get()] { parts->report(); });
    LogLine(LogLevel::Info, "started")
        .add("host", parts_->settings.host.value)
        .add("name", parts_->settings.name)
        .add("callers", parts_->settings.takesCallers ? "yes" : "no")
        .add("stores", parts_->settings.stores ? "yes" : "no")
        .write();
    return {};
}

int FleetNode::run()
{
    while (true) {
        try {
            parts_->context.run();
            return parts_->exitCode;
        } catch (const std::exception &error) {
            parts_->supervisor.childFailed(loopChild, error.what());
        }
    }
}

void FleetNode::stop()
{
    if (parts_->stopping) {
        return;
    }
    parts_->stopping = true;
    if (parts_->gateway) {
        parts_->gateway->beginDrain();
        parts_->report();
        return;
    }
    for (const auto &listener : parts_->listeners) {
        listener->stopListening();
        listener->closeIdleConnections();
    }
    const MonotonicTime begin = parts_->clock.monotonic();
    const Milliseconds grace = parts_->settings.stopGrace - storeExitMargin;
    parts_->timers.every(tickInterval, [this, begin, grace] {
        const auto elapsed = parts_->clock.monotonic() - begin;
        const bool isIdle = std::ranges::all_of(
            parts_->listeners, [](const auto &listener) { return listener->openRequests() == 0; });
        if (elapsed >= grace || (isIdle && elapsed >= storeLinger)) {
            stopNow();
        }
    });
}

void FleetNode::stopNow()
{
    LogLine(LogLevel::Info, "stopped").write();
    parts_->context.stop();
}

void FleetNode::settingsChanged(const FleetSettings &settings)
{
    LogLine(LogLevel::Info, "settings_reloaded").write();
    startLogging(settings.logLevel);
}

FleetStatus FleetNode::status() const
{
    return parts_->status();
}

const FleetSettings &FleetNode::settings() const
{
    return parts_->settings;
}

GatewayRole *FleetNode::gateway() const
{
    return parts_->gateway.get();
}

StorageRole *FleetNode::storage() const
{
    return parts_->storage.get();
}

ControlClient &FleetNode::control() const
{
    return parts_->control;
}

const Clock &FleetNode::clock() const
{
    return parts_->clock;
}

} // namespace persimmonlb
