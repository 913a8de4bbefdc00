#include "persimmonlb/wire/internal/meshcore.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb::internal
{

namespace
{

constexpr Milliseconds refusalLogInterval{1000};
/// What a message that waits for the decision thread takes besides its bytes.
constexpr std::uint64_t deliveryOverheadBytes = 256;

struct ListenAddress {
    std::string ip;
    std::uint16_t port = 0;
};

std::optional<ListenAddress> parseListenAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    ListenAddress parsed{address.substr(0, colon), 0};
    const char *end = address.data() + address.size();
    const auto number = std::from_chars(address.data() + colon + 1, end, parsed.port);
    if (number.ec != std::errc() || number.ptr != end) {
        return std::nullopt;
    }
    if (parsed.ip.starts_with('[') && parsed.ip.ends_with(']')) {
        parsed.ip = parsed.ip.substr(1, parsed.ip.size() - 2);
    }
    return parsed;
}

} // namespace

MeshCore::MeshCore(MeshOptions options, std::shared_ptr<DecisionView> view, NonceSource nonces,
                   RandomSource random)
    : options_(std::move(options))
    , view_(std::move(view))
    , postHook_(view_->hooks.post)
    , nonces_(std::move(nonces))
    , random_(std::move(random))
    , endpoint_(WebsocketEndpoint::create(
          {.opened = [this](LinkId id, bool incoming) { opened(id, incoming); },
           .received = [this](LinkId id, std::string bytes) { received(id, std::move(bytes)); },
           .heard = [this](LinkId id) { heard(id); },
           .closed =
               [this](LinkId id, const std::string &reason) {
                   closed(id, reason);
               }},
          options_.maxUnprovedConnections))
{
}

Result<void> MeshCore::listen()
{
    const auto address = parseListenAddress(options_.listenAddress);
    if (!address) {
        return fail(ResultCode::SettingsInvalid, "not an ip:port: " + options_.listenAddress);
    }
    if (!isValidHostId(options_.self)) {
        return fail(ResultCode::SettingsInvalid, "host id is empty or not printable");
    }
    if (options_.sharedKey.empty()) {
        return fail(ResultCode::SettingsInvalid, "the mesh needs a shared key");
    }
    switch (endpoint_->listen(address->ip, address->port)) {
    case ListenResult::Listening:
        break;
    case ListenResult::AddressInUse:
        return fail(ResultCode::AddressInUse, options_.listenAddress + " is in use");
    case ListenResult::Failed:
        return fail(ResultCode::SettingsInvalid, "cannot listen on " + options_.listenAddress);
    }
    for (const MeshPeer &peer : options_.peers) {
        addPeer(peer);
    }
    scheduleTick();
    return {};
}

void MeshCore::run()
{
    endpoint_->run();
}

void MeshCore::stop()
{
    endpoint_->stop();
}

void MeshCore::post(std::function<void()> function)
{
    endpoint_->post(std::move(function));
}

std::uint16_t MeshCore::port() const
{
    return endpoint_->port();
}

template <typename Function>
void MeshCore::postToDecision(Function function)
{
    postHook_([view = view_, function = std::move(function)]() mutable {
        if (view->alive) {
            function(*view);
        }
    });
}

// ---- connections --------------------------------------------------------------------------

void MeshCore::opened(LinkId id, bool incoming)
{
    if (incoming) {
        makeRoomForUnproved();
        Link link{.incoming = true,
                  .handshake = Handshake::accept({options_.self, options_.sharedKey}, nonces_),
                  .lastHeard = std::chrono::steady_clock::now(),
                  .outbox = nullptr,
                  .partial = {},
                  .undelivered = std::make_shared<std::atomic<std::uint64_t>>(0)};
        links_.emplace(id, std::move(link));
        return;
    }
    const auto found = links_.find(id);
    if (found != links_.end()) {
        found->second.lastHeard = std::chrono::steady_clock::now();
        sendHandshake(id, found->second);
    }
}

/// Drops the oldest incoming link that has not proved the key, if there are as many as may be.
void MeshCore::makeRoomForUnproved()
{
    std::size_t unproved = 0;
    std::optional<LinkId> oldest;
    for (const auto &[id, link] : links_) {
        if (!link.incoming || link.handshake.done()) {
            continue;
        }
        ++unproved;
        // Numbers rise.
        oldest = std::min(id, oldest.value_or(id));
    }
    if (oldest && unproved >= options_.maxUnprovedConnections) {
        refuse(*oldest, "too many connections that have not proved the key");
    }
}

void MeshCore::received(LinkId id, std::string bytes)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    Link &link = found->second;
    if (!link.handshake.done()) {
        advanceHandshake(id, link, bytes);
        return;
    }
    link.lastHeard = std::chrono::steady_clock::now();
    receivedFrame(id, link, std::move(bytes));
}

void MeshCore::receivedFrame(LinkId id, Link &link, std::string bytes)
{
    const char flag = bytes.empty() ? '\xff' : bytes.back();
    if (flag != lastFrame && flag != moreFrames) {
        drop(id, "frame without end mark");
        return;
    }
    bytes.pop_back();
    if (link.partial.size() + bytes.size() > options_.maxMessageBytes) {
        drop(id, "message too large");
        return;
    }
    if (flag == moreFrames) {
        link.partial += bytes;
        return;
    }
    if (!link.partial.empty()) {
        link.partial += bytes;
        bytes = std::exchange(link.partial, {});
    }
    deliver(id, link, std::move(bytes));
}

void MeshCore::deliver(LinkId id, Link &link, std::string message)
{
    const std::uint64_t size = message.size() + deliveryOverheadBytes;
    const std::uint64_t limit = options_.maxQueuedBytesPerPeer;
    if (link.undelivered->fetch_add(size) + size > limit && !link.paused) {
        link.paused = true;
        endpoint_->pauseReading(id);
    }
    postToDecision([this, id, size, limit, from = link.handshake.peer(),
                    undelivered = link.undelivered,
                    message = std::move(message)](DecisionView &view) mutable {
        const std::uint64_t before = undelivered->fetch_sub(size);
        if (before > limit / 2 && before - size <= limit / 2) {
            // The mesh is alive in here, and so is this object.
            post([this, id] { resume(id); });
        }
        view.hooks.received(from, std::move(message));
    });
}

void MeshCore::resume(LinkId id)
{
    const auto found = links_.find(id);
    if (found == links_.end() || !found->second.paused) {
        return;
    }
    found->second.paused = false;
    found->second.lastHeard = std::chrono::steady_clock::now();
    endpoint_->resumeReading(id);
}

void MeshCore::heard(LinkId id)
{
    const auto found = links_.find(id);
    if (found != links_.end() && found->second.handshake.done()) {
        found->second.lastHeard = std::chrono::steady_clock::now();
    }
}

void MeshCore::closed(LinkId id, const std::string &reason)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    const Link &link = found->second;
    const auto peer = peers_.find(link.handshake.peer());
    const bool failedDial = !link.outbox && !link.incoming && peer != peers_.end();
    if (failedDial && !std::exchange(peer->second.failureLogged, true)) {
        LogLine(LogLevel::Warning, "mesh_dial_failed")
            .add("peer", link.handshake.peer().value)
            .add("address", peer->second.address)
            .add("reason", reason)
            .write();
    }
    drop(id, reason);
}

void MeshCore::advanceHandshake(LinkId id, Link &link, const std::string &bytes)
{
    const Outcome<Done> outcome = link.handshake.receive(bytes);
    if (!outcome.ok()) {
        refuse(id, outcome.error().message);
        return;
    }
    sendHandshake(id, link);
    if (link.handshake.done()) {
        authenticated(id, link);
    }
}

void MeshCore::sendHandshake(LinkId id, Link &link)
{
    if (auto output = link.handshake.takeOutput()) {
        endpoint_->send(id, std::move(*output), std::make_shared<std::atomic<std::uint64_t>>(0));
    }
}

void MeshCore::authenticated(LinkId id, Link &link)
{
    const HostId host = link.handshake.peer();
    link.lastHeard = std::chrono::steady_clock::now();
    link.outbox = std::make_shared<Outbox>(id);
    endpoint_->limitMessage(id, maxFramePayload + 1);
    const auto peer = peers_.find(host);
    if (peer != peers_.end()) {
        peer->second.failureLogged = false;
        peer->second.reconnect = options_.firstReconnect;
    }
    const auto active = active_.find(host);
    if (active == active_.end()) {
        activate(id, link);
        return;
    }
    if (links_.at(active->second).incoming == link.incoming) {
        // Its dialler would not have dialled again if the older one were alive.
        drop(active->second, "replaced by a newer connection");
        if (!active_.contains(host)) {
            activate(id, link);
        }
    }
}

/// Sends over this connection from now on.
void MeshCore::activate(LinkId id, const Link &link)
{
    const HostId host = link.handshake.peer();
    active_[host] = id;
    LogLine(LogLevel::Info, "mesh_connected")
        .add("peer", host.value)
        .add("dialled_by", link.incoming ? host.value : options_.self.value)
        .write();
    postToDecision([host, outbox = link.outbox](DecisionView &view) {
        view.routes[host] = outbox;
        if (view.hooks.connected) {
            view.hooks.connected(host);
        }
    });
}

/// Closes a connection whose peer did not prove itself.
void MeshCore::refuse(LinkId id, const std::string &reason)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - lastRefusalLog_ >= refusalLogInterval) {
        lastRefusalLog_ = now;
        LogLine(LogLevel::Warning, "mesh_refused")
            .add("peer", links_.at(id).handshake.peer().value)
            .add("reason", reason)
            .add("not_logged", static_cast<std::int64_t>(std::exchange(refusalsNotLogged_, 0)))
            .write();
    } else {
        ++refusalsNotLogged_;
    }
    drop(id, reason);
}

void MeshCore::drop(LinkId id, const std::string &reason)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    const HostId host = found->second.handshake.peer();
    const std::shared_ptr<Outbox> outbox = found->second.outbox;
    endpoint_->close(id);
    forget(id);
    const auto active = active_.find(host);
    if (!outbox || active == active_.end() || active->second != id) {
        return;
    }
    active_.erase(active);
    {
        const std::lock_guard lock(outbox->mutex);
        outbox->open = false;
        outbox->messages.clear();
    }
    LogLine(LogLevel::Info, "mesh_disconnected")
        .add("peer", host.value)
        .add("reason", reason)
        .write();
    postToDecision([host](DecisionView &view) {
        view.routes.erase(host);
        if (view.hooks.disconnected) {
            view.hooks.disconnected(host);
        }
    });
    activateAnother(host);
}

void MeshCore::activateAnother(const HostId &host)
{
    for (const auto &[id, link] : links_) {
        if (link.outbox && link.handshake.peer() == host) {
            activate(id, link);
            return;
        }
    }
}

/// Takes a connection out of the books and sees to the next dial.
void MeshCore::forget(LinkId id)
{
    const auto found = links_.find(id);
    const HostId host = found->second.handshake.peer();
    links_.erase(found);
    const auto peer = peers_.find(host);
    if (peer == peers_.end()) {
        return;
    }
    if (peer->second.dialling == id) {
        peer->second.dialling = 0;
    }
    scheduleDial(host, false);
}

} // namespace persimmonlb::internal
