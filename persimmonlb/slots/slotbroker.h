#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

struct SlotBrokerOptions {
    AvailabilityZone availabilityZone; ///< Of this host, which sends batch runs.
    /// Share of a service's slots that batch leaves free, so that the usual swing of online
    /// requests does not cut batch runs; not kept against runs that would miss their due time.
    double batchReserve = 0.06;
    /// Time that a slot is held before any was given back: an answer of some 300 tokens.
    Milliseconds initialHold{900};
    /// How much longer a request that came back may wait than its objective allows: refusing it
    /// again serves its caller worse than a late answer.
    Milliseconds returnedGrace{600};
    /// A server that cannot be reached rests for so long, twice as long each time in a row.
    Milliseconds firstRest{400};
    Milliseconds longestRest{4000};
    /// A server that refused although a slot seemed free is asked again after this.
    Milliseconds refusalRest{40};
    /// What a server says of requests that nobody here sent holds for so long.
    Milliseconds foreignMemory{1200};
    Milliseconds loadAge{400}; ///< "Some hundred milliseconds" by the platform's page.
    std::uint32_t failuresUntilRest = 2; ///< In a row; one alone may be the request's fault.
    std::size_t maxQueued = 4096; ///< Requests that wait, of all services.
};

/// What a batch run takes up.
struct BatchRunSlot {
    ServerId server;
    std::uint64_t tokens = 0;

    bool operator==(const BatchRunSlot &) const = default;
};

struct SlotBrokerHooks {
    /// Also told, without a server, when a request begins to wait.
    std::function<void(const HostId &to, const SlotGrant &grant)> grant;
    std::function<void(const HostId &to, const SlotRefusal &refusal)> refuse;
    /// Ends the batch run of the service that loses least by it and returns its slot; nothing
    /// when no run may be ended. The broker then counts its slot as free.
    std::function<std::optional<BatchRunSlot>(const ServiceName &service)> yieldBatch;
    /// A slot that batch may take is free.
    std::function<void(const ServiceName &service)> batchMayStart;
};

/// What the routes in force say of a service's servers.
struct SlotCapacity {
    std::uint32_t slots = 0; ///< Of one server; 0: as it announces.
    std::uint64_t cacheTokens = 0; ///< Of one server; 0: not bounded.
    bool stopsRuns = false; ///< Runs that nobody waits for can be ended by their ids.

    bool operator==(const SlotCapacity &) const = default;
};

/// How the slots of a service are used.
struct SlotUsage {
    std::uint32_t slots = 0; ///< Of servers that neither drain nor rest.
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    std::uint32_t foreign = 0; ///< Taken by requests of senders that are gone.
    std::uint32_t servers = 0;
    std::uint32_t unusable = 0; ///< Servers that drain or rest.
    std::size_t waiting = 0; ///< Requests.

    bool operator==(const SlotUsage &) const = default;
};

/// Gives out the slots of every engine server, one request a slot.
///
/// One broker sees all slots of a service, so it knows at once whether a request can start in
/// time: it is granted a slot, waits for one in order of priority and time, or is refused when
/// what waits before it takes longer than its objective. Batch runs fill free slots and are ended
/// when online requests need them.
///
/// Its state is soft: entry hosts tell a new broker what they hold. Not thread-safe; time comes
/// through the clock.
class SlotBroker
{
public:
    SlotBroker(SlotBrokerOptions options, Clock clock, RandomSource random, SlotBrokerHooks hooks);
    SlotBroker(const SlotBroker &) = delete;
    SlotBroker &operator=(const SlotBroker &) = delete;

    /// The servers that live now. One that is new or has another start begins without history.
    void setServers(const std::vector<FleetServer> &servers,
                    const std::function<SlotCapacity(const ServiceName &)> &capacityOf);
    /// Drops all that is known of slots: another process was the broker meanwhile.
    void reset();

    void request(const HostId &from, const SlotRequest &request);
    void end(const HostId &from, const SlotEnd &end);
    /// Replaces what is known of the slots of an entry host.
    void held(const HostId &from, const SlotsHeld &held);
    /// The entry host is gone, and its requests with it.
    void hostLost(const HostId &host);
    /// Refuses what waited too long, ends rests. Call each 20 ms or so.
    void tick();

    /// Takes a slot for a batch run. `urgent`: the run would miss its due time by waiting.
    std::optional<ServerId> takeForBatch(const ServiceName &service, std::uint64_t tokens,
                                         bool urgent);
    /// A batch run ended by itself.
    void batchEnded(const BatchRunSlot &run, SlotOutcome outcome);
    /// A server says how many requests run or wait there, whoever sent them: what is not known here
    /// was sent by a broker or an entry host that is gone, and takes up slots for a while.
    void noteLoad(const ServerId &server, std::uint32_t requests);
    /// A request that nobody here sent was ended.
    void noteForeignEnd(const ServerId &server);
    /// Slots that batch may take now; `urgent` as in takeForBatch().
    [[nodiscard]] std::uint32_t roomForBatch(const ServiceName &service, bool urgent) const;
    /// Address of a server, or empty.
    [[nodiscard]] std::string addressOf(const ServerId &server) const;
    /// Which start of a server the broker knows, or 0.
    [[nodiscard]] std::uint64_t bornOf(const ServerId &server) const;

    /// Requests that wait for a slot of the service.
    [[nodiscard]] std::size_t waiting(const ServiceName &service) const;
    [[nodiscard]] SlotUsage usage(const ServiceName &service) const;
    [[nodiscard]] std::vector<ServiceName> services() const;
    /// Slots of the service that nothing holds, on servers that take requests.
    [[nodiscard]] std::uint32_t freeSlots(const ServiceName &service) const;

private:
    struct Server {
        FleetServer info;
        SlotCapacity capacity;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint32_t foreign = 0; ///< Requests of senders that are gone.
        /// Most requests of ours in the present and the last part of `loadAge`: what a server says
        /// is as old as that.
        std::uint32_t peak = 0;
        std::uint32_t peakBefore = 0;
        MonotonicTime peakSince;
        MonotonicTime foreignUntil;
        std::uint64_t tokens = 0;
        std::uint32_t failures = 0; ///< In a row.
        bool onTrial = false; ///< After a rest: one request until one succeeds.
        MonotonicTime restsUntil;
        double holdMs = 0; ///< Smoothed; 0: none yet.
        std::unordered_set<std::uint64_t> warm; ///< Prompt parts sent lately.
        std::unordered_set<std::uint64_t> warmBefore;
    };
    struct Waiting {
        HostId host;
        SlotRequest request;
        MonotonicTime startBy;
        MonotonicTime giveUpAt;
    };
    struct Ticket {
        HostId host;
        std::uint64_t number = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
        auto operator<=>(const Ticket &) const = default;
    };
    struct Held {
        ServerId server;
        std::uint64_t tokens = 0;
        MonotonicTime grantedAt;
    };
    using Queue = std::list<Waiting>;
    struct Service {
        Queue queue; ///< Ordered by priority and startBy.
        double holdMs = 0;
        /// Up to then the slots that are kept for callers that come back are promised.
        MonotonicTime nextAppointment;
        std::vector<Server *> servers; ///< Of servers_.
        /// When each held slot was granted, in this order. The first one ends first, as all are
        /// held about as long.
        std::vector<MonotonicTime> grants;
    };

    /// Neither drains nor rests.
    [[nodiscard]] static bool isUsable(const Server &server, MonotonicTime now);
    [[nodiscard]] static bool takes(const Server &server, std::uint64_t tokens, MonotonicTime now);
    [[nodiscard]] static std::uint32_t slotsOf(const Server &server);
    /// Requests of senders that are gone, as far as it is known.
    [[nodiscard]] static std::uint32_t foreignOf(const Server &server, MonotonicTime now);
    /// Slots that are taken, by anybody.
    [[nodiscard]] static std::uint32_t takenOf(const Server &server, MonotonicTime now);
    [[nodiscard]] static double costOf(const Server &server, const SlotRequest &request,
                                       double usualHoldMs, MonotonicTime now);
    /// Empty for a service without servers.
    [[nodiscard]] const std::vector<Server *> &serversOf(const ServiceName &service) const;
    [[nodiscard]] Server *bestFor(const SlotRequest &request);
    /// Of servers that neither drain nor rest, whether taken or free.
    [[nodiscard]] std::uint32_t usableSlots(const ServiceName &service) const;
    [[nodiscard]] Milliseconds usualHold(const ServiceName &service) const;
    /// Until the slot that is left by those ahead comes free.
    [[nodiscard]] Milliseconds expectedWait(const ServiceName &service, std::size_t ahead) const;
    [[nodiscard]] std::size_t queuedAhead(const Service &service, const SlotRequest &request) const;
    bool tryGrant(const HostId &host, const SlotRequest &request);
    void grant(const HostId &host, const SlotRequest &request, Server &server);
    void refuse(const HostId &host, const SlotRequest &request, Milliseconds wait);
    /// When the caller of a refused request should come back: at the first time for which slots are
    /// not yet promised to others.
    Milliseconds appointment(const SlotRequest &request, Milliseconds wait);
    void enqueue(const HostId &host, const SlotRequest &request);
    /// Serves by priority; of one priority those that can still start in time first. Serving a late
    /// one first would make the next ones late as well.
    void serveQueue(const ServiceName &service);
    /// Serves from `first` to before `last` until no slot is left; false then.
    bool serveRange(Queue &queue, Queue::iterator first, Queue::iterator last);
    /// Refuses requests that wait and, by what is known now, cannot start before their callers are
    /// gone: slots were lost, or others that can be in time go first.
    void refuseHopeless(const ServiceName &name, Service &service);
    void noteGrant(const Server &server, MonotonicTime at);
    void release(const Held &held);
    void releaseBatch(const BatchRunSlot &run);
    /// Call before and after each change of a server's requests.
    void notePeak(Server &server);
    void noteOutcome(Server &server, SlotOutcome outcome);
    void noteHold(Server &server, double heldMs);
    static void warmUp(Server &server, const SlotRequest &request);

    SlotBrokerOptions options_;
    Clock clock_;
    RandomSource random_;
    SlotBrokerHooks hooks_;
    std::map<ServerId, Server> servers_;
    std::map<ServiceName, Service> services_;
    std::map<Ticket, Held> held_;
    std::size_t queued_ = 0;
};

} // namespace persimmonlb
