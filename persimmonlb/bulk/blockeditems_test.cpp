#include <algorithm>
#include <map>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/bulk/testing/bulkrunnerfixture.h"

/// Items that cannot start, for any reason, beside sound ones. Guards against sound items of
/// accepted jobs that wait for good beside idle servers, and against servers that rest for online
/// requests because of such items.
using namespace persimmonlb;
using namespace persimmonlb::testing;
using Fixture = persimmonlb::testing::BulkRunnerFixture;

namespace
{

constexpr std::uint64_t memory = 100;

/// Ids of the items that were sent, in order.
std::vector<std::string> sentIds(const Fixture &fixture)
{
    std::vector<std::string> ids;
    for (const auto &request : fixture.sentRequests) {
        ids.push_back(request->request.target);
    }
    return ids;
}

std::size_t sendsOf(const Fixture &fixture, const std::string &id)
{
    return static_cast<std::size_t>(std::ranges::count(sentIds(fixture), id));
}

std::size_t completedOf(const Fixture &fixture, const std::string &job)
{
    return static_cast<std::size_t>(
        std::ranges::count(fixture.results(job), BulkItemPhase::Completed, &BulkResult::phase));
}

/// Ends all open requests: items of the jobs in `refused` and `unsendable` (by the first letter of
/// their ids) as these say, others with success.
void endOpenRequests(Fixture &fixture, const std::string &refused, const std::string &unsendable)
{
    for (std::size_t number = 0; number < fixture.sentRequests.size(); ++number) {
        SentRequest &request = fixture.sentRequest(number);
        if (request.closed || request.isEnded) {
            continue;
        }
        request.isEnded = true;
        const char kind = request.request.target.front();
        if (refused.find(kind) != std::string::npos) {
            fixture.refuse(number);
        } else if (unsendable.find(kind) != std::string::npos) {
            fixture.rejectAsUnsendable(number);
        } else {
            fixture.answer(number, 200, eventsUpTo(1));
            fixture.end(number, ResultCode::Ok);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(BlockedItemsTest)

BOOST_AUTO_TEST_CASE(startsSoundItemsBesideItemsLargerThanAnyServer)
{
    Fixture fixture({.servers = 2, .capacity = {2, memory}});
    fixture.accept("b", 10, 18000, memory + 1);
    fixture.advance(100);
    fixture.accept("s", 6, 18000, memory / 2);
    fixture.advance(20);
    BOOST_TEST(fixture.sentRequests.size() == 4U);
    endOpenRequests(fixture, "b", "");
    endOpenRequests(fixture, "b", "");
    BOOST_TEST(completedOf(fixture, "s") == 6U);
    // No server is asked for what it has no memory for, and the item ends with its job.
    BOOST_TEST(sendsOf(fixture, "b0") == 0U);
    fixture.advance(63000);
    BOOST_REQUIRE_EQUAL(fixture.results("b").size(), 10U);
    BOOST_TEST((fixture.results("b")[0].phase == BulkItemPhase::DeadLettered));
}

/// Guards against an item that is lost though it can run since the routes have changed.
BOOST_AUTO_TEST_CASE(startsItemsThatWereTooLargeOnceServersHaveMoreMemory)
{
    Fixture fixture({.servers = 1, .capacity = {2, memory}});
    fixture.accept("b", 1, 18000, memory + 1);
    fixture.advance(20);
    BOOST_TEST(fixture.sentRequests.empty());
    fixture.broker.setServers({fixture.server(1)}, [](const ServiceName &) {
        return SlotCapacity{2, 2 * memory};
    });
    fixture.advance(20);
    BOOST_TEST(fixture.sentRequests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(startsSmallItemsBesideItemThatIsTooLargeForTheMoment)
{
    Fixture fixture({.servers = 1, .capacity = {4, memory}});
    fixture.accept("a", 2, 18000, 60);
    fixture.accept("s", 2, 30000, 20);
    fixture.advance(20);
    BOOST_TEST((sentIds(fixture) == std::vector<std::string>{"a0", "s0", "s1"}));
    endOpenRequests(fixture, "", "");
    BOOST_TEST(sendsOf(fixture, "a1") == 1U);
}

BOOST_AUTO_TEST_CASE(startsUrgentItemBesideCheaperOneThatMayNotTakeTheReserve)
{
    // One slot of two is kept free for online requests and urgent items.
    Fixture fixture({.servers = 1, .capacity = {2, 0}, .batchReserve = 0.5});
    fixture.accept("c", 1);
    fixture.advance(20);
    // Most of job "c" is done when its run breaks off; it costs little and is not urgent.
    fixture.accept("r", 1);
    fixture.answer(0, 200, eventsUpTo(200) + event(300));
    BOOST_REQUIRE_EQUAL(fixture.sentRequests.size(), 2U);
    fixture.accept("u", 1, 7000);
    fixture.advance(120);
    BOOST_REQUIRE_EQUAL(fixture.sentRequests.size(), 3U);
    BOOST_TEST(sentIds(fixture).back() == "u0");
}

BOOST_AUTO_TEST_CASE(completesSoundItemsBesideItemsThatServersRefuse)
{
    Fixture fixture({.servers = 2, .capacity = {2, 0}});
    fixture.accept("b", 20);
    fixture.accept("s", 60);
    int elapsedMs = 0;
    while (completedOf(fixture, "s") < 60 && elapsedMs < 20000) {
        fixture.advance(20);
        elapsedMs += 20;
        endOpenRequests(fixture, "b", "");
    }
    BOOST_TEST(elapsedMs < 3000);
    // They are asked for again, ever more rarely.
    for (int step = 0; step < 500; ++step) {
        fixture.advance(20);
        endOpenRequests(fixture, "b", "");
    }
    BOOST_TEST(sendsOf(fixture, "b0") >= 5U);
    BOOST_TEST(sendsOf(fixture, "b0") <= 15U);
}

/// Guards against servers that rest for online requests because they refuse one item.
BOOST_AUTO_TEST_CASE(serversDoNotRestForItemThatTheyRefuseAgainAndAgain)
{
    Fixture fixture;
    fixture.accept("b", 1);
    int rests = 0;
    for (int step = 0; step < 500; ++step) {
        fixture.advance(20);
        endOpenRequests(fixture, "b", "");
        rests += fixture.broker.freeSlots(engine) == 0 ? 1 : 0;
    }
    BOOST_TEST(rests > 0);
    BOOST_TEST(rests <= 6);
}

BOOST_AUTO_TEST_CASE(completesSoundItemsBesideItemsThatCannotBeSent)
{
    Fixture fixture({.servers = 2, .capacity = {2, 0}});
    fixture.accept("b", 20);
    fixture.accept("s", 20);
    for (int step = 0; step < 100; ++step) {
        fixture.advance(20);
        endOpenRequests(fixture, "", "b");
        BOOST_TEST(fixture.broker.freeSlots(engine) == 4U);
    }
    BOOST_TEST(completedOf(fixture, "s") == 20U);
    BOOST_TEST(sendsOf(fixture, "b0") == 1U);
    fixture.advance(63000);
    BOOST_REQUIRE_EQUAL(fixture.results("b").size(), 20U);
    BOOST_TEST((fixture.results("b")[0].phase == BulkItemPhase::DeadLettered));
}

BOOST_AUTO_TEST_CASE(startsItemsBesideJobWhoseRouteHasNoServers)
{
    Fixture fixture;
    AcceptBulk other{.id = JobId{"o"},
                     .route = "removed",
                     .host = "a.example",
                     .items = {},
                     .maxAttempts = 2,
                     .dueAfter = Milliseconds(1000),
                     .abandonAfter = Milliseconds(60000),
                     .keepFor = Milliseconds(120000),
                     .at = fixture.wall};
    other.items.push_back({.id = "o0", .path = "/x", .headers = {}, .body = "b", .tokens = 9});
    fixture.state.apply(other);
    fixture.accept("s", 2);
    fixture.advance(20);
    BOOST_TEST((sentIds(fixture) == std::vector<std::string>{"s0", "s1"}));
}

/// No order of jobs and answers keeps sound items waiting beside a free slot that fits them.
BOOST_DATA_TEST_CASE(noSlotIsFreeBesideItemThatFits, boost::unit_test::data::xrange(60), number)
{
    const RandomSource random = seededRandom(static_cast<std::uint64_t>(number) + 900);
    Fixture fixture({.servers = 3, .capacity = {3, memory}});
    std::map<std::string, std::uint64_t> sound;
    int jobs = 0;
    const auto acceptOne = [&] {
        constexpr std::array<const char *, 5> kinds{"s", "l", "b", "r", "u"};
        const std::string kind = kinds.at(random() % kinds.size());
        const std::string id = kind + std::to_string(jobs++) + "-";
        const std::map<std::string, std::uint64_t> tokens{
            {"s", 10}, {"l", 70}, {"b", memory + 1}, {"r", 10}, {"u", 10}};
        const int items = 1 + static_cast<int>(random() % 6);
        fixture.accept(id, items, 2000 + static_cast<int>(random() % 20000), tokens.at(kind));
        if (kind == "s" || kind == "l") {
            sound[id] = static_cast<std::uint64_t>(items);
        }
    };
    for (int step = 0; step < 200; ++step) {
        if (step < 60 && random() % 2 == 0) {
            acceptOne();
        }
        fixture.advance(20 + static_cast<int>(random() % 100));
        fixture.runner.startItems(engine);
        std::size_t waitingSmall = 0;
        for (const auto &[id, job] : fixture.state.table().jobs()) {
            if (!id.value.starts_with("s")) {
                continue;
            }
            waitingSmall += static_cast<std::size_t>(
                std::ranges::count(job.items, BulkItemPhase::Waiting, &BulkItem::phase));
        }
        std::size_t runningSmall = 0;
        for (const auto &request : fixture.sentRequests) {
            runningSmall
                += !request->isEnded && !request->closed && request->request.target[0] == 's' ? 1
                                                                                              : 0;
        }
        const auto room = fixture.broker.maxBatchTokens(engine);
        BOOST_TEST((waitingSmall == runningSmall || !room || *room < 10), "step " << step);
        if (random() % 3 != 0) {
            endOpenRequests(fixture, "r", "u");
        }
    }
    for (const auto &[id, items] : sound) {
        BOOST_TEST(completedOf(fixture, id) == items, id);
    }
}

BOOST_AUTO_TEST_SUITE_END()
