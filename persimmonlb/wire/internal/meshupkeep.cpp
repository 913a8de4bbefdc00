// The half of MeshCore that keeps connections up and sends over them.
#include <algorithm>
#include <utility>

#include "persimmonlb/wire/internal/meshcore.h"

namespace persimmonlb::internal
{

namespace
{

constexpr Milliseconds tickInterval{250};
/// A connection on which nothing arrived for so long is pinged at the next tick.
constexpr Milliseconds pingInterval{400};
/// A connection on which nothing arrives for so long is dead: two pings were not answered.
constexpr Milliseconds silenceLimit{1500};
constexpr Milliseconds handshakeLimit{2000};
/// The host with the higher id leaves the first move to the other one.
constexpr int higherIdDelayFactor = 3;

} // namespace

// ---- dialling -----------------------------------------------------------------------------

void MeshCore::addPeer(const MeshPeer &peer)
{
    if (peer.host == options_.self || !isValidHostId(peer.host)) {
        return;
    }
    Peer &entry = peers_[peer.host];
    entry.dialsBack = peer.dialsBack;
    if (entry.address == peer.address) {
        return;
    }
    entry.address = peer.address;
    scheduleDial(peer.host, true);
}

void MeshCore::removePeer(const HostId &host)
{
    peers_.erase(host);
    std::vector<LinkId> dialled;
    for (const auto &[id, link] : links_) {
        if (!link.incoming && link.handshake.peer() == host) {
            dialled.push_back(id);
        }
    }
    for (const LinkId id : dialled) {
        drop(id, "not needed any more");
    }
}

void MeshCore::scheduleDial(const HostId &host, bool first)
{
    Peer &peer = peers_.at(host);
    if (peer.dialScheduled) {
        return;
    }
    peer.dialScheduled = true;
    const bool peerIsLower = host < options_.self && peer.dialsBack;
    peer.reconnect = first ? options_.firstReconnect
                           : std::min(2 * peer.reconnect, options_.reconnectInterval);
    Milliseconds delay = first ? Milliseconds(0) : jittered(peer.reconnect);
    if (peerIsLower) {
        delay = jittered(options_.reconnectInterval * higherIdDelayFactor);
    }
    endpoint_->after(delay, [this, host] {
        const auto found = peers_.find(host);
        if (found == peers_.end()) {
            return; // Removed meanwhile.
        }
        found->second.dialScheduled = false;
        dial(host);
    });
}

void MeshCore::dial(const HostId &host)
{
    Peer &peer = peers_.at(host);
    if (peer.dialling != 0 || active_.contains(host)) {
        return;
    }
    const LinkId id = endpoint_->dial(peer.address);
    peer.dialling = id;
    Link link{.incoming = false,
              .handshake = Handshake::dial({options_.self, options_.sharedKey}, host, nonces_),
              .lastHeard = std::chrono::steady_clock::now(),
              .outbox = nullptr,
              .partial = {},
              .undelivered = std::make_shared<std::atomic<std::uint64_t>>(0)};
    links_.emplace(id, std::move(link));
}

Milliseconds MeshCore::jittered(Milliseconds interval)
{
    // From half to one and a half of the interval.
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, interval.count()));
    return interval / 2 + Milliseconds(static_cast<std::int64_t>(random_() % range));
}

// ---- heartbeat ----------------------------------------------------------------------------

void MeshCore::scheduleTick()
{
    endpoint_->after(tickInterval, [this] {
        tick();
        scheduleTick();
    });
}

void MeshCore::tick()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<LinkId> silent;
    for (const auto &[id, link] : links_) {
        const auto limit = link.handshake.done() ? silenceLimit : handshakeLimit;
        if (now - link.lastHeard > limit && !link.paused) {
            silent.push_back(id);
            continue;
        }
        // What arrived lately proves as much as the answer to a ping; each end's ping spares the
        // other one its own.
        if (link.handshake.done() && now - link.lastHeard >= pingInterval) {
            endpoint_->ping(id);
        }
    }
    for (const LinkId id : silent) {
        closed(id, "no heartbeat");
    }
}

// ---- sending ------------------------------------------------------------------------------

void MeshCore::flush(const std::shared_ptr<Outbox> &outbox)
{
    std::vector<std::string> messages;
    {
        const std::lock_guard lock(outbox->mutex);
        messages.swap(outbox->messages);
    }
    for (std::string &message : messages) {
        const std::size_t size = message.size();
        std::size_t start = 0;
        while (size - start > maxFramePayload) {
            std::string frame = message.substr(start, maxFramePayload);
            frame += moreFrames;
            endpoint_->send(outbox->link, std::move(frame), outbox->unsent);
            start += maxFramePayload;
        }
        std::string frame = start == 0 ? std::move(message) : message.substr(start);
        frame += lastFrame;
        endpoint_->send(outbox->link, std::move(frame), outbox->unsent);
        outbox->unsent->fetch_sub(size);
    }
}

} // namespace persimmonlb::internal
