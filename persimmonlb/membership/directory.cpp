#include "persimmonlb/membership/directory.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

constexpr std::size_t announceTargetCount = 2;

enum class Distance : std::uint8_t { SameZone, SameRegion, Elsewhere };
constexpr std::size_t distanceCount = 3;

Distance distanceOf(const EntryHostInfo &host, const DirectoryQuery &query)
{
    if (!query.availabilityZone.empty() && host.availabilityZone == query.availabilityZone) {
        return Distance::SameZone;
    }
    if (!query.region.empty() && host.region == query.region) {
        return Distance::SameRegion;
    }
    return Distance::Elsewhere;
}

/// The region of the caller, from the hosts of its availability zone when it names none.
Region regionOf(std::span<const EntryHostInfo> hosts, const DirectoryQuery &query)
{
    if (!query.region.empty()) {
        return query.region;
    }
    for (const EntryHostInfo &host : hosts) {
        if (!query.availabilityZone.empty() && host.availabilityZone == query.availabilityZone) {
            return host.region;
        }
    }
    return {};
}

std::uint64_t rendezvousScore(std::string_view key, const HostId &host)
{
    return combineHash(stableHash(key), stableHash(host.value));
}

Milliseconds jitteredTtl(const DirectoryOptions &options, std::uint64_t callerHash)
{
    constexpr double steps = 1024;
    const double part = static_cast<double>(callerHash % static_cast<std::uint64_t>(steps)) / steps;
    const double ttl = static_cast<double>(options.ttl.count()) * (1 - options.ttlJitter * part);
    return Milliseconds(static_cast<std::int64_t>(ttl));
}

} // namespace

DirectoryAnswer answerDirectory(std::span<const EntryHostInfo> hosts, const DirectoryQuery &query,
                                const DirectoryOptions &options)
{
    DirectoryQuery located = query;
    located.region = regionOf(hosts, query);
    std::array<std::vector<EntryHostInfo>, distanceCount> byDistance;
    for (const EntryHostInfo &host : hosts) {
        if (host.draining || host.leaseLeftMs == 0 || host.address.empty()) {
            continue;
        }
        byDistance.at(static_cast<std::size_t>(distanceOf(host, located))).push_back(host);
    }
    const std::uint64_t callerHash = stableHash(query.caller);
    DirectoryAnswer answer;
    answer.ttl = jitteredTtl(options, callerHash);
    for (std::vector<EntryHostInfo> &group : byDistance) {
        if (group.empty()) {
            continue;
        }
        std::sort(group.begin(), group.end(),
                  [](const auto &left, const auto &right) { return left.host < right.host; });
        const auto shift = static_cast<std::ptrdiff_t>(callerHash % group.size());
        std::rotate(group.begin(), group.begin() + shift, group.end());
        answer.hosts.insert(answer.hosts.end(), group.begin(), group.end());
    }
    return answer;
}

std::string formatDirectoryAnswer(const DirectoryAnswer &answer)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const EntryHostInfo &host : answer.hosts) {
        hosts.push_back({{"address", host.address},
                         {"availability_zone", host.availabilityZone.value},
                         {"region", host.region.value}});
    }
    const nlohmann::json document = {{"hosts", std::move(hosts)}, {"ttl_ms", answer.ttl.count()}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<EntryHostInfo> announceTargets(std::span<const EntryHostInfo> hosts,
                                           const ServerId &server)
{
    std::vector<EntryHostInfo> ranked;
    for (const EntryHostInfo &host : hosts) {
        if (host.draining || host.leaseLeftMs == 0 || host.address.empty()) {
            continue;
        }
        ranked.push_back(host);
    }
    std::sort(ranked.begin(), ranked.end(), [&](const auto &left, const auto &right) {
        return std::pair(rendezvousScore(server.value, left.host), left.host)
            > std::pair(rendezvousScore(server.value, right.host), right.host);
    });
    if (ranked.size() <= announceTargetCount) {
        return ranked;
    }
    std::vector<EntryHostInfo> result{ranked.front()};
    const auto other = std::find_if(ranked.begin() + 1, ranked.end(), [&](const auto &host) {
        return host.availabilityZone != ranked.front().availabilityZone;
    });
    result.push_back(other == ranked.end() ? ranked[1] : *other);
    return result;
}

HostId rendezvousHost(std::string_view key, std::span<const HostId> hosts)
{
    HostId winner;
    std::uint64_t best = 0;
    for (const HostId &host : hosts) {
        const std::uint64_t score = rendezvousScore(key, host);
        if (!winner.empty() && std::pair(score, host) < std::pair(best, winner)) {
            continue;
        }
        winner = host;
        best = score;
    }
    return winner;
}

} // namespace persimmonlb
