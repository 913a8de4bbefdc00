#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/bulk/bulkrunner.h"
#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/customers/routesproof.h"
#include "persimmonlb/daemon/controlrole.h"
#include "persimmonlb/fleet/fleetregistry.h"
#include "persimmonlb/fleetnode/engineinspector.h"
#include "persimmonlb/fleetnode/fleetface.h"
#include "persimmonlb/fleetnode/fleetsaver.h"
#include "persimmonlb/fleetnode/fleetsettings.h"
#include "persimmonlb/fleetnode/fleetstatus.h"
#include "persimmonlb/fleetnode/groupcare.h"
#include "persimmonlb/fleetnode/memberidentity.h"
#include "persimmonlb/fleettree/attachments.h"
#include "persimmonlb/fleettree/leaderannouncement.h"
#include "persimmonlb/fleettree/viewfeed.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/quotas/quotaledger.h"
#include "persimmonlb/slots/slotbroker.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct StorageRoleDeps {
    const FleetSettings &settings;
    const FleetFace &face;
    Clock clock;
    RandomSource random;
    Metrics &metrics;
    HttpClient &client;
    const CrashSuspectCache &crashes;
    RoutesFreshness &freshness;
    /// Sends to a host as the member `from`, to the member `to` of the group.
    std::function<bool(const HostId &from, const HostId &to, PeerBody body)> sendToMember;
    std::function<bool(const HostId &to, PeerBody body)> send;
    std::function<void(const std::vector<HostId> &to, const PeerBody &body)> sendToSome;
    /// Takes a change of the view that this host makes as the leader.
    std::function<void(const FleetChange &change)> change;
    /// Takes routes and suspects that this host puts in force as the leader.
    std::function<void(const RoutesPush &push, std::shared_ptr<const RouteTable> table)>
        routesInForce;
    std::function<void(const CrashSuspects &told)> suspects;
    /// How old this host's last word of the leader is.
    std::function<Milliseconds()> leaderAge;
    std::function<void(std::function<void()>)> post;
    std::function<void(Milliseconds delay, std::function<void()> fn)> after;
    /// The view that was last taken from a leader.
    std::function<const FleetView &()> lastView;
};

/// The part of a storage host: a member of the replicated group, and, while it leads, the authority
/// for servers, entry hosts, slots and bulk runs. Forms the group and replaces lost members without
/// an operator. Not thread-safe.
class StorageRole
{
public:
    explicit StorageRole(StorageRoleDeps deps);
    StorageRole(const StorageRole &) = delete;
    StorageRole &operator=(const StorageRole &) = delete;
    ~StorageRole();

    /// Errors: DataFolderUnusable.
    Result<void> start();
    void stop();
    void tick();
    void receive(const HostId &from, const HostId &fromMember, const HostId &toMember,
                 const PeerBody &body);
    void hostConnected(const HostId &host);
    void hostLost(const HostId &host);
    /// The view of this host has changed; null: it was replaced.
    void viewChanged(const FleetChange *change);
    void routesChanged(const RoutesPush &push);
    /// Passes what the leader tells on to the hosts that report here.
    void passDown(const PeerBody &body);

    /// Takes a server's announcement, here or at the leader. `taken` is false while no leader is
    /// known or it does not answer.
    void announce(const ServerNotice &notice, std::function<void(bool taken)> done);
    /// Asks a storage host to leave. Errors: NotFound, BelowMinimumReady, NotLeader, NoQuorum.
    void retire(const std::string &name, std::function<void(Outcome<Done>)> done);
    /// True once the host is no member any more. Errors: NotFound, NotLeader.
    [[nodiscard]] Outcome<bool> isRetired(const std::string &name) const;

    /// The replicated group as this member knows it.
    [[nodiscard]] GroupStatus group() const;
    /// Hosts of the group that this one belongs to; they may be no seeds.
    [[nodiscard]] std::vector<HostId> members() const;
    [[nodiscard]] bool isLeader() const;
    /// Host that leads, as known here, or empty.
    [[nodiscard]] HostId leader() const;
    /// Adds what a storage host knows.
    void fillStatus(FleetStatus &status) const;
    /// What this host reports of itself as a store.
    void fillReport(HostReport &report) const;

private:
    struct HeardReport {
        HostReport report;
        MonotonicTime at;
    };
    struct PendingNotice {
        std::function<void(bool)> done;
        MonotonicTime deadline;
    };

    /// Errors: as openIdentity().
    Result<void> loadIdentity();
    void makeControl();
    Result<void> startControl();
    /// Says, for a member whose store this host had before, that it leads no more.
    void answerForFormerMember(const HostId &asking, const HostId &former, const PeerBody &body);
    void restartControl(Milliseconds delay);
    void giveUpStore();
    void leadershipChanged(bool leads);
    void leaderTick();
    void careForGroup();
    /// Tells the leader which entry hosts report here.
    void tellAttachments();
    ViewFeedHooks feedHooks();
    /// Makes the next view, when servers or hosts have changed since the last one.
    void publishView();
    /// Hosts that may not know who leads, and that others ask for the leader.
    [[nodiscard]] std::vector<HostId> hostsToInform() const;
    /// Sends the view to hosts that do not know that this one leads.
    void informHosts();
    void pushRoutes();
    void pushCrashes();
    /// Tells the broker of the servers and of what the routes say of them.
    void refreshBroker();
    /// One line a second for each service in use: what its slots do, and how many items wait.
    void logUsage();
    void receiveAsLeader(const HostId &from, const PeerBody &body);
    void takeReport(const HostId &from, const HostReport &report);
    /// Answers the last report of a host that reports here, with what is proven of the routes.
    void replyToReport(const HostId &to, const HeardReport &heard);
    /// Proves, while this host leads, that its routes are the newest.
    void proveRoutes();
    /// Tells followers of a proof at once if there was none for long.
    void passProofDown();
    void takeSlotRequest(const HostId &from, const SlotRequest &request);
    void sendGrant(const HostId &to, SlotGrant grant);
    void takeNotice(const HostId &from, const ServerNotice &notice);
    /// Takes an announcement as the leader. `done` is called once what it ends holds for every
    /// later leader too.
    void applyNotice(const ServerNotice &notice, std::function<void(bool taken)> done);
    /// A server said in an answer to this host that it leaves.
    void serverLeaves(const ServerLeaving &leaving);
    void takeLeaving(const ServerLeaving &leaving);
    void adoptFleet();
    /// Lists this host before any storage host has reported, so that the first view names one.
    void registerSelf();
    void adoptSuspects();
    /// Returns the servers and blocked suspects that the log keeps; empty if there are none.
    [[nodiscard]] FleetView savedView() const;
    FleetSaverHooks saverHooks();
    /// What the log keeps of the servers and the suspects, encoded.
    [[nodiscard]] std::string encodeSavedView() const;
    [[nodiscard]] FleetView makeView() const;
    /// The routes in force, parsed when they have changed.
    std::shared_ptr<const RouteTable> routes();
    [[nodiscard]] bool isKnownStore(const std::string &name) const;
    SlotBrokerHooks brokerHooks();
    BulkRunnerHooks runnerHooks();
    EngineInspectorHooks inspectorHooks();
    std::vector<InspectedEngine> engines();

    StorageRoleDeps deps_;
    MemberIdentity identity_;
    std::unique_ptr<ControlRole> control_;
    bool running_ = false;
    bool formationTried_ = false;
    FleetRegistry registry_;
    Attachments attachments_;
    ViewFeed feed_;
    LeaderAnnouncement announcement_;
    MonotonicTime nextAttachments_;
    std::map<HostId, HeardReport> reports_; ///< For operators; of hosts that report here.
    GroupCare care_;
    QuotaLedger quotas_;
    SlotBroker broker_;
    CrashLedger crashes_;
    BulkRunner runner_;
    EngineInspector inspector_;
    std::shared_ptr<const RouteTable> routes_;
    FleetSaver saver_;
    std::uint64_t publishedRegistry_ = 0;
    std::vector<HostId> publishedVoters_;
    MonotonicTime nextPublish_;
    MonotonicTime nextRoutesPush_;
    std::uint64_t pushedRoutes_ = 0;
    std::uint64_t pushedCrashes_ = 0;
    MonotonicTime nextCrashes_;
    bool leads_ = false;
    MonotonicTime nextCare_;
    MonotonicTime nextUsage_;
    MonotonicTime provenAt_; ///< Of the newest proof when followers were last told.
    std::uint64_t nextNotice_ = 1;
    std::map<std::uint64_t, PendingNotice> notices_;
};

} // namespace persimmonlb
