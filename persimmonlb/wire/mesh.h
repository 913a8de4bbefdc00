#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

struct MeshPeer {
    HostId host;
    std::string address; ///< "ip:port" of its mesh listener.
    /// The peer dials this host as well, so that the one with the higher id waits for the other.
    bool dialsBack = true;

    bool operator==(const MeshPeer &) const = default;
};

struct MeshOptions {
    HostId self;
    std::string listenAddress; ///< "ip:port"; port 0 takes a free one.
    std::string sharedKey; ///< Secret of all our processes; proved by challenge, never sent.
    std::vector<MeshPeer> peers;
    /// Between dials of a peer that cannot be reached. The first ones follow faster: after a loss
    /// of power all hosts start at once, and a peer listens some milliseconds later.
    Milliseconds reconnectInterval{200};
    Milliseconds firstReconnect{25};
    std::uint64_t maxMessageBytes = 16ULL * 1024 * 1024;
    std::uint64_t maxQueuedBytesPerPeer = 64ULL * 1024 * 1024;
    /// Accepted connections that have not sent a whole upgrade request, and as many that have not
    /// proved the key. Of more the oldest are closed: a whole fleet may connect at once, and each
    /// of its hosts is through within some round trips.
    std::size_t maxUnprovedConnections = 512;
};

struct MeshHooks {
    std::function<void(const HostId &from, std::string bytes)> received;
    std::function<void(const HostId &peer)> connected;
    std::function<void(const HostId &peer)> disconnected;
    /// Runs a function on the decision thread; the other hooks are only called through it.
    std::function<void(std::function<void()>)> post;
};

/// Connections to every peer over websocketpp, with a challenge in both directions before the
/// first message. Runs on a thread of its own; send() may be called from the decision thread.
/// Messages are sent at most once and in order per connection; one that cannot be queued is
/// dropped. A host that is not among the peers and proves the shared key is connected too. A
/// peer that dies is told by disconnected within 2 seconds.
///
/// start(), send(), connectedPeers() and the destructor belong to the decision thread; no hook is
/// called after the destructor.
class Mesh
{
public:
    /// Listens and starts to connect. Errors: AddressInUse, SettingsInvalid.
    static Result<std::unique_ptr<Mesh>> start(MeshOptions options, MeshHooks hooks);

    Mesh() = default;
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;
    /// Closes every connection and joins the thread.
    virtual ~Mesh() = default;

    /// Queues a message; false when the peer is not connected or its queue is full.
    virtual bool send(const HostId &to, std::string bytes) = 0;
    /// Port of the listener.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Connects to one more peer from now on, or to a known one at another address. False when its
    /// host id is not a valid one.
    virtual bool addPeer(MeshPeer peer) = 0;
    /// Dials the peer no more and closes the connection that this host dialled. One that the peer
    /// dialled stays.
    virtual void removePeer(const HostId &host) = 0;
    /// Hosts that send() reaches now, as the hooks told. Decision thread only.
    [[nodiscard]] virtual std::vector<HostId> connectedPeers() const = 0;
};

} // namespace persimmonlb
