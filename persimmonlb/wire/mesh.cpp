#include "persimmonlb/wire/mesh.h"

#include <thread>
#include <utility>

#include "persimmonlb/wire/internal/meshcore.h"

namespace persimmonlb
{

namespace
{

using internal::DecisionView;
using internal::MeshCore;
using internal::Outbox;

class WebsocketMesh final : public Mesh
{
public:
    WebsocketMesh(MeshOptions options, std::shared_ptr<DecisionView> view)
        : view_(std::move(view))
        , maxMessageBytes_(options.maxMessageBytes)
        , maxQueuedBytes_(options.maxQueuedBytesPerPeer)
        , core_(std::move(options), view_, internal::systemNonces(), systemRandom())
    {
    }
    WebsocketMesh(const WebsocketMesh &) = delete;
    WebsocketMesh &operator=(const WebsocketMesh &) = delete;

    ~WebsocketMesh() override
    {
        view_->alive = false;
        core_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    Result<void> listen()
    {
        BOOST_LEAF_CHECK(core_.listen());
        port_ = core_.port();
        thread_ = std::thread([this] { core_.run(); });
        return {};
    }

    bool send(const HostId &to, std::string bytes) override
    {
        const auto route = view_->routes.find(to);
        if (route == view_->routes.end() || bytes.size() > maxMessageBytes_) {
            return false;
        }
        const std::shared_ptr<Outbox> &outbox = route->second;
        if (outbox->unsent->load() + bytes.size() > maxQueuedBytes_) {
            return false;
        }
        bool wasEmpty = false;
        {
            const std::lock_guard lock(outbox->mutex);
            if (!outbox->open) {
                return false;
            }
            outbox->unsent->fetch_add(bytes.size());
            wasEmpty = outbox->messages.empty();
            outbox->messages.push_back(std::move(bytes));
        }
        if (wasEmpty) {
            core_.post([this, outbox] { core_.flush(outbox); });
        }
        return true;
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return port_;
    }

    bool addPeer(MeshPeer peer) override
    {
        if (!internal::isValidHostId(peer.host)) {
            return false;
        }
        core_.post([this, peer = std::move(peer)] { core_.addPeer(peer); });
        return true;
    }

    void removePeer(const HostId &host) override
    {
        core_.post([this, host] { core_.removePeer(host); });
    }

    [[nodiscard]] std::vector<HostId> connectedPeers() const override
    {
        std::vector<HostId> peers;
        for (const auto &[host, outbox] : view_->routes) {
            peers.push_back(host);
        }
        return peers;
    }

private:
    std::shared_ptr<DecisionView> view_;
    std::uint64_t maxMessageBytes_;
    std::uint64_t maxQueuedBytes_;
    MeshCore core_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace

Result<std::unique_ptr<Mesh>> Mesh::start(MeshOptions options, MeshHooks hooks)
{
    auto view = std::make_shared<DecisionView>();
    view->hooks = std::move(hooks);
    auto mesh = std::make_unique<WebsocketMesh>(std::move(options), std::move(view));
    BOOST_LEAF_CHECK(mesh->listen());
    return std::unique_ptr<Mesh>(std::move(mesh));
}

} // namespace persimmonlb
