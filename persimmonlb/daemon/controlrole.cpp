#include "persimmonlb/daemon/controlrole.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/base/logline.h"
#include "persimmonlb/control/controlservice.h"
#include "persimmonlb/state/replicatedstate.h"
#include "persimmonlb/store/diskstore.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds lapseCheckInterval{100};
constexpr std::uint64_t retainedShare = 2; ///< Half of the snapshot interval stays in the log.

AgreementOptions makeOptions(const ControlRoleDeps &deps, MonotonicTime openingSince)
{
    AgreementOptions options;
    options.silentSince = openingSince;
    options.self = deps.member;
    options.timeouts = deps.timeouts;
    options.limits.compactAfterEntries = deps.snapshotEntries;
    options.limits.retainedEntries = deps.snapshotEntries / retainedShare;
    return options;
}

} // namespace

/// Everything that lives between start() and stop(), destroyed in reverse order.
struct ControlRole::Parts {
    explicit Parts(std::unique_ptr<DiskStore> opened)
        : store(std::move(opened))
        , state(store->stateStore())
    {
    }

    std::unique_ptr<DiskStore> store;
    ReplicatedState state;
    std::unique_ptr<ControlService> service;
    std::unique_ptr<Agreement> agreement;
    MonotonicTime nextLapseCheck;
};

ControlRole::ControlRole(ControlRoleDeps deps)
    : deps_(std::move(deps))
{
}

ControlRole::~ControlRole() = default;

Result<void> ControlRole::start()
{
    const MonotonicTime openingSince = deps_.clock.monotonic();
    BOOST_LEAF_AUTO(
        store,
        DiskStore::open({.folder = deps_.dataFolder, .host = deps_.member, .post = deps_.post}));
    auto parts = std::make_unique<Parts>(std::move(store));
    Parts *raw = parts.get();

    ControlServiceHooks service;
    service.isLeader = [raw] {
        return raw->agreement->isLeader();
    };
    service.leader = [raw] {
        return raw->agreement->leader();
    };
    service.propose = [raw](std::string command, Agreement::ProposeDone done) {
        raw->agreement->propose(std::move(command), std::move(done));
    };
    service.readBarrier = [raw](Agreement::BarrierDone done) {
        raw->agreement->readBarrier(std::move(done));
    };
    service.answer = [raw](const Query &query) {
        return raw->state.answer(query);
    };
    service.inForce = [raw] {
        return InForce{.sheetNumber = raw->state.sheetNumber(),
                       .entryStateVersion = raw->state.entryStateVersion(),
                       .draining = raw->state.drainingHosts(),
                       .registered = raw->state.registeredHosts(),
                       .pendingServices = raw->state.pendingServices()};
    };
    service.owners = [raw] {
        return raw->state.owners();
    };
    service.send = deps_.send;
    LeaseTableOptions leases;
    leases.lease = deps_.lease;
    parts->service
        = std::make_unique<ControlService>(leases, deps_.member, deps_.clock, std::move(service));

    AgreementHooks hooks;
    hooks.send = [this](const HostId &to, PeerBody body) {
        deps_.send(to, std::move(body));
    };
    hooks.becameLeader = [this, raw] {
        LogLine(LogLevel::Info, "became_leader")
            .add("term", static_cast<std::int64_t>(raw->agreement->status().term))
            .write();
        raw->service->leadershipBegan();
        if (deps_.leadershipChanged) {
            deps_.leadershipChanged(true);
        }
    };
    hooks.lostLeadership = [this] {
        LogLine(LogLevel::Info, "lost_leadership").write();
        if (deps_.leadershipChanged) {
            deps_.leadershipChanged(false);
        }
    };
    hooks.memberEvent = [this, raw](const MemberEvent &event) {
        AuditRecord record;
        record.at = deps_.clock.wall();
        record.kind = "member";
        record.who = deps_.member.value;
        record.subject = event.host.value;
        record.detail = event.kind;
        // The log index names the event, so that one told twice is entered once.
        const Owner teller{HostId{"member-changes"}, 1};
        raw->agreement->propose(encodeCommand(AppendAudit{teller, event.index, {record}}),
                                [](const Outcome<std::string> &) {});
    };
    hooks.storeFailed = [this](const Error &error) {
        deps_.post([this, why = error.message] { deps_.failed(why); });
    };
    parts->agreement
        = std::make_unique<Agreement>(makeOptions(deps_, openingSince),
                                      AgreementDependencies{.log = parts->store->logStore(),
                                                            .state = parts->store->stateStore(),
                                                            .machine = parts->state.machine(),
                                                            .clock = deps_.clock,
                                                            .random = deps_.random,
                                                            .hooks = std::move(hooks)});
    BOOST_LEAF_CHECK(parts->agreement->start());
    parts_ = std::move(parts);
    return {};
}

void ControlRole::stop()
{
    parts_.reset();
}

void ControlRole::tick()
{
    if (!parts_) {
        return;
    }
    parts_->agreement->tick();
    const MonotonicTime now = deps_.clock.monotonic();
    if (now >= parts_->nextLapseCheck) {
        parts_->nextLapseCheck = now + lapseCheckInterval;
        parts_->service->tick();
    }
}

void ControlRole::receive(const HostId &from, const PeerBody &body)
{
    if (!parts_) {
        return;
    }
    if (const auto *propose = std::get_if<ProposeRequest>(&body)) {
        parts_->service->receive(from, *propose);
        return;
    }
    if (const auto *query = std::get_if<QueryRequest>(&body)) {
        parts_->service->receive(from, *query);
        return;
    }
    if (const auto *lease = std::get_if<LeaseRequest>(&body)) {
        parts_->service->receive(from, *lease);
        return;
    }
    parts_->agreement->receive(from, body);
}

Outcome<Done> ControlRole::initGroup(const std::vector<HostId> &members)
{
    if (!parts_) {
        return makeError(ResultCode::StoreUnavailable, "the control role is not running");
    }
    return capture([&] { return parts_->agreement->initialise(members); });
}

void ControlRole::replaceMember(const HostId &lost, const HostId &fresh,
                                std::function<void(Outcome<Done>)> done)
{
    if (!parts_) {
        done(makeError(ResultCode::StoreUnavailable, "the control role is not running"));
        return;
    }
    parts_->agreement->replaceMember(lost, fresh, std::move(done));
}

void ControlRole::giveUpFresh()
{
    if (parts_) {
        parts_->agreement->giveUpFresh();
    }
}

GroupStatus ControlRole::status() const
{
    return parts_ ? parts_->agreement->status() : GroupStatus();
}

const ReplicatedState *ControlRole::state() const
{
    return parts_ ? &parts_->state : nullptr;
}

void ControlRole::propose(const Command &command, std::function<void(Outcome<Reply>)> done)
{
    if (!parts_) {
        done(makeError(ResultCode::StoreUnavailable, "the control role is not running"));
        return;
    }
    parts_->agreement->propose(
        encodeCommand(command), [done = std::move(done)](const Outcome<std::string> &reply) {
            done(reply.ok() ? decodeReply(reply.value()) : Outcome<Reply>(reply.error()));
        });
}

std::string ControlRole::statusJson() const
{
    const GroupStatus status = this->status();
    nlohmann::json members = nlohmann::json::array();
    for (const MemberStatus &member : status.members) {
        members.push_back(
            {{"host", member.host.value}, {"voter", member.voter}, {"match", member.matchIndex}});
    }
    const nlohmann::json json{{"host", deps_.member.value},
                              {"role", toString(status.role)},
                              {"term", status.term},
                              {"leader", status.leader.value_or(HostId()).value},
                              {"commit", status.commitIndex},
                              {"applied", status.appliedIndex},
                              {"last", status.lastIndex},
                              {"change_in_progress", status.changeInProgress},
                              {"members", members}};
    return json.dump();
}

bool ControlRole::holdsLease() const
{
    return parts_ && parts_->agreement->holdsLease();
}

bool ControlRole::isLeader() const
{
    return parts_ && parts_->agreement->isLeader();
}

} // namespace persimmonlb
