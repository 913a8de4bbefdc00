#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/control/leasekeeper.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/daemon/settings.h"
#include "persimmonlb/daemon/timers.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// The parts of the operators' interface that the control role of the same process answers.
struct LocalControl {
    std::function<std::string()> statusJson;
    std::function<Outcome<Done>(const std::vector<HostId> &)> initGroup;
    std::function<void(const HostId &, const HostId &, std::function<void(Outcome<Done>)>)>
        replaceMember;
};

struct EntryRoleDeps {
    boost::asio::io_context &context;
    Timers &timers;
    Metrics &metrics;
    Settings settings;
    Owner self;
    std::string operatorKey;
    std::string backendKey;
    std::string meshAddress;
    Clock clock;
    RandomSource random;
    /// Sends to a host, this one included; false when it surely was not sent.
    std::function<bool(const HostId &to, PeerBody body)> send;
    /// Peers that are connected now.
    std::function<std::vector<HostId>()> connectedPeers;
    /// Entry hosts as the leader lists them, for new mesh connections.
    std::function<void(const std::vector<EntryHostInfo> &)> hostsChanged;
    LocalControl control;
    /// Suspects as the leader lists them; belongs to the host.
    CrashSuspectCache &crashes;
    /// A planned stop has ended.
    std::function<void()> stopped;
};

/// The role `entry`: serves callers, backend servers and operators. Used on the decision thread.
class EntryRole
{
public:
    explicit EntryRole(EntryRoleDeps deps);
    EntryRole(const EntryRole &) = delete;
    EntryRole &operator=(const EntryRole &) = delete;
    ~EntryRole();

    /// Listens. Errors: AddressInUse, SettingsInvalid.
    Result<void> startListener();
    void stopListener();

    /// Periodic work of the parts, which the supervisor guards one by one. Call each 20 ms.
    void tickMembership();
    void tickRouter();
    void tickDispatcher();
    void tickAudit();

    void receive(const HostId &from, const PeerBody &body);
    /// The connection to a peer was made anew or lost.
    void peerChanged(const HostId &peer);

    /// Starts the planned stop.
    void beginDrain();

private:
    struct Parts;

    std::unique_ptr<Parts> parts_;
};

} // namespace persimmonlb
