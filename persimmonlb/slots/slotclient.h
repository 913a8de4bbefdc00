#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/fleet/leavingservers.h"
#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

struct SlotClientOptions {
    HostId self;
    /// A broker that says nothing for so long is passed by: some ten round trips between zones.
    Milliseconds brokerSilence{80};
    /// How often a broker that is passed by is asked whether it answers again.
    Milliseconds probeInterval{300};
};

struct SlotClientHooks {
    /// Sends to the broker; false when it surely was not sent.
    std::function<bool(const HostId &to, const SlotRequest &request)> request;
    std::function<bool(const HostId &to, const SlotEnd &end)> end;
    std::function<bool(const HostId &to, const SlotsHeld &held)> held;
    std::function<bool(const HostId &to, const ServerLeaving &leaving)> serverLeaves;
    std::function<SlotCapacity(const ServiceName &service)> capacityOf;
    /// Services whose slots the broker gives out; others are chosen here.
    std::function<bool(const ServiceName &service)> isBrokered;
    /// Runs a function after the current one.
    std::function<void(std::function<void()>)> later;
};

/// How a request for a slot ended: a server, or how long the caller should stay away.
struct SlotAnswer {
    ServerId server; ///< Empty: refused.
    std::string address;
    Milliseconds retryAfter{0};

    bool operator==(const SlotAnswer &) const = default;
};

/// An entry host's way to a slot: through the broker, or by its own view of the servers when the
/// service is not brokered or the broker cannot be reached. Not thread-safe.
class SlotClient
{
public:
    SlotClient(SlotClientOptions options, Clock clock, RandomSource random, SlotClientHooks hooks);
    SlotClient(const SlotClient &) = delete;
    SlotClient &operator=(const SlotClient &) = delete;

    /// Takes the servers and the broker of a view.
    void setView(const FleetView &view);
    /// Asks for a slot and returns its ticket. `done` is called once, later, unless end() comes
    /// first.
    std::uint64_t acquire(SlotRequest request, std::function<void(SlotAnswer)> done);
    /// The server that holds the slot of this ticket says that it leaves: from now on it gets no
    /// new work from this host, whether or not the broker can be told.
    void serverLeaves(std::uint64_t ticket);
    /// Gives a slot back, or withdraws a request.
    void end(std::uint64_t ticket, SlotOutcome outcome);

    void receive(const HostId &from, const SlotGrant &grant);
    void receive(const HostId &from, const SlotRefusal &refusal);
    /// Anything was heard of the broker.
    void brokerHeard(const HostId &from);
    void brokerLost(const HostId &host);
    /// Call each 20 ms or so.
    void tick();

private:
    struct Pending {
        SlotRequest request;
        std::function<void(SlotAnswer)> done;
        MonotonicTime askedAt;
        bool local = false;
        bool queued = false; ///< The broker said that it waits.
    };
    struct Granted {
        ServerId server;
        std::uint64_t bornMs = 0;
        std::uint64_t tokens = 0;
        bool local = false;
        bool brokered = false;
        MonotonicTime at;
    };

    void askLocally(std::uint64_t ticket);
    void askBroker(std::uint64_t ticket);
    void grantArrived(const SlotGrant &grant, bool local);
    void refusalArrived(const SlotRefusal &refusal);
    void finish(std::uint64_t ticket, SlotAnswer answer, const Granted &granted);
    void tellHeld();
    /// Gives the servers of the view to the local choice, less those that leave.
    void refreshServers();
    /// Tells the broker of servers that leave and that its view still counts on.
    void tellLeaving();
    [[nodiscard]] bool brokerAnswers() const;

    SlotClientOptions options_;
    Clock clock_;
    SlotClientHooks hooks_;
    SlotBroker local_;
    std::vector<FleetServer> servers_; ///< Of the view.
    LeavingServers leaving_;
    std::vector<ServerLeaving> untold_; ///< Servers that leave, which the view does not say.
    HostId broker_;
    std::uint64_t brokerTerm_ = 0;
    bool brokerMute_ = true;
    MonotonicTime nextProbe_;
    std::size_t entryCount_ = 1;
    std::uint64_t nextTicket_ = 1;
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::uint64_t, Granted> granted_;
};

} // namespace persimmonlb
