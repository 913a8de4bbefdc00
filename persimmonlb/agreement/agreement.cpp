#include "persimmonlb/agreement/agreement.h"

#include <utility>
#include <variant>

#include "persimmonlb/agreement/internal/acceptor.h"
#include "persimmonlb/agreement/internal/applier.h"
#include "persimmonlb/agreement/internal/core.h"
#include "persimmonlb/agreement/internal/election.h"
#include "persimmonlb/agreement/internal/formation.h"
#include "persimmonlb/agreement/internal/memberchange.h"
#include "persimmonlb/agreement/internal/memberevents.h"
#include "persimmonlb/agreement/internal/proposals.h"
#include "persimmonlb/agreement/internal/readbarriers.h"
#include "persimmonlb/agreement/internal/replicator.h"
#include "persimmonlb/agreement/internal/snapshotreceiver.h"

namespace persimmonlb
{

using namespace internal;

class Agreement::Implementation
{
public:
    Implementation(AgreementOptions options, AgreementDependencies dependencies);

    Result<void> start();
    void tick();
    void receive(const HostId &from, const PeerBody &body);
    Result<void> initialise(std::vector<HostId> members);
    void propose(std::string command, ProposeDone done);
    void readBarrier(BarrierDone done);
    void replaceMember(const HostId &lost, const HostId &fresh, BarrierDone done);
    void giveUpFresh();
    [[nodiscard]] GroupStatus status() const;
    [[nodiscard]] bool isLeader() const;
    [[nodiscard]] bool holdsLease() const;
    [[nodiscard]] std::optional<HostId> leader() const;

private:
    template <typename Body>
    void receiveBody(const HostId &from, const Body &body);
    void handle(const HostId &from, const VoteRequest &request);
    void handle(const HostId &from, const VoteReply &reply);
    void handle(const HostId &from, const AppendRequest &request);
    void handle(const HostId &from, const AppendReply &reply);
    void handle(const HostId &from, const SnapshotChunk &chunk);
    void handle(const HostId &from, const SnapshotReply &reply);

    /// Follows the sender of an append or a snapshot; false when it is out of date.
    bool followSender(const HostId &from, std::uint64_t term);
    [[nodiscard]] Error notLeader() const;
    void beginLeadership();
    void endLeadership();
    void appendOwn(const std::vector<LogEntry> &entries);
    void appendConfiguration(const Configuration &configuration);
    void flushProposals();
    void leaderTick();
    void configurationCommitted(const LogEntry &entry);
    /// Does what the last input made possible, then calls out.
    void settle();

    Core core_;
    Replicator replicator_;
    Acceptor acceptor_;
    Election election_;
    Formation formation_;
    Applier applier_;
    Proposals proposals_;
    ReadBarriers readBarriers_;
    MemberChange memberChange_;
    SnapshotReceiver snapshotReceiver_;
    std::uint64_t termStartIndex_ = 0;
    MonotonicTime leadsSince_;
    MonotonicTime nextHeartbeat_;
    bool ownSyncRunning_ = false;
    bool serving_ = false; ///< becameLeader was called.
};

Agreement::Implementation::Implementation(AgreementOptions options,
                                          AgreementDependencies dependencies)
    : core_(std::move(options), std::move(dependencies))
    , replicator_(core_)
    , acceptor_(core_)
    , election_(core_, [this] { beginLeadership(); })
    , formation_(core_, [this] { election_.campaign(); })
    , applier_(core_,
               {.commandApplied
                = [this](const LogEntry &entry,
                         std::string reply) { proposals_.applied(entry, std::move(reply)); },
                .configurationCommitted =
                    [this](const LogEntry &entry) {
                        configurationCommitted(entry);
                    }})
    , proposals_(core_)
    , readBarriers_(core_, replicator_)
    , memberChange_(
          core_, replicator_,
          [this](const Configuration &configuration) { appendConfiguration(configuration); })
    , snapshotReceiver_(core_)
{
    core_.leadershipEnded = [this] {
        endLeadership();
    };
    core_.afterSync = [this] {
        settle();
    };
}

Result<void> Agreement::Implementation::start()
{
    BOOST_LEAF_CHECK(core_.load());
    BOOST_LEAF_CHECK(core_.dependencies.machine.reload());
    core_.persist([] {}); // What was read may not have been synced by the process before.
    return {};
}

void Agreement::Implementation::tick()
{
    if (core_.failed()) {
        return;
    }
    election_.tick();
    proposals_.expire();
    readBarriers_.expire();
    if (core_.now() >= nextHeartbeat_) {
        nextHeartbeat_ = core_.now() + core_.options.timeouts.heartbeat;
        formation_.tick();
        if (core_.role() == Role::Leader) {
            leaderTick();
        }
    }
    settle();
}

void Agreement::Implementation::leaderTick()
{
    const MonotonicTime contact = std::max(replicator_.quorumContact(), leadsSince_);
    if (core_.now() - contact > core_.options.timeouts.checkQuorum) {
        core_.changeRole(RoleEvent::SteppedDown);
        return;
    }
    replicator_.heartbeat();
    memberChange_.tick();
}

void Agreement::Implementation::receive(const HostId &from, const PeerBody &body)
{
    if (core_.failed()) {
        return;
    }
    std::visit([&](const auto &message) { receiveBody(from, message); }, body);
    settle();
}

template <typename Body>
void Agreement::Implementation::receiveBody(const HostId &from, const Body &body)
{
    if constexpr (requires { handle(from, body); }) {
        if (sameLineage(body.term, core_.term())) {
            handle(from, body);
        }
    }
}

void Agreement::Implementation::handle(const HostId &from, const VoteRequest &request)
{
    election_.receive(from, request);
}

void Agreement::Implementation::handle(const HostId &from, const VoteReply &reply)
{
    election_.receive(from, reply);
}

bool Agreement::Implementation::followSender(const HostId &from, std::uint64_t term)
{
    if (term < core_.term() || (core_.role() == Role::Leader && term == core_.term())) {
        return false;
    }
    const bool elected = counterOf(term) > firstCounter;
    core_.follow(term, elected ? std::optional(from) : std::nullopt);
    return true;
}

void Agreement::Implementation::handle(const HostId &from, const AppendRequest &request)
{
    if (request.term == 0 || !followSender(from, request.term)) {
        acceptor_.refuse(from, request);
        return;
    }
    acceptor_.receive(from, request);
}

void Agreement::Implementation::handle(const HostId &from, const AppendReply &reply)
{
    if (formation_.receive(from, reply)) {
        return;
    }
    if (reply.term > core_.term()) {
        core_.follow(reply.term, std::nullopt);
        return;
    }
    if (core_.role() != Role::Leader || reply.term < core_.term()) {
        return;
    }
    memberChange_.receive(from, reply);
    replicator_.receive(from, reply);
}

void Agreement::Implementation::handle(const HostId &from, const SnapshotChunk &chunk)
{
    if (followSender(from, chunk.term)) {
        snapshotReceiver_.receive(from, chunk);
    }
}

void Agreement::Implementation::handle(const HostId &from, const SnapshotReply &reply)
{
    if (core_.role() == Role::Leader && reply.term == core_.term()) {
        replicator_.receive(from, reply);
    }
}

Result<void> Agreement::Implementation::initialise(std::vector<HostId> members)
{
    BOOST_LEAF_CHECK(formation_.begin(std::move(members)));
    settle();
    return {};
}

Error Agreement::Implementation::notLeader() const
{
    if (core_.failed()) {
        return makeError(ResultCode::NotLeader, "this member's store failed");
    }
    if (core_.configurations().latest().members.empty()) {
        return makeError(ResultCode::GroupNotInitialised, "the control group was never started");
    }
    return makeError(ResultCode::NotLeader, "this member does not lead");
}

void Agreement::Implementation::propose(std::string command, ProposeDone done)
{
    if (core_.failed() || core_.role() != Role::Leader) {
        core_.callLater([done = std::move(done), error = notLeader()] { done(error); });
    } else {
        proposals_.add(std::move(command), std::move(done));
    }
    settle();
}

void Agreement::Implementation::readBarrier(BarrierDone done)
{
    if (core_.failed() || core_.role() != Role::Leader) {
        core_.callLater([done = std::move(done), error = notLeader()] { done(error); });
    } else {
        readBarriers_.add(std::move(done));
    }
    settle();
}

void Agreement::Implementation::giveUpFresh()
{
    if (isLeader()) {
        memberChange_.giveUpFresh();
    }
    settle();
}

void Agreement::Implementation::replaceMember(const HostId &lost, const HostId &fresh,
                                              BarrierDone done)
{
    if (!isLeader()) {
        core_.callLater([done = std::move(done), error = notLeader()] { done(error); });
    } else {
        memberChange_.replace(lost, fresh, std::move(done));
    }
    settle();
}

void Agreement::Implementation::beginLeadership()
{
    core_.leader = core_.options.self;
    leadsSince_ = core_.now();
    termStartIndex_ = core_.lastIndex() + 1;
    ownSyncRunning_ = false;
    replicator_.beginTerm();
    appendOwn({{.index = termStartIndex_,
                .term = core_.term(),
                .kind = EntryKind::NoOperation,
                .data = {}}});
    replicator_.heartbeat();
}

void Agreement::Implementation::endLeadership()
{
    proposals_.abandon();
    readBarriers_.abandon();
    memberChange_.abandon();
    if (serving_) {
        serving_ = false;
        core_.callLater([this] { core_.dependencies.hooks.lostLeadership(); });
    }
}

void Agreement::Implementation::appendOwn(const std::vector<LogEntry> &entries)
{
    core_.append(entries);
    ownSyncRunning_ = true;
    core_.persist([this, term = core_.term()] {
        if (core_.term() == term) {
            ownSyncRunning_ = false;
        }
    });
    replicator_.broadcast();
}

void Agreement::Implementation::appendConfiguration(const Configuration &configuration)
{
    core_.append({{.index = core_.lastIndex() + 1,
                   .term = core_.term(),
                   .kind = EntryKind::Configuration,
                   .data = encodeConfiguration(configuration)}});
    replicator_.refreshMembers();
    core_.persist([] {});
    replicator_.heartbeat();
    replicator_.broadcast();
}

void Agreement::Implementation::flushProposals()
{
    // Commands that come while a sync runs share the next one.
    if (core_.role() == Role::Leader && proposals_.hasQueued() && !ownSyncRunning_) {
        appendOwn(proposals_.takeQueued());
    }
}

void Agreement::Implementation::configurationCommitted(const LogEntry &entry)
{
    if (core_.role() != Role::Leader) {
        core_.reviewMembership();
        return;
    }
    for (MemberEvent &event :
         memberEventsBetween(core_.configurations().at(entry.index - 1),
                             core_.configurations().at(entry.index), entry.index)) {
        core_.callLater(
            [this, event = std::move(event)] { core_.dependencies.hooks.memberEvent(event); });
    }
    if (core_.configurations().latestIndex() == entry.index
        && !core_.configurations().latest().isVoter(core_.options.self)) {
        replicator_.heartbeat(); // Tells the others that its own removal is committed.
        core_.changeRole(RoleEvent::BecameNonVoter);
    }
}

void Agreement::Implementation::settle()
{
    flushProposals();
    if (core_.role() == Role::Leader) {
        replicator_.advanceCommit();
    }
    applier_.step();
    if (core_.role() == Role::Leader) {
        if (!serving_ && core_.appliedIndex >= termStartIndex_) {
            serving_ = true;
            core_.callLater([this] { core_.dependencies.hooks.becameLeader(); });
        }
        readBarriers_.step(termStartIndex_);
        if (serving_) {
            memberChange_.step();
        }
    }
    core_.runCalls();
}

GroupStatus Agreement::Implementation::status() const
{
    const Configuration &configuration = core_.configurations().latest();
    GroupStatus status{
        .role = core_.role(),
        .term = counterOf(core_.term()),
        .leader = core_.leader,
        .commitIndex = core_.commitIndex,
        .appliedIndex = core_.appliedIndex,
        .lastIndex = core_.lastIndex(),
        .members = {},
        .changeInProgress = !memberChange_.joining().empty(),
        .joining = memberChange_.joining(),
    };
    for (const Member &member : configuration.members) {
        const bool known = core_.role() == Role::Leader;
        status.members.push_back({.host = member.host,
                                  .voter = member.voter,
                                  .matchIndex = known ? replicator_.matchIndex(member.host) : 0});
    }
    return status;
}

bool Agreement::Implementation::isLeader() const
{
    return core_.role() == Role::Leader && serving_;
}

bool Agreement::Implementation::holdsLease() const
{
    return isLeader() && core_.now() < replicator_.leaseEnd();
}

std::optional<HostId> Agreement::Implementation::leader() const
{
    return core_.leader;
}

Agreement::Agreement(AgreementOptions options, AgreementDependencies dependencies)
    : implementation_(std::make_unique<Implementation>(std::move(options), std::move(dependencies)))
{
}

Agreement::~Agreement() = default;

Result<void> Agreement::start()
{
    return implementation_->start();
}

void Agreement::tick()
{
    implementation_->tick();
}

void Agreement::receive(const HostId &from, const PeerBody &body)
{
    implementation_->receive(from, body);
}

Result<void> Agreement::initialise(std::vector<HostId> members)
{
    return implementation_->initialise(std::move(members));
}

void Agreement::propose(std::string command, ProposeDone done)
{
    implementation_->propose(std::move(command), std::move(done));
}

void Agreement::readBarrier(BarrierDone done)
{
    implementation_->readBarrier(std::move(done));
}

void Agreement::replaceMember(const HostId &lost, const HostId &fresh, BarrierDone done)
{
    implementation_->replaceMember(lost, fresh, std::move(done));
}

void Agreement::giveUpFresh()
{
    implementation_->giveUpFresh();
}

GroupStatus Agreement::status() const
{
    return implementation_->status();
}

bool Agreement::isLeader() const
{
    return implementation_->isLeader();
}

bool Agreement::holdsLease() const
{
    return implementation_->holdsLease();
}

std::optional<HostId> Agreement::leader() const
{
    return implementation_->leader();
}

} // namespace persimmonlb
