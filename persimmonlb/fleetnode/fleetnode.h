#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/control/controlclient.h"
#include "persimmonlb/fleetnode/fleetface.h"
#include "persimmonlb/fleetnode/fleetsettings.h"
#include "persimmonlb/fleetnode/fleetstatus.h"
#include "persimmonlb/fleetnode/gatewayrole.h"
#include "persimmonlb/fleetnode/storagerole.h"

namespace persimmonlb
{

/// Until a command or query to the replicated group ends with an error.
inline constexpr Milliseconds controlCallTimeout{2500};

/// One process of a fleet that forms, heals and configures itself: takes callers, stores, or both.
///
/// Example:
///   FleetNode node(context, settings, [&](FleetNode &self) { return makeFace(self); });
///   BOOST_LEAF_CHECK(node.start());
///   return node.run();
///
/// Used on the thread that runs the context.
class FleetNode
{
public:
    FleetNode(boost::asio::io_context &context, FleetSettings settings,
              const std::function<FleetFace(FleetNode &)> &makeFace);
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;
    ~FleetNode();

    /// Errors: AddressInUse, SettingsInvalid, DataFolderUnusable.
    Result<void> start();
    /// Runs the context until the node has stopped, and returns the exit code of the process.
    ///
    /// An exception that leaves a part restarts that part alone; one that leaves other work drops
    /// this work. More than three of either in a minute end the process.
    int run();
    /// Starts the planned stop; the context ends when it is done. Further calls have no effect.
    void stop();
    /// Ends the context at once and cuts off what runs.
    void stopNow();
    /// Takes settings that were read again; only the log level may change in a life.
    void settingsChanged(const FleetSettings &settings);

    /// What this host knows of the fleet, for operators.
    [[nodiscard]] FleetStatus status() const;
    [[nodiscard]] const FleetSettings &settings() const;
    /// Null on hosts that take no callers.
    [[nodiscard]] GatewayRole *gateway() const;
    /// Null on hosts that do not store.
    [[nodiscard]] StorageRole *storage() const;
    /// The way to the replicated group, wherever it is led.
    [[nodiscard]] ControlClient &control() const;
    [[nodiscard]] const Clock &clock() const;

private:
    struct Parts;

    std::unique_ptr<Parts> parts_;
};

} // namespace persimmonlb
