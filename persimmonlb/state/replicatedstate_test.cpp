#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/state/testing/stateharness.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ReplicatedStateTest)

namespace
{

using testing::StateHarness;

const WallTime noon{Milliseconds(1'796'299'200'000)};
constexpr Milliseconds minute{60'000};

struct Fixture {
    StateHarness harness;

    ResultCode apply(const std::string &text)
    {
        return harness.apply<SheetReply>(ApplySheet{.text = text, .by = {"ada"}, .at = noon}).code;
    }

    void suspect(const std::string &server, const std::vector<std::string> &fingerprints,
                 std::uint64_t incarnation = 1, bool alone = false, WallTime at = noon)
    {
        harness.applyAny(ReportSuspects{.server = {server},
                                        .serverIncarnation = incarnation,
                                        .fingerprints = fingerprints,
                                        .alone = alone,
                                        .period = 10 * minute,
                                        .at = at});
    }

    EntryStateAnswer entryState() const
    {
        return harness.ask<EntryStateAnswer>(EntryStateQuery{});
    }

    std::vector<std::string> convicted() const
    {
        std::vector<std::string> fingerprints;
        for (const Conviction &conviction : entryState().convictions) {
            fingerprints.push_back(conviction.fingerprint);
        }
        return fingerprints;
    }

    std::vector<AuditRecord> trail(const std::string &kind) const
    {
        return harness
            .ask<AuditAnswer>(
                AuditQuery{.since = {}, .kind = kind, .afterSequence = 0, .limit = 100})
            .records;
    }
};

using Names = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_CASE(sheetsAreAcceptedByNumberAlone, Fixture)
{
    BOOST_TEST((apply("number = 3") == ResultCode::Ok));
    BOOST_TEST((apply("number = 3") == ResultCode::SheetAlreadyAccepted));
    BOOST_TEST((apply("number = 3 # other") == ResultCode::SheetNumberTaken));
    BOOST_TEST((apply("number = 2") == ResultCode::SheetNumberTooOld));
    BOOST_TEST((apply("nummer = 9") == ResultCode::SheetMalformed));
    harness.restart();
    BOOST_TEST((apply("number = 2") == ResultCode::SheetNumberTooOld));
    BOOST_TEST((apply("number = 3") == ResultCode::SheetAlreadyAccepted));
    BOOST_TEST(harness.state().sheetNumber() == 3U);
    BOOST_TEST(harness.ask<SheetAnswer>(SheetQuery{}).text == "number = 3");
    BOOST_TEST(trail("sheet").size() == 7U);
}

BOOST_FIXTURE_TEST_CASE(aCommandThatDoesNotDecodeChangesNothing, Fixture)
{
    ReplicatedState state(harness.store.hooks());
    MutationList changes;
    const auto reply = decodeReply(state.machine().apply(1, "\x81\x81", changes));
    BOOST_TEST_REQUIRE(reply.ok());
    BOOST_TEST((std::get<PlainReply>(reply.value()).code == ResultCode::MalformedRequest));
    BOOST_TEST(changes.empty());
}

BOOST_FIXTURE_TEST_CASE(twoLostServersConvictTheRequestOnBoth, Fixture)
{
    suspect("s1", {"bad", "good", "other"});
    BOOST_TEST(convicted().empty());
    suspect("s2", {"bad", "fresh"});
    BOOST_TEST(convicted() == Names{"bad"}, boost::test_tools::per_element());
    harness.restart();
    BOOST_TEST(convicted() == Names{"bad"}, boost::test_tools::per_element());
    BOOST_TEST(trail("quarantine").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(oneLossConvictsNobodyHoweverOftenItIsReported, Fixture)
{
    suspect("s1", {"alone"}, 1, true);
    suspect("s1", {"alone"}, 1, true);
    suspect("s1", {"alone"}, 2, false); // the server fails again, with others in flight
    BOOST_TEST(convicted().empty());
    suspect("s1", {"alone"}, 3, true);
    BOOST_TEST(convicted().size() == 1U);
}

/// Both were on both servers: either may be innocent. The third loss tells.
BOOST_FIXTURE_TEST_CASE(ofTwoEqualSuspectsNoneIsConvicted, Fixture)
{
    suspect("s1", {"a", "b"});
    suspect("s2", {"a", "b"});
    BOOST_TEST(convicted().empty());
    suspect("s3", {"b"});
    BOOST_TEST(convicted() == Names{"b"}, boost::test_tools::per_element());
}

/// Two entry hosts report the same loss one after the other: the first report alone convicts,
/// the second shows that it was not the only explanation.
BOOST_FIXTURE_TEST_CASE(aConvictionIsTakenBackWhenAnotherRequestExplainsTheLossAsWell, Fixture)
{
    suspect("s1", {"a", "b"});
    suspect("s2", {"a"});
    BOOST_TEST(convicted() == Names{"a"}, boost::test_tools::per_element());
    suspect("s2", {"b"});
    BOOST_TEST(convicted().empty());
}

BOOST_FIXTURE_TEST_CASE(aRequestThatRanToItsEndIsCleared, Fixture)
{
    suspect("s1", {"popular"});
    const auto version = entryState().version;
    harness.applyAny(ReleaseQuarantine{.fingerprint = "popular", .by = "entry-1", .at = noon});
    BOOST_TEST(entryState().suspects.empty());
    BOOST_TEST(entryState().version > version);
    suspect("s2", {"popular"});
    BOOST_TEST(convicted().empty());
}

BOOST_FIXTURE_TEST_CASE(aConvictionEndsAfterItsPeriodAndOneMoreLossRenewsIt, Fixture)
{
    suspect("s1", {"bad"});
    suspect("s2", {"bad"});
    const auto version = entryState().version;
    harness.applyAny(ReleaseOwner{.owner = {}, .at = noon + 10 * minute});
    BOOST_TEST(convicted().empty());
    BOOST_TEST(entryState().version > version);
    suspect("s3", {"bad"}, 1, false, noon + 11 * minute);
    BOOST_TEST(convicted().size() == 1U);
    harness.applyAny(ReleaseOwner{.owner = {}, .at = noon + 300 * minute});
    harness.applyAny(ReleaseOwner{.owner = {}, .at = noon + 600 * minute});
    BOOST_TEST(entryState().suspects.empty());
}

BOOST_FIXTURE_TEST_CASE(aDrainMarkLastsUntilTheHostStartsAgain, Fixture)
{
    const auto registered = [this](Incarnation incarnation) {
        harness.applyAny(RegisterHost{.owner = {.host = {"a"}, .incarnation = incarnation},
                                      .address = "10.0.0.1:1",
                                      .availabilityZone = {"z"},
                                      .region = {"r"},
                                      .at = noon});
    };
    registered(1);
    harness.applyAny(DrainHost{.host = {"a"}, .draining = true, .by = "ada", .at = noon});
    registered(1);
    harness.restart();
    BOOST_TEST(entryState().draining.size() == 1U);
    const auto version = entryState().version;
    registered(2);
    BOOST_TEST(entryState().draining.empty());
    BOOST_TEST(entryState().version > version);
    BOOST_TEST(harness.state().registeredHosts().at(0).incarnation == 2U);
}

BOOST_FIXTURE_TEST_CASE(auditBatchesAreTakenOnceInAnyOrder, Fixture)
{
    const auto ship = [this](std::uint64_t batch) {
        AuditRecord record;
        record.at = noon;
        record.kind = "refusal";
        record.who = "batch " + std::to_string(batch);
        record.detail = std::string(5000, 'x');
        harness.applyAny(AppendAudit{
            .owner = {.host = {"a"}, .incarnation = 1}, .batch = batch, .records = {record}});
    };
    for (const std::uint64_t batch : {1, 3, 2, 2, 3, 1, 4}) {
        ship(batch);
    }
    const auto records = trail("refusal");
    BOOST_TEST(records.size() == 4U);
    BOOST_TEST(records.at(2).who == "batch 2");
    BOOST_TEST(records.at(0).detail.size() == 1024U);
    const auto page = harness.ask<AuditAnswer>(
        AuditQuery{.since = {}, .kind = "refusal", .afterSequence = 0, .limit = 3});
    BOOST_TEST(page.more);
    const auto rest = harness.ask<AuditAnswer>(
        AuditQuery{.since = {}, .kind = "refusal", .afterSequence = page.nextAfter, .limit = 3});
    BOOST_TEST(rest.records.size() == 1U);
    BOOST_TEST(!rest.more);
}

BOOST_FIXTURE_TEST_CASE(fencingNumbersRiseAcrossRestarts, Fixture)
{
    const ReserveFencing command{.count = 5, .description = "load_model", .at = noon};
    const auto first = harness.apply<FencingReply>(command).first;
    harness.restart();
    BOOST_TEST(harness.apply<FencingReply>(command).first == first + 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
