#include <boost/test/unit_test.hpp>

#include "persimmonlb/bulk/bulktable.h"
#include "persimmonlb/store/memorystore.h"

using namespace persimmonlb;

namespace
{

const WallTime noon{Milliseconds(1'796'299'200'000)};
const JobId jobId{"j1"};

AcceptBulk makeJob(const JobId &id, int items)
{
    AcceptBulk command{.id = id,
                       .route = "r",
                       .host = "a.example",
                       .items = {},
                       .maxAttempts = 2,
                       .dueAfter = Milliseconds(18000),
                       .abandonAfter = Milliseconds(30000),
                       .keepFor = Milliseconds(120000),
                       .at = noon};
    for (int i = 0; i < items; ++i) {
        command.items.push_back({.id = "i" + std::to_string(i),
                                 .path = "/a/" + std::to_string(i),
                                 .headers = {{"Model", "m"}},
                                 .body = std::string("\0\xff", 2),
                                 .tokens = 100});
    }
    return command;
}

/// A bulk table over an in-memory store. The changes of each command are written at once.
struct Fixture {
    Fixture()
        : memory(17, [](const std::function<void()> &fn) { fn(); })
        , table(memory.stateStore())
    {
    }

    template <typename Command>
    PlainReply run(PlainReply (BulkTable::*apply)(const Command &, MutationList &),
                   const Command &command)
    {
        MutationList changes;
        PlainReply reply = (table.*apply)(command, changes);
        write(changes);
        return reply;
    }
    void write(const MutationList &changes)
    {
        BOOST_REQUIRE(capture([&] { return memory.stateStore().write(changes); }).ok());
    }
    PlainReply recordFailure(std::uint32_t index, std::uint32_t attempt)
    {
        return run(&BulkTable::record,
                   RecordBulk{.id = jobId,
                              .outcomes = {{.index = index,
                                            .phase = BulkItemPhase::Waiting,
                                            .attempt = attempt,
                                            .fromCount = 0,
                                            .output = ""}},
                              .at = noon});
    }
    PlainReply record(std::uint32_t index, BulkItemPhase phase, const std::string &output,
                      std::uint64_t fromCount = 0)
    {
        return run(&BulkTable::record,
                   RecordBulk{.id = jobId,
                              .outcomes = {{.index = index,
                                            .phase = phase,
                                            .attempt = 0,
                                            .fromCount = fromCount,
                                            .output = output}},
                              .at = noon});
    }

    MemoryStore memory;
    BulkTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BulkTableTest)

BOOST_AUTO_TEST_CASE(keepsResultPositionsAfterReload)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 3));
    fixture.record(2, BulkItemPhase::Completed, "two");
    fixture.record(0, BulkItemPhase::Completed, "zero");
    const BulkPage before = fixture.table.page({.id = jobId});
    BOOST_REQUIRE(capture([&] { return fixture.table.reload(); }).ok());
    const BulkPage after = fixture.table.page({.id = jobId});
    BOOST_TEST((before == after));
    BOOST_REQUIRE_EQUAL(after.results.size(), 2U);
    BOOST_TEST(after.results[0].id == "i2");
    BOOST_TEST(after.results[1].output == "zero");
    BOOST_TEST(after.total == 3U);
    BOOST_TEST(fixture.table.page({.id = jobId, .after = 1}).results.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepsFirstOutcomeWhenItemIsRecordedTwice)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 1));
    fixture.record(0, BulkItemPhase::Completed, "first");
    fixture.record(0, BulkItemPhase::Completed, "second");
    const BulkPage page = fixture.table.page({.id = jobId});
    BOOST_REQUIRE_EQUAL(page.results.size(), 1U);
    BOOST_TEST(page.results[0].output == "first");
}

BOOST_AUTO_TEST_CASE(deadLettersItemAfterMaxAttempts)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 1));
    fixture.recordFailure(0, 1);
    // The same failed run is proposed again, as after a late reply, and must not count twice.
    fixture.recordFailure(0, 1);
    BOOST_TEST(fixture.table.page({.id = jobId}).results.empty());
    fixture.recordFailure(0, 2);
    const BulkPage page = fixture.table.page({.id = jobId});
    BOOST_REQUIRE_EQUAL(page.results.size(), 1U);
    BOOST_TEST((page.results[0].phase == BulkItemPhase::DeadLettered));
}

BOOST_AUTO_TEST_CASE(refusesJobOverTokenLimitAndAcceptsKnownJobAgain)
{
    Fixture fixture;
    AcceptBulk first = makeJob(jobId, 3);
    first.maxWaitingTokens = 500;
    AcceptBulk second = makeJob(JobId{"j2"}, 3);
    second.maxWaitingTokens = 500;
    BOOST_TEST((fixture.run(&BulkTable::accept, first).code == ResultCode::Ok));
    BOOST_TEST((fixture.run(&BulkTable::accept, second).code == ResultCode::QuotaExceeded));
    BOOST_TEST((fixture.run(&BulkTable::accept, first).code == ResultCode::Ok));
    fixture.record(0, BulkItemPhase::Completed, "");
    BOOST_TEST((fixture.run(&BulkTable::accept, second).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(keepsRecordedResultsAndRefusesNewOnesAfterJobEnds)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 2));
    fixture.record(0, BulkItemPhase::Completed, "zero");
    BOOST_TEST((fixture.run(&BulkTable::end, EndBulk{jobId, noon}).code == ResultCode::Ok));
    BOOST_TEST((fixture.run(&BulkTable::end, EndBulk{jobId, noon}).code == ResultCode::Ok));
    fixture.record(1, BulkItemPhase::Completed, "one");
    BOOST_TEST(fixture.table.page({.id = jobId}).results.size() == 1U);
    BOOST_TEST(!fixture.table.body({.id = jobId, .item = "i1"}).found);
}

BOOST_AUTO_TEST_CASE(dropsProgressThatDoesNotContinueSavedProgress)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 1));
    const auto save
        = [&fixture](std::uint64_t from, std::uint64_t count, const std::string &output) {
              MutationList changes;
              fixture.table.saveProgress(
                  SaveBulkProgress{{{jobId, 0, from, count, count, output}}, noon}, changes);
              fixture.write(changes);
          };
    save(0, 2, "a\nb");
    save(2, 3, "\nc");
    save(2, 4, "\nc\nd");
    const auto saved = fixture.table.progress(jobId, 0);
    BOOST_REQUIRE(saved.has_value());
    BOOST_TEST(saved->output == "a\nb\nc");
    BOOST_TEST(saved->count == 3U);
    const PlainReply reply = fixture.record(0, BulkItemPhase::Completed, "\ne", 4);
    BOOST_TEST((reply.code == ResultCode::MalformedRequest));
    BOOST_TEST(fixture.table.page({.id = jobId}).results.empty());
    fixture.record(0, BulkItemPhase::Completed, "\nd", 3);
    BOOST_TEST(fixture.table.page({.id = jobId}).results.at(0).output == "a\nb\nc\nd");
    BOOST_TEST(!fixture.table.progress(jobId, 0).has_value());
    save(0, 1, "late");
    BOOST_TEST(!fixture.table.progress(jobId, 0).has_value());
}

BOOST_AUTO_TEST_CASE(returnsBodyByteForByte)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 2));
    const BulkBody body = fixture.table.body({.id = jobId, .item = "i1"});
    BOOST_TEST(body.found);
    BOOST_TEST(body.body == std::string("\0\xff", 2));
    BOOST_TEST(!fixture.table.body({.id = jobId, .item = "i9"}).found);
}

BOOST_AUTO_TEST_CASE(removesAllDataOfExpiredJobUnlessItIsOpen)
{
    Fixture fixture;
    fixture.run(&BulkTable::accept, makeJob(jobId, 1));
    MutationList changes;
    fixture.table.expire(noon + Milliseconds(120001), changes);
    BOOST_TEST(changes.empty());
    fixture.record(0, BulkItemPhase::Completed, "zero");
    fixture.table.expire(noon + Milliseconds(120001), changes);
    fixture.write(changes);
    BOOST_TEST(!fixture.table.page({.id = jobId}).found);
    int storedKeys = 0;
    fixture.memory.stateStore().scan("bulk", [&storedKeys](std::string_view, std::string_view) {
        ++storedKeys;
        return true;
    });
    BOOST_TEST(storedKeys == 0);
}

BOOST_AUTO_TEST_SUITE_END()
