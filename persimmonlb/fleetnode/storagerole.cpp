#include "persimmonlb/fleetnode/storagerole.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr std::size_t mostJobsShown = 200; ///< To operators.
/// Entry hosts that come and go within this are told to the leader together.
constexpr Milliseconds attachmentsInterval{100};
/// Two reports of a host and some delay: after a longer time without a proof, followers may be
/// waiting for one.
constexpr Milliseconds proofGap{800};

bool isForLeader(const PeerBody &body)
{
    return std::holds_alternative<SlotRequest>(body) || std::holds_alternative<SlotEnd>(body)
        || std::holds_alternative<SlotsHeld>(body) || std::holds_alternative<RunVerdict>(body)
        || std::holds_alternative<ServerLeaving>(body) || std::holds_alternative<ServerLimit>(body);
}

} // namespace

StorageRole::StorageRole(StorageRoleDeps deps)
    : deps_(std::move(deps))
    , registry_(FleetRegistryOptions{}, deps_.clock)
    , attachments_(AttachmentsOptions{}, deps_.clock)
    , feed_(ViewFeedOptions{}, deps_.clock, feedHooks())
    , announcement_(LeaderAnnouncementOptions{}, deps_.clock)
    , care_(GroupCareOptions{.lossesBorne = deps_.settings.lossesBorne}, deps_.clock)
    , quotas_(deps_.settings.customers.quotas, deps_.clock)
    , broker_(SlotBrokerOptions{.availabilityZone = deps_.settings.availabilityZone,
                                .learnsSpeeds = deps_.settings.learnsServerSpeeds},
              deps_.clock, deps_.random, brokerHooks())
    , crashes_(CrashLedgerOptions{}, deps_.clock)
    , runner_(BulkRunnerOptions{}, deps_.clock, broker_, crashes_, deps_.metrics, runnerHooks())
    , inspector_(EngineInspectorOptions{}, deps_.clock, deps_.metrics, inspectorHooks())
    , saver_(saverHooks())
{
}

StorageRole::~StorageRole() = default;

SlotBrokerHooks StorageRole::brokerHooks()
{
    return SlotBrokerHooks{
        .grant = [this](const HostId &to, const SlotGrant &grant) { sendGrant(to, grant); },
        .refuse =
            [this](const HostId &to, const SlotRefusal &refusal) {
                quotas_.giveBack(to, refusal.ticket);
                deps_.send(to, refusal);
            },
        .yieldBatch = [this](const ServiceName &service) { return runner_.yield(service); },
        .batchMayStart =
            [this](const ServiceName &service) {
                runner_.startItems(service);
            }};
}

ViewFeedHooks StorageRole::feedHooks()
{
    return ViewFeedHooks{.view = [this]() -> const FleetView & { return deps_.lastView(); },
                         .sendView = [this](const std::vector<HostId> &to,
                                            const FleetView &view) { deps_.sendToSome(to, view); },
                         .sendChange
                         = [this](const std::vector<HostId> &to,
                                  const FleetChange &change) { deps_.sendToSome(to, change); },
                         .sendRoutes =
                             [this](const std::vector<HostId> &to, const RoutesPush &routes) {
                                 deps_.sendToSome(to, routes);
                             }};
}

BulkRunnerHooks StorageRole::runnerHooks()
{
    return BulkRunnerHooks{
        .table = [this]() -> const BulkTable * {
            return leads_ && control_->state() != nullptr ? &control_->state()->bulk() : nullptr;
        },
        .routes = [this] { return routes(); },
        .propose =
            [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
                control_->propose(command, std::move(done));
            },
        .itemRequest = deps_.face.itemRequest,
        .codec = deps_.face.codec,
        .send = sendThrough(deps_.client),
        .reportServerLeaving = [this](const ServerLeaving &leaving) { serverLeaves(leaving); },
        .reportServerLimit =
            [this](const ServerLimit &limit) {
                if (leads_) {
                    registry_.setLimit(limit);
                }
            }};
}

EngineInspectorHooks StorageRole::inspectorHooks()
{
    return EngineInspectorHooks{
        .engines = [this] { return engines(); },
        .codec = deps_.face.engine,
        .send = sendThrough(deps_.client),
        .noteLoad = [this](const ServerId &engine,
                           std::uint32_t requests) { broker_.recordLoad(engine, requests); },
        .orphansOf
        = [this](const ServerId &engine,
                 const std::vector<std::string> &runs) { return runner_.orphansOf(engine, runs); },
        .orphanStopped
        = [this](const ServerId &engine) { broker_.recordOrphanedRequestEnd(engine); },
        .serverLeaves =
            [this](const ServerLeaving &leaving) {
                serverLeaves(leaving);
            }};
}

void StorageRole::fillReport(HostReport &report) const
{
    report.member = identity_.member;
    report.unused = running_ && control_->status().members.empty();
    report.controlAddress = deps_.settings.controlListen;
    report.followers = static_cast<std::uint32_t>(attachments_.size());
    report.followersBehind
        = static_cast<std::uint32_t>(std::ranges::count_if(reports_, [&report](const auto &entry) {
              return !entry.second.report.address.empty()
                  && entry.second.report.routesVersion < report.routesVersion;
          }));
    if (!running_) {
        report.member = HostId();
    }
}

GroupStatus StorageRole::group() const
{
    return control_->status();
}

void StorageRole::fillStatus(FleetStatus &status) const
{
    status.group = group();
    for (const auto &[host, heard] : reports_) {
        auto known = std::ranges::find(status.hosts, host, &ReportedHost::host);
        if (known == status.hosts.end()) {
            status.hosts.push_back({host, {}, std::nullopt});
            known = std::prev(status.hosts.end());
        }
        known->report = heard.report;
        known->age = std::chrono::duration_cast<Milliseconds>(deps_.clock.monotonic() - heard.at);
    }
    const ReplicatedState *state = control_->state();
    if (state == nullptr) {
        return;
    }
    for (const auto &[id, job] : state->bulk().jobs()) {
        if (status.jobs.size() == mostJobsShown) {
            break;
        }
        status.jobs.emplace_back(id, job);
    }
}

std::vector<HostId> StorageRole::members() const
{
    std::vector<HostId> hosts;
    if (!control_) {
        return hosts;
    }
    for (const MemberStatus &member : control_->status().members) {
        hosts.push_back(hostOfMember(member.host));
    }
    return hosts;
}

bool StorageRole::isLeader() const
{
    return leads_;
}

HostId StorageRole::leader() const
{
    if (leads_) {
        return deps_.settings.host;
    }
    const auto known = running_ ? control_->status().leader : std::nullopt;
    // A store that is no member of the group learns of the leader by the view alone.
    return known ? hostOfMember(*known) : deps_.lastView().leader;
}

// ---- messages -----------------------------------------------------------------------------------

void StorageRole::receive(const HostId &from, const HostId &fromMember, const HostId &toMember,
                          const PeerBody &body)
{
    if (const auto *report = std::get_if<HostReport>(&body)) {
        takeReport(from, *report);
        return;
    }
    if (const auto *attached = std::get_if<AttachedHosts>(&body)) {
        if (leads_) {
            registry_.attach(from, *attached);
        }
        return;
    }
    if (const auto *notice = std::get_if<ServerNotice>(&body)) {
        takeNotice(from, *notice);
        return;
    }
    if (const auto *reply = std::get_if<ServerNoticeReply>(&body)) {
        const auto found = notices_.find(reply->requestId);
        if (found != notices_.end()) {
            const auto done = std::move(found->second.done);
            notices_.erase(found);
            done(reply->taken);
        }
        return;
    }
    if (const auto *removed = std::get_if<MemberRemoved>(&body)) {
        if (removed->member == identity_.member && running_) {
            LogLine(LogLevel::Warning, "member_removed")
                .add("member", identity_.member.value)
                .add("told_by", from.value)
                .write();
            giveUpStore();
        }
        return;
    }
    if (isForLeader(body)) {
        if (leads_) {
            receiveAsLeader(from, body);
        }
        return;
    }
    const HostId &sender = fromMember.empty() ? from : fromMember;
    const bool forOther = !toMember.empty() && toMember != identity_.member;
    if (forOther) {
        answerForFormerMember(sender, toMember, body);
        return;
    }
    if (running_) {
        control_->receive(sender, body);
    }
}

void StorageRole::answerForFormerMember(const HostId &asking, const HostId &former,
                                        const PeerBody &body)
{
    if (const auto reply = replyOfFormerMember(deps_.settings.host, former, body)) {
        deps_.sendToMember(former, asking, *reply);
    }
}

void StorageRole::takeReport(const HostId &from, const HostReport &report)
{
    announcement_.hostReported(from);
    if (report.leaving) {
        // It is dropped when it was silent for a while: its next parent must have named it.
        feed_.reported(from, report);
        reports_.erase(from);
        return;
    }
    registry_.report(from, report);
    attachments_.report(from, report);
    reports_[from] = HeardReport{report, deps_.clock.monotonic()};
    if (from == deps_.settings.host) {
        return;
    }
    feed_.reported(from, report);
    replyToReport(from, reports_.at(from));
}

void StorageRole::replyToReport(const HostId &to, const HeardReport &heard)
{
    const FleetView &view = deps_.lastView();
    LeaderBeat beat{.term = view.term,
                    .version = view.version,
                    .ageMs = static_cast<std::uint64_t>(deps_.leaderAge().count())};
    const RoutesProof &proof = deps_.freshness.newest();
    if (heard.report.stamp > 0 && proof.version > 0) {
        const auto age = std::chrono::ceil<Milliseconds>(
            std::max(heard.at - proof.provenAt, MonotonicTime::duration(0)));
        beat.echoedStamp = heard.report.stamp;
        beat.provenVersion = proof.version;
        beat.proofAgeMs = static_cast<std::uint64_t>(age.count());
    }
    deps_.send(to, beat);
}

void StorageRole::proveRoutes()
{
    if (leads_ && control_->holdsLease()) {
        deps_.freshness.confirmNow(control_->state()->routes().version);
    }
}

void StorageRole::passProofDown()
{
    const MonotonicTime provenAt = deps_.freshness.newest().provenAt;
    const bool wasOld = provenAt - provenAt_ > proofGap;
    provenAt_ = provenAt;
    if (!wasOld || deps_.freshness.newest().version == 0) {
        return;
    }
    for (const auto &[host, heard] : reports_) {
        if (host != deps_.settings.host && heard.report.stamp > 0) {
            replyToReport(host, heard);
        }
    }
}

void StorageRole::hostConnected(const HostId &host)
{
    announcement_.hostConnected(host);
    if (host == leader()) {
        attachments_.forgetTold();
    }
}

void StorageRole::hostLost(const HostId &host)
{
    registry_.hostLost(host);
    attachments_.hostLost(host);
    feed_.hostLost(host);
    announcement_.hostLost(host);
    reports_.erase(host);
    quotas_.hostLost(host);
    broker_.hostLost(host);
}

void StorageRole::viewChanged(const FleetChange *change)
{
    const FleetView &view = deps_.lastView();
    attachments_.setLeader(view.leader, view.term);
    if (change != nullptr) {
        feed_.viewChanged(*change);
    }
}

void StorageRole::routesChanged(const RoutesPush &push)
{
    feed_.routesChanged(push);
}

void StorageRole::passDown(const PeerBody &body)
{
    const std::vector<HostId> followers = feed_.followers();
    if (!followers.empty()) {
        deps_.sendToSome(followers, body);
    }
}

void StorageRole::tellAttachments()
{
    const MonotonicTime now = deps_.clock.monotonic();
    if (!attachments_.hasNews() || (now < nextAttachments_ && !attachments_.isUrgent())) {
        return;
    }
    nextAttachments_ = now + attachmentsInterval;
    if (leads_) {
        registry_.attach(deps_.settings.host, attachments_.takeNews());
        return;
    }
    const HostId leader = this->leader();
    if (leader.empty() || leader == deps_.settings.host) {
        return;
    }
    if (!deps_.send(leader, attachments_.takeNews())) {
        attachments_.forgetTold();
    }
}

void StorageRole::tick()
{
    const MonotonicTime now = deps_.clock.monotonic();
    std::vector<std::function<void(bool)>> expired;
    for (auto position = notices_.begin(); position != notices_.end();) {
        if (now < position->second.deadline) {
            ++position;
            continue;
        }
        expired.push_back(std::move(position->second.done));
        position = notices_.erase(position);
    }
    for (const auto &done : expired) {
        done(false);
    }
    attachments_.tick();
    tellAttachments();
    feed_.tick();
    passProofDown();
    if (!running_) {
        return;
    }
    control_->tick();
    if (leads_) {
        leaderTick();
        return;
    }
    if (formationTried_ || !deps_.settings.mayForm) {
        return;
    }
    formationTried_ = true;
    const std::vector<HostId> seeds = seedHosts(deps_.settings);
    if (seeds.empty() || seeds.front() != deps_.settings.host) {
        return;
    }
    const Outcome<Done> formed = control_->initGroup(seeds);
    LogLine(LogLevel::Info, "formation_begun")
        .add("members", static_cast<std::int64_t>(seeds.size()))
        .add("result", formed.ok() ? "ok" : formed.error().message)
        .write();
}

void StorageRole::logUsage()
{
    std::size_t waitingItems = 0;
    std::size_t lateItems = 0;
    for (const auto &[id, job] : control_->state()->bulk().jobs()) {
        if (!job.isOpen()) {
            continue;
        }
        const auto waiting = static_cast<std::size_t>(std::ranges::count(
            job.items, BulkItemPhase::Waiting, [](const BulkItem &item) { return item.phase; }));
        waitingItems += waiting;
        lateItems += job.dueAt < deps_.clock.wall() ? waiting : 0;
    }
    for (const ServiceName &service : broker_.services()) {
        const SlotUsage usage = broker_.usage(service);
        if (usage.online + usage.batch + usage.orphaned + usage.waiting == 0) {
            continue;
        }
        LogLine(LogLevel::Info, "slots_used")
            .add("service", service.value)
            .add("slots", static_cast<std::int64_t>(usage.slots))
            .add("online", static_cast<std::int64_t>(usage.online))
            .add("batch", static_cast<std::int64_t>(usage.batch))
            .add("foreign", static_cast<std::int64_t>(usage.orphaned))
            .add("waiting", static_cast<std::int64_t>(usage.waiting))
            .add("servers", static_cast<std::int64_t>(usage.servers))
            .add("unusable", static_cast<std::int64_t>(usage.unusable))
            .add("prompt_tokens", static_cast<std::int64_t>(usage.promptTokens))
            .add("expected_cached_tokens", static_cast<std::int64_t>(usage.expectedCachedTokens))
            .add("open_items", static_cast<std::int64_t>(waitingItems))
            .add("late_items", static_cast<std::int64_t>(lateItems))
            .write();
    }
}

} // namespace persimmonlb
