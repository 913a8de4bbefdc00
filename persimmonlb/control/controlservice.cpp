#include "persimmonlb/control/controlservice.h"

#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

ControlService::ControlService(LeaseTableOptions options, HostId self, Clock clock,
                               ControlServiceHooks hooks)
    : clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , self_(std::move(self))
    , leases_(options, clock_, self_)
{
}

ControlReply ControlService::notLeader(std::uint64_t requestId) const
{
    return ControlReply{.requestId = requestId,
                        .code = ResultCode::NotLeader,
                        .message = "not the leader",
                        .leader = hooks_.leader().value_or(HostId()),
                        .payload = {}};
}

ControlReply ControlService::failed(std::uint64_t requestId, const Error &error) const
{
    if (error.code == ResultCode::NotLeader) {
        return notLeader(requestId);
    }
    return ControlReply{.requestId = requestId,
                        .code = error.code,
                        .message = error.message,
                        .leader = hooks_.leader().value_or(HostId()),
                        .payload = {}};
}

void ControlService::receive(const HostId &from, const ProposeRequest &request)
{
    if (!hooks_.isLeader()) {
        hooks_.send(from, notLeader(request.requestId));
        return;
    }
    const std::uint64_t id = request.requestId;
    hooks_.propose(request.command, [this, from, id](const Outcome<std::string> &outcome) {
        if (!outcome.ok()) {
            hooks_.send(from, failed(id, outcome.error()));
            return;
        }
        hooks_.send(from,
                    ControlReply{.requestId = id,
                                 .code = ResultCode::Ok,
                                 .message = {},
                                 .leader = self_,
                                 .payload = outcome.value()});
    });
}

void ControlService::receive(const HostId &from, const QueryRequest &request)
{
    if (!hooks_.isLeader()) {
        hooks_.send(from, notLeader(request.requestId));
        return;
    }
    const Outcome<Query> query = decodeQuery(request.query);
    const std::uint64_t id = request.requestId;
    if (!query.ok()) {
        hooks_.send(from, failed(id, query.error()));
        return;
    }
    hooks_.readBarrier([this, from, id, asked = query.value()](const Outcome<Done> &barrier) {
        if (!barrier.ok()) {
            hooks_.send(from, failed(id, barrier.error()));
            return;
        }
        hooks_.send(from,
                    ControlReply{.requestId = id,
                                 .code = ResultCode::Ok,
                                 .message = {},
                                 .leader = self_,
                                 .payload = encodeAnswer(hooks_.answer(asked))});
    });
}

void ControlService::receive(const HostId &from, const LeaseRequest &request)
{
    const auto refuse = [this, from, sequence = request.sequence] {
        LeaseGrant refusal;
        refusal.sequence = sequence;
        refusal.leader = hooks_.leader().value_or(HostId());
        if (refusal.leader == self_) {
            refusal.leader = HostId();
        }
        hooks_.send(from, refusal);
    };
    if (!hooks_.isLeader()) {
        refuse();
        return;
    }
    hooks_.readBarrier([this, from, request, refuse](const Outcome<Done> &barrier) {
        if (!barrier.ok()) {
            refuse();
            return;
        }
        hooks_.send(from, leases_.renew(from, request, hooks_.inForce()));
    });
}

void ControlService::leadershipBegan()
{
    leases_.leadershipBegan();
    releasing_.clear();
}

void ControlService::tick()
{
    if (!hooks_.isLeader()) {
        return;
    }
    for (const Owner &owner : leases_.lapsed(hooks_.owners())) {
        release(owner);
    }
}

void ControlService::release(const Owner &owner)
{
    if (!releasing_.insert(owner).second) {
        return;
    }
    LogLine(LogLevel::Warning, "owner_lapsed")
        .add("host", owner.host.value)
        .add("incarnation", static_cast<std::int64_t>(owner.incarnation))
        .write();
    hooks_.propose(encodeCommand(ReleaseOwner{owner, clock_.wall()}),
                   [this, owner](const Outcome<std::string> &) { releasing_.erase(owner); });
}

} // namespace persimmonlb
