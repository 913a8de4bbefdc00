// The half of ReplicatedState that answers.
#include <utility>
#include <variant>

#include "persimmonlb/state/replicatedstate.h"

namespace persimmonlb
{

namespace
{

constexpr std::uint32_t defaultBatchAttempts = 3;

} // namespace

EntryStateAnswer ReplicatedState::entryState() const
{
    return EntryStateAnswer{.version = entryStateVersion_,
                            .convictions = quarantine_.convictions(),
                            .suspects = quarantine_.suspects(),
                            .draining = hosts_.draining(),
                            .cancelledRecently = jobs_.cancelledRecently()};
}

Answer ReplicatedState::answer(const Query &query) const
{
    struct Visitor {
        const ReplicatedState &state;

        Answer operator()(const SheetQuery &) const
        {
            return state.sheets_.answer();
        }
        Answer operator()(const JobQuery &asked) const
        {
            return state.jobs_.find(asked.id);
        }
        Answer operator()(const JobListQuery &asked) const
        {
            return state.jobs_.list(asked);
        }
        Answer operator()(const ResultsQuery &asked) const
        {
            return state.jobs_.results(asked);
        }
        Answer operator()(const ClaimQuery &asked) const
        {
            return state.claims_.find(asked.key);
        }
        Answer operator()(const AuditQuery &asked) const
        {
            return state.audit_.list(asked);
        }
        Answer operator()(const EntryStateQuery &) const
        {
            return state.entryState();
        }
        Answer operator()(const RoutesQuery &) const
        {
            return state.fleet_.routes();
        }
        Answer operator()(const BulkPageQuery &asked) const
        {
            return state.bulk_.page(asked);
        }
        Answer operator()(const BulkBodyQuery &asked) const
        {
            return state.bulk_.body(asked);
        }
        Answer operator()(const RetiredStoresQuery &) const
        {
            const std::set<std::string> &retired = state.fleet_.retired();
            return RetiredStores{{retired.begin(), retired.end()}};
        }
    };
    return std::visit(Visitor{*this}, query);
}

const Sheet *ReplicatedState::sheetInForce() const
{
    return sheets_.inForce();
}

std::uint64_t ReplicatedState::sheetNumber() const
{
    return sheets_.answer().number;
}

std::uint64_t ReplicatedState::entryStateVersion() const
{
    return entryStateVersion_;
}

std::uint64_t ReplicatedState::pendingItems(const ServiceName &service) const
{
    return jobs_.pendingItems(service);
}

std::vector<ServiceName> ReplicatedState::pendingServices() const
{
    return jobs_.pendingServices();
}

std::vector<EntryHostInfo> ReplicatedState::registeredHosts() const
{
    std::vector<EntryHostInfo> hosts;
    for (const auto &[host, record] : hosts_.hosts()) {
        if (record.owner.incarnation == 0) {
            continue;
        }
        EntryHostInfo info;
        info.host = host;
        info.address = record.address;
        info.availabilityZone = record.availabilityZone;
        info.region = record.region;
        info.incarnation = record.owner.incarnation;
        info.draining = record.draining;
        hosts.push_back(std::move(info));
    }
    return hosts;
}

std::set<HostId> ReplicatedState::drainingHosts() const
{
    const auto hosts = hosts_.draining();
    return {hosts.begin(), hosts.end()};
}

std::vector<Owner> ReplicatedState::owners() const
{
    std::set<Owner> owners = jobs_.owners();
    owners.merge(claims_.owners());
    return {owners.begin(), owners.end()};
}

std::size_t ReplicatedState::runningClaims(const Owner &owner) const
{
    return claims_.runningCount(owner);
}

const RoutesAnswer &ReplicatedState::routes() const
{
    return fleet_.routes();
}

const BulkTable &ReplicatedState::bulk() const
{
    return bulk_;
}

const std::set<std::string> &ReplicatedState::retiredStores() const
{
    return fleet_.retired();
}

std::string ReplicatedState::savedFleet() const
{
    return fleet_.saved();
}

std::size_t ReplicatedState::jobMemoryBytes() const
{
    return jobs_.memoryBytes();
}

std::uint32_t ReplicatedState::maxBatchAttempts(const ServiceName &service) const
{
    const Sheet *sheet = sheets_.inForce();
    const SheetService *row = sheet != nullptr ? sheet->findService(service) : nullptr;
    return row != nullptr ? row->maxBatchAttempts : defaultBatchAttempts;
}

std::uint32_t ReplicatedState::weight(const CallerName &caller) const
{
    const Sheet *sheet = sheets_.inForce();
    const SheetQuota *row = sheet != nullptr ? sheet->findQuota(caller) : nullptr;
    return row != nullptr ? row->weight : 1;
}

} // namespace persimmonlb
