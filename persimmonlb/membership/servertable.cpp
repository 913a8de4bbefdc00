#include "persimmonlb/membership/servertable.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Ticks that follow closer count as one: timers that catch up after a pause prove nothing.
constexpr Milliseconds leastTickSpacing{50};
/// How long a server heard first-hand stays in digests, and its last word with it.
constexpr Milliseconds firstHandMemory{10000};
/// Servers without any word for this long are not worth asking.
constexpr Milliseconds probeMemory{30000};
/// How long the sending times of digests are kept.
constexpr Milliseconds echoMemory{10000};

bool isNewer(const ServerAnnouncement &left, const ServerAnnouncement &right)
{
    return std::pair(left.incarnation, left.sequence)
        > std::pair(right.incarnation, right.sequence);
}

bool isSameWord(const ServerAnnouncement &left, const ServerAnnouncement &right)
{
    return left.incarnation == right.incarnation && left.sequence == right.sequence;
}

/// True when peers should hear of the difference before the next regular digest.
bool differsNotably(const ServerAnnouncement &left, const ServerAnnouncement &right)
{
    return left.incarnation != right.incarnation || left.state != right.state
        || left.address != right.address || left.model != right.model
        || left.version != right.version || left.adapters != right.adapters
        || left.role != right.role;
}

std::uint32_t changedBy(std::uint32_t value, int change)
{
    const std::int64_t result = static_cast<std::int64_t>(value) + change;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(result, 0));
}

} // namespace

ServerTable::ServerTable(ServerTableOptions options, Clock clock)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , lastTick_(clock_.monotonic())
    , tickBefore_(lastTick_)
{
    const auto wall = clock_.wall().time_since_epoch().count();
    firstSequence_ = wall > 0 ? static_cast<std::uint64_t>(wall) : 1;
}

void ServerTable::tick()
{
    const MonotonicTime now = clock_.monotonic();
    if (now - lastTick_ < leastTickSpacing) {
        return;
    }
    tickBefore_ = lastTick_;
    lastTick_ = now;
    std::erase_if(rows_, [&](const auto &entry) {
        return now - entry.second.heardAt > options_.forgetAfter;
    });
}

TableChange ServerTable::announce(const ServerAnnouncement &announcement)
{
    const auto known = rows_.find(announcement.server);
    const bool isNews = known == rows_.end() || isNewer(announcement, known->second.announcement);
    const TableChange change
        = take(announcement, isNews ? std::optional(tickBefore_) : std::nullopt);
    Row &row = rows_.at(announcement.server);
    if (isSameWord(row.announcement, announcement)) {
        row.firstHandAt = clock_.monotonic();
    }
    if (change == TableChange::Changed) {
        changed_ = true;
    }
    return change;
}

TableChange ServerTable::take(const ServerAnnouncement &announcement,
                              std::optional<MonotonicTime> madeAfter)
{
    const auto [position, isNew] = rows_.try_emplace(announcement.server);
    Row &row = position->second;
    const MonotonicTime now = clock_.monotonic();
    if (!isNew && !isSameWord(announcement, row.announcement)
        && !isNewer(announcement, row.announcement)) {
        return TableChange::None;
    }
    const bool wasRoutable = !isNew && routable(row);
    const bool notable = isNew || differsNotably(row.announcement, announcement);
    const bool newer = isNew || isNewer(announcement, row.announcement);
    if (newer) {
        row.announcement = announcement;
        row.heardAt = now;
    }
    if (row.announcement.state == ServerState::Ready && madeAfter) {
        row.madeAfter = std::max(row.madeAfter.value_or(*madeAfter), *madeAfter);
    }
    if (routable(row)) {
        row.everRoutable = true;
        row.lostReported = false;
    }
    const bool changed = (newer && notable) || wasRoutable != routable(row);
    return changed ? TableChange::Changed : TableChange::None;
}

TableChange ServerTable::merge(const HostId &from, const ServerDigest &digest)
{
    Peer &peer = peers_[from];
    if (digest.sequence <= peer.sequence) {
        return TableChange::None;
    }
    peer.sequence = digest.sequence;
    peer.heardAt = clock_.monotonic();
    peer.rows.clear();
    const auto sent = peer.sentAt.find(digest.echo);
    TableChange change = TableChange::None;
    for (const ServerDigestRow &row : digest.rows) {
        peer.rows.insert_or_assign(row.announcement.server, row);
        std::optional<MonotonicTime> madeAfter;
        if (sent != peer.sentAt.end()) {
            madeAfter = sent->second - Milliseconds(row.ageMs);
        }
        if (take(row.announcement, madeAfter) == TableChange::Changed) {
            change = TableChange::Changed;
        }
    }
    return change;
}

void ServerTable::forgetPeer(const HostId &peer)
{
    const auto position = peers_.find(peer);
    if (position == peers_.end()) {
        return;
    }
    position->second.sequence = 0;
    position->second.rows.clear();
}

ServerDigest ServerTable::digest(const HostId &to)
{
    const MonotonicTime now = clock_.monotonic();
    Peer &peer = peers_[to];
    peer.sentSequence = std::max(peer.sentSequence + 1, firstSequence_);
    peer.sentAt.emplace(peer.sentSequence, now);
    std::erase_if(peer.sentAt, [&](const auto &sent) { return now - sent.second > echoMemory; });
    ServerDigest result{
        .sequence = peer.sentSequence, .echo = peer.sequence, .rows = {}, .demand = {}};
    for (const auto &[server, row] : rows_) {
        const InFlight own = ownInFlight(server);
        const bool firstHand = row.firstHandAt && now - *row.firstHandAt < firstHandMemory;
        if (!firstHand && own == InFlight{}) {
            continue;
        }
        result.rows.push_back(ServerDigestRow{.announcement = row.announcement,
                                              .ageMs = ageOf(row),
                                              .onlineInFlight = own.online,
                                              .batchInFlight = own.batch,
                                              .firstHand = isFirstHand(row)});
    }
    return result;
}

std::uint32_t ServerTable::ageOf(const Row &row) const
{
    constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();
    if (!row.madeAfter) {
        return unknownAge;
    }
    const auto age = std::chrono::ceil<Milliseconds>(clock_.monotonic() - *row.madeAfter).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, unknownAge));
}

bool ServerTable::takeChanged()
{
    return std::exchange(changed_, false);
}

std::vector<KnownServer> ServerTable::ready(const ServiceName &service) const
{
    std::vector<KnownServer> result;
    for (const auto &[server, row] : rows_) {
        if (row.announcement.service != service || !routable(row)) {
            continue;
        }
        result.push_back(describe(row));
    }
    return result;
}

std::vector<KnownServer> ServerTable::all() const
{
    std::vector<KnownServer> result;
    result.reserve(rows_.size());
    for (const auto &[server, row] : rows_) {
        result.push_back(describe(row));
    }
    return result;
}

std::optional<KnownServer> ServerTable::find(const ServerId &server) const
{
    const auto position = rows_.find(server);
    if (position == rows_.end()) {
        return std::nullopt;
    }
    return describe(position->second);
}

std::vector<KnownServer> ServerTable::wantProbe() const
{
    std::vector<KnownServer> result;
    const MonotonicTime now = clock_.monotonic();
    for (const auto &[server, row] : rows_) {
        if (row.announcement.state != ServerState::Ready || isFirstHand(row)
            || now - row.heardAt > probeMemory) {
            continue;
        }
        if (row.madeAfter && now - *row.madeAfter < options_.probeAge) {
            continue;
        }
        result.push_back(describe(row));
    }
    return result;
}

TableChange ServerTable::takeProbe(const ServerAnnouncement &announcement, MonotonicTime askedAt)
{
    return take(announcement, askedAt);
}

std::vector<ServerId> ServerTable::takeLost()
{
    std::vector<ServerId> result;
    for (auto &[server, row] : rows_) {
        if (!row.everRoutable || row.lostReported || routable(row)
            || row.announcement.state == ServerState::Leaving) {
            continue;
        }
        row.lostReported = true;
        result.push_back(server);
    }
    return result;
}

std::vector<HostId> ServerTable::heardBy(const ServerId &server) const
{
    std::vector<HostId> result;
    const auto position = rows_.find(server);
    if (position != rows_.end() && isFirstHand(position->second)) {
        result.push_back(options_.self);
    }
    for (const auto &[host, peer] : peers_) {
        const auto row = peer.rows.find(server);
        if (row == peer.rows.end() || !row->second.firstHand || !isLive(peer)) {
            continue;
        }
        result.push_back(host);
    }
    std::sort(result.begin(), result.end());
    return result;
}

void ServerTable::changeInFlight(const ServerId &server, WorkClass workClass, int change)
{
    InFlight &own = own_[server];
    std::uint32_t &count = workClass == WorkClass::Online ? own.online : own.batch;
    count = changedBy(count, change);
    if (own == InFlight{}) {
        own_.erase(server);
    }
}

InFlight ServerTable::ownInFlight(const ServerId &server) const
{
    const auto position = own_.find(server);
    return position == own_.end() ? InFlight{} : position->second;
}

InFlight ServerTable::othersInFlight(const ServerId &server) const
{
    InFlight result;
    for (const auto &[host, peer] : peers_) {
        const auto row = peer.rows.find(server);
        if (row == peer.rows.end() || !isLive(peer)) {
            continue;
        }
        result.online += row->second.onlineInFlight;
        result.batch += row->second.batchInFlight;
    }
    return result;
}

KnownServer ServerTable::describe(const Row &row) const
{
    return KnownServer{.announcement = row.announcement,
                       .age = Milliseconds(ageOf(row)),
                       .routable = routable(row),
                       .firstHand = isFirstHand(row),
                       .own = ownInFlight(row.announcement.server),
                       .others = othersInFlight(row.announcement.server)};
}

bool ServerTable::routable(const Row &row) const
{
    return row.announcement.state == ServerState::Ready && row.madeAfter
        && clock_.monotonic() - *row.madeAfter < options_.routingLease;
}

bool ServerTable::isFirstHand(const Row &row) const
{
    return row.firstHandAt && clock_.monotonic() - *row.firstHandAt < options_.routingLease;
}

bool ServerTable::isLive(const Peer &peer) const
{
    return clock_.monotonic() - peer.heardAt < options_.peerLifetime;
}

} // namespace persimmonlb
