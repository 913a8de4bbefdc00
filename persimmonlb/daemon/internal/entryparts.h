#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/api/batchapi.h"
#include "persimmonlb/api/operatorapi.h"
#include "persimmonlb/api/refusalbuffer.h"
#include "persimmonlb/control/controlclient.h"
#include "persimmonlb/control/leasekeeper.h"
#include "persimmonlb/crashes/runverdictreporter.h"
#include "persimmonlb/daemon/drain.h"
#include "persimmonlb/daemon/entryrole.h"
#include "persimmonlb/dispatch/dispatcher.h"
#include "persimmonlb/http/reportedcallermemory.h"
#include "persimmonlb/http/target.h"
#include "persimmonlb/membership/directory.h"
#include "persimmonlb/membership/servertable.h"
#include "persimmonlb/routing/quota.h"
#include "persimmonlb/routing/router.h"
#include "persimmonlb/routing/suspects.h"
#include "persimmonlb/serving/onlineservice.h"

namespace persimmonlb
{

/// The parts of an entry host and how they are wired. Constructed in the order in which one uses
/// another.
struct EntryRole::Parts {
    explicit Parts(EntryRoleDeps used);
    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;
    ~Parts();

    // How the parts see this host (entryparts.cpp).
    [[nodiscard]] std::optional<Error> admission() const;
    [[nodiscard]] std::vector<std::string> otherHosts() const;
    [[nodiscard]] std::vector<EntryHostInfo> listedHosts() const;
    [[nodiscard]] std::vector<HostId> dispatchHosts(const ServerId &server) const;
    /// The entry host that sends batch items to the server; empty when none hears it.
    [[nodiscard]] HostId batchOwner(const ServerId &server) const;
    [[nodiscard]] std::vector<DispatchServer> ownedServers(const ServiceName &service) const;
    [[nodiscard]] std::vector<ServiceName> services() const;
    std::unique_ptr<HttpExchange> sendToServer(const std::string &address, HttpRequest request,
                                               Milliseconds deadline, HttpExchangeHooks hooks);

    // Hooks between the parts (entrywiring.cpp).
    void fetchEntryState(std::function<void(Outcome<EntryStateAnswer>)> done);
    SuspectsHooks suspectsHooks();
    LeaseKeeperHooks leaseHooks();
    ApiDeps apiDeps();
    OperatorDeps operatorDeps();
    DispatcherHooks dispatcherHooks();
    OnlineHooks onlineHooks();
    DrainHooks drainHooks();
    void registerHost();
    /// Reports how runs ended, again to a new leader.
    void tickVerdicts();

    // HTTP (entryhttp.cpp).
    void handle(HttpRequest request, const ResponderPtr &responder);
    void handleAnnounce(const HttpRequest &request, const ResponderPtr &responder);
    void handleDirectory(const HttpRequest &request, const HttpTarget &target,
                         const ResponderPtr &responder);
    void handleHealth(const std::string &path, const ResponderPtr &responder);
    void refuse(const HttpRequest &request, const Error &error, const ResponderPtr &responder);
    [[nodiscard]] std::string serversJson() const;

    // Periodic work and notes (entryupkeep.cpp).
    void sendDigests();
    void probeServers();
    void askState(const ServerId &id, const std::string &address,
                  std::function<void(Outcome<ServerAnnouncement>)> done);
    void endLostServers();
    void yieldBatch(const ServerId &server, std::uint32_t slots);
    void noteRequestEnd(const RequestEnd &end);
    void updateGauges();

    EntryRoleDeps deps;
    ControlClient control;
    RefusalBuffer refusals;
    ServerTable servers;
    std::unique_ptr<HttpClient> client;
    Router router;
    QuotaLimiter quota;
    Suspects suspects;
    RunVerdictReporter verdicts;
    HostId verdictsSentTo; ///< The leader.
    LeaseKeeper lease;
    OnlineService online;
    Dispatcher dispatcher;
    BatchApi batches;
    OperatorApi operators;
    Drain drain;
    std::shared_ptr<CallerMemory> callerMemory
        = makeReportedCallerMemory(deps.settings.entry.callerMemoryBytes, deps.metrics);
    std::unique_ptr<HttpServer> server;
    std::map<std::uint64_t, std::unique_ptr<HttpExchange>> probes; ///< GET /state under way.
    std::uint64_t nextProbe = 1;
    std::set<ServerId> probing;
    bool registered = false;
    MonotonicTime nextDigest;
    MonotonicTime nextServerTick;
    MonotonicTime nextAudit;
    MonotonicTime stopDeadline;
    bool stopping = false;
};

} // namespace persimmonlb
