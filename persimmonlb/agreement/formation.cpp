#include "persimmonlb/agreement/internal/formation.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/base/logline.h"

namespace persimmonlb::internal
{

namespace
{

std::set<HostId> hostsOf(const Configuration &configuration)
{
    std::set<HostId> hosts;
    for (const Member &member : configuration.members) {
        hosts.insert(member.host);
    }
    return hosts;
}

} // namespace

Formation::Formation(Core &core, std::function<void()> campaign)
    : core_(core)
    , campaign_(std::move(campaign))
{
}

bool Formation::entryWritten() const
{
    return counterOf(core_.term()) == firstCounter;
}

bool Formation::active() const
{
    return !members_.empty() && counterOf(core_.term()) <= firstCounter;
}

Result<void> Formation::begin(std::vector<HostId> members)
{
    std::set<HostId> hosts(members.begin(), members.end());
    if (hosts.size() != members.size() || !hosts.contains(core_.options.self)
        || hosts.contains(HostId{})) {
        return fail(ResultCode::MalformedRequest,
                    "the members must be different hosts, this one among them");
    }
    const bool unused = core_.term() == 0;
    const bool resumed = entryWritten() && hosts == hostsOf(core_.configurations().latest());
    if (!unused && !resumed) {
        return fail(ResultCode::GroupAlreadyInitialised, "this host belongs to a group");
    }
    members_ = std::move(hosts);
    holders_.clear();
    disks_ = {{core_.options.self, core_.dependencies.log.diskId()}};
    if (resumed) {
        core_.persist([this] { acknowledged(core_.options.self); });
    } else if (members_.size() == disks_.size()) {
        writeFirstEntry();
    }
    tick();
    return {};
}

void Formation::tick()
{
    if (!active()) {
        return;
    }
    for (const HostId &host : members_) {
        if (host == core_.options.self || holders_.contains(host)) {
            continue;
        }
        if (entryWritten()) {
            sendFirstEntry(host);
        } else if (!disks_.contains(host)) {
            askForDisk(host);
        }
    }
    if (holders_ == members_ && core_.now() >= core_.electionDeadline) {
        campaign_();
    }
}

void Formation::askForDisk(const HostId &host)
{
    core_.send(host, AppendRequest{});
}

void Formation::sendFirstEntry(const HostId &host)
{
    AppendRequest request{.term = core_.term(),
                          .previousIndex = 0,
                          .previousTerm = 0,
                          .commitIndex = 0,
                          .round = 0,
                          .entries = {}};
    const bool read = core_.check([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(request.entries, core_.dependencies.log.read(1, 1, 1));
        return {};
    });
    if (read) {
        core_.send(host, std::move(request));
    }
}

bool Formation::receive(const HostId &from, const AppendReply &reply)
{
    if (!active() || !members_.contains(from)) {
        return false;
    }
    if (entryWritten()) {
        if (reply.success && reply.term == core_.term()) {
            acknowledged(from);
        }
        return true;
    }
    if (reply.term != 0) {
        giveUp(from);
        return true;
    }
    disks_[from] = reply.disk;
    if (disks_.size() == members_.size()) {
        writeFirstEntry();
    }
    return true;
}

void Formation::writeFirstEntry()
{
    Configuration configuration;
    for (const auto &[host, disk] : disks_) {
        configuration = configuration.with({.host = host, .disk = disk, .voter = true});
    }
    const std::string data = encodeConfiguration(configuration);
    const std::uint64_t term = firstTerm(stableHash(data));
    core_.setHardState({.term = term, .vote = {}});
    core_.append({{.index = 1, .term = term, .kind = EntryKind::Configuration, .data = data}});
    core_.persist([this] { acknowledged(core_.options.self); });
    tick();
}

void Formation::acknowledged(const HostId &host)
{
    holders_.insert(host);
    if (active() && holders_ == members_) {
        LogLine(LogLevel::Info, "group_formed")
            .add("host", core_.options.self.value)
            .add("members", static_cast<std::int64_t>(members_.size()))
            .write();
        campaign_();
    }
}

void Formation::giveUp(const HostId &host)
{
    LogLine(LogLevel::Error, "group_start_refused")
        .add("host", core_.options.self.value)
        .add("member", host.value)
        .add("why", "it belongs to a group already")
        .write();
    members_.clear();
}

} // namespace persimmonlb::internal
