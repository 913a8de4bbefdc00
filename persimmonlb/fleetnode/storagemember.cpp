// The half of StorageRole that is a member of the group: its identity, its store, its start and
// end.
#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/fleetnode/storagerole.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds restartDelay{500};
constexpr std::uint64_t snapshotEntries = 20000; ///< Some minutes of a busy group.
constexpr Milliseconds entryLease{5000}; ///< Of hosts that use sheets; unused with routes.

/// One zone apart, hosts hear each other within some milliseconds; a host whose processor is
/// rationed may stand still for a tenth of a second. Callers wait out an election.
AgreementTimeouts groupTimeouts()
{
    AgreementTimeouts timeouts;
    timeouts.heartbeat = Milliseconds(70);
    timeouts.electionTimeoutMin = Milliseconds(400);
    timeouts.electionTimeoutMax = Milliseconds(700);
    timeouts.leaderLease = Milliseconds(330);
    timeouts.checkQuorum = Milliseconds(700);
    return timeouts;
}

} // namespace

Result<void> StorageRole::loadIdentity()
{
    if (!identity_.member.empty()) {
        return {};
    }
    const std::vector<HostId> seeds = seedHosts(deps_.settings);
    const bool isSeed = std::ranges::find(seeds, deps_.settings.host) != seeds.end();
    BOOST_LEAF_ASSIGN(identity_,
                      openIdentity(deps_.settings.dataFolder, deps_.settings.host,
                                   deps_.settings.mayForm && isSeed, deps_.random));
    return {};
}

Result<void> StorageRole::start()
{
    const Outcome<Done> loaded = capture([this] { return loadIdentity(); });
    if (!loaded.ok() && loaded.error().code != ResultCode::StoreUnavailable) {
        return fail(loaded.error().code, loaded.error().message);
    }
    return startControl();
}

void StorageRole::makeControl()
{
    ControlRoleDeps deps;
    deps.member = identity_.member;
    deps.dataFolder = identity_.storeFolder;
    deps.snapshotEntries = snapshotEntries;
    deps.lease = entryLease;
    deps.timeouts = groupTimeouts();
    deps.clock = deps_.clock;
    deps.random = deps_.random;
    deps.send = [this](const HostId &to, PeerBody body) {
        return deps_.sendToMember(identity_.member, to, std::move(body));
    };
    deps.post = deps_.post;
    deps.failed = [this](const std::string &why) {
        LogLine(LogLevel::Error, "store_failed").add("why", why).write();
        restartControl(restartDelay);
    };
    deps.leadershipChanged = [this](bool leads) {
        leadershipChanged(leads);
    };
    control_ = std::make_unique<ControlRole>(std::move(deps));
}

Result<void> StorageRole::startControl()
{
    const Outcome<Done> loaded = capture([this] { return loadIdentity(); });
    makeControl();
    if (!loaded.ok()) {
        LogLine(LogLevel::Error, "identity_not_loaded").add("why", loaded.error().message).write();
        restartControl(restartDelay);
        return {};
    }
    const Outcome<Done> started = capture([this] { return control_->start(); });
    running_ = started.ok();
    formationTried_ = false;
    if (started.ok()) {
        LogLine(LogLevel::Info, "member_started")
            .add("member", identity_.member.value)
            .add("unused", control_->status().members.empty() ? "yes" : "no")
            .write();
        return {};
    }
    LogLine(LogLevel::Error, "store_not_opened").add("why", started.error().message).write();
    if (started.error().code == ResultCode::CorruptStore) {
        // As good as lost: the group brings a new store up to date.
        giveUpStore();
        return {};
    }
    restartControl(restartDelay);
    return {};
}

void StorageRole::restartControl(Milliseconds delay)
{
    if (leads_) {
        leadershipChanged(false);
    }
    running_ = false;
    deps_.after(delay, [this] {
        control_->stop();
        const Outcome<Done> started = capture([this] { return startControl(); });
        if (!started.ok()) {
            LogLine(LogLevel::Error, "member_not_started")
                .add("why", started.error().message)
                .write();
        }
    });
}

void StorageRole::giveUpStore()
{
    if (leads_) {
        leadershipChanged(false);
    }
    running_ = false;
    deps_.post([this] {
        control_->stop();
        const Outcome<Done> renewed = capture([this]() -> Result<void> {
            BOOST_LEAF_ASSIGN(
                identity_,
                renewIdentity(deps_.settings.dataFolder, deps_.settings.host, deps_.random));
            return startControl();
        });
        if (!renewed.ok()) {
            LogLine(LogLevel::Error, "identity_not_renewed")
                .add("why", renewed.error().message)
                .write();
            restartControl(restartDelay);
        }
    });
}

void StorageRole::stop()
{
    if (leads_) {
        leadershipChanged(false);
    }
    running_ = false;
    runner_.stop();
    if (control_) {
        control_->stop();
    }
}

} // namespace persimmonlb
