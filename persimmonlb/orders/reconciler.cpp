#include "persimmonlb/orders/reconciler.h"

#include <algorithm>
#include <optional>

namespace persimmonlb
{

namespace
{

constexpr double microsecondsPerMinute = 60e6;

const SheetRole *findRole(const Sheet &sheet, const ServerId &server)
{
    const auto role = std::ranges::find(sheet.roles, server, &SheetRole::server);
    return role == sheet.roles.end() ? nullptr : &*role;
}

/// Returns the service that a server should run: that of its role in the sheet if it has one,
/// otherwise the announced one.
const SheetService *wantedService(const Sheet &sheet, const ServerAnnouncement &server)
{
    const SheetRole *role = findRole(sheet, server.server);
    return sheet.findService(role != nullptr ? role->service : server.service);
}

bool runsVersion(const ServerAnnouncement &server, const SheetModel &model)
{
    return server.model == model.name && server.version == model.version;
}

bool isReady(const ServerAnnouncement &server, const ServiceName &service)
{
    return server.state == ServerState::Ready && server.service == service;
}

/// Returns an order for the first difference between a server and the sheet; nullopt when there is
/// none or the server gets no orders.
std::optional<ServerOrder> wantedOrder(const Sheet &sheet, const ServerAnnouncement &server)
{
    const SheetService *service = wantedService(sheet, server);
    const SheetModel *model = service != nullptr ? sheet.findModel(service->model) : nullptr;
    if (server.kind != ServerKind::Engine || server.state != ServerState::Ready
        || model == nullptr) {
        return std::nullopt;
    }
    ServerOrder order{.server = server.server,
                      .address = server.address,
                      .kind = OrderKind::LoadModel,
                      .model = model->name,
                      .version = model->version,
                      .adapter = "",
                      .role = ""};
    if (!runsVersion(server, *model)) {
        return order;
    }
    for (const std::string &adapter : model->adapters) {
        if (std::ranges::find(server.adapters, adapter) == server.adapters.end()) {
            order.kind = OrderKind::LoadAdapter;
            order.adapter = adapter;
            return order;
        }
    }
    const SheetRole *role = findRole(sheet, server.server);
    if (role != nullptr && role->role != server.role) {
        order.kind = OrderKind::SetRole;
        order.role = role->role;
        return order;
    }
    return std::nullopt;
}

/// Plans one round. Keeps references to `sheet`, `servers` and `options`, which must outlive it.
class ReconcileRound
{
public:
    ReconcileRound(const Sheet &sheet, const std::vector<ServerAnnouncement> &servers,
                   const ReconcileState &state, const ReconcileOptions &options, MonotonicTime now)
        : sheet_(sheet)
        , servers_(servers)
        , options_(options)
        , now_(now)
        , plan_{.orders = {}, .state = state}
    {
    }

    ReconcilePlan run()
    {
        refillBucket();
        removeFinishedOrders();
        for (const ServerAnnouncement &server : servers_) {
            const auto order = wantedOrder(sheet_, server);
            if (!order || plan_.state.pending.contains(server.server)) {
                continue;
            }
            if (mustWaitForEarlierLeader(server) || !keepsMinReady(server, *order)
                || !takeLoadToken(*order)) {
                continue;
            }
            plan_.state.pending[server.server] = PendingOrder{
                .order = *order, .serverIncarnation = server.incarnation, .sentAt = now_};
            plan_.orders.push_back(*order);
        }
        return std::move(plan_);
    }

private:
    void refillBucket()
    {
        ReconcileState &state = plan_.state;
        const auto elapsed = static_cast<double>((now_ - state.bucketRefilledAt).count());
        state.loadTokens = std::min(
            options_.loadBurst,
            state.loadTokens + elapsed * options_.loadsPerMinute / microsecondsPerMinute);
        state.bucketRefilledAt = now_;
    }

    /// Removes pending orders that took effect, timed out, or were made obsolete by a restart of
    /// the server or a new sheet.
    void removeFinishedOrders()
    {
        std::erase_if(plan_.state.pending, [this](const auto &entry) {
            const PendingOrder &pending = entry.second;
            const auto server
                = std::ranges::find(servers_, entry.first, &ServerAnnouncement::server);
            if (now_ - pending.sentAt >= options_.orderTimeout) {
                return true;
            }
            if (server == servers_.end()) {
                return false; // a server may send no announcements while it loads
            }
            const auto wanted = wantedOrder(sheet_, *server);
            return server->incarnation != pending.serverIncarnation
                || (server->state == ServerState::Ready && wanted != pending.order);
        });
    }

    [[nodiscard]] bool mustWaitForEarlierLeader(const ServerAnnouncement &server) const
    {
        return !server.checksFencing && now_ < plan_.state.leaderSince + options_.leaderLease;
    }

    /// Returns whether a pending order (a model load or a role change) takes the server out of
    /// service.
    [[nodiscard]] bool isTakenOutOfService(const ServerId &server) const
    {
        const auto pending = plan_.state.pending.find(server);
        return pending != plan_.state.pending.end()
            && pending->second.order.kind != OrderKind::LoadAdapter;
    }

    /// Returns the number of ready servers of `service`, without `excluded` and without those that
    /// a pending order takes out of service.
    [[nodiscard]] std::uint32_t countOtherReady(const SheetService &service,
                                                const ServerId &excluded,
                                                bool wantedVersionOnly) const
    {
        const SheetModel *model = sheet_.findModel(service.model);
        std::uint32_t count = 0;
        for (const ServerAnnouncement &server : servers_) {
            if (server.server == excluded || !isReady(server, service.name)
                || isTakenOutOfService(server.server)) {
                continue;
            }
            const bool hasWantedVersion = model != nullptr && runsVersion(server, *model);
            count += !wantedVersionOnly || hasWantedVersion ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] bool isAnyTakenOutOfService(const ServiceName &service) const
    {
        return std::ranges::any_of(servers_, [&](const ServerAnnouncement &server) {
            return server.service == service && isTakenOutOfService(server.server);
        });
    }

    /// Returns whether sending `order` keeps the rule for `minReady` (see reconcile()).
    [[nodiscard]] bool keepsMinReady(const ServerAnnouncement &server,
                                     const ServerOrder &order) const
    {
        const SheetService *service = sheet_.findService(server.service);
        if (order.kind == OrderKind::LoadAdapter || service == nullptr) {
            return true;
        }
        const SheetModel *model = sheet_.findModel(service->model);
        if (model != nullptr && runsVersion(server, *model)) {
            return countOtherReady(*service, server.server, true) >= service->minReady;
        }
        return countOtherReady(*service, server.server, false) >= service->minReady
            || !isAnyTakenOutOfService(service->name);
    }

    bool takeLoadToken(const ServerOrder &order)
    {
        if (order.kind == OrderKind::SetRole) {
            return true;
        }
        if (plan_.state.loadTokens < 1) {
            return false;
        }
        plan_.state.loadTokens -= 1;
        return true;
    }

    const Sheet &sheet_;
    const std::vector<ServerAnnouncement> &servers_;
    const ReconcileOptions &options_;
    MonotonicTime now_;
    ReconcilePlan plan_;
};

} // namespace

ReconcileState initialReconcileState(const ReconcileOptions &options, MonotonicTime now)
{
    return ReconcileState{.leaderSince = now,
                          .bucketRefilledAt = now,
                          .loadTokens = options.loadBurst,
                          .pending = {}};
}

ReconcilePlan reconcile(const Sheet &sheet, const std::vector<ServerAnnouncement> &servers,
                        const ReconcileState &state, const ReconcileOptions &options,
                        MonotonicTime now, MonotonicTime leaseEnd)
{
    if (now >= leaseEnd) {
        return ReconcilePlan{.orders = {}, .state = state};
    }
    return ReconcileRound(sheet, servers, state, options, now).run();
}

std::vector<ServerOrder> withFencing(std::vector<ServerOrder> orders, std::uint64_t first)
{
    for (ServerOrder &order : orders) {
        order.fencing = first;
        ++first;
    }
    return orders;
}

} // namespace persimmonlb
