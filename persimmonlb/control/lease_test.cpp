#include <algorithm>
#include <deque>
#include <memory>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/control/leasekeeper.h"
#include "persimmonlb/control/leasetable.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds lease{5000};
const HostId leader{"control"};

std::string sheetText(std::uint64_t number)
{
    return "number = " + std::to_string(number) + "\n";
}

LeaseRequest requestOf(Incarnation incarnation)
{
    LeaseRequest request;
    request.sequence = 1;
    request.incarnation = incarnation;
    request.address = "10.0.0.1:80";
    return request;
}

struct TableBench {
    MonotonicTime now{};
    LeaseTable table{LeaseTableOptions{lease, Milliseconds(200)},
                     Clock{[this] { return now; },
                           [] {
                               return WallTime();
                           }},
                     leader};
};

/// One entry host, the leader's table and a network that delays, loses and holds messages.
struct System {
    struct Message {
        MonotonicTime due;
        std::function<void()> deliver;
    };
    struct Entry {
        std::unique_ptr<LeaseKeeper> keeper;
        MonotonicTime frozenUntil;
        bool cut = false;
    };

    explicit System(std::uint64_t seed)
        : random(seededRandom(seed))
    {
        for (int i = 0; i < 4; ++i) {
            addEntry(HostId{"entry-" + std::to_string(i)});
        }
    }

    Clock clock()
    {
        return Clock{[this] { return now; },
                     [] {
                         return WallTime();
                     }};
    }

    void addEntry(const HostId &host)
    {
        LeaseKeeperOptions options;
        options.self = Owner{host, 1};
        options.controlHosts = {leader};
        LeaseKeeperHooks hooks;
        hooks.send = [this, host](const HostId &, const PeerBody &body) {
            const LeaseRequest request = std::get<LeaseRequest>(body);
            post(host, [this, host, request] { renew(host, request); });
            return true;
        };
        hooks.fetchSheet = [this, host](const std::function<void(Outcome<SheetAnswer>)> &done) {
            fetch(
                host,
                [this, done] {
                    SheetAnswer answer;
                    answer.number = accepted;
                    answer.text = sheetText(accepted);
                    done(answer);
                },
                [done] { done(makeError(ResultCode::NoQuorum, "lost")); });
        };
        hooks.fetchEntryState
            = [this, host](const std::function<void(Outcome<EntryStateAnswer>)> &done) {
                  fetch(
                      host, [done] { done(EntryStateAnswer{}); },
                      [done] { done(makeError(ResultCode::NoQuorum, "lost")); });
              };
        hooks.sheetChanged = [](const std::shared_ptr<const Sheet> &) {
        };
        hooks.entryStateChanged = [](const EntryStateAnswer &) {
        };
        hooks.hostsChanged = [](const std::vector<EntryHostInfo> &) {
        };
        hooks.workWaits = [](const std::vector<ServiceName> &) {
        };
        hooks.drainRequested = [](bool) {
        };
        entries[host].keeper = std::make_unique<LeaseKeeper>(options, clock(), hooks);
        EntryHostInfo info;
        info.host = host;
        info.incarnation = 1;
        registered.push_back(info);
    }

    /// Queues a message from or to an entry host; lost when the host is cut off, late by chance.
    bool post(const HostId &host, std::function<void()> deliver)
    {
        if (entries[host].cut || random() % 10 == 0) {
            return false;
        }
        messages.push_back({now + Milliseconds(random() % 400), std::move(deliver)});
        return true;
    }

    void fetch(const HostId &host, std::function<void()> answer, const std::function<void()> &lost)
    {
        if (fetchesLost || !post(host, std::move(answer))) {
            messages.push_back({now + Milliseconds(1000), lost});
        }
    }

    void renew(const HostId &host, const LeaseRequest &request)
    {
        InForce inForce;
        inForce.sheetNumber = accepted;
        inForce.registered = registered;
        const LeaseGrant grant = table.renew(host, request, inForce);
        post(host, [this, host, grant] {
            messages.push_back({std::max(now, entries[host].frozenUntil), [this, host, grant] {
                                    entries[host].keeper->receive(leader, grant);
                                }});
        });
    }

    void deliverDue()
    {
        for (std::size_t i = 0; i < messages.size();) {
            if (messages[i].due > now) {
                ++i;
                continue;
            }
            const auto deliver = std::move(messages[i].deliver);
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
            deliver();
        }
    }

    /// A random fault or command.
    void disturb()
    {
        const auto entry = std::next(entries.begin(), static_cast<std::ptrdiff_t>(random() % 4));
        switch (random() % 40) {
        case 0:
            entry->second.cut = !entry->second.cut;
            break;
        case 1:
            entry->second.frozenUntil = now + Milliseconds(random() % 9000);
            break;
        case 2:
            ++accepted;
            break;
        case 3:
            table.leadershipBegan();
            break;
        default:
            break;
        }
    }

    void step()
    {
        disturb();
        pass();
    }

    void pass()
    {
        now += Milliseconds(50);
        deliverDue();
        for (auto &[host, entry] : entries) {
            if (entry.frozenUntil <= now) {
                entry.keeper->tick();
            }
        }
    }

    /// The leader's claim, as `sheet status` reports it.
    [[nodiscard]] bool saidToBeInForceEverywhere() const
    {
        return std::ranges::all_of(table.hosts(registered), [&](const EntryHostInfo &host) {
            return host.leaseLeftMs == 0 || host.sheetNumber >= accepted;
        });
    }

    [[nodiscard]] bool servedWithAnOlderSheet() const
    {
        return std::ranges::any_of(entries, [&](const auto &row) {
            const auto sheet = row.second.keeper->sheet();
            return row.second.keeper->inForce() && (sheet ? sheet->number : 0) < accepted;
        });
    }

    MonotonicTime now{};
    RandomSource random;
    std::uint64_t accepted = 1;
    bool fetchesLost = false;
    std::map<HostId, Entry> entries;
    std::vector<EntryHostInfo> registered;
    std::vector<Message> messages;
    LeaseTable table{LeaseTableOptions{lease, Milliseconds(200)}, clock(), leader};
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseTest)

BOOST_AUTO_TEST_CASE(aNewLeaderTakesNoHostAsLapsedBeforeOneFullLease)
{
    TableBench bench;
    const std::vector<Owner> known = {Owner{HostId{"e"}, 1}};
    EntryHostInfo registered;
    registered.host = HostId{"e"};
    bench.now += Milliseconds(5199);
    BOOST_TEST(bench.table.lapsed(known).empty());
    BOOST_TEST(bench.table.hosts({registered}).size() == 1U);
    bench.now += Milliseconds(1);
    BOOST_TEST(bench.table.lapsed(known).size() == 1U);
}

BOOST_AUTO_TEST_CASE(anOlderIncarnationGetsNoLeaseAndLapsesAtOnce)
{
    TableBench bench;
    const HostId host{"e"};
    BOOST_TEST(bench.table.renew(host, requestOf(2), {}).leaseMs == 5000U);
    BOOST_TEST(bench.table.renew(host, requestOf(1), {}).leaseMs == 0U);
    const std::vector<Owner> lapsed = bench.table.lapsed({Owner{host, 1}, Owner{host, 2}});
    BOOST_REQUIRE(lapsed.size() == 1U);
    BOOST_TEST(lapsed[0].incarnation == 1U);
}

BOOST_AUTO_TEST_CASE(theHostListIsSentOnlyWhenItChanged)
{
    TableBench bench;
    LeaseRequest request = requestOf(1);
    const LeaseGrant first = bench.table.renew(HostId{"e"}, request, {});
    BOOST_TEST(first.hasHosts);
    request.hostsVersion = first.hostsVersion;
    BOOST_TEST(!bench.table.renew(HostId{"e"}, request, {}).hasHosts);
    request.draining = true;
    BOOST_TEST(bench.table.renew(HostId{"e"}, request, {}).hasHosts);
}

BOOST_DATA_TEST_CASE(noHostServesAnOlderSheetOnceItIsSaidToBeInForceEverywhere,
                     boost::unit_test::data::xrange<std::uint64_t>(1, 41), seed)
{
    System system(seed);
    std::uint64_t claims = 0;
    for (int i = 0; i < 4000; ++i) {
        system.step();
        if (!system.saidToBeInForceEverywhere()) {
            continue;
        }
        ++claims;
        BOOST_REQUIRE(!system.servedWithAnOlderSheet());
    }
    BOOST_TEST(claims > 0U);
}

BOOST_DATA_TEST_CASE(aHostThatCannotBeToldIsOutOfForceWithinEightSeconds,
                     boost::unit_test::data::xrange<std::uint64_t>(1, 21)
                         * boost::unit_test::data::make({false, true}),
                     seed, onlyFetchesLost)
{
    System system(seed);
    for (int i = 0; i < 200; ++i) {
        system.step();
    }
    for (auto &[host, entry] : system.entries) {
        entry.cut = !onlyFetchesLost;
    }
    system.fetchesLost = onlyFetchesLost;
    ++system.accepted;
    system.messages.clear();
    for (Milliseconds passed{0}; passed < Milliseconds(8000); passed += Milliseconds(50)) {
        system.pass();
    }
    BOOST_TEST(!system.servedWithAnOlderSheet());
    BOOST_TEST((onlyFetchesLost || system.saidToBeInForceEverywhere()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
