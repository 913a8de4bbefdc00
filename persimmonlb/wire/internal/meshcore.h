#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/wire/internal/handshake.h"
#include "persimmonlb/wire/internal/websocketendpoint.h"
#include "persimmonlb/wire/mesh.h"

namespace persimmonlb::internal
{

/// Larger messages travel in several frames, so that heartbeats get between them.
constexpr std::size_t maxFramePayload = 256UL * 1024;
/// Last byte of each frame.
constexpr char lastFrame = 0;
constexpr char moreFrames = 1;

/// Messages on their way from the decision thread to one connection. Thread-safe.
struct Outbox {
    explicit Outbox(LinkId linkId)
        : link(linkId)
    {
    }

    const LinkId link;
    std::mutex mutex;
    std::vector<std::string> messages; ///< Guarded by mutex.
    bool open = true; ///< Guarded by mutex.
    /// Bytes that the kernel has not taken yet.
    std::shared_ptr<std::atomic<std::uint64_t>> unsent
        = std::make_shared<std::atomic<std::uint64_t>>(0);
};

/// What the decision thread knows of the mesh; touched only there.
struct DecisionView {
    MeshHooks hooks;
    std::map<HostId, std::shared_ptr<Outbox>> routes;
    bool alive = true; ///< The mesh object exists.
};

/// Keeps one proved connection to every peer. Runs on the endpoint's thread.
///
/// Either side may dial; the host with the lower id does so at once and the other one only when
/// it has been without connection for some time, so that one listener that cannot be reached is
/// enough to connect by. A connection carries both directions. When each side dialled one, both
/// stay and each side sends over the one that it proved first, so that nothing is lost; of two
/// that the same host dialled, the newer stays.
class MeshCore
{
public:
    MeshCore(MeshOptions options, std::shared_ptr<DecisionView> view, NonceSource nonces,
             RandomSource random);

    /// Errors: AddressInUse, SettingsInvalid.
    Result<void> listen();
    /// Runs until stop(). stop() and post() may be called from any thread.
    void run();
    void stop();
    void post(std::function<void()> function);
    [[nodiscard]] std::uint16_t port() const;

    void addPeer(const MeshPeer &peer);
    /// Stops to dial the peer and closes connections to it that were dialled here.
    void removePeer(const HostId &host);
    /// Hands the messages of an outbox to its connection.
    void flush(const std::shared_ptr<Outbox> &outbox);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Link {
        bool incoming = false;
        Handshake handshake;
        TimePoint lastHeard;
        std::shared_ptr<Outbox> outbox; ///< Once the peer has proved the key.
        std::string partial; ///< Message of which more is to come.
        /// Bytes of messages that the decision thread has not taken yet.
        std::shared_ptr<std::atomic<std::uint64_t>> undelivered
            = std::make_shared<std::atomic<std::uint64_t>>(0);
        bool paused = false; ///< Too much is undelivered: nothing more is read.
    };
    struct Peer {
        std::string address;
        bool dialsBack = true;
        LinkId dialling = 0;
        bool dialScheduled = false;
        Milliseconds reconnect{0}; ///< Before the last dial; doubles while dials fail.
        bool failureLogged = false;
    };
    using Links = std::unordered_map<LinkId, Link>;

    void opened(LinkId id, bool incoming);
    void makeRoomForUnproved();
    void received(LinkId id, std::string bytes);
    void heard(LinkId id);
    void closed(LinkId id, const std::string &reason);

    void receivedFrame(LinkId id, Link &link, std::string bytes);
    void deliver(LinkId id, Link &link, std::string message);
    void resume(LinkId id);
    void advanceHandshake(LinkId id, Link &link, const std::string &bytes);
    void sendHandshake(LinkId id, Link &link);
    void authenticated(LinkId id, Link &link);
    void activate(LinkId id, const Link &link);
    void activateAnother(const HostId &host);
    void refuse(LinkId id, const std::string &reason);
    void drop(LinkId id, const std::string &reason);
    void forget(LinkId id);

    void scheduleDial(const HostId &host, bool first);
    void dial(const HostId &host);
    void scheduleTick();
    void tick();
    [[nodiscard]] Milliseconds jittered(Milliseconds interval);

    template <typename Function>
    void postToDecision(Function function);

    MeshOptions options_;
    std::shared_ptr<DecisionView> view_;
    std::function<void(std::function<void()>)> postHook_;
    NonceSource nonces_;
    RandomSource random_;
    std::map<HostId, Peer> peers_;
    std::map<HostId, LinkId> active_; ///< The connection to send over.
    Links links_;
    std::uint64_t refusalsNotLogged_ = 0;
    TimePoint lastRefusalLog_;
    std::unique_ptr<WebsocketEndpoint> endpoint_;
};

} // namespace persimmonlb::internal
