#include <algorithm>
#include <array>
#include <map>
#include <ostream>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/agreement/threemembers.h"

/// Faults on each host at each step of a change of members. Guards against changes that wait for
/// ever on one host, after which no lost member is replaced any more and the next loss leaves no
/// quorum.
namespace persimmonlb
{

using namespace testing;

namespace
{

enum class Leaving : std::uint8_t { Answers, Leads, IsLost };
enum class Phase : std::uint8_t { Invited, Joined, Between, Replaced };
enum class Struck : std::uint8_t { Joining, Leaving, Third };
enum class Fault : std::uint8_t {
    Crash,
    DiskLost,
    Freeze,
    CutOff,
    CutOneWay,
    RestartOfAll,
    DiskLostInRestartOfAll,
};

template <typename Value>
struct Named {
    const char *name;
    Value value;

    friend std::ostream &operator<<(std::ostream &stream, const Named &named)
    {
        return stream << named.name;
    }
};

const std::vector<Named<Leaving>> leavings{{"leaving member answers", Leaving::Answers},
                                           {"leaving member leads", Leaving::Leads},
                                           {"leaving member is lost", Leaving::IsLost}};
const std::vector<Named<Phase>> phases{{"invited", Phase::Invited},
                                       {"joined as learner", Phase::Joined},
                                       {"promoted or removed", Phase::Between},
                                       {"promoted and removed", Phase::Replaced}};
const std::vector<Named<Struck>> strucks{
    {"joining", Struck::Joining}, {"leaving", Struck::Leaving}, {"third", Struck::Third}};
const std::vector<Named<Fault>> faults{
    {"crash", Fault::Crash},
    {"disk lost", Fault::DiskLost},
    {"freeze", Fault::Freeze},
    {"cut off", Fault::CutOff},
    {"cut one way", Fault::CutOneWay},
    {"restart of all", Fault::RestartOfAll},
    {"disk lost in a restart of all", Fault::DiskLostInRestartOfAll}};

/// After the step was first seen: before, around and after it is committed.
constexpr std::array<int, 4> delaysMs{0, 2, 5, 12};
constexpr Milliseconds outage{3000};
constexpr Milliseconds silence{2500}; ///< After which a host is taken for lost.
constexpr Milliseconds longestRepair{60000};
constexpr Milliseconds careInterval{100};
const HostId e{"e"};
const HostId f{"f"};

/// A group of a, b and c in which d replaces one, and what takes care of it: it gives up joining
/// hosts that are lost and replaces lost members by e and f.
class Scenario : public ThreeMembers
{
public:
    explicit Scenario(std::uint64_t number)
        : ThreeMembers(number)
    {
        for (const HostId &host : {d, e, f}) {
            add(host);
        }
        startCallers();
        scheduler.runFor(Milliseconds(200));
    }

    void begin(Leaving leaving)
    {
        const HostId leads = leading();
        leaving_ = leaving == Leaving::Leads ? leads : following();
        third_ = leads;
        if (leaving == Leaving::Leads) {
            third_ = following();
        }
        if (leaving == Leaving::IsLost) {
            lose(leaving_);
            scheduler.runFor(Milliseconds(1000));
        }
        const HostId asked = leading();
        agreement(asked).replaceMember(leaving_, d, [](const Outcome<Done> & /*outcome*/) {});
    }

    /// True if the step was reached.
    bool runUntil(Phase phase)
    {
        for (int step = 0; step < 20000; ++step) {
            if (const auto leads = leader(); leads && phaseAt(*leads) >= phase) {
                return true;
            }
            scheduler.runFor(Microseconds(250));
        }
        return false;
    }

    void strike(Struck struck, Fault fault)
    {
        const std::map<Struck, HostId> hosts{
            {Struck::Joining, d}, {Struck::Leaving, leaving_}, {Struck::Third, third_}};
        const HostId &host = hosts.at(struck);
        if (lost_.contains(host)) {
            return;
        }
        switch (fault) {
        case Fault::Crash:
            crash(host);
            break;
        case Fault::DiskLost:
            lose(host);
            return;
        case Fault::DiskLostInRestartOfAll:
            lose(host);
            restartAll();
            return;
        case Fault::RestartOfAll:
            restartAll();
            return;
        case Fault::Freeze:
            freeze(host);
            break;
        case Fault::CutOff:
            isolate(host);
            break;
        case Fault::CutOneWay:
            for (const HostId &other : this->hosts()) {
                network.cutOneWay(host, other);
            }
            break;
        }
        outOfReach_[host] = scheduler.now();
        scheduler.after(outage, [this, host = host] {
            network.heal();
            resume(host);
            restart(host);
            outOfReach_.erase(host);
        });
    }

    /// A short loss of whoever leads.
    void crashLeader()
    {
        const auto leads = leader();
        if (!leads || lost_.contains(*leads) || outOfReach_.contains(*leads)) {
            return;
        }
        crash(*leads);
        outOfReach_[*leads] = scheduler.now();
        scheduler.after(Milliseconds(700), [this, host = *leads] {
            restart(host);
            outOfReach_.erase(host);
        });
    }

    /// Takes care of the group until three voters are up and the leaving member is none of them;
    /// false if that takes too long.
    bool repair()
    {
        const MonotonicTime end = scheduler.now() + longestRepair;
        while (scheduler.now() < end) {
            scheduler.runFor(careInterval);
            const auto leads = leader();
            if (!leads || !agreement(*leads).isLeader()) {
                continue;
            }
            const GroupStatus status = agreement(*leads).status();
            if (status.changeInProgress) {
                if (isGone(status.joining)) {
                    agreement(*leads).giveUpFresh();
                }
                continue;
            }
            const auto toReplace
                = std::ranges::find_if(status.members, [this](const MemberStatus &member) {
                      return isGone(member.host) || member.host == leaving_;
                  });
            if (toReplace != status.members.end()) {
                replaceBySpare(*leads, toReplace->host);
                continue;
            }
            if (status.members.size() < 3) {
                replaceBySpare(*leads, HostId());
                continue;
            }
            return std::ranges::all_of(status.members, &MemberStatus::voter);
        }
        return false;
    }

    [[nodiscard]] std::vector<HostId> members()
    {
        std::vector<HostId> result;
        for (const MemberStatus &member : agreement(leading()).status().members) {
            result.push_back(member.host);
        }
        return result;
    }

private:
    /// All hosts but the lost ones lose power for a second.
    void restartAll()
    {
        for (const HostId &host : hosts()) {
            if (lost_.contains(host)) {
                continue;
            }
            crash(host);
            outOfReach_[host] = scheduler.now();
            scheduler.after(Milliseconds(1000), [this, host] {
                restart(host);
                outOfReach_.erase(host);
            });
        }
    }
    void lose(const HostId &host)
    {
        loseDisk(host);
        lost_.insert(host);
    }
    [[nodiscard]] bool isGone(const HostId &host) const
    {
        const auto found = outOfReach_.find(host);
        return lost_.contains(host)
            || (found != outOfReach_.end() && scheduler.now() - found->second > silence);
    }
    void replaceBySpare(const HostId &leads, const HostId &host)
    {
        const GroupStatus status = agreement(leads).status();
        for (const HostId &spare : {d, e, f}) {
            const bool isMember = std::ranges::find(status.members, spare, &MemberStatus::host)
                != status.members.end();
            if (isMember || isGone(spare) || outOfReach_.contains(spare) || used_.contains(spare)) {
                continue;
            }
            used_.insert(spare);
            agreement(leads).replaceMember(host, spare,
                                           [this, spare](const Outcome<Done> &outcome) {
                                               if (!outcome.ok()) {
                                                   used_.erase(spare);
                                               }
                                           });
            return;
        }
    }
    Phase phaseAt(const HostId &leads)
    {
        const GroupStatus status = agreement(leads).status();
        const auto joining = std::ranges::find(status.members, d, &MemberStatus::host);
        if (joining == status.members.end()) {
            return Phase::Invited;
        }
        const bool isRemoved = std::ranges::find(status.members, leaving_, &MemberStatus::host)
            == status.members.end();
        if (joining->voter && isRemoved) {
            return Phase::Replaced;
        }
        return joining->voter || isRemoved ? Phase::Between : Phase::Joined;
    }

    HostId leaving_;
    HostId third_;
    std::set<HostId> lost_; ///< With their disks, for good.
    std::map<HostId, MonotonicTime> outOfReach_; ///< And since when.
    std::set<HostId> used_; ///< Spares that joined, or are about to.
};

/// True if the fault takes no more away than the group bears: one disk at a time.
bool isBorne(Leaving leaving, Struck struck, Fault fault)
{
    const bool losesDisk = fault == Fault::DiskLost || fault == Fault::DiskLostInRestartOfAll;
    return leaving != Leaving::IsLost || struck != Struck::Third || !losesDisk;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberChangeFaultsTest)

BOOST_DATA_TEST_CASE(changeEndsAndNextLossIsBorne,
                     boost::unit_test::data::make(leavings) * phases * strucks * faults, leaving,
                     phase, struck, fault)
{
    if (!isBorne(leaving.value, struck.value, fault.value)) {
        return;
    }
    std::uint64_t number = 31000;
    for (const int delay : delaysMs) {
        for (const bool crashesLeader : {false, true}) {
            Scenario scenario(++number);
            scenario.begin(leaving.value);
            BOOST_TEST_REQUIRE(scenario.runUntil(phase.value));
            scenario.scheduler.runFor(Milliseconds(delay));
            scenario.strike(struck.value, fault.value);
            if (crashesLeader) {
                scenario.crashLeader();
            }
            BOOST_TEST_CONTEXT("seed " << number << ", delay " << delay << " ms, leader crash "
                                       << crashesLeader)
            {
                BOOST_TEST_REQUIRE(scenario.repair());
                // The next loss.
                const std::vector<HostId> members = scenario.members();
                const HostId next = scenario.leading();
                scenario.loseDisk(next);
                scenario.scheduler.runFor(Milliseconds(4000));
                const std::size_t before = scenario.acknowledgedCount();
                scenario.scheduler.runFor(Milliseconds(500));
                BOOST_TEST(scenario.acknowledgedCount() > before);
                scenario.stopCallers();
                scenario.settle();
                std::vector<HostId> left;
                std::ranges::copy_if(members, std::back_inserter(left),
                                     [&next](const HostId &host) { return host != next; });
                scenario.checkAll(left);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
