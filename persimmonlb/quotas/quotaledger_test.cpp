#include <boost/test/unit_test.hpp>

#include "persimmonlb/quotas/quotaledger.h"

using namespace persimmonlb;

namespace
{

const CustomerName customer{"c"};
const HostId host{"h"};

struct Fixture {
    explicit Fixture(double rate = 10, double burst = 10)
    {
        ledger.beginTerm();
        limit(rate, burst);
        now += std::chrono::seconds(60);
    }
    void limit(double rate, double burst)
    {
        ledger.setCustomers({{.name = customer, .requestsPerSecond = rate, .burst = burst}});
    }
    std::optional<Milliseconds> ask()
    {
        return ledger.admit({.host = host, .ticket = ++ticket, .customer = customer});
    }
    /// Asks until the first refusal.
    std::uint32_t admittedAtOnce()
    {
        std::uint32_t admitted = 0;
        while (!ask()) {
            ++admitted;
        }
        return admitted;
    }

    MonotonicTime now{std::chrono::seconds(100)};
    std::uint64_t ticket = 0;
    QuotaLedger ledger{QuotaTolerance{.window = Milliseconds(5000), .overshoot = 0.1, .slack = 20},
                       Clock{.monotonic = [this] { return now; },
                             .wall =
                                 [] {
                                     return WallTime();
                                 }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaLedgerTest)

BOOST_AUTO_TEST_CASE(admitsQuotaOfEachWindow)
{
    Fixture fixture;
    // Rate x window + burst, and half of the tolerance of 26.
    BOOST_TEST(fixture.admittedAtOnce() == 73U);
    fixture.now += Milliseconds(4900);
    BOOST_TEST(fixture.admittedAtOnce() == 0U);
    fixture.now += Milliseconds(200);
    BOOST_TEST(fixture.admittedAtOnce() == 73U);
}

BOOST_AUTO_TEST_CASE(doesNotLimitCustomersWithoutQuota)
{
    Fixture fixture(0, 0);
    for (int i = 0; i < 1000; ++i) {
        BOOST_REQUIRE(!fixture.ask().has_value());
    }
    BOOST_TEST(!fixture.ledger.isLimited(customer));
}

// Guards against a customer that pays for requests which were refused for want of a slot.
BOOST_AUTO_TEST_CASE(returnsChargeOfRequestThatGotNoServer)
{
    Fixture fixture;
    BOOST_TEST(!fixture.ask().has_value());
    fixture.ledger.giveBack(host, fixture.ticket);
    BOOST_TEST(fixture.admittedAtOnce() == 73U);
}

BOOST_AUTO_TEST_CASE(keepsChargeOfRequestThatGotServer)
{
    Fixture fixture;
    BOOST_TEST(!fixture.ask().has_value());
    fixture.ledger.confirm(host, fixture.ticket);
    fixture.ledger.giveBack(host, fixture.ticket);
    BOOST_TEST(fixture.admittedAtOnce() == 72U);
}

BOOST_AUTO_TEST_CASE(chargesLaterAttemptsOfRequestOnlyOnce)
{
    Fixture fixture;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!fixture.ledger.admit(
            {.host = host, .ticket = 1000, .customer = customer, .isCharged = true}));
    }
    BOOST_TEST(fixture.admittedAtOnce() == 73U);
}

// Guards against callers that all come back at once.
BOOST_AUTO_TEST_CASE(spreadsCallersThatComeBack)
{
    Fixture fixture;
    fixture.admittedAtOnce();
    const auto first = fixture.ask();
    const auto second = fixture.ask();
    BOOST_REQUIRE((first && second));
    BOOST_TEST((*second - *first).count() == 100);
    fixture.now += *first;
    BOOST_TEST(!fixture.ask().has_value());
}

// Guards against a change of leader that gives every customer a whole quota anew.
BOOST_AUTO_TEST_CASE(newLeaderWithoutHistoryStartsWithHalfOfTolerance)
{
    Fixture fixture;
    fixture.ledger.beginTerm();
    fixture.limit(10, 10);
    fixture.ledger.setHostCount(10);
    BOOST_TEST(fixture.admittedAtOnce() == 13U);
    fixture.now += Milliseconds(1000);
    BOOST_TEST(fixture.admittedAtOnce() == 10U);
    BOOST_TEST(fixture.ledger.localShareOf(customer) == 0.0);
}

// Guards against refusals after a change of leader of what customers usually send.
BOOST_AUTO_TEST_CASE(newLeaderGoesOnFromWhatHostsSent)
{
    Fixture fixture;
    fixture.ledger.beginTerm();
    fixture.limit(10, 10);
    fixture.ledger.setHostCount(3);
    for (const char *name : {"a", "b", "a"}) {
        fixture.ledger.takeHistory(
            HostId{name},
            {.isWhole = true,
             .customers = {{.customer = customer, .sentBySecond = {5, 0, 0, 0, 5}}}});
    }
    // Two thirds of the quota of 60, less what two hosts sent.
    BOOST_TEST(fixture.admittedAtOnce() == 20U);
    fixture.now += Milliseconds(1200);
    BOOST_TEST(fixture.admittedAtOnce() == 10U);
}

// Guards against a host that started lately and seems to have sent nothing.
BOOST_AUTO_TEST_CASE(countsOnlyHistoriesOfWholeWindow)
{
    Fixture fixture;
    fixture.ledger.beginTerm();
    fixture.limit(10, 10);
    fixture.ledger.setHostCount(1);
    fixture.ledger.takeHistory(host, {});
    BOOST_TEST(fixture.admittedAtOnce() == 13U);
}

BOOST_AUTO_TEST_CASE(lowerLimitHoldsAtOnce)
{
    Fixture fixture(100, 100);
    fixture.limit(1, 1);
    BOOST_TEST(fixture.admittedAtOnce() == 16U);
}

BOOST_AUTO_TEST_CASE(chargesWhatHostAdmittedWithoutLeader)
{
    Fixture fixture;
    fixture.ledger.admit({.host = host,
                          .ticket = 1,
                          .customer = customer,
                          .isCharged = true,
                          .admittedLocally = 10});
    BOOST_TEST(fixture.admittedAtOnce() == 63U);
}

// Guards against hosts that admit on their own what a customer at its limit has already used.
BOOST_AUTO_TEST_CASE(leavesNoLocalShareToCustomerAtItsLimit)
{
    Fixture fixture;
    BOOST_TEST(!fixture.ask().has_value());
    BOOST_TEST(fixture.ledger.localShareOf(customer) == 0.75);
    fixture.admittedAtOnce();
    BOOST_TEST(fixture.ledger.localShareOf(customer) < 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
