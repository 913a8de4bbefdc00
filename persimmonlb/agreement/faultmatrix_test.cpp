#include <array>
#include <functional>
#include <map>
#include <ostream>
#include <tuple>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/agreement/fakegroup.h"

/// Every fault at every step against every promise, in virtual time, over a network that also
/// loses, doubles and reorders messages. A failure names the seed that repeats it.
namespace persimmonlb
{

namespace
{

const HostId a{"a"};
const HostId b{"b"};
const HostId c{"c"};
const HostId spare{"d"};
constexpr std::array<std::uint64_t, 3> occurrences{1, 4, 13};

enum class Fault : std::uint8_t {
    Crash,
    CrashTwice,
    CrashOfTwo,
    DiskLost,
    Freeze,
    CutOutgoing,
    CutIncoming,
    CutBothWays,
};

enum class Target : std::uint8_t { Leader, Follower };

template <typename Value>
struct Named {
    const char *name;
    Value value;

    friend std::ostream &operator<<(std::ostream &stream, const Named &named)
    {
        return stream << named.name;
    }
};

const std::vector<Named<Fault>> faults{
    {"crash", Fault::Crash},
    {"crash twice", Fault::CrashTwice},
    {"crash of two", Fault::CrashOfTwo},
    {"disk lost, then a second after repair", Fault::DiskLost},
    {"freeze and resume", Fault::Freeze},
    {"cut outgoing", Fault::CutOutgoing},
    {"cut incoming", Fault::CutIncoming},
    {"cut both ways", Fault::CutBothWays},
};

const std::vector<Named<Step>> steps{
    {"before send", {StepKind::Send, false}},   {"after send", {StepKind::Send, true}},
    {"before sync", {StepKind::Sync, false}},   {"after sync", {StepKind::Sync, true}},
    {"before apply", {StepKind::Apply, false}}, {"after apply", {StepKind::Apply, true}},
};

const std::vector<Named<Target>> targets{{"leader", Target::Leader},
                                         {"follower", Target::Follower}};

/// What a scenario broke, one text per promise.
struct Verdict {
    FakeGroup::Violations violations;
    std::set<std::string> notServing;
};

using Promise = const std::set<std::string> &(*)(const Verdict &);

const std::vector<Named<Promise>> promises{
    {"an acknowledged command is never lost",
     [](const Verdict &verdict) -> const std::set<std::string> & {
         return verdict.violations.lost;
     }},
    {"a command is never applied twice",
     [](const Verdict &verdict) -> const std::set<std::string> & {
         return verdict.violations.appliedTwice;
     }},
    {"a committed command never reverts",
     [](const Verdict &verdict) -> const std::set<std::string> & {
         return verdict.violations.reverted;
     }},
    {"no read is stale",
     [](const Verdict &verdict) -> const std::set<std::string> & {
         return verdict.violations.staleReads;
     }},
    {"a command refused as not run is never run",
     [](const Verdict &verdict) -> const std::set<std::string> & {
         return verdict.violations.refusedButApplied;
     }},
    {"the group serves again",
     [](const Verdict &verdict) -> const std::set<std::string> & {
         return verdict.notServing;
     }},
};

AgreementOptions smallLimits()
{
    AgreementOptions options;
    options.limits.compactAfterEntries = 60;
    options.limits.retainedEntries = 20;
    options.limits.maxBytesPerSnapshotChunk = 512;
    options.limits.maxEntriesPerAppend = 8;
    return options;
}

/// Three members and a spare host, with callers at work.
class Scenario
{
public:
    explicit Scenario(std::uint64_t seed)
        : seed_(seed)
        , group(seed, smallLimits())
    {
        for (const HostId &host : {a, b, c, spare}) {
            group.add(host);
        }
        group.agreement(a).initialise({a, b, c}).value();
        run(3000);
        group.network.mostDelay = Milliseconds(8);
        group.network.lostPercent = 2;
        group.network.doubledPercent = 3;
        group.startCallers();
        run(300);
    }

    void run(int milliseconds)
    {
        group.scheduler.runFor(Milliseconds(milliseconds));
    }

    [[nodiscard]] HostId choose(Target target) const
    {
        HostId leads = group.leader().value_or(a);
        if (target == Target::Leader) {
            return leads;
        }
        return leads == a ? b : a;
    }

    void cut(const HostId &host, bool outgoing, bool incoming)
    {
        for (const HostId &other : group.hosts()) {
            if (outgoing) {
                group.network.cutOneWay(host, other);
            }
            if (incoming) {
                group.network.cutOneWay(other, host);
            }
        }
    }

    /// Replaces a lost member, carried on by whoever leads, until it is reported complete.
    void replaceLost(const HostId &lost)
    {
        bool complete = false;
        for (int attempt = 0; attempt < 40 && !complete; ++attempt) {
            const auto leads = group.leader();
            if (leads) {
                group.agreement(*leads).replaceMember(lost, spare,
                                                      [&complete](const Outcome<Done> &outcome) {
                                                          complete = complete || outcome.ok();
                                                      });
            }
            for (int slice = 0; slice < 100 && !complete; ++slice) {
                run(5);
            }
            complete = complete
                || (leads && group.isUp(*leads) && isReplaced(group.agreement(*leads), lost));
        }
        if (!complete) {
            verdict.notServing.insert("the lost member was not replaced" + at());
        }
    }

    void finish(const std::vector<HostId> &members)
    {
        group.network.heal();
        run(4000);
        const std::size_t before = group.acknowledgedCount();
        run(500);
        if (group.acknowledgedCount() == before) {
            verdict.notServing.insert("no acknowledgement" + at());
        }
        group.stopCallers();
        run(3000);
        group.checkPromises(members);
        const FakeGroup::Violations &found = group.violations;
        add(verdict.violations.lost, found.lost);
        add(verdict.violations.appliedTwice, found.appliedTwice);
        add(verdict.violations.reverted, found.reverted);
        add(verdict.violations.staleReads, found.staleReads);
        add(verdict.violations.refusedButApplied, found.refusedButApplied);
    }

private:
    std::uint64_t seed_;

public:
    FakeGroup group;
    Verdict verdict;

private:
    [[nodiscard]] std::string at() const
    {
        return " (seed " + std::to_string(seed_) + ")";
    }

    void add(std::set<std::string> &into, const std::set<std::string> &found) const
    {
        for (const std::string &violation : found) {
            into.insert(violation + at());
        }
    }

    static bool isReplaced(const Agreement &leader, const HostId &lost)
    {
        const GroupStatus status = leader.status();
        for (const MemberStatus &member : status.members) {
            if (member.host == lost) {
                return false;
            }
        }
        return !status.changeInProgress;
    }
};

void strike(Scenario &scenario, Fault fault, const HostId &target)
{
    FakeGroup &group = scenario.group;
    switch (fault) {
    case Fault::Crash:
    case Fault::CrashTwice:
        group.crash(target);
        break;
    case Fault::CrashOfTwo:
        group.crash(target == c ? b : c);
        group.crash(target);
        break;
    case Fault::DiskLost:
        group.loseDisk(target);
        break;
    case Fault::Freeze:
        group.freeze(target);
        break;
    case Fault::CutOutgoing:
        scenario.cut(target, true, false);
        break;
    case Fault::CutIncoming:
        scenario.cut(target, false, true);
        break;
    case Fault::CutBothWays:
        scenario.cut(target, true, true);
        break;
    }
}

/// Brings back what the fault took away; returns the members that must hold everything.
std::vector<HostId> repair(Scenario &scenario, Fault fault, const HostId &target)
{
    FakeGroup &group = scenario.group;
    if (fault == Fault::DiskLost) {
        group.restart(target); // With an empty folder under its old name.
        scenario.run(1000);
        scenario.replaceLost(target);
        const HostId second = scenario.choose(Target::Leader);
        group.loseDisk(second);
        std::vector<HostId> left;
        for (const HostId &host : {a, b, c, spare}) {
            if (host != target && host != second) {
                left.push_back(host);
            }
        }
        return left;
    }
    if (fault == Fault::Freeze) {
        group.resume(target);
    }
    for (const HostId &host : {a, b, c}) {
        group.restart(host);
    }
    if (fault == Fault::CrashTwice) {
        scenario.run(150);
        group.crash(target);
        scenario.run(150);
        group.restart(target);
    }
    return {a, b, c};
}

const Verdict &verdictOf(Fault fault, Step step, Target target)
{
    static std::map<std::tuple<Fault, Step, Target>, Verdict> verdicts;
    const auto [position, added] = verdicts.try_emplace({fault, step, target});
    if (!added) {
        return position->second;
    }
    for (const std::uint64_t occurrence : occurrences) {
        const std::uint64_t seed = occurrence * 1000 + static_cast<std::uint64_t>(fault) * 100
            + static_cast<std::uint64_t>(step.kind) * 10 + (step.after ? 1 : 0);
        Scenario scenario(seed);
        scenario.verdict = position->second;
        const HostId host = scenario.choose(target);
        scenario.group.atStep(host, step, occurrence, [&] { strike(scenario, fault, host); });
        scenario.run(2000);
        const auto members = repair(scenario, fault, host);
        scenario.finish(members);
        position->second = scenario.verdict;
    }
    return position->second;
}

std::string textOf(const std::set<std::string> &violations)
{
    std::string text;
    for (const std::string &violation : violations) {
        text += violation + "; ";
    }
    return text;
}

/// A scenario of many faults at random moments, several at once.
Verdict randomFaults(std::uint64_t seed)
{
    Scenario scenario(seed);
    FakeGroup &group = scenario.group;
    const RandomSource random = seededRandom(seed);
    const std::array<HostId, 3> members{a, b, c};
    for (int round = 0; round < 40; ++round) {
        const HostId &host = members.at(random() % members.size());
        const HostId &other = members.at(random() % members.size());
        switch (random() % 8) {
        case 0:
            group.crash(host);
            break;
        case 1:
            group.freeze(host);
            break;
        case 2:
            scenario.cut(host, true, false);
            break;
        case 3:
            scenario.cut(host, false, true);
            break;
        case 4:
            group.network.cutOneWay(host, other);
            break;
        case 5:
            group.network.heal();
            group.network.lostPercent = random() % 20;
            group.network.doubledPercent = random() % 20;
            break;
        default:
            group.resume(host);
            group.restart(host);
            break;
        }
        scenario.run(static_cast<int>(random() % 400));
    }
    for (const HostId &host : members) {
        group.resume(host);
        group.restart(host);
    }
    scenario.finish({a, b, c});
    return scenario.verdict;
}

/// The host that acknowledges first is lost with its disk in the same instant.
Verdict diskLostAfterAcknowledgement(std::uint64_t seed)
{
    Scenario scenario(seed);
    std::optional<HostId> lost;
    scenario.group.afterAcknowledgement = [&](const HostId &host, std::uint64_t /*number*/) {
        if (!lost) {
            lost = host;
            scenario.group.loseDisk(host);
        }
    };
    scenario.run(2000);
    BOOST_TEST_REQUIRE(lost.has_value());
    std::vector<HostId> left;
    for (const HostId &host : {a, b, c}) {
        if (host != *lost) {
            left.push_back(host);
        }
    }
    scenario.finish(left);
    return scenario.verdict;
}

void checkAll(const Verdict &verdict)
{
    for (const Named<Promise> &promise : promises) {
        BOOST_TEST_CONTEXT(promise.name)
        {
            BOOST_TEST(textOf(promise.value(verdict)) == "");
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(FaultMatrixTest)

BOOST_DATA_TEST_CASE(promiseHolds,
                     boost::unit_test::data::make(faults) * steps * targets * promises, fault, step,
                     target, promise)
{
    const Verdict &verdict = verdictOf(fault.value, step.value, target.value);
    BOOST_TEST(textOf(promise.value(verdict)) == "");
}

BOOST_DATA_TEST_CASE(promisesHoldUnderRandomFaults, boost::unit_test::data::xrange(40), number)
{
    checkAll(randomFaults(static_cast<std::uint64_t>(number) + 77000));
}

BOOST_DATA_TEST_CASE(aHostLostWithItsDiskRightAfterAnAcknowledgementLosesNothing,
                     boost::unit_test::data::xrange(20), number)
{
    checkAll(diskLostAfterAcknowledgement(static_cast<std::uint64_t>(number) + 5000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
