#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/crashes/runverdictreporter.h"
#include "persimmonlb/customers/routesproof.h"
#include "persimmonlb/daemon/drain.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/fleetnode/fleetface.h"
#include "persimmonlb/fleetnode/fleetsettings.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/relay/relayservice.h"
#include "persimmonlb/routes/calleraccess.h"
#include "persimmonlb/slots/slotclient.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct GatewayRoleDeps {
    const FleetSettings &settings;
    const FleetFace &face;
    Clock clock;
    RandomSource random;
    Metrics &metrics;
    HttpClient &client;
    CrashSuspectCache &crashes;
    std::function<bool(const HostId &to, PeerBody body)> send;
    /// The view of this host.
    std::function<const FleetView &()> view;
    /// How current the routes of this host are.
    const RoutesFreshness &freshness;
    std::function<void(std::function<void()>)> later;
    /// Asks callers to go to other hosts: answers close their connections from now on.
    std::function<void()> closeAfterAnswers;
    /// Stops listening for callers, and says what is still open.
    std::function<void()> closeListener;
    std::function<bool()> listenerIdle;
    std::function<void()> stopped;
};

/// The part of an entry host that takes callers: knows the routes and the fleet, passes requests
/// on, says where to connect, stops without cutting anybody off. Not thread-safe.
class GatewayRole
{
public:
    explicit GatewayRole(GatewayRoleDeps deps);
    GatewayRole(const GatewayRole &) = delete;
    GatewayRole &operator=(const GatewayRole &) = delete;

    /// The view of this host is another one.
    void viewChanged();
    void routesChanged(std::shared_ptr<const RouteTable> routes);
    void receive(const HostId &from, const PeerBody &body);
    void hostLost(const HostId &host);
    /// The host that leads answers, or can be sent to again.
    void leaderReached(const HostId &leader);
    void tick();
    void beginDrain();

    /// True when new callers are welcome.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isDraining() const;
    /// Addresses that a caller in this zone should use, this host's own when none is known.
    [[nodiscard]] std::vector<std::string> addressesFor(const AvailabilityZone &zone) const;
    /// Null before the first routes came.
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const;
    /// Before the first routes came: when a caller may come back and find them. Spread, so that
    /// those who are refused while a whole fleet starts do not come back all at once.
    [[nodiscard]] Milliseconds routesExpectedIn() const;
    /// Decides whether a caller with this key (empty: none) may use the routes in force, which
    /// must be there. `isPublic`: callers need no key.
    [[nodiscard]] CallerAccess accessOf(std::string_view key, bool isPublic);
    void relay(RelayRequest request, std::shared_ptr<HttpResponder> responder);
    [[nodiscard]] std::size_t openRequests() const;
    /// False if this host is stopping and may have ended before a call that takes so long.
    [[nodiscard]] bool hasTimeFor(Milliseconds call) const;

private:
    SlotClientHooks slotHooks();
    RelayHooks relayHooks();
    DrainHooks drainHooks();
    /// Sends to the leader; false if that is impossible now.
    bool sendVerdict(const RunVerdict &verdict);
    [[nodiscard]] bool isEngine(const ServiceName &service) const;
    [[nodiscard]] bool listedByLeader() const;
    [[nodiscard]] Milliseconds sinceDrain() const;
    /// End of the time in which a planned stop can still answer requests.
    [[nodiscard]] MonotonicTime lastAnswerAt() const;

    GatewayRoleDeps deps_;
    std::shared_ptr<const RouteTable> routes_;
    SlotClient slots_;
    RunVerdictReporter verdicts_;
    HostId leader_; ///< That the verdicts were sent to.
    std::uint64_t leaderTerm_ = 0;
    RelayService relay_;
    Drain drain_;
    MonotonicTime startedAt_;
    MonotonicTime drainBegan_;
    bool keysRefused_ = false; ///< For want of a proof, when a caller was decided on last.
};

} // namespace persimmonlb
