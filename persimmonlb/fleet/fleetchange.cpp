#include "persimmonlb/fleet/fleetchange.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

const ServerId &idOf(const FleetServer &server)
{
    return server.id;
}

const HostId &idOf(const FleetEntry &entry)
{
    return entry.host;
}

const HostId &idOf(const FleetStore &store)
{
    return store.host;
}

/// The number of the last announcement changes all the time and matters to the leader alone.
bool isSame(FleetServer left, const FleetServer &right)
{
    left.sequence = right.sequence;
    return left == right;
}

template <typename Record>
bool isSame(const Record &left, const Record &right)
{
    return left == right;
}

template <typename Record, typename Id>
void findChanges(const std::vector<Record> &before, const std::vector<Record> &after,
                 std::vector<Record> &changed, std::vector<Id> &gone)
{
    auto old = before.begin();
    for (const Record &record : after) {
        while (old != before.end() && idOf(*old) < idOf(record)) {
            gone.push_back(idOf(*old));
            ++old;
        }
        if (old == before.end() || idOf(record) < idOf(*old)) {
            changed.push_back(record);
            continue;
        }
        if (!isSame(*old, record)) {
            changed.push_back(record);
        }
        ++old;
    }
    for (; old != before.end(); ++old) {
        gone.push_back(idOf(*old));
    }
}

template <typename Record, typename Id>
void merge(std::vector<Record> &records, const std::vector<Record> &changed,
           const std::vector<Id> &gone)
{
    const auto byId = [](const Record &record) {
        return idOf(record);
    };
    for (const Record &record : changed) {
        const auto place = std::ranges::lower_bound(records, idOf(record), {}, byId);
        if (place != records.end() && idOf(*place) == idOf(record)) {
            *place = record;
            continue;
        }
        records.insert(place, record);
    }
    for (const Id &id : gone) {
        const auto place = std::ranges::lower_bound(records, id, {}, byId);
        if (place != records.end() && idOf(*place) == id) {
            records.erase(place);
        }
    }
}

} // namespace

ViewPosition positionOf(const FleetView &view)
{
    return ViewPosition{view.term, view.version};
}

std::vector<HostId> votersOf(const FleetView &view)
{
    std::vector<HostId> voters;
    for (const FleetStore &store : view.stores) {
        if (store.votes) {
            voters.push_back(store.host);
        }
    }
    return voters;
}

std::optional<FleetChange> changeBetween(const FleetView &before, const FleetView &after)
{
    FleetChange change{.baseTerm = before.term,
                       .baseVersion = before.version,
                       .term = after.term,
                       .version = after.version,
                       .leader = after.leader,
                       .routesVersion = after.routesVersion};
    findChanges(before.servers, after.servers, change.servers, change.goneServers);
    findChanges(before.entries, after.entries, change.entries, change.goneEntries);
    findChanges(before.stores, after.stores, change.stores, change.goneStores);
    const bool sameHead = before.term == after.term && before.leader == after.leader
        && before.routesVersion == after.routesVersion;
    const bool sameRecords = change.servers.empty() && change.goneServers.empty()
        && change.entries.empty() && change.goneEntries.empty() && change.stores.empty()
        && change.goneStores.empty();
    if (sameHead && sameRecords) {
        return std::nullopt;
    }
    return change;
}

bool applyChange(FleetView &view, const FleetChange &change)
{
    const ViewPosition base{change.baseTerm, change.baseVersion};
    const ViewPosition next{change.term, change.version};
    if (positionOf(view) != base || next <= base) {
        return false;
    }
    view.term = change.term;
    view.version = change.version;
    view.leader = change.leader;
    view.routesVersion = change.routesVersion;
    merge(view.servers, change.servers, change.goneServers);
    merge(view.entries, change.entries, change.goneEntries);
    merge(view.stores, change.stores, change.goneStores);
    return true;
}

} // namespace persimmonlb
