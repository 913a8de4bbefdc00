#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/membership/servertable.h"

namespace persimmonlb
{

namespace
{

namespace data = boost::unit_test::data;

const ServiceName service{"lettering-lm"};
const ServerId server{"s1"};
constexpr Milliseconds routingLease{3000};

ServerAnnouncement makeAnnouncement(std::uint64_t sequence, ServerState state = ServerState::Ready,
                                    std::uint64_t incarnation = 1)
{
    ServerAnnouncement result;
    result.server = server;
    result.address = "10.0.0.1:80";
    result.service = service;
    result.state = state;
    result.incarnation = incarnation;
    result.sequence = sequence;
    return result;
}

/// What happens to messages and hosts from second 5 to second 12.
enum class Fault {
    None,
    DigestsLost,
    DigestsLate,
    DigestsDoubled,
    DigestsReordered,
    ListenerCutOff,
    ListenerFrozenTicksFirst,
    ListenerFrozenMessagesFirst,
    ReaderFrozen,
    OldWordsReplayed,
};

constexpr std::array faults = {Fault::None,
                               Fault::DigestsLost,
                               Fault::DigestsLate,
                               Fault::DigestsDoubled,
                               Fault::DigestsReordered,
                               Fault::ListenerCutOff,
                               Fault::ListenerFrozenTicksFirst,
                               Fault::ListenerFrozenMessagesFirst,
                               Fault::ReaderFrozen,
                               Fault::OldWordsReplayed};

enum class Ending { Leaves, Dies, Freezes };
constexpr std::array endings = {Ending::Leaves, Ending::Dies, Ending::Freezes};

std::ostream &operator<<(std::ostream &stream, Fault fault)
{
    return stream << "fault " << static_cast<int>(fault);
}

std::ostream &operator<<(std::ostream &stream, Ending ending)
{
    return stream << "ending " << static_cast<int>(ending);
}

/// Three entry hosts in virtual time: a server announces to hosts 0 and 1, host 2 only reads
/// digests.
class Cluster
{
public:
    static constexpr std::size_t hostCount = 3;
    static constexpr Milliseconds delay{2};

    explicit Cluster(Fault fault)
        : fault_(fault)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts_.push_back(
                std::make_unique<Host>(Host{ServerTable({.self = hostId(i)}, clock()), {}, false}));
        }
    }

    /// Runs until `end`; the server's last ready word is at `lastReady`.
    void run(Milliseconds end, Milliseconds lastReady, Ending ending,
             const std::function<void(Milliseconds)> &check)
    {
        for (; now_ < end; now_ += Milliseconds(1)) {
            serverStep(lastReady, ending);
            for (std::size_t i = 0; i < hostCount; ++i) {
                hostStep(i);
            }
            deliver();
            check(now_);
        }
    }

    [[nodiscard]] bool routes(std::size_t host) const
    {
        return !isFrozen(host) && !hosts_[host]->table.ready(service).empty();
    }
    ServerTable &table(std::size_t host)
    {
        return hosts_[host]->table;
    }
    [[nodiscard]] Milliseconds now() const
    {
        return now_;
    }

private:
    struct Host {
        ServerTable table;
        std::vector<std::function<void()>> backlog;
        bool wasFrozen;
    };

    static HostId hostId(std::size_t index)
    {
        return HostId{"entry-" + std::to_string(index)};
    }
    Clock clock()
    {
        return Clock{[this] { return MonotonicTime(now_); },
                     [this] {
                         return WallTime(now_ + Milliseconds(1));
                     }};
    }
    [[nodiscard]] bool inFault() const
    {
        return now_ >= Milliseconds(5000) && now_ < Milliseconds(12000);
    }
    [[nodiscard]] bool isFrozen(std::size_t host) const
    {
        const bool listener = fault_ == Fault::ListenerFrozenTicksFirst
            || fault_ == Fault::ListenerFrozenMessagesFirst;
        return inFault()
            && ((listener && host == 0) || (fault_ == Fault::ReaderFrozen && host == 2));
    }

    void serverStep(Milliseconds lastReady, Ending ending)
    {
        if (now_.count() % 1000 != 0) {
            return;
        }
        if (now_ > lastReady
            && (ending != Ending::Leaves || now_ > lastReady + Milliseconds(1000))) {
            return;
        }
        const ServerState state = now_ > lastReady ? ServerState::Leaving : ServerState::Ready;
        const ServerAnnouncement word = makeAnnouncement(++sequence_, state);
        for (std::size_t host = 0; host < 2; ++host) {
            send(host, delay, [this, host, word] { table(host).announce(word); });
        }
        if (fault_ == Fault::OldWordsReplayed && state == ServerState::Leaving) {
            // A second word with an old number, kept up by the network, follows the last word.
            send(0, delay * 2, [this] { table(0).announce(makeAnnouncement(sequence_ - 1)); });
        }
    }

    void hostStep(std::size_t host)
    {
        if (isFrozen(host)) {
            hosts_[host]->wasFrozen = true;
            return;
        }
        if (std::exchange(hosts_[host]->wasFrozen, false)) {
            thaw(host);
        }
        if (now_.count() % 100 == 0) {
            table(host).tick();
        }
        if ((now_.count() + static_cast<std::int64_t>(host) * 150) % 500 == 0
            || table(host).takeChanged()) {
            sendDigests(host);
        }
    }

    void thaw(std::size_t host)
    {
        if (fault_ != Fault::ListenerFrozenMessagesFirst) {
            table(host).tick();
            table(host).tick();
        }
        for (const auto &message : std::exchange(hosts_[host]->backlog, {})) {
            message();
        }
    }

    void sendDigests(std::size_t from)
    {
        for (std::size_t to = 0; to < hostCount; ++to) {
            if (to != from) {
                sendDigest(from, to);
            }
        }
    }

    void sendDigest(std::size_t from, std::size_t to)
    {
        const ServerDigest digest = table(from).digest(hostId(to));
        const auto merge = [this, from, to, digest] {
            table(to).merge(hostId(from), digest);
        };
        if (!inFault()) {
            send(to, delay, merge);
            return;
        }
        const bool cutOff = fault_ == Fault::ListenerCutOff && (from == 0 || to == 0);
        if (fault_ == Fault::DigestsLost || cutOff) {
            return;
        }
        if (fault_ == Fault::DigestsLate) {
            send(to, Milliseconds(4000), merge);
            return;
        }
        if (fault_ == Fault::DigestsReordered) {
            send(to, now_.count() % 1000 < 500 ? Milliseconds(700) : delay, merge);
            return;
        }
        send(to, delay, merge);
        if (fault_ == Fault::DigestsDoubled) {
            send(to, Milliseconds(2500), merge);
        }
    }

    void send(std::size_t to, Milliseconds after, std::function<void()> message)
    {
        network_.emplace(now_ + after, std::pair(to, std::move(message)));
    }

    void deliver()
    {
        while (!network_.empty() && network_.begin()->first <= now_) {
            const auto [to, message] = network_.begin()->second;
            network_.erase(network_.begin());
            if (isFrozen(to)) {
                hosts_[to]->backlog.push_back(message);
                continue;
            }
            message();
        }
    }

    Fault fault_;
    Milliseconds now_{0};
    std::uint64_t sequence_ = 0;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::multimap<Milliseconds, std::pair<std::size_t, std::function<void()>>> network_;
};

/// A single table in virtual time.
struct Bench {
    Milliseconds now{1000};
    ServerTable table{{.self = HostId{"entry-0"}},
                      Clock{[this] { return MonotonicTime(now); },
                            [this] {
                                return WallTime(now);
                            }}};

    void pass(Milliseconds time)
    {
        for (const Milliseconds end = now + time; now < end;) {
            now += std::min(Milliseconds(100), end - now);
            table.tick();
        }
    }
    [[nodiscard]] bool routes() const
    {
        return !table.ready(service).empty();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerTableTest)

BOOST_DATA_TEST_CASE(noHostRoutesLaterThanOneLeaseAfterTheLastReadyWord,
                     data::make(faults) * data::make(endings)
                         * data::make({4000, 5000, 6000, 8000, 11000}),
                     fault, ending, lastReadyMs)
{
    Cluster cluster(fault);
    const Milliseconds lastReady{lastReadyMs};
    cluster.run(Milliseconds(20000), lastReady, ending, [&](Milliseconds now) {
        if (now < lastReady + routingLease) {
            return;
        }
        for (std::size_t host = 0; host < Cluster::hostCount; ++host) {
            BOOST_REQUIRE_MESSAGE(!cluster.routes(host),
                                  "host " << host << " routes at " << now.count());
        }
    });
}

BOOST_AUTO_TEST_CASE(everyHostRoutesToAServerThatGoesOnAnnouncing)
{
    Cluster cluster(Fault::None);
    cluster.run(Milliseconds(15000), Milliseconds(15000), Ending::Dies, [&](Milliseconds now) {
        if (now < Milliseconds(1500)) {
            return;
        }
        for (std::size_t host = 0; host < Cluster::hostCount; ++host) {
            BOOST_REQUIRE_MESSAGE(cluster.routes(host), "host " << host << " at " << now.count());
        }
    });
}

BOOST_AUTO_TEST_CASE(aWordOfLeavingReachesEveryHostAtOnce)
{
    Cluster cluster(Fault::None);
    cluster.run(Milliseconds(9000), Milliseconds(7000), Ending::Leaves, [&](Milliseconds now) {
        if (now < Milliseconds(8000) + Cluster::delay * 3) {
            return;
        }
        BOOST_REQUIRE(!cluster.routes(2));
    });
}

BOOST_DATA_TEST_CASE(hostsRecoverAfterTheFault, data::make(faults), fault)
{
    Cluster cluster(fault);
    cluster.run(Milliseconds(20000), Milliseconds(20000), Ending::Dies, [&](Milliseconds now) {
        if (now < Milliseconds(16000)) {
            return;
        }
        for (std::size_t host = 0; host < Cluster::hostCount; ++host) {
            BOOST_REQUIRE_MESSAGE(cluster.routes(host), "host " << host << " at " << now.count());
        }
    });
}

BOOST_AUTO_TEST_CASE(anOlderWordNeverReplacesANewerOne)
{
    Bench bench;
    bench.table.announce(makeAnnouncement(5, ServerState::Ready, 2));
    bench.table.announce(makeAnnouncement(6, ServerState::Leaving, 2));
    bench.table.announce(makeAnnouncement(5, ServerState::Ready, 2));
    bench.table.announce(makeAnnouncement(900, ServerState::Ready, 1));
    BOOST_TEST(!bench.routes());
    bench.table.announce(makeAnnouncement(1, ServerState::Ready, 3));
    BOOST_TEST(bench.routes());
}

BOOST_DATA_TEST_CASE(aWordThatComesAgainRenewsNothing, data::make({4, 5}), sequence)
{
    Bench bench;
    bench.table.announce(makeAnnouncement(4));
    bench.table.announce(makeAnnouncement(5));
    bench.pass(Milliseconds(2000));
    bench.table.announce(makeAnnouncement(static_cast<std::uint64_t>(sequence)));
    bench.pass(Milliseconds(1000));
    BOOST_TEST(!bench.routes());
}

BOOST_AUTO_TEST_CASE(anUndatedDigestGivesNoRightButTakesOne)
{
    Bench bench;
    const HostId peer{"entry-1"};
    ServerDigest digest{
        .sequence = 1, .echo = 0, .rows = {{.announcement = makeAnnouncement(1)}}, .demand = {}};
    bench.table.merge(peer, digest);
    BOOST_TEST(!bench.routes());
    bench.table.announce(makeAnnouncement(2));
    BOOST_TEST(bench.routes());
    digest.sequence = 2;
    digest.rows.front().announcement = makeAnnouncement(3, ServerState::Leaving);
    bench.table.merge(peer, digest);
    BOOST_TEST(!bench.routes());
}

BOOST_AUTO_TEST_CASE(aRelayedWordIsNotRejuvenated)
{
    Bench bench;
    const HostId peer{"entry-1"};
    const std::uint64_t echo = bench.table.digest(peer).sequence;
    bench.pass(Milliseconds(500));
    bench.table.merge(peer,
                      {.sequence = 1,
                       .echo = echo,
                       .rows = {{.announcement = makeAnnouncement(1), .ageMs = 2000}},
                       .demand = {}});
    BOOST_TEST(bench.routes());
    bench.pass(Milliseconds(499));
    BOOST_TEST(bench.routes());
    bench.pass(Milliseconds(1));
    BOOST_TEST(!bench.routes());
}

BOOST_AUTO_TEST_CASE(askingTheServerRenewsTheRightFromTheMomentOfAsking)
{
    Bench bench;
    bench.table.merge(
        HostId{"entry-1"},
        {.sequence = 1, .echo = 0, .rows = {{.announcement = makeAnnouncement(1)}}, .demand = {}});
    BOOST_REQUIRE(bench.table.wantProbe().size() == 1);
    const MonotonicTime askedAt{bench.now};
    bench.pass(Milliseconds(1000));
    bench.table.takeProbe(makeAnnouncement(1), askedAt);
    BOOST_TEST(bench.routes());
    BOOST_TEST(bench.table.wantProbe().empty());
    bench.pass(Milliseconds(2000));
    BOOST_TEST(!bench.routes());
}

BOOST_AUTO_TEST_CASE(aSilentServerIsReportedLostOnceAndALeavingOneNever)
{
    Bench bench;
    bench.table.announce(makeAnnouncement(1));
    bench.pass(routingLease);
    BOOST_TEST(bench.table.takeLost().size() == 1U);
    BOOST_TEST(bench.table.takeLost().empty());
    bench.table.announce(makeAnnouncement(2));
    bench.table.announce(makeAnnouncement(3, ServerState::Leaving));
    bench.pass(routingLease);
    BOOST_TEST(bench.table.takeLost().empty());
}

BOOST_AUTO_TEST_CASE(countsOfPeersAddUpAndEndWithThem)
{
    Bench bench;
    const auto digestOf = [](std::uint64_t sequence, std::uint32_t online, std::uint32_t batch) {
        return ServerDigest{.sequence = sequence,
                            .echo = 0,
                            .rows = {{.announcement = makeAnnouncement(1),
                                      .ageMs = 0,
                                      .onlineInFlight = online,
                                      .batchInFlight = batch}},
                            .demand = {}};
    };
    bench.table.merge(HostId{"entry-1"}, digestOf(1, 3, 2));
    bench.table.merge(HostId{"entry-2"}, digestOf(1, 4, 0));
    bench.table.merge(HostId{"entry-2"}, digestOf(1, 400, 0));
    BOOST_TEST((bench.table.othersInFlight(server) == InFlight{.online = 7, .batch = 2}));
    BOOST_TEST(bench.table.heardBy(server).size() == 2U);
    bench.pass(Milliseconds(1000));
    bench.table.merge(HostId{"entry-2"}, digestOf(2, 5, 0));
    bench.pass(Milliseconds(1000));
    BOOST_TEST((bench.table.othersInFlight(server) == InFlight{.online = 5, .batch = 0}));
    BOOST_TEST(bench.table.heardBy(server).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
