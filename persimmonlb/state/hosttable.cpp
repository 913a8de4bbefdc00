#include "persimmonlb/state/hosttable.h"

#include "persimmonlb/state/commandfields.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

template <typename Visitor, Like<HostRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("owner", value.owner);
    visitor("address", value.address);
    visitor("availabilityZone", value.availabilityZone);
    visitor("region", value.region);
    visitor("draining", value.draining);
}

HostTable::HostTable(StateStore store)
    : store_(std::move(store))
{
}

void HostTable::write(const HostRecord &record, MutationList &changes) const
{
    changes.push_back({keys::host(record.owner.host), encodeFields(record)});
}

PlainReply HostTable::registerHost(const RegisterHost &command, MutationList &changes)
{
    HostRecord &known = hosts_[command.owner.host];
    if (command.owner.incarnation < known.owner.incarnation) {
        return PlainReply{.code = ResultCode::NotInForce,
                          .message = "a later incarnation of this host is registered"};
    }
    const HostRecord record{.owner = command.owner,
                            .address = command.address,
                            .availabilityZone = command.availabilityZone,
                            .region = command.region,
                            .draining = known.draining && known.owner == command.owner};
    if (record != known) {
        known = record;
        write(known, changes);
    }
    return {};
}

bool HostTable::drain(const DrainHost &command, MutationList &changes)
{
    const auto row = hosts_.find(command.host);
    const bool draining = row != hosts_.end() && row->second.draining;
    if (draining == command.draining) {
        return false;
    }
    HostRecord &known = hosts_[command.host];
    known.owner.host = command.host;
    known.draining = command.draining;
    write(known, changes);
    return true;
}

bool HostTable::isCurrent(const Owner &owner) const
{
    const auto known = hosts_.find(owner.host);
    return known == hosts_.end() || owner.incarnation >= known->second.owner.incarnation;
}

std::optional<Owner> HostTable::current(const HostId &host) const
{
    const auto known = hosts_.find(host);
    return known == hosts_.end() ? std::nullopt : std::optional(known->second.owner);
}

std::vector<HostId> HostTable::draining() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, record] : hosts_) {
        if (record.draining) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

const std::map<HostId, HostRecord> &HostTable::hosts() const
{
    return hosts_;
}

Result<void> HostTable::reload()
{
    hosts_.clear();
    bool sound = true;
    store_.scan(keys::hostPrefix, [&](std::string_view, std::string_view value) {
        const auto record = decodeFields<HostRecord>(value);
        sound = record.ok();
        if (sound) {
            hosts_[record.value().owner.host] = record.value();
        }
        return sound;
    });
    if (!sound) {
        return fail(ResultCode::CorruptStore, "the state store holds a bad host record");
    }
    return {};
}

} // namespace persimmonlb
