#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/internal/entryparts.h"
#include "persimmonlb/serving/callerrequest.h"
#include "persimmonlb/state/pick.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds stopConfirmationTimeout{2000};
/// For a batch item to get the right to run as a suspect.
constexpr Milliseconds permitTimeout{5000};

} // namespace

void EntryRole::Parts::fetchEntryState(std::function<void(Outcome<EntryStateAnswer>)> done)
{
    control.query(EntryStateQuery{}, [done = std::move(done)](const Outcome<Answer> &answer) {
        done(pick<EntryStateAnswer>(answer));
    });
}

SuspectsHooks EntryRole::Parts::suspectsHooks()
{
    SuspectsHooks hooks;
    hooks.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        control.propose(command, std::move(done));
    };
    hooks.after = [this](Milliseconds delay, std::function<void()> fn) {
        deps.timers.after(delay, std::move(fn));
    };
    hooks.fetchState = [this](std::function<void(Outcome<EntryStateAnswer>)> done) {
        fetchEntryState(std::move(done));
    };
    hooks.probe
        = [this](const ServerId &id, std::function<void(Outcome<ServerAnnouncement>)> done) {
              const auto known = servers.find(id);
              if (!known) {
                  done(makeError(ResultCode::NotFound, "no server " + id.value));
                  return;
              }
              askState(id, known->announcement.address, std::move(done));
          };
    return hooks;
}

LeaseKeeperHooks EntryRole::Parts::leaseHooks()
{
    LeaseKeeperHooks hooks;
    hooks.send = deps.send;
    hooks.fetchSheet = [this](std::function<void(Outcome<SheetAnswer>)> done) {
        control.query(SheetQuery{}, [done = std::move(done)](const Outcome<Answer> &answer) {
            done(pick<SheetAnswer>(answer));
        });
    };
    hooks.fetchEntryState = [this](std::function<void(Outcome<EntryStateAnswer>)> done) {
        fetchEntryState(std::move(done));
    };
    hooks.sheetChanged = [this](const std::shared_ptr<const Sheet> &sheet) {
        quota.setSheet(sheet);
    };
    hooks.entryStateChanged = [this](const EntryStateAnswer &state) {
        suspects.setState(state);
        dispatcher.cancelJobs(state.cancelledRecently);
    };
    hooks.hostsChanged = [this](const std::vector<EntryHostInfo> &hosts) {
        const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts.size()));
        quota.setHostCount(count);
        router.setHostCount(count);
        deps.hostsChanged(hosts);
    };
    hooks.workWaits = [this](const std::vector<ServiceName> &waiting) {
        dispatcher.notifyPendingWork(waiting);
    };
    hooks.drainRequested = [this](bool draining) {
        if (draining) {
            drain.begin();
        } else {
            drain.undo();
        }
    };
    return hooks;
}

ApiDeps EntryRole::Parts::apiDeps()
{
    ApiDeps api;
    api.clock = deps.clock;
    api.after = [this](Milliseconds delay, std::function<void()> fn) {
        deps.timers.after(delay, std::move(fn));
    };
    api.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        control.propose(command, std::move(done));
    };
    api.query = [this](const Query &query, std::function<void(Outcome<Answer>)> done) {
        control.query(query, std::move(done));
    };
    api.sheet = [this] {
        return lease.sheet();
    };
    api.admission = [this] {
        return admission();
    };
    api.refreshHosts = [this](std::function<void(Outcome<std::vector<EntryHostInfo>>)> done) {
        lease.refreshHosts(std::move(done));
    };
    api.otherHosts = [this] {
        return otherHosts();
    };
    api.refused = [this](const std::string &who, const std::string &subject, const Error &error) {
        refusals.note(who, subject, error);
    };
    return api;
}

OperatorDeps EntryRole::Parts::operatorDeps()
{
    return OperatorDeps{.operatorKey = deps.operatorKey,
                        .serversJson = [this] { return serversJson(); },
                        .groupJson = deps.control.statusJson,
                        .initGroup = deps.control.initGroup,
                        .replaceMember = deps.control.replaceMember};
}

DispatcherHooks EntryRole::Parts::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.services = [this] {
        return services();
    };
    hooks.policy = [this](const ServiceName &name) {
        const auto sheet = lease.sheet();
        const SheetService *service = sheet ? sheet->findService(name) : nullptr;
        return batchPolicyFor(service != nullptr ? service->batchPreset : BatchPreset::Latency);
    };
    hooks.kind = [this](const ServiceName &name) {
        const auto sheet = lease.sheet();
        const SheetService *service = sheet ? sheet->findService(name) : nullptr;
        return service != nullptr ? service->kind : ServiceKind::Engine;
    };
    hooks.servers = [this](const ServiceName &service) {
        return ownedServers(service);
    };
    hooks.mayStart = [this] {
        return deps.settings.batch.enabled && lease.inForce()
            && drain.stage() == DrainStage::Serving;
    };
    hooks.suspicion = [this](const std::string &fingerprint) {
        return suspects.suspicion(fingerprint);
    };
    hooks.acquirePermit = [this](const std::string &fingerprint, const ServerId &server,
                                 std::function<void(Outcome<Done>)> done) {
        const auto known = servers.find(server);
        return suspects.acquire(fingerprint, server, known ? known->announcement.incarnation : 0,
                                deps.clock.monotonic() + permitTimeout, std::move(done));
    };
    hooks.releasePermit = [this](std::uint64_t permit, PermitEnd end) {
        suspects.release(permit, end);
    };
    hooks.lease = [this](const LeaseItems &command, std::function<void(Outcome<LeaseReply>)> done) {
        control.propose(command, [done = std::move(done)](const Outcome<Reply> &reply) {
            done(pick<LeaseReply>(reply));
        });
    };
    hooks.complete
        = [this](const CompleteItems &command, std::function<void(Outcome<CompleteReply>)> done) {
              control.propose(command, [done = std::move(done)](const Outcome<Reply> &reply) {
                  done(pick<CompleteReply>(reply));
              });
          };
    hooks.send = [this](const std::string &address, HttpRequest request, Milliseconds deadline,
                        HttpExchangeHooks exchange) {
        return sendToServer(address, std::move(request), deadline, std::move(exchange));
    };
    hooks.inFlightChanged = [this](const ServerId &server, int change) {
        router.changeBatchInFlight(server, change);
    };
    hooks.headReceived = [this](const ServerId &server, const HttpResponseHead &head) {
        const auto known = servers.find(server);
        const auto limit = requestLimitOf(head);
        if (known && limit) {
            router.noteLimit(server, known->announcement.incarnation, *limit);
        }
    };
    hooks.serverLost
        = [this](const ServerId &server, const std::vector<std::string> &fingerprints) {
              const auto known = servers.find(server);
              suspects.serverLost(server, known ? known->announcement.incarnation : 0, fingerprints,
                                  [](LossVerdict) {});
          };
    return hooks;
}

OnlineHooks EntryRole::Parts::onlineHooks()
{
    OnlineHooks hooks;
    hooks.after = [this](Milliseconds delay, std::function<void()> fn) {
        deps.timers.after(delay, std::move(fn));
    };
    hooks.sendToServer = [this](const std::string &address, HttpRequest request,
                                Milliseconds deadline, HttpExchangeHooks exchange) {
        return sendToServer(address, std::move(request), deadline, std::move(exchange));
    };
    hooks.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        control.propose(command, std::move(done));
    };
    hooks.sheet = [this] {
        return lease.sheet();
    };
    hooks.admission = [this] {
        return admission();
    };
    hooks.recordRefusal
        = [this](const CallerName &caller, const ServiceName &service, const Error &error) {
              refusals.note(caller.value, service.value, error);
          };
    hooks.otherHosts = [this] {
        return otherHosts();
    };
    hooks.ended = [this](const RequestEnd &end) {
        noteRequestEnd(end);
    };
    hooks.blockedFor = [this](const std::vector<std::uint64_t> &parts) {
        return deps.crashes.blockedFor(parts);
    };
    hooks.requestSent = [this](const std::vector<std::uint64_t> &parts) {
        deps.crashes.recordSent(parts);
    };
    hooks.runJudged = [this](const RunVerdict &verdict) {
        verdicts.record(verdict);
    };
    return hooks;
}

DrainHooks EntryRole::Parts::drainHooks()
{
    DrainHooks hooks;
    hooks.withdraw = [this] {
        LogLine(LogLevel::Info, "drain_began").write();
        lease.setDraining(true);
        dispatcher.setDraining(true);
        if (server) {
            server->setCloseAfterAnswers(true);
        }
    };
    hooks.restore = [this] {
        LogLine(LogLevel::Info, "drain_undone").write();
        lease.setDraining(false);
        dispatcher.setDraining(false);
        if (server) {
            server->setCloseAfterAnswers(false);
        }
    };
    hooks.withdrawalKnown = [this] {
        return lease.withdrawalKnown();
    };
    hooks.close = [this] {
        LogLine(LogLevel::Info, "drain_closing").write();
        if (server) {
            server->stopListening();
            server->closeIdleConnections();
        }
    };
    hooks.idle = [this] {
        const std::size_t open = server ? server->openConnections() : 0;
        return open == 0 && online.openRequests() == 0 && dispatcher.heldItems() == 0
            && refusals.unshipped() == 0;
    };
    hooks.stopped = [this] {
        LogLine(LogLevel::Info, "drain_ended").write();
        stopping = true;
        stopDeadline = deps.clock.monotonic() + stopConfirmationTimeout;
        lease.announceStopped();
    };
    return hooks;
}

} // namespace persimmonlb
