#include "persimmonlb/fleet/endedservers.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

EndedServers::EndedServers(EndedServersOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void EndedServers::record(const ServerId &server, std::uint64_t bornMs)
{
    const auto [position, isNew] = ends_.try_emplace(server);
    if (!isNew && bornMs <= position->second.bornMs) {
        return;
    }
    position->second = End{.bornMs = bornMs, .at = clock_.monotonic()};
    if (ends_.size() > options_.mostKept) {
        forgetOldest();
    }
}

void EndedServers::forgetOldest()
{
    ends_.erase(
        std::ranges::min_element(ends_, {}, [](const auto &entry) { return entry.second.at; }));
}

void EndedServers::recordCall(const ServerId &server, std::uint64_t bornMs)
{
    record(server, bornMs);
    const auto found = ends_.find(server);
    if (found != ends_.end() && found->second.bornMs == bornMs) {
        found->second.byCall = true;
    }
}

bool EndedServers::isEndedByCall(const ServerId &server) const
{
    const auto found = ends_.find(server);
    return found != ends_.end() && found->second.byCall;
}

bool EndedServers::contains(const ServerId &server, std::uint64_t bornMs) const
{
    const auto found = ends_.find(server);
    return found != ends_.end() && bornMs <= found->second.bornMs;
}

bool EndedServers::refuses(const FleetServer &announced)
{
    if (!contains(announced.id, announced.bornMs)) {
        return false;
    }
    End &end = ends_.at(announced.id);
    const MonotonicTime now = clock_.monotonic();
    if (announced.bornMs < end.refusedBornMs) {
        return true;
    }
    if (announced.bornMs > end.refusedBornMs) {
        end.refusedBornMs = announced.bornMs;
        end.lastSequence = 0;
        end.announcements = 0;
        end.firstRefusedAt = now;
    }
    if (announced.sequence <= end.lastSequence) {
        return true;
    }
    end.lastSequence = announced.sequence;
    ++end.announcements;
    if (end.announcements < options_.revivalAnnouncements
        || now - end.firstRefusedAt < options_.revivalTime) {
        return true;
    }
    LogLine(LogLevel::Warning, "ended_server_runs")
        .add("server", announced.id.value)
        .add("born", static_cast<std::int64_t>(announced.bornMs))
        .add("announcements", static_cast<std::int64_t>(end.announcements))
        .write();
    ends_.erase(announced.id);
    return false;
}

void EndedServers::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(ends_,
                  [&](const auto &entry) { return now - entry.second.at > options_.memory; });
}

void EndedServers::clear()
{
    ends_.clear();
}

std::vector<ServerProcess> EndedServers::all() const
{
    std::vector<ServerProcess> result;
    result.reserve(ends_.size());
    for (const auto &[server, end] : ends_) {
        result.push_back({server, end.bornMs});
    }
    return result;
}

} // namespace persimmonlb
