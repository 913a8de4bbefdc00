#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/store/memorystore.h"

namespace persimmonlb
{

/// Virtual time: runs queued functions in the order of their moments.
class FakeScheduler
{
public:
    [[nodiscard]] MonotonicTime now() const;
    void after(Microseconds delay, std::function<void()> task);
    void runFor(Microseconds duration);

private:
    MonotonicTime now_{std::chrono::hours(1)};
    std::uint64_t next_ = 0;
    std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> tasks_;
};

/// How messages are treated; probabilities in percent.
struct FakeNetwork {
    Microseconds leastDelay{1000};
    Microseconds mostDelay{2000};
    std::uint64_t lostPercent = 0;
    std::uint64_t doubledPercent = 0;
    std::set<std::pair<HostId, HostId>> cut; ///< (from, to) pairs that lose every message.

    [[nodiscard]] bool isCut(const HostId &from, const HostId &to) const;
    void cutOneWay(const HostId &from, const HostId &to);
    void heal();
};

/// Where in a member's work a fault strikes.
enum class StepKind : std::uint8_t { Send, Sync, Apply };

struct Step {
    StepKind kind = StepKind::Send;
    bool after = false; ///< Else before.

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const Step &) const = default;
};

/// A few members over fake stores and a fake network, and callers that write and read all the time.
///
/// Every command adds its own number to a set. A read must find every number that was acknowledged,
/// or found by another read, before it began. What breaks a promise is kept in `violations`.
class FakeGroup
{
public:
    FakeGroup(std::uint64_t seed, AgreementOptions options);
    ~FakeGroup();
    FakeGroup(const FakeGroup &) = delete;
    FakeGroup &operator=(const FakeGroup &) = delete;

    // ---- members
    void add(const HostId &host);
    /// Loses what was not synced but a random part of it.
    void crash(const HostId &host);
    /// `silentSince`: see AgreementOptions.
    void restart(const HostId &host, std::optional<MonotonicTime> silentSince = {});
    /// Crashes the host and empties its disk.
    void loseDisk(const HostId &host);
    /// Stops a host as SIGSTOP does; what arrives meanwhile is delivered at resume().
    void freeze(const HostId &host);
    void resume(const HostId &host);
    [[nodiscard]] bool isUp(const HostId &host) const;
    [[nodiscard]] Agreement &agreement(const HostId &host);
    [[nodiscard]] MemoryStore &store(const HostId &host);
    /// The member that leads in the newest term and is up and not frozen.
    [[nodiscard]] std::optional<HostId> leader() const;
    [[nodiscard]] std::vector<HostId> hosts() const;

    /// Calls `fault` at the `number`-th step of this kind on `host` from now on. A fault that
    /// crashes this host takes effect within the step.
    void atStep(const HostId &host, Step step, std::uint64_t number, std::function<void()> fault);

    // ---- callers
    /// Proposes and reads from now on, at every member that leads or believes to.
    void startCallers();
    void stopCallers();
    /// Proposes one command at `host` and returns its number.
    std::uint64_t propose(const HostId &host);
    [[nodiscard]] bool isAcknowledged(std::uint64_t number) const;
    [[nodiscard]] std::size_t acknowledgedCount() const;
    [[nodiscard]] std::size_t readCount() const;
    [[nodiscard]] std::uint64_t timesApplied(const HostId &host, std::uint64_t number);

    /// Compares the state of `hosts` with what was promised: nothing acknowledged is missing,
    /// nothing refused was applied, nothing was applied twice.
    void checkPromises(const std::vector<HostId> &hosts);

    struct Violations {
        std::set<std::string> lost; ///< Acknowledged, then missing.
        std::set<std::string> appliedTwice;
        std::set<std::string> reverted; ///< Members applied different commands at one index.
        std::set<std::string> staleReads;
        std::set<std::string> refusedButApplied;

        [[nodiscard]] std::string text() const;
    };

    /// Called right after a command of a member was acknowledged.
    std::function<void(const HostId &host, std::uint64_t number)> afterAcknowledgement;
    /// Sees every message that is sent.
    std::function<void(const HostId &from, const HostId &to, const PeerBody &body)> sent;
    /// Makes the syncs of a host take this much longer.
    std::map<HostId, Microseconds> slowSync;
    FakeScheduler scheduler;
    FakeNetwork network;
    Violations violations;
    std::vector<MemberEvent> memberEvents;

private:
    struct Trigger {
        Step step;
        std::uint64_t remaining = 0;
        std::function<void()> fault;
    };
    struct Host {
        std::unique_ptr<MemoryStore> store;
        StateStore state; ///< As the running process sees it.
        std::unique_ptr<Agreement> agreement;
        std::uint64_t life = 0;
        bool frozen = false;
        bool running = false;
        bool dying = false; ///< Crashed within a step; does nothing more while it unwinds.
        std::deque<std::function<void()>> held; ///< What waits for resume().
        std::vector<Trigger> triggers;
    };

    AgreementDependencies dependenciesOf(const HostId &host);
    StateMachine machineOf(const HostId &host);
    LogStore watchedLog(const HostId &host);
    /// Runs work of the host's process: now, when it resumes, or never when it has crashed.
    void runOn(const HostId &host, std::uint64_t life, std::function<void()> work);
    void execute(const HostId &host, const std::function<void()> &work);
    void strike(const HostId &host, StepKind kind, bool after);
    void send(const HostId &from, const HostId &to, const PeerBody &body);
    void tick(const HostId &host, std::uint64_t life);
    void callersTick();
    void acknowledge(const HostId &host, std::uint64_t number);
    void read(const HostId &host);
    void stop(Host &host);

    AgreementOptions options_;
    RandomSource random_;
    std::map<HostId, Host> hosts_;
    std::uint64_t nextDisk_ = 1000;
    std::uint64_t nextNumber_ = 1;
    bool callersRun_ = false;
    std::vector<std::uint64_t> mustBeSeen_; ///< Acknowledged or read, in that order.
    std::set<std::uint64_t> mustBeSeenSet_;
    std::set<std::uint64_t> acknowledged_;
    std::set<std::uint64_t> refused_;
    std::map<std::uint64_t, std::string> appliedAt_; ///< Command by log index, on any member.
    std::size_t reads_ = 0;
};

} // namespace persimmonlb
