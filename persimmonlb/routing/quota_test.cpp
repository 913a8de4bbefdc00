#include <array>
#include <functional>
#include <memory>
#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/routing/quota.h"

namespace persimmonlb
{

namespace
{

namespace data = boost::unit_test::data;

constexpr std::size_t hostCount = 12;
constexpr double perSecond = 100;
constexpr std::uint32_t burst = 20;
constexpr double attemptsPerSecond = 400;
const CallerName caller{"market"};

/// How a caller's requests spread over the entry hosts.
enum class Traffic { Even, OneHost, TwoHosts, Falling, Moving };
constexpr std::array traffics
    = {Traffic::Even, Traffic::OneHost, Traffic::TwoHosts, Traffic::Falling, Traffic::Moving};

std::ostream &operator<<(std::ostream &stream, Traffic traffic)
{
    return stream << "traffic " << static_cast<int>(traffic);
}

std::size_t hostOf(Traffic traffic, std::uint64_t random, Milliseconds now)
{
    switch (traffic) {
    case Traffic::Even:
        return random % hostCount;
    case Traffic::OneHost:
        return 3;
    case Traffic::TwoHosts:
        return random % 10 < 9 ? 2 : 7;
    case Traffic::Falling: {
        std::size_t host = 0;
        while (host + 1 < hostCount && ((random >> host) & 1U) != 0) {
            ++host;
        }
        return host;
    }
    case Traffic::Moving:
        return static_cast<std::size_t>(now.count() / 10000) % hostCount;
    }
    return 0;
}

/// Twelve gates that tell each other their demand, in virtual time.
struct Gates {
    Milliseconds now{1000};
    std::vector<std::unique_ptr<QuotaGate>> gates;

    Gates()
    {
        Sheet sheet;
        sheet.quotas = {SheetQuota{
            .caller = caller, .keyDigest = {}, .requestsPerSecond = perSecond, .burst = burst}};
        const auto shared = std::make_shared<const Sheet>(sheet);
        const Clock clock{[this] { return MonotonicTime(now); },
                          [this] {
                              return WallTime(now);
                          }};
        for (std::size_t i = 0; i < hostCount; ++i) {
            gates.push_back(std::make_unique<QuotaGate>(QuotaOptions{}, clock));
            gates.back()->setSheet(shared);
            gates.back()->setHosts(hostCount);
        }
    }
    /// Each host tells its demand each half second, at a moment of its own; `reaches` decides which
    /// message arrives.
    void tell(const std::function<bool(std::size_t from, std::size_t to)> &reaches)
    {
        for (std::size_t from = 0; from < hostCount; ++from) {
            if ((now.count() + static_cast<std::int64_t>(from) * 41) % 500 != 0) {
                continue;
            }
            const auto demand = gates[from]->publishDemand();
            for (std::size_t to = 0; to < hostCount; ++to) {
                if (to != from && reaches(from, to)) {
                    gates[to]->setPeerDemand(HostId{std::to_string(from)}, demand);
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaTest)

BOOST_DATA_TEST_CASE(aCallerAboveItsQuotaGetsItWithinATenth, data::make(traffics), traffic)
{
    Gates bench;
    const RandomSource random = seededRandom(11);
    const Milliseconds end = bench.now + Milliseconds(30000);
    double attempts = 0;
    double admitted = 0;
    for (; bench.now < end; bench.now += Milliseconds(1)) {
        bench.tell([](std::size_t, std::size_t) { return true; });
        for (attempts += attemptsPerSecond / 1000; attempts >= 1; attempts -= 1) {
            const std::size_t host = hostOf(traffic, random(), bench.now);
            admitted += bench.gates[host]->take(caller).ok() ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE("admitted " << admitted / 30 << " per second");
    BOOST_TEST(admitted <= 1.1 * perSecond * 30);
    BOOST_TEST(admitted >= 0.9 * perSecond * 30);
}

BOOST_AUTO_TEST_CASE(hostsThatCannotHearEachOtherStayWithinTheQuota)
{
    Gates bench;
    const RandomSource random = seededRandom(5);
    const Milliseconds end = bench.now + Milliseconds(30000);
    double admitted = 0;
    for (; bench.now < end; bench.now += Milliseconds(1)) {
        bench.tell([](std::size_t from, std::size_t to) { return (from < 4) == (to < 4); });
        admitted += bench.gates[random() % hostCount]->take(caller).ok() ? 1 : 0;
    }
    BOOST_TEST(admitted <= 1.1 * perSecond * 30);
}

BOOST_AUTO_TEST_CASE(aRefusalSaysWhenToComeBack)
{
    Gates bench;
    Outcome<Done> taken = Done{};
    while (taken.ok()) {
        taken = bench.gates[0]->take(caller);
    }
    BOOST_TEST((taken.error().code == ResultCode::QuotaExceeded));
    BOOST_TEST((taken.error().runState() == RunState::NotRun));
    bench.now += *taken.error().retryAfter;
    BOOST_TEST(bench.gates[0]->take(caller).ok());
}

BOOST_AUTO_TEST_CASE(aCallerWithoutQuotaIsNotLimited)
{
    Gates bench;
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST(bench.gates[0]->take(CallerName{"other"}).ok());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
