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
#include "persimmonlb/quotas/localallowance.h"
#include "persimmonlb/slots/namedlimits.h"
#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

struct SlotClientOptions {
    HostId self;
    /// Time without a response after which the broker is bypassed: about ten round trips between
    /// zones.
    Milliseconds brokerTimeout{80};
    /// Interval at which a bypassed broker is probed.
    Milliseconds probeInterval{300};
    /// Interval at which the broker is told of a limit that its view does not have.
    Milliseconds limitReportInterval{100};
    Milliseconds quotaWindow{5000}; ///< Of the quotas of customers.
    /// A request of a customer with a quota that can neither ask the broker nor be admitted here is
    /// refused for this time and a random part of it: a new broker is elected meanwhile.
    Milliseconds brokerReturn{400};
};

struct SlotClientHooks {
    /// These send a message to the broker and return false if it was certainly not sent.
    std::function<bool(const HostId &to, const SlotRequest &request)> request;
    std::function<bool(const HostId &to, const SlotEnd &end)> end;
    std::function<bool(const HostId &to, const SlotsHeld &held)> reportHeldSlots;
    std::function<bool(const HostId &to, const ServerLeaving &leaving)> reportServerLeaving;
    std::function<bool(const HostId &to, const ServerLimit &limit)> reportServerLimit
        = [](const HostId & /*to*/, const ServerLimit & /*limit*/) {
              return false;
          };
    std::function<SlotCapacity(const ServiceName &service)> capacityOf;
    /// True if the broker allocates the slots of the service; else this host chooses a server.
    std::function<bool(const ServiceName &service)> isBrokered;
    /// True if the customer has a quota, which the broker keeps.
    std::function<bool(const CustomerName &customer)> isLimited
        = [](const CustomerName & /*customer*/) {
              return false;
          };
    /// Runs a function after the current one has returned.
    std::function<void(std::function<void()>)> later;
};

/// Result of a request for a slot: a server, or the delay after which the caller should retry.
struct SlotAnswer {
    ServerId server = {}; ///< Empty: refused.
    std::string address = {};
    Milliseconds retryAfter{0};
    std::uint64_t serverBornMs = 0; ///< Which start of the server.
    bool quotaExceeded = false; ///< Why it was refused.

    bool operator==(const SlotAnswer &) const = default;
};

/// Acquires slots for an entry host: from the broker, or from the host's own view of the servers if
/// the service is not brokered or the broker is unresponsive. Not thread-safe.
class SlotClient
{
public:
    SlotClient(SlotClientOptions options, Clock clock, RandomSource random, SlotClientHooks hooks);
    SlotClient(const SlotClient &) = delete;
    SlotClient &operator=(const SlotClient &) = delete;

    /// Replaces the servers and the broker by those of a view.
    void setView(const FleetView &view);
    /// Requests a slot and returns its ticket. Calls `done` once, after this call has returned,
    /// unless end() is called first.
    std::uint64_t acquire(SlotRequest request, std::function<void(SlotAnswer)> done);
    /// Records that the server of this ticket's slot reported that it is leaving. It gets no new
    /// work from this host from now on, even if the broker cannot be notified.
    void markServerLeaving(std::uint64_t ticket);
    /// Records the limit that the server of this ticket's slot named in its response, in requests
    /// per 1,000 s; 0: none. It holds on this host at once, and for the fleet once the broker
    /// knows.
    void noteServerLimit(std::uint64_t ticket, std::uint64_t requestsPerKs);
    /// Releases a slot, or cancels a request.
    void end(std::uint64_t ticket, SlotOutcome outcome);

    /// Handles a grant of the broker, or its notice that a request is queued.
    void receive(const HostId &from, const SlotGrant &grant);
    /// Handles a refusal of the broker.
    void receive(const HostId &from, const SlotRefusal &refusal);
    /// Marks the broker as responsive. Call for every message from the leader.
    void brokerResponded(const HostId &from);
    /// Marks the broker as unresponsive if `host` is the broker.
    void brokerLost(const HostId &host);
    /// Handles timeouts and probes the broker. Call about every 20 ms.
    void tick();

private:
    struct Pending {
        SlotRequest request;
        std::function<void(SlotAnswer)> done;
        MonotonicTime requestedAt;
        bool local = false;
        bool queued = false; ///< The broker has queued it.
    };
    struct Granted {
        ServerId server;
        std::uint64_t startedAtMs = 0;
        ServiceName service;
        std::uint64_t tokens = 0;
        bool local = false;
        bool brokered = false;
        MonotonicTime grantedAt;
    };

    void requestLocally(std::uint64_t ticket);
    /// True if the request must be charged to a quota.
    [[nodiscard]] bool needsQuota(const SlotRequest &request) const;
    void requestFromBroker(std::uint64_t ticket);
    void acceptGrant(const SlotGrant &grant, bool local);
    void acceptRefusal(const SlotRefusal &refusal);
    /// Removes the pending request and calls its `done`.
    void finish(std::uint64_t ticket, SlotAnswer answer, const Granted &granted);
    /// Sends the broker all slots that this host holds of brokered services.
    void reportHeldSlots();
    /// Passes the view's servers to the local broker, with leaving servers marked as draining.
    void updateLocalServers();
    /// Notifies the broker of leaving servers that its view still lists as available.
    void reportLeavingServers();
    void reportLimits();
    /// Returns the share of a server's limit that this host may use without the broker.
    [[nodiscard]] std::uint64_t shareOfLimit(std::uint64_t requestsPerKs) const;
    [[nodiscard]] bool isBrokerResponsive() const;

    SlotClientOptions options_;
    Clock clock_;
    RandomSource random_;
    SlotClientHooks hooks_;
    SlotBroker localBroker_;
    LocalAllowance allowance_;
    std::vector<FleetServer> servers_; ///< From the view.
    LeavingServers leaving_;
    /// Leaving servers that the view does not mark as draining.
    std::vector<ServerLeaving> unreportedLeaving_;
    NamedLimits limits_;
    HostId broker_;
    std::uint64_t brokerTerm_ = 0;
    bool brokerUnresponsive_ = true;
    MonotonicTime nextProbe_;
    std::size_t entryHostCount_ = 1;
    std::uint64_t nextTicket_ = 1;
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::uint64_t, Granted> granted_;
};

} // namespace persimmonlb
