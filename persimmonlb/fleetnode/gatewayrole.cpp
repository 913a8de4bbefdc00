#include "persimmonlb/fleetnode/gatewayrole.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/fleetnode/slotcapacity.h"

namespace persimmonlb
{

namespace
{

/// Fewer hosts in a caller's zone than this are joined by those of other zones.
constexpr std::size_t leastHostsOfAZone = 2;
/// Of the stop grace, kept for what is still being answered when the listener closes.
constexpr Milliseconds lastAnswers{1600};
/// Of the stop grace, never used: the process must end by itself before it is killed.
constexpr Milliseconds exitMargin{300};
/// Before the process ends: for the answers to requests that have not ended.
constexpr Milliseconds lastErrors{200};
/// For the leader to confirm that this host is no longer named; it may be unreachable.
constexpr Milliseconds confirmation{700};
/// From the start of all processes until each host has routes: stores are opened, a leader is
/// elected after its longest silence, routes are passed down.
constexpr Milliseconds coldStart{1000};
/// A host alone that is still without routes then has lost its parents, and waits for others.
constexpr Milliseconds leastRoutesWait{300};
constexpr Milliseconds returnSpread{500};
/// Of the time after which a key that was taken away must open nothing: a proof that the routes are
/// the newest holds for so long. The rest is left for clocks that run at different rates.
constexpr double provenShareOfRevokeTimeout = 0.9;
/// Callers may keep an answer three times as long as it says.
constexpr int answerLifetimes = 3;

Milliseconds linger(const FleetSettings &settings)
{
    return std::min(settings.answerTtl * answerLifetimes, settings.stopGrace - lastAnswers);
}

} // namespace

GatewayRole::GatewayRole(GatewayRoleDeps deps)
    : deps_(std::move(deps))
    , slots_(SlotClientOptions{.self = deps_.settings.host,
                               .quotaWindow = deps_.settings.customers.quotas.window},
             deps_.clock, deps_.random, slotHooks())
    , verdicts_(RunVerdictReporterOptions{}, deps_.clock, deps_.crashes,
                [this](const RunVerdict &verdict) { return sendVerdict(verdict); })
    , relay_(RelayOptions{.availabilityZone = deps_.settings.availabilityZone}, deps_.clock,
             deps_.random, slots_, deps_.metrics, relayHooks())
    , drain_(linger(deps_.settings), deps_.clock, drainHooks())
    , startedAt_(deps_.clock.monotonic())
{
}

bool GatewayRole::isEngine(const ServiceName &service) const
{
    const RoutedService *known = routes_ ? routes_->findService(service) : nullptr;
    return known != nullptr && known->isEngine;
}

SlotClientHooks GatewayRole::slotHooks()
{
    SlotClientHooks hooks;
    hooks.request = [this](const HostId &to, const SlotRequest &request) {
        return deps_.send(to, request);
    };
    hooks.end = [this](const HostId &to, const SlotEnd &end) {
        return deps_.send(to, end);
    };
    hooks.reportHeldSlots = [this](const HostId &to, const SlotsHeld &held) {
        return deps_.send(to, held);
    };
    hooks.reportServerLeaving = [this](const HostId &to, const ServerLeaving &leaving) {
        return deps_.send(to, leaving);
    };
    hooks.reportServerLimit = [this](const HostId &to, const ServerLimit &limit) {
        return deps_.send(to, limit);
    };
    hooks.capacityOf = [this](const ServiceName &service) {
        return slotCapacity(routes_.get(), service);
    };
    hooks.isBrokered = [this](const ServiceName &service) {
        return isEngine(service);
    };
    hooks.isLimited = [this](const CustomerName &customer) {
        return routes_ && routes_->isLimited(customer);
    };
    hooks.later = deps_.later;
    return hooks;
}

RelayHooks GatewayRole::relayHooks()
{
    return RelayHooks{.codec = deps_.face.codec,
                      .send = sendThrough(deps_.client),
                      .isEngine = [this](const ServiceName &service) { return isEngine(service); },
                      .hasSuspects = [this] { return !deps_.crashes.empty(); },
                      .blockedFor =
                          [this](const std::vector<std::uint64_t> &fingerprints) {
                              return deps_.crashes.blockedFor(fingerprints);
                          },
                      .requestSent =
                          [this](const std::vector<std::uint64_t> &fingerprints) {
                              deps_.crashes.recordSent(fingerprints);
                          },
                      .runJudged =
                          [this](const RunVerdict &verdict) {
                              verdicts_.record(verdict);
                          }};
}

bool GatewayRole::sendVerdict(const RunVerdict &verdict)
{
    const HostId &leader = deps_.view().leader;
    return !leader.empty() && deps_.send(leader, verdict);
}

DrainHooks GatewayRole::drainHooks()
{
    return DrainHooks{
        .withdraw = [] {},
        .restore = [] {},
        .withdrawalKnown = [this] { return !listedByLeader() || sinceDrain() > confirmation; },
        .close = deps_.closeListener,
        .idle =
            [this] {
                return deps_.listenerIdle() || sinceDrain() > deps_.settings.stopGrace - exitMargin;
            },
        .stopped = deps_.stopped};
}

Milliseconds GatewayRole::sinceDrain() const
{
    return std::chrono::duration_cast<Milliseconds>(deps_.clock.monotonic() - drainBegan_);
}

bool GatewayRole::listedByLeader() const
{
    return std::ranges::any_of(deps_.view().entries, [this](const FleetEntry &entry) {
        return entry.host == deps_.settings.host && !entry.draining;
    });
}

void GatewayRole::viewChanged()
{
    const FleetView &view = deps_.view();
    slots_.setView(view);
    if (view.leader != leader_ || view.term != leaderTerm_) {
        leader_ = view.leader;
        leaderTerm_ = view.term;
        verdicts_.leaderChanged();
    }
}

void GatewayRole::routesChanged(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    slots_.setView(deps_.view());
}

void GatewayRole::receive(const HostId &from, const PeerBody &body)
{
    if (const auto *grant = std::get_if<SlotGrant>(&body)) {
        slots_.receive(from, *grant);
        return;
    }
    if (const auto *refusal = std::get_if<SlotRefusal>(&body)) {
        slots_.receive(from, *refusal);
    }
}

void GatewayRole::leaderReached(const HostId &leader)
{
    slots_.brokerResponded(leader);
}

void GatewayRole::hostLost(const HostId &host)
{
    slots_.brokerLost(host);
}

void GatewayRole::tick()
{
    slots_.tick();
    verdicts_.tick();
    if (isDraining() && deps_.clock.monotonic() >= lastAnswerAt()) {
        relay_.endUnanswered();
    }
    relay_.tick();
    drain_.tick();
}

MonotonicTime GatewayRole::lastAnswerAt() const
{
    return drainBegan_ + deps_.settings.stopGrace - exitMargin - lastErrors;
}

bool GatewayRole::hasTimeFor(Milliseconds call) const
{
    return !isDraining() || deps_.clock.monotonic() + call <= lastAnswerAt();
}

void GatewayRole::beginDrain()
{
    if (drain_.stage() == DrainStage::Serving) {
        drainBegan_ = deps_.clock.monotonic();
        LogLine(LogLevel::Info, "draining")
            .add("open", static_cast<std::int64_t>(relay_.openRequests()))
            .write();
        relay_.refuseRequestsThatMayOutlast(lastAnswerAt());
        deps_.closeAfterAnswers();
        drain_.begin();
    }
}

bool GatewayRole::isDraining() const
{
    return drain_.stage() != DrainStage::Serving;
}

bool GatewayRole::isReady() const
{
    return routes_ != nullptr && deps_.view().term > 0 && !isDraining();
}

std::vector<std::string> GatewayRole::addressesFor(const AvailabilityZone &zone) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const FleetEntry &entry : deps_.view().entries) {
        const bool isSelf = entry.host == deps_.settings.host;
        if (entry.draining || (isSelf && isDraining())) {
            continue;
        }
        (entry.availabilityZone == zone ? near : far).push_back(entry.address);
    }
    if (near.size() < leastHostsOfAZone) {
        near.insert(near.end(), far.begin(), far.end());
    }
    if (near.empty() && isReady()) {
        near.push_back(deps_.settings.callerListen);
    }
    return near;
}

Milliseconds GatewayRole::routesExpectedIn() const
{
    const auto up = std::chrono::duration_cast<Milliseconds>(deps_.clock.monotonic() - startedAt_);
    const auto spread = static_cast<std::uint64_t>(returnSpread.count());
    return std::max(coldStart - up, leastRoutesWait)
        + Milliseconds(static_cast<std::int64_t>(deps_.random() % spread));
}

std::shared_ptr<const RouteTable> GatewayRole::routes() const
{
    return routes_;
}

CallerAccess GatewayRole::accessOf(std::string_view key, bool isPublic)
{
    RoutesCurrency currency;
    const CustomerSettings &customers = deps_.settings.customers;
    if (customers.failClosed) {
        const auto age = deps_.freshness.age();
        const auto maxAge = std::chrono::duration_cast<Milliseconds>(customers.revokeTimeout
                                                                     * provenShareOfRevokeTimeout);
        currency.isProven = age && *age <= maxAge;
        currency.newerExists = deps_.freshness.newest().version > routes_->version();
    }
    const CallerAccess access = checkAccess(*routes_, isPublic, key, currency);
    if (access.decision != AccessDecision::Allowed) {
        deps_.metrics.count(
            "persimmonlb_callers_refused_total",
            {{"why", access.decision == AccessDecision::UnknownKey ? "key" : "routes"}});
    }
    if (routes_->requiresKeys() && keysRefused_ != !currency.isProven) {
        keysRefused_ = !currency.isProven;
        LogLine(LogLevel::Warning, keysRefused_ ? "keys_not_honoured" : "keys_honoured_again")
            .add("routes_version", static_cast<std::int64_t>(routes_->version()))
            .write();
    }
    return access;
}

void GatewayRole::relay(RelayRequest request, std::shared_ptr<HttpResponder> responder)
{
    relay_.relay(std::move(request), std::move(responder));
}

std::size_t GatewayRole::openRequests() const
{
    return relay_.openRequests();
}

} // namespace persimmonlb
