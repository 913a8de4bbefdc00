#include "persimmonlb/agreement/fakegroup.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

/// Unwinds the stack of a host that crashes within a step.
struct HostCrashed {
};

constexpr Microseconds tickInterval{20000};
constexpr Microseconds callerInterval{11000};
constexpr Microseconds leastSync{500};
/// A stale state is a prefix of the log, so it misses the newest numbers.
constexpr std::size_t newestChecked = 64;
constexpr std::uint64_t syncSpreadMicroseconds = 4000;

std::string keyOf(std::uint64_t number)
{
    return "n/" + std::to_string(number);
}

} // namespace

MonotonicTime FakeScheduler::now() const
{
    return now_;
}

void FakeScheduler::after(Microseconds delay, std::function<void()> task)
{
    tasks_.emplace(std::pair(now_ + delay, next_++), std::move(task));
}

void FakeScheduler::runFor(Microseconds duration)
{
    const MonotonicTime end = now_ + duration;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
        auto node = tasks_.extract(tasks_.begin());
        now_ = node.key().first;
        node.mapped()();
    }
    now_ = end;
}

bool FakeNetwork::isCut(const HostId &from, const HostId &to) const
{
    return cut.contains({from, to});
}

void FakeNetwork::cutOneWay(const HostId &from, const HostId &to)
{
    cut.insert({from, to});
}

void FakeNetwork::heal()
{
    cut.clear();
    lostPercent = 0;
    doubledPercent = 0;
}

std::string FakeGroup::Violations::text() const
{
    std::string text;
    for (const auto *kind : {&lost, &appliedTwice, &reverted, &staleReads, &refusedButApplied}) {
        for (const std::string &violation : *kind) {
            text += violation + "\n";
        }
    }
    return text;
}

FakeGroup::FakeGroup(std::uint64_t seed, AgreementOptions options)
    : options_(std::move(options))
    , random_(seededRandom(seed))
{
}

FakeGroup::~FakeGroup() = default;

void FakeGroup::add(const HostId &host)
{
    Host &added = hosts_[host];
    added.store
        = std::make_unique<MemoryStore>(nextDisk_++, [this, host](std::function<void()> done) {
              const auto spread = static_cast<std::int64_t>(random_() % syncSpreadMicroseconds);
              const auto slow = slowSync.find(host);
              const Microseconds more = slow == slowSync.end() ? Microseconds(0) : slow->second;
              scheduler.after(leastSync + Microseconds(spread) + more, std::move(done));
          });
    restart(host);
}

void FakeGroup::restart(const HostId &host, std::optional<MonotonicTime> silentSince)
{
    Host &started = hosts_.at(host);
    if (started.agreement) {
        return;
    }
    ++started.life;
    started.running = false;
    started.dying = false;
    started.store->repair();
    AgreementOptions options = options_;
    options.self = host;
    options.silentSince = silentSince;
    started.agreement = std::make_unique<Agreement>(options, dependenciesOf(host));
    const auto outcome = capture([&] { return started.agreement->start(); });
    if (!outcome.ok()) {
        violations.lost.insert("start of " + host.value + ": " + outcome.error().message);
    }
    tick(host, started.life);
}

void FakeGroup::stop(Host &host)
{
    host.agreement.reset();
    host.held.clear();
    host.triggers.clear();
    host.frozen = false;
    ++host.life;
}

void FakeGroup::crash(const HostId &host)
{
    Host &crashed = hosts_.at(host);
    if (!crashed.agreement) {
        return;
    }
    const std::size_t unsynced = crashed.store->unsyncedWrites();
    crashed.store->crash(unsynced == 0 ? 0 : random_() % (unsynced + 1));
    if (crashed.running) {
        crashed.dying = true;
        crashed.store->breakDown();
        throw HostCrashed{}; // LEAF handlers on the way may stop it; execute() sees `dying`.
    }
    stop(crashed);
}

void FakeGroup::loseDisk(const HostId &host)
{
    hosts_.at(host).store->replaceDisk(nextDisk_++);
    crash(host);
}

void FakeGroup::freeze(const HostId &host)
{
    hosts_.at(host).frozen = true;
}

void FakeGroup::resume(const HostId &host)
{
    Host &resumed = hosts_.at(host);
    resumed.frozen = false;
    const std::uint64_t life = resumed.life;
    auto held = std::move(resumed.held);
    resumed.held.clear();
    for (const auto &work : held) {
        if (resumed.life != life) {
            return;
        }
        execute(host, work);
    }
}

bool FakeGroup::isUp(const HostId &host) const
{
    return hosts_.at(host).agreement != nullptr;
}

Agreement &FakeGroup::agreement(const HostId &host)
{
    return *hosts_.at(host).agreement;
}

MemoryStore &FakeGroup::store(const HostId &host)
{
    return *hosts_.at(host).store;
}

std::optional<HostId> FakeGroup::leader() const
{
    std::optional<HostId> found;
    std::uint64_t term = 0;
    for (const auto &[id, host] : hosts_) {
        if (!host.agreement || host.frozen || !host.agreement->isLeader()) {
            continue;
        }
        if (host.agreement->status().term > term) {
            term = host.agreement->status().term;
            found = id;
        }
    }
    return found;
}

std::vector<HostId> FakeGroup::hosts() const
{
    std::vector<HostId> ids;
    for (const auto &[id, host] : hosts_) {
        ids.push_back(id);
    }
    return ids;
}

void FakeGroup::atStep(const HostId &host, Step step, std::uint64_t number,
                       std::function<void()> fault)
{
    hosts_.at(host).triggers.push_back(
        {.step = step, .remaining = number, .fault = std::move(fault)});
}

void FakeGroup::strike(const HostId &host, StepKind kind, bool after)
{
    Host &struck = hosts_.at(host);
    if (struck.dying) {
        return;
    }
    for (std::size_t number = 0; number < struck.triggers.size(); ++number) {
        Trigger &trigger = struck.triggers[number];
        if (trigger.step != Step{kind, after} || trigger.remaining == 0
            || --trigger.remaining > 0) {
            continue;
        }
        const auto fault = trigger.fault;
        fault();
        return;
    }
}

void FakeGroup::runOn(const HostId &host, std::uint64_t life, std::function<void()> work)
{
    Host &runner = hosts_.at(host);
    if (runner.life != life || !runner.agreement || runner.dying) {
        return;
    }
    if (runner.frozen) {
        runner.held.push_back(std::move(work));
        return;
    }
    execute(host, work);
}

void FakeGroup::execute(const HostId &host, const std::function<void()> &work)
{
    Host &runner = hosts_.at(host);
    const bool outermost = !runner.running;
    runner.running = true;
    try {
        work();
    } catch (const HostCrashed &) {
        if (!outermost) {
            throw;
        }
    }
    if (!outermost) {
        return;
    }
    runner.running = false;
    if (runner.dying) {
        stop(runner);
    }
}

void FakeGroup::tick(const HostId &host, std::uint64_t life)
{
    const Host &ticked = hosts_.at(host);
    if (ticked.life != life) {
        return;
    }
    if (!ticked.frozen) {
        runOn(host, life, [this, host] { agreement(host).tick(); });
    }
    scheduler.after(tickInterval, [this, host, life] { tick(host, life); });
}

void FakeGroup::send(const HostId &from, const HostId &to, const PeerBody &body)
{
    if (hosts_.at(from).dying) {
        return;
    }
    if (hosts_.at(from).frozen) {
        hosts_.at(from).held.push_back([this, from, to, body] { send(from, to, body); });
        return;
    }
    strike(from, StepKind::Send, false);
    if (sent) {
        sent(from, to, body);
    }
    const std::uint64_t copies = random_() % 100 < network.doubledPercent ? 2 : 1;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        if (!hosts_.contains(to) || network.isCut(from, to)
            || random_() % 100 < network.lostPercent) {
            continue;
        }
        const auto spread
            = static_cast<std::uint64_t>((network.mostDelay - network.leastDelay).count() + 1);
        const Microseconds delay
            = network.leastDelay + Microseconds(static_cast<std::int64_t>(random_() % spread));
        scheduler.after(delay, [this, from, to, body] {
            runOn(to, hosts_.at(to).life,
                  [this, from, to, body] { agreement(to).receive(from, body); });
        });
    }
    strike(from, StepKind::Send, true);
}

LogStore FakeGroup::watchedLog(const HostId &host)
{
    LogStore log = hosts_.at(host).store->logStore();
    log.sync = [this, host, inner = log.sync](std::function<void(Outcome<Done>)> done) {
        strike(host, StepKind::Sync, false);
        const std::uint64_t life = hosts_.at(host).life;
        inner([this, host, life, done = std::move(done)](const Outcome<Done> &outcome) {
            runOn(host, life, [this, host, done, outcome] {
                strike(host, StepKind::Sync, true);
                done(outcome);
            });
        });
    };
    log.apply = [this, host, inner = log.apply](std::uint64_t index, const MutationList &changes) {
        strike(host, StepKind::Apply, false);
        auto result = inner(index, changes);
        strike(host, StepKind::Apply, true);
        return result;
    };
    return log;
}

StateMachine FakeGroup::machineOf(const HostId &host)
{
    StateMachine machine;
    machine.apply = [this, host](std::uint64_t index, std::string_view command,
                                 MutationList &changes) {
        const auto [known, added] = appliedAt_.try_emplace(index, command);
        if (!added && known->second != command) {
            violations.reverted.insert("index " + std::to_string(index) + " on " + host.value);
        }
        const std::uint64_t number = std::stoull(std::string(command));
        const std::uint64_t times = timesApplied(host, number) + 1;
        changes.push_back({.key = keyOf(number), .value = std::to_string(times)});
        return std::string(command);
    };
    machine.reload = []() -> Result<void> {
        return {};
    };
    return machine;
}

AgreementDependencies FakeGroup::dependenciesOf(const HostId &host)
{
    Host &owner = hosts_.at(host);
    owner.state = owner.store->stateStore();
    AgreementHooks hooks;
    hooks.send = [this, host](const HostId &to, const PeerBody &body) {
        send(host, to, body);
    };
    hooks.becameLeader = [] {
    };
    hooks.lostLeadership = [] {
    };
    hooks.memberEvent = [this](const MemberEvent &event) {
        memberEvents.push_back(event);
    };
    hooks.storeFailed = [](const Error & /*error*/) {
    };
    return {.log = watchedLog(host),
            .state = owner.state,
            .machine = machineOf(host),
            .clock = {.monotonic = [this] { return scheduler.now(); }, .wall = {}},
            .random = seededRandom(random_()),
            .hooks = std::move(hooks)};
    // NOLINTNEXTLINE(clang-analyzer-cplusplus.NewDeleteLeaks): std::function owns it
}

std::uint64_t FakeGroup::timesApplied(const HostId &host, std::uint64_t number)
{
    const auto value = hosts_.at(host).state.get(keyOf(number));
    return value ? std::stoull(*value) : 0;
}

std::uint64_t FakeGroup::propose(const HostId &host)
{
    const std::uint64_t number = nextNumber_++;
    const std::uint64_t life = hosts_.at(host).life;
    runOn(host, life, [this, host, life, number] {
        agreement(host).propose(std::to_string(number),
                                [this, host, life, number](const Outcome<std::string> &reply) {
                                    runOn(host, life, [this, host, number, reply] {
                                        if (reply.ok()) {
                                            acknowledge(host, number);
                                        } else if (reply.error().code == ResultCode::NotLeader) {
                                            refused_.insert(number);
                                        }
                                    });
                                });
    });
    return number;
}

void FakeGroup::acknowledge(const HostId &host, std::uint64_t number)
{
    acknowledged_.insert(number);
    if (mustBeSeenSet_.insert(number).second) {
        mustBeSeen_.push_back(number);
    }
    if (afterAcknowledgement) {
        afterAcknowledgement(host, number);
    }
}

void FakeGroup::read(const HostId &host)
{
    const std::size_t before = mustBeSeen_.size();
    const std::uint64_t upTo = nextNumber_;
    const std::uint64_t life = hosts_.at(host).life;
    runOn(host, life, [this, host, before, upTo] {
        agreement(host).readBarrier([this, host, before, upTo](const Outcome<Done> &outcome) {
            if (!outcome.ok()) {
                return;
            }
            ++reads_;
            const std::size_t oldest = before > newestChecked ? before - newestChecked : 0;
            for (std::size_t position = oldest; position < before; ++position) {
                if (timesApplied(host, mustBeSeen_[position]) == 0) {
                    violations.staleReads.insert("read on " + host.value + " misses "
                                                 + std::to_string(mustBeSeen_[position]));
                }
            }
            for (std::uint64_t number = upTo > 20 ? upTo - 20 : 1; number < upTo; ++number) {
                if (timesApplied(host, number) > 0 && mustBeSeenSet_.insert(number).second) {
                    mustBeSeen_.push_back(number);
                }
            }
        });
    });
}

void FakeGroup::startCallers()
{
    callersRun_ = true;
    callersTick();
}

void FakeGroup::stopCallers()
{
    callersRun_ = false;
}

void FakeGroup::callersTick()
{
    if (!callersRun_) {
        return;
    }
    for (const HostId &host : hosts()) {
        if (!isUp(host) || agreement(host).status().role != Role::Leader) {
            continue;
        }
        propose(host);
        if (isUp(host)) {
            read(host);
        }
    }
    scheduler.after(callerInterval, [this] { callersTick(); });
}

bool FakeGroup::isAcknowledged(std::uint64_t number) const
{
    return acknowledged_.contains(number);
}

std::size_t FakeGroup::acknowledgedCount() const
{
    return acknowledged_.size();
}

std::size_t FakeGroup::readCount() const
{
    return reads_;
}

void FakeGroup::checkPromises(const std::vector<HostId> &hosts)
{
    for (const HostId &host : hosts) {
        for (const std::uint64_t number : mustBeSeen_) {
            if (timesApplied(host, number) == 0) {
                violations.lost.insert(std::to_string(number) + " is lost on " + host.value);
            }
        }
        for (std::uint64_t number = 1; number < nextNumber_; ++number) {
            if (timesApplied(host, number) > 1) {
                violations.appliedTwice.insert(std::to_string(number) + " twice on " + host.value);
            }
        }
        for (const std::uint64_t number : refused_) {
            if (timesApplied(host, number) > 0) {
                violations.refusedButApplied.insert(std::to_string(number) + " on " + host.value);
            }
        }
    }
}

} // namespace persimmonlb
