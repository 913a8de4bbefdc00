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
constexpr double quotaPerSecond = 100;
constexpr std::uint32_t burst = 20;
constexpr double attemptsPerSecond = 400;
const CallerName caller{"market"};

/// Distribution of a caller's requests over the entry hosts.
enum class Traffic { Even, OneHost, TwoHosts, Geometric, Moving };
constexpr std::array trafficPatterns
    = {Traffic::Even, Traffic::OneHost, Traffic::TwoHosts, Traffic::Geometric, Traffic::Moving};

std::ostream &operator<<(std::ostream &stream, Traffic traffic)
{
    return stream << "traffic " << static_cast<int>(traffic);
}

std::size_t hostFor(Traffic traffic, std::uint64_t random, Milliseconds now)
{
    switch (traffic) {
    case Traffic::Even:
        return random % hostCount;
    case Traffic::OneHost:
        return 3;
    case Traffic::TwoHosts:
        return random % 10 < 9 ? 2 : 7;
    case Traffic::Geometric: {
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

/// Twelve limiters that exchange their demand, in virtual time.
struct QuotaFixture {
    Milliseconds now{1000};
    std::vector<std::unique_ptr<QuotaLimiter>> limiters;

    QuotaFixture()
    {
        Sheet sheet;
        sheet.quotas = {SheetQuota{.caller = caller,
                                   .keyDigest = {},
                                   .requestsPerSecond = quotaPerSecond,
                                   .burst = burst}};
        const auto shared = std::make_shared<const Sheet>(sheet);
        const Clock clock{[this] { return MonotonicTime(now); },
                          [this] {
                              return WallTime(now);
                          }};
        for (std::size_t i = 0; i < hostCount; ++i) {
            limiters.push_back(std::make_unique<QuotaLimiter>(QuotaOptions{}, clock));
            limiters.back()->setSheet(shared);
            limiters.back()->setHostCount(hostCount);
        }
    }
    /// Publishes the demand of each host every 500 ms, 41 ms apart between hosts. `reaches` decides
    /// which messages arrive.
    void exchangeDemand(const std::function<bool(std::size_t from, std::size_t to)> &reaches)
    {
        for (std::size_t from = 0; from < hostCount; ++from) {
            if ((now.count() + static_cast<std::int64_t>(from) * 41) % 500 != 0) {
                continue;
            }
            const auto demand = limiters[from]->publishDemand();
            for (std::size_t to = 0; to < hostCount; ++to) {
                if (to != from && reaches(from, to)) {
                    limiters[to]->setPeerDemand(HostId{std::to_string(from)}, demand);
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaTest)

BOOST_DATA_TEST_CASE(admitsQuotaWithinTenPercentWhenCallerExceedsIt, data::make(trafficPatterns),
                     traffic)
{
    QuotaFixture fixture;
    const RandomSource random = seededRandom(11);
    const Milliseconds end = fixture.now + Milliseconds(30000);
    double attempts = 0;
    double admitted = 0;
    for (; fixture.now < end; fixture.now += Milliseconds(1)) {
        fixture.exchangeDemand([](std::size_t, std::size_t) { return true; });
        for (attempts += attemptsPerSecond / 1000; attempts >= 1; attempts -= 1) {
            const std::size_t host = hostFor(traffic, random(), fixture.now);
            admitted += fixture.limiters[host]->admit(caller).ok() ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE("admitted " << admitted / 30 << " per second");
    BOOST_TEST(admitted <= 1.1 * quotaPerSecond * 30);
    BOOST_TEST(admitted >= 0.9 * quotaPerSecond * 30);
}

BOOST_AUTO_TEST_CASE(staysWithinQuotaWhenHostsArePartitioned)
{
    QuotaFixture fixture;
    const RandomSource random = seededRandom(5);
    const Milliseconds end = fixture.now + Milliseconds(30000);
    double admitted = 0;
    for (; fixture.now < end; fixture.now += Milliseconds(1)) {
        fixture.exchangeDemand(
            [](std::size_t from, std::size_t to) { return (from < 4) == (to < 4); });
        admitted += fixture.limiters[random() % hostCount]->admit(caller).ok() ? 1 : 0;
    }
    BOOST_TEST(admitted <= 1.1 * quotaPerSecond * 30);
}

BOOST_AUTO_TEST_CASE(admitsCallerAfterRetryTimeOfRefusal)
{
    QuotaFixture fixture;
    Outcome<Done> admitted = Done{};
    while (admitted.ok()) {
        admitted = fixture.limiters[0]->admit(caller);
    }
    BOOST_TEST((admitted.error().code == ResultCode::QuotaExceeded));
    BOOST_TEST((admitted.error().runState() == RunState::NotRun));
    fixture.now += *admitted.error().retryAfter;
    BOOST_TEST(fixture.limiters[0]->admit(caller).ok());
}

BOOST_AUTO_TEST_CASE(admitsAllRequestsOfCallerWithoutQuota)
{
    QuotaFixture fixture;
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST(fixture.limiters[0]->admit(CallerName{"other"}).ok());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
