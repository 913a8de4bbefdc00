#include "persimmonlb/slots/namedlimits.h"

#include <algorithm>

namespace persimmonlb
{

void NamedLimits::setView(const std::vector<FleetServer> &servers)
{
    std::map<ServerProcess, std::uint64_t> next;
    std::set<ServerProcess> present;
    limitedInView_.clear();
    for (const FleetServer &server : servers) {
        const ServerProcess process{server.id, server.bornMs};
        if (server.requestsPerKs > 0) {
            next[process] = server.requestsPerKs;
            limitedInView_.insert(server.service);
        }
        if (notes_.contains(process)) {
            present.insert(process);
        }
    }
    std::erase_if(notes_, [&](const auto &entry) {
        const auto limit = next.find(entry.first);
        const std::uint64_t viewed = limit == next.end() ? 0 : limit->second;
        return !present.contains(entry.first) || viewed != viewLimitOf(entry.first);
    });
    view_ = std::move(next);
}

bool NamedLimits::note(const ServiceName &service, const ServerProcess &process,
                       std::uint64_t requestsPerKs, MonotonicTime now)
{
    const std::uint64_t before = limitOf(process);
    if (requestsPerKs == viewLimitOf(process)) {
        notes_.erase(process);
        return before != requestsPerKs;
    }
    Note &note = notes_[process];
    note.service = service;
    note.reported = note.reported && note.requestsPerKs == requestsPerKs;
    note.requestsPerKs = requestsPerKs;
    note.namedAt = now;
    return before != requestsPerKs;
}

std::uint64_t NamedLimits::viewLimitOf(const ServerProcess &process) const
{
    const auto found = view_.find(process);
    return found == view_.end() ? 0 : found->second;
}

std::uint64_t NamedLimits::limitOf(const ServerProcess &process) const
{
    const auto noted = notes_.find(process);
    return noted != notes_.end() ? noted->second.requestsPerKs : viewLimitOf(process);
}

bool NamedLimits::hasLimit(const ServiceName &service) const
{
    return limitedInView_.contains(service)
        || std::ranges::any_of(notes_, [&service](const auto &entry) {
               return entry.second.service == service && entry.second.requestsPerKs > 0;
           });
}

std::vector<ServerLimit> NamedLimits::takeReports(MonotonicTime now, Milliseconds interval)
{
    const auto isOld = [now](const Note &note) {
        return now - note.namedAt > responseLifetime;
    };
    std::erase_if(notes_, [&isOld](const auto &entry) {
        return entry.second.requestsPerKs == 0 && isOld(entry.second);
    });
    std::vector<ServerLimit> due;
    for (auto &[process, note] : notes_) {
        if (isOld(note) || (note.reported && now - note.reportedAt < interval)) {
            continue;
        }
        note.reported = true;
        note.reportedAt = now;
        due.push_back({.server = process.server,
                       .bornMs = process.bornMs,
                       .requestsPerKs = note.requestsPerKs});
    }
    return due;
}

void NamedLimits::leaderChanged()
{
    for (auto &[process, note] : notes_) {
        note.reported = false;
    }
}

} // namespace persimmonlb
