#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/jobs/itemphase.h"
#include "persimmonlb/state/testing/stateharness.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(JobTableTest)

namespace
{

using testing::StateHarness;

const WallTime noon{Milliseconds(1'796'299'200'000)};
constexpr Milliseconds minute{60'000};
const ServiceName service{"lettering-lm"};
const Owner entry{.host = {"entry-1"}, .incarnation = 1};

struct Fixture {
    StateHarness harness;
    std::uint64_t sequence = 0;

    JobReply open(const std::string &job, const std::string &caller, std::uint32_t items,
                  WallTime due, WallTime at = noon, const std::string &digest = "d")
    {
        return harness.apply<JobReply>(OpenJob{.id = {job},
                                               .caller = {caller},
                                               .idempotencyKey = "key of " + job,
                                               .service = service,
                                               .due = due,
                                               .itemCount = items,
                                               .bodyDigest = digest,
                                               .at = at});
    }

    void submit(const std::string &job, const std::string &caller, std::uint32_t items,
                WallTime due = noon + 60 * minute, bool idempotent = true)
    {
        open(job, caller, items, due);
        AddItems command{.id = {job}, .firstIndex = 0, .items = {}};
        for (std::uint32_t i = 0; i < items; ++i) {
            command.items.push_back(
                {.customId = job + std::to_string(i), .idempotent = idempotent, .body = "{}"});
        }
        harness.applyAny(command);
        BOOST_TEST_REQUIRE(harness.apply<JobReply>(SealJob{.id = {job}, .at = noon}).sealed);
    }

    std::vector<LeasedItem> lease(std::uint32_t items, const Owner &owner = entry)
    {
        return harness
            .apply<LeaseReply>(LeaseItems{.owner = owner,
                                          .sequence = ++sequence,
                                          .service = service,
                                          .maxItems = items,
                                          .at = noon})
            .items;
    }

    CompleteReply complete(const std::vector<LeasedItem> &items, ItemOutcomeKind kind,
                           const Owner &owner = entry)
    {
        CompleteItems command{.owner = owner, .outcomes = {}, .at = noon};
        for (const LeasedItem &item : items) {
            command.outcomes.push_back({.job = item.job,
                                        .index = item.index,
                                        .attempt = item.attempt,
                                        .kind = kind,
                                        .status = 500,
                                        .body = "answer"});
        }
        return harness.apply<CompleteReply>(command);
    }

    ItemResult resultOf(const std::string &job, std::uint32_t index)
    {
        const auto answer = harness.ask<ResultsAnswer>(
            ResultsQuery{.id = {job}, .firstIndex = index, .limit = 1});
        BOOST_TEST_REQUIRE(answer.items.size() == 1U);
        return answer.items.front();
    }
};

std::map<std::string, int> itemsByCaller(const std::vector<LeasedItem> &items)
{
    std::map<std::string, int> counts;
    for (const LeasedItem &item : items) {
        ++counts[item.caller.value];
    }
    return counts;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(anAcceptedJobIsFoundAgainUnderItsKey, Fixture)
{
    submit("j1", "shop", 2);
    const JobReply again = open("j1", "shop", 2, noon);
    BOOST_TEST(again.existed);
    BOOST_TEST(again.sealed);
    BOOST_TEST((again.id == JobId{"j1"}));
    BOOST_TEST(
        (open("j1", "shop", 2, noon, noon, "other").code == ResultCode::KeyReusedWithOtherBody));
    BOOST_TEST(!open("j2", "market", 2, noon).existed);
}

BOOST_FIXTURE_TEST_CASE(aJobWithMissingItemsIsNotAcceptedAndNotDispatched, Fixture)
{
    open("j1", "shop", 2, noon);
    harness.applyAny(AddItems{.id = {"j1"},
                              .firstIndex = 1,
                              .items = {{.customId = "b", .idempotent = true, .body = "{}"}}});
    const auto reply = harness.apply<JobReply>(SealJob{.id = {"j1"}, .at = noon});
    BOOST_TEST((reply.code == ResultCode::MalformedRequest));
    BOOST_TEST(!reply.sealed);
    BOOST_TEST(lease(10).empty());
}

BOOST_FIXTURE_TEST_CASE(anUnsealedJobIsDroppedAfterAnHourAndLeavesNothingBehind, Fixture)
{
    open("j1", "shop", 3, noon);
    harness.applyAny(AddItems{.id = {"j1"},
                              .firstIndex = 0,
                              .items = {{.customId = "a", .idempotent = true, .body = "{}"}}});
    open("j2", "shop", 1, noon, noon + 61 * minute);
    BOOST_TEST(harness.ask<JobListAnswer>(JobQuery{.id = {"j1"}}).jobs.empty());
    open("j3", "shop", 1, noon, noon + 62 * minute);
    for (const auto &[key, value] : harness.store.content) {
        BOOST_TEST(!key.starts_with("body/"));
        BOOST_TEST(!key.starts_with("garbage/"));
    }
    BOOST_TEST(!open("j1", "shop", 3, noon, noon + 63 * minute).existed);
}

BOOST_FIXTURE_TEST_CASE(earlierDueClassesGoFirst, Fixture)
{
    submit("late", "shop", 3, noon + 120 * minute);
    submit("soon", "market", 2, noon + 20 * minute);
    const auto items = lease(4);
    BOOST_TEST_REQUIRE(items.size() == 4U);
    BOOST_TEST((items[0].job == JobId{"soon"} && items[1].job == JobId{"soon"}));
    BOOST_TEST((items[2].job == JobId{"late"} && items[3].job == JobId{"late"}));
}

BOOST_FIXTURE_TEST_CASE(callersOfADueClassShareByWeight, Fixture)
{
    const std::string quota
        = "\nkey_digest = \"" + std::string(64, '0') + "\"\nrequests_per_second = 1\nburst = 1\n";
    const std::string sheet = "number = 1\n[[quota]]\ncaller = \"shop\"" + quota
        + "[[quota]]\ncaller = \"market\"" + quota + "weight = 3\n";
    const auto reply
        = harness.apply<SheetReply>(ApplySheet{.text = sheet, .by = {"ada"}, .at = noon});
    BOOST_TEST_REQUIRE((reply.code == ResultCode::Ok));
    submit("a", "shop", 200);
    submit("b", "market", 200);
    auto counts = itemsByCaller(lease(40));
    BOOST_TEST(counts["shop"] == 10);
    BOOST_TEST(counts["market"] == 30);
    // One at a time, each completed before the next: the share holds as well.
    std::map<std::string, int> single;
    for (int i = 0; i < 40; ++i) {
        const auto item = lease(1);
        ++single[item.at(0).caller.value];
        complete(item, ItemOutcomeKind::Succeeded);
    }
    BOOST_TEST(single["shop"] == 10);
    BOOST_TEST(single["market"] == 30);
}

BOOST_FIXTURE_TEST_CASE(theSameSequenceGetsTheSameItemsAlsoAfterARestart, Fixture)
{
    submit("j1", "shop", 5);
    const LeaseItems command{
        .owner = entry, .sequence = 7, .service = service, .maxItems = 2, .at = noon};
    const auto first = harness.apply<LeaseReply>(command);
    harness.restart();
    BOOST_TEST((harness.apply<LeaseReply>(command).items == first.items));
    complete(first.items, ItemOutcomeKind::Succeeded);
    BOOST_TEST(harness.apply<LeaseReply>(command).items.empty());
    BOOST_TEST(harness.state().pendingItems(service) == 3U);
}

/// Items that are put back for ever, first in line, never keep a server from other work.
BOOST_FIXTURE_TEST_CASE(anItemThatCanNeverRunHoldsUpNoOther, Fixture)
{
    submit("poison", "shop", 1, noon + 1 * minute);
    submit("good", "shop", 50, noon + 2 * minute);
    submit("later", "market", 50, noon + 300 * minute);
    int poisonLeases = 0;
    int done = 0;
    for (int round = 0; round < 130 && done < 100; ++round) {
        for (const LeasedItem &item : lease(1)) {
            const bool poison = item.job == JobId{"poison"};
            poisonLeases += poison ? 1 : 0;
            done += poison ? 0 : 1;
            complete({item}, poison ? ItemOutcomeKind::NotRun : ItemOutcomeKind::Succeeded);
        }
    }
    BOOST_TEST(done == 100);
    BOOST_TEST(poisonLeases >= 3);
    BOOST_TEST(poisonLeases < 12);
    BOOST_TEST_REQUIRE(lease(1).size() == 1U); // with nothing else to do it goes again at once
}

BOOST_FIXTURE_TEST_CASE(failedAttemptsEndInAReadableFailure, Fixture)
{
    submit("j1", "shop", 1);
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        const auto items = lease(1);
        BOOST_TEST_REQUIRE(items.size() == 1U);
        BOOST_TEST(items[0].attempt == attempt);
        BOOST_TEST(complete(items, ItemOutcomeKind::Failed).recorded == 1U);
    }
    BOOST_TEST(lease(1).empty());
    const ItemResult result = resultOf("j1", 0);
    BOOST_TEST((result.state == ItemState::Failed));
    BOOST_TEST(result.code == static_cast<std::uint16_t>(ResultCode::AttemptsExhausted));
    BOOST_TEST(result.status == 502);
    BOOST_TEST(result.attempts == 3U);
    BOOST_TEST(result.body.find("attempts_exhausted") != std::string::npos);
    BOOST_TEST(result.body.find("status 500") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(anItemThatIsNotIdempotentNeverRunsTwice, Fixture)
{
    submit("failed", "shop", 1, noon + 60 * minute, false);
    complete(lease(1), ItemOutcomeKind::Failed);
    BOOST_TEST(lease(1).empty());
    BOOST_TEST(resultOf("failed", 0).code
               == static_cast<std::uint16_t>(ResultCode::OutcomeUnknown));
    submit("lost", "shop", 1, noon + 60 * minute, false);
    const auto items = lease(1);
    harness.applyAny(ReleaseOwner{.owner = entry, .at = noon});
    BOOST_TEST(lease(1).empty());
    BOOST_TEST(resultOf("lost", 0).code == static_cast<std::uint16_t>(ResultCode::OutcomeUnknown));
    BOOST_TEST(complete(items, ItemOutcomeKind::Succeeded).dropped == 1U);
}

/// A doubled NotRun must not put back an item that was leased again in between.
BOOST_FIXTURE_TEST_CASE(aLateDoubleOfAnOutcomeTouchesNoLaterLease, Fixture)
{
    submit("j1", "shop", 1, noon + 60 * minute, false);
    const auto first = lease(1);
    complete(first, ItemOutcomeKind::NotRun);
    const auto second = lease(1);
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(complete(first, ItemOutcomeKind::NotRun).dropped == 1U);
    BOOST_TEST(lease(1, Owner{.host = {"entry-2"}, .incarnation = 1}).empty());
    BOOST_TEST(complete(second, ItemOutcomeKind::Succeeded).recorded == 1U);
    BOOST_TEST((resultOf("j1", 0).state == ItemState::Succeeded));
}

BOOST_FIXTURE_TEST_CASE(aLaterIncarnationTakesBackWhatAnEarlierHolds, Fixture)
{
    submit("j1", "shop", 2);
    const auto held = lease(2);
    const Owner later{.host = entry.host, .incarnation = 2};
    harness.applyAny(RegisterHost{.owner = later,
                                  .address = "10.0.0.1:1",
                                  .availabilityZone = {"z"},
                                  .region = {"r"},
                                  .at = noon});
    BOOST_TEST(complete(held, ItemOutcomeKind::Succeeded).dropped == 2U);
    BOOST_TEST(lease(2).empty());
    BOOST_TEST(lease(2, later).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(cancellingEndsEveryItemAndIsSeenForAMinute, Fixture)
{
    submit("j1", "shop", 4);
    const auto held = lease(2);
    complete({held[0]}, ItemOutcomeKind::Succeeded);
    const CancelJob command{.id = {"j1"}, .caller = {"shop"}, .by = "shop", .at = noon};
    CancelJob foreign = command;
    foreign.caller = {"market"};
    BOOST_TEST((harness.apply<PlainReply>(foreign).code == ResultCode::NotFound));
    BOOST_TEST((harness.apply<PlainReply>(command).code == ResultCode::Ok));
    BOOST_TEST((harness.apply<PlainReply>(command).code == ResultCode::Ok));
    BOOST_TEST(complete({held[1]}, ItemOutcomeKind::Succeeded).dropped == 1U);
    BOOST_TEST((resultOf("j1", 0).state == ItemState::Succeeded));
    for (std::uint32_t index = 1; index < 4; ++index) {
        BOOST_TEST((resultOf("j1", index).state == ItemState::Cancelled));
        BOOST_TEST(resultOf("j1", index).code == static_cast<std::uint16_t>(ResultCode::Cancelled));
    }
    const auto summary = harness.ask<JobListAnswer>(JobQuery{.id = {"j1"}}).jobs.at(0);
    BOOST_TEST(summary.succeeded == 1U);
    BOOST_TEST(summary.cancelled == 3U);
    const std::vector<JobId> noticed{{"j1"}};
    BOOST_TEST((harness.ask<EntryStateAnswer>(EntryStateQuery{}).cancelledRecently == noticed));
    harness.applyAny(ReleaseOwner{.owner = entry, .at = noon + minute + Milliseconds(1)});
    BOOST_TEST(harness.ask<EntryStateAnswer>(EntryStateQuery{}).cancelledRecently.empty());
}

BOOST_AUTO_TEST_CASE(phasesThatHaveEndedTakeNoEvent)
{
    using enum ItemEvent;
    for (const ItemPhase ended : {ItemPhase::Succeeded, ItemPhase::Failed, ItemPhase::Cancelled}) {
        for (const ItemEvent event : {Lease, Succeed, Reject, Fail, NotRun, Release, Cancel}) {
            BOOST_TEST(!nextPhase(ended, event, true).has_value());
        }
    }
    BOOST_TEST((nextPhase(ItemPhase::Leased, Fail, true) == ItemPhase::Pending));
    BOOST_TEST((nextPhase(ItemPhase::Leased, Fail, false) == ItemPhase::Failed));
    BOOST_TEST((nextPhase(ItemPhase::Leased, Release, false) == ItemPhase::Failed));
    BOOST_TEST((nextPhase(ItemPhase::Leased, NotRun, false) == ItemPhase::Pending));
    BOOST_TEST(!nextPhase(ItemPhase::Pending, Succeed, true).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
