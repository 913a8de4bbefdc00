#include "persimmonlb/daemon/node.h"

#include <set>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/daemon/connectionlimits.h"
#include "persimmonlb/daemon/controlrole.h"
#include "persimmonlb/daemon/entryrole.h"
#include "persimmonlb/daemon/peermessage.h"
#include "persimmonlb/daemon/supervisor.h"
#include "persimmonlb/daemon/timers.h"
#include "persimmonlb/wire/mesh.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds tickInterval{20};
constexpr Milliseconds crashTickInterval{100};
/// At which the list of suspects is repeated, for hosts that missed it.
constexpr Milliseconds crashListInterval{1000};
constexpr RestartLimit restartLimit{.restarts = 3, .period = Milliseconds(60000)};

// Names of the supervisor's children.
constexpr const char *controlChild = "control group";
constexpr const char *meshChild = "peer mesh";
constexpr const char *entryChild = "entry";
constexpr const char *membershipChild = "membership";
constexpr const char *routerChild = "router";
constexpr const char *dispatcherChild = "batch dispatcher";
constexpr const char *auditChild = "audit";
constexpr const char *listenerChild = "listener";

/// True for messages that a control host handles.
bool isForControl(const PeerBody &body)
{
    const bool forEntry = std::holds_alternative<ControlReply>(body)
        || std::holds_alternative<LeaseGrant>(body) || std::holds_alternative<ServerDigest>(body)
        || std::holds_alternative<YieldRequest>(body);
    return !forEntry;
}

Result<void> nothingToStart()
{
    return {};
}

} // namespace

struct Node::Parts {
    Parts(boost::asio::io_context &usedContext, Settings usedSettings, NodeKeys usedKeys)
        : context(usedContext)
        , settings(std::move(usedSettings))
        , keys(std::move(usedKeys))
        , timers(context)
        , supervisor("root", restartLimit, clock, [this](const std::string &why) { fail(why); })
        , self{settings.host.id, static_cast<Incarnation>(clock.wall().time_since_epoch().count())}
        , crashes(clock, settings.host.id)
        , crashLedger(CrashLedgerOptions{}, clock)
    {
    }

    void fail(const std::string &why);
    void addChildren();
    void addEntryChildren();
    Result<void> startMesh();
    std::unique_ptr<EntryRole> makeEntry();
    bool send(const HostId &to, PeerBody body);
    void receive(const HostId &from, const PeerBody &body);
    void leadershipChanged(bool leads);
    /// As the leader: blocks parts that crash servers, and tells every host.
    void tickCrashes();
    void tick();

    boost::asio::io_context &context;
    Settings settings;
    NodeKeys keys;
    Clock clock = systemClock();
    RandomSource random = systemRandom();
    Metrics metrics;
    Timers timers;
    Supervisor supervisor;
    Owner self;
    CrashSuspectCache crashes;
    CrashLedger crashLedger; ///< Of the leader.
    bool leads = false;
    MonotonicTime nextCrashTick;
    MonotonicTime nextCrashList;
    std::uint64_t sentCrashList = 0;
    std::unique_ptr<ControlRole> control;
    std::unique_ptr<Mesh> mesh;
    std::set<HostId> connected;
    std::unique_ptr<EntryRole> entry;
    bool draining = false;
    int exitCode = 0;
};

void Node::Parts::fail(const std::string &why)
{
    LogLine(LogLevel::Error, "process_failed").add("why", why).write();
    exitCode = 1;
    context.stop();
}

bool Node::Parts::send(const HostId &to, PeerBody body)
{
    if (to == settings.host.id) {
        boost::asio::post(
            context, [this, message = std::move(body)] { receive(settings.host.id, message); });
        return true;
    }
    if (!mesh || !connected.contains(to)) {
        return false;
    }
    std::string bytes = encodeMessage(PeerMessage{defaultGroup, std::move(body), {}, {}});
    metrics.count("persimmonlb_mesh_sent_messages_total", {});
    metrics.count("persimmonlb_mesh_sent_bytes_total", {}, bytes.size());
    return mesh->send(to, std::move(bytes));
}

void Node::Parts::receive(const HostId &from, const PeerBody &body)
{
    if (const auto *suspects = std::get_if<CrashSuspects>(&body)) {
        crashes.update(*suspects);
        return;
    }
    if (const auto *verdict = std::get_if<RunVerdict>(&body)) {
        if (leads) {
            crashLedger.recordVerdict(*verdict);
        }
        return;
    }
    if (isForControl(body)) {
        supervisor.guard(controlChild, [&] { control->receive(from, body); });
        return;
    }
    supervisor.guard(entryChild, [&] { entry->receive(from, body); });
}

Result<void> Node::Parts::startMesh()
{
    MeshOptions options;
    options.self = settings.host.id;
    options.listenAddress = settings.mesh.listen;
    options.sharedKey = keys.mesh;
    options.maxUnprovedConnections = shareDescriptors(descriptorLimit()).mesh;
    for (const PeerSettings &peer : settings.mesh.peers) {
        options.peers.push_back(MeshPeer{peer.host, peer.address});
    }
    MeshHooks hooks;
    hooks.post = [this](std::function<void()> fn) {
        boost::asio::post(context, std::move(fn));
    };
    hooks.received = [this](const HostId &from, const std::string &bytes) {
        const auto message = readPeerMessage(from, bytes, metrics);
        if (!message) {
            return;
        }
        metrics.count("persimmonlb_mesh_messages_total", {});
        receive(from, message->body);
    };
    hooks.connected = [this](const HostId &peer) {
        LogLine(LogLevel::Info, "peer_connected").add("peer", peer.value).write();
        connected.insert(peer);
        supervisor.guard(entryChild, [&] { entry->peerChanged(peer); });
    };
    hooks.disconnected = [this](const HostId &peer) {
        LogLine(LogLevel::Warning, "peer_disconnected").add("peer", peer.value).write();
        connected.erase(peer);
        supervisor.guard(entryChild, [&] { entry->peerChanged(peer); });
    };
    BOOST_LEAF_ASSIGN(mesh, Mesh::start(std::move(options), std::move(hooks)));
    return {};
}

std::unique_ptr<EntryRole> Node::Parts::makeEntry()
{
    LocalControl local;
    local.statusJson = [this] {
        return control ? control->statusJson() : std::string("{}");
    };
    local.initGroup = [this](const std::vector<HostId> &members) -> Outcome<Done> {
        if (!control) {
            return makeError(ResultCode::NotFound, "this host has no control role");
        }
        return control->initGroup(members);
    };
    local.replaceMember
        = [this](const HostId &lost, const HostId &fresh, std::function<void(Outcome<Done>)> done) {
              if (!control) {
                  done(makeError(ResultCode::NotLeader, "this host has no control role"));
                  return;
              }
              control->replaceMember(lost, fresh, std::move(done));
          };
    return std::make_unique<EntryRole>(EntryRoleDeps{
        .context = context,
        .timers = timers,
        .metrics = metrics,
        .settings = settings,
        .self = self,
        .operatorKey = keys.operators,
        .backendKey = keys.backendServers,
        .meshAddress = settings.mesh.listen,
        .clock = clock,
        .random = random,
        .send = [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); },
        .connectedPeers
        = [this] { return std::vector<HostId>(connected.begin(), connected.end()); },
        .hostsChanged =
            [this](const std::vector<EntryHostInfo> &hosts) {
                for (const EntryHostInfo &host : hosts) {
                    if (host.host != settings.host.id && !host.meshAddress.empty() && mesh) {
                        mesh->addPeer(MeshPeer{host.host, host.meshAddress});
                    }
                }
            },
        .control = std::move(local),
        .crashes = crashes,
        .stopped =
            [this] {
                context.stop();
            }});
}

void Node::Parts::addChildren()
{
    if (settings.host.control) {
        control = std::make_unique<ControlRole>(ControlRoleDeps{
            .member = settings.host.id,
            .dataFolder = settings.host.dataFolder,
            .snapshotEntries = settings.control.snapshotEntries,
            .lease = settings.control.lease,
            .timeouts = {},
            .clock = clock,
            .random = random,
            .send = [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); },
            .post = [this](std::function<void()> fn) { boost::asio::post(context, std::move(fn)); },
            .failed = [this](const std::string &why) { supervisor.childFailed(controlChild, why); },
            .leadershipChanged =
                [this](bool began) {
                    leadershipChanged(began);
                }});
        supervisor.add({controlChild, [this] { return control->start(); },
                        [this] {
                            control->stop();
                        }});
    }
    supervisor.add({meshChild, [this] { return startMesh(); },
                    [this] {
                        mesh.reset();
                        connected.clear();
                    }});
    if (settings.host.entry) {
        addEntryChildren();
    }
}

void Node::Parts::addEntryChildren()
{
    supervisor.add({entryChild,
                    [this]() -> Result<void> {
                        entry = makeEntry();
                        return {};
                    },
                    [this] {
                        entry.reset();
                    }});
    for (const char *child : {membershipChild, routerChild, dispatcherChild, auditChild}) {
        supervisor.add({child, nothingToStart, [] {
                        }});
    }
    supervisor.add({listenerChild, [this] { return entry->startListener(); },
                    [this] {
                        entry->stopListener();
                    }});
}

void Node::Parts::leadershipChanged(bool began)
{
    leads = began;
    if (began) {
        crashLedger.adopt(crashes.currentSuspects());
        sentCrashList = 0;
    }
}

void Node::Parts::tickCrashes()
{
    const MonotonicTime now = clock.monotonic();
    if (!leads || now < nextCrashTick) {
        return;
    }
    nextCrashTick = now + crashTickInterval;
    crashLedger.tick();
    const bool isDue = now >= nextCrashList && !crashLedger.empty();
    if (crashLedger.version() == sentCrashList && !isDue) {
        return;
    }
    sentCrashList = crashLedger.version();
    nextCrashList = now + crashListInterval;
    std::vector<HostId> hosts(connected.begin(), connected.end());
    hosts.push_back(settings.host.id);
    CrashSuspects list = crashLedger.suspects(hosts);
    list.term = control->status().term;
    for (const HostId &host : hosts) {
        send(host, list);
    }
}

void Node::Parts::tick()
{
    supervisor.guard(controlChild, [this] {
        control->tick();
        tickCrashes();
    });
    supervisor.guard(membershipChild, [this] { entry->tickMembership(); });
    supervisor.guard(routerChild, [this] { entry->tickRouter(); });
    supervisor.guard(dispatcherChild, [this] { entry->tickDispatcher(); });
    supervisor.guard(auditChild, [this] { entry->tickAudit(); });
}

Node::Node(boost::asio::io_context &context, Settings settings, NodeKeys keys)
    : parts_(std::make_unique<Parts>(context, std::move(settings), std::move(keys)))
{
}

Node::~Node()
{
    parts_->supervisor.stopAll();
}

Result<void> Node::start()
{
    parts_->addChildren();
    BOOST_LEAF_CHECK(parts_->supervisor.startAll());
    parts_->timers.every(tickInterval, [parts = parts_.get()] { parts->tick(); });
    LogLine(LogLevel::Info, "started")
        .add("host", parts_->self.host.value)
        .add("incarnation", static_cast<std::int64_t>(parts_->self.incarnation))
        .write();
    return {};
}

void Node::stop()
{
    if (!parts_->entry) {
        stopNow();
        return;
    }
    if (!parts_->draining) {
        parts_->draining = true;
        parts_->entry->beginDrain();
    }
}

void Node::stopNow()
{
    parts_->context.stop();
}

int Node::exitCode() const
{
    return parts_->exitCode;
}

} // namespace persimmonlb
