#include "persimmonlb/fleettree/attachments.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

Attachments::Attachments(AttachmentsOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void Attachments::report(const HostId &from, const HostReport &report)
{
    if (report.address.empty()) {
        return;
    }
    const FleetEntry info{.host = from,
                          .name = report.name,
                          .address = report.address,
                          .availabilityZone = report.availabilityZone,
                          .region = report.region,
                          .draining = report.draining};
    Entry &entry = entries_[from];
    entry.heardAt = clock_.monotonic();
    if (entry.info != info) {
        entry.info = info;
        changed_.insert(from);
        gone_.erase(from);
    }
}

void Attachments::hostLost(const HostId &host)
{
    if (entries_.erase(host) > 0) {
        changed_.erase(host);
        gone_.insert(host);
    }
}

void Attachments::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::vector<HostId> silent;
    for (const auto &[host, entry] : entries_) {
        if (now - entry.heardAt > options_.entrySilence) {
            silent.push_back(host);
        }
    }
    for (const HostId &host : silent) {
        hostLost(host);
    }
}

void Attachments::setLeader(const HostId &leader, std::uint64_t term)
{
    if (leader != leader_ || term != term_) {
        leader_ = leader;
        term_ = term;
        forgetTold();
    }
}

void Attachments::forgetTold()
{
    toldAny_ = false;
}

bool Attachments::hasNews() const
{
    return !toldAny_ || !changed_.empty() || !gone_.empty();
}

bool Attachments::isUrgent() const
{
    return std::ranges::any_of(
        changed_, [this](const HostId &host) { return entries_.at(host).info.draining; });
}

AttachedHosts Attachments::takeNews()
{
    AttachedHosts news{.whole = !toldAny_};
    if (news.whole) {
        for (const auto &[host, entry] : entries_) {
            news.entries.push_back(entry.info);
        }
    } else {
        for (const HostId &host : changed_) {
            news.entries.push_back(entries_.at(host).info);
        }
        news.gone.assign(gone_.begin(), gone_.end());
    }
    changed_.clear();
    gone_.clear();
    toldAny_ = true;
    return news;
}

std::size_t Attachments::size() const
{
    return entries_.size();
}

} // namespace persimmonlb
