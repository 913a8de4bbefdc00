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

/// A table over a store in memory, whose changes are written after each command.
struct Bench {
    Bench()
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

BOOST_AUTO_TEST_CASE(ResultsKeepTheirPositionsAcrossAReload)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 3));
    bench.record(2, BulkItemPhase::Completed, "two");
    bench.record(0, BulkItemPhase::Completed, "zero");
    const BulkPage before = bench.table.page({.id = jobId});
    BOOST_REQUIRE(capture([&] { return bench.table.reload(); }).ok());
    const BulkPage after = bench.table.page({.id = jobId});
    BOOST_TEST((before == after));
    BOOST_REQUIRE_EQUAL(after.results.size(), 2U);
    BOOST_TEST(after.results[0].id == "i2");
    BOOST_TEST(after.results[1].output == "zero");
    BOOST_TEST(after.total == 3U);
    BOOST_TEST(bench.table.page({.id = jobId, .after = 1}).results.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheFirstEndOfAnItemHolds)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 1));
    bench.record(0, BulkItemPhase::Completed, "first");
    bench.record(0, BulkItemPhase::Completed, "second");
    const BulkPage page = bench.table.page({.id = jobId});
    BOOST_REQUIRE_EQUAL(page.results.size(), 1U);
    BOOST_TEST(page.results[0].output == "first");
}

BOOST_AUTO_TEST_CASE(FailedRunsCountUpToTheBound)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 1));
    bench.recordFailure(0, 1);
    // Proposed again because its reply was late: the same failed run.
    bench.recordFailure(0, 1);
    BOOST_TEST(bench.table.page({.id = jobId}).results.empty());
    bench.recordFailure(0, 2);
    const BulkPage page = bench.table.page({.id = jobId});
    BOOST_REQUIRE_EQUAL(page.results.size(), 1U);
    BOOST_TEST((page.results[0].phase == BulkItemPhase::DeadLettered));
}

BOOST_AUTO_TEST_CASE(WaitingTokensAreBoundedAndAKnownJobIsAcceptedAgain)
{
    Bench bench;
    AcceptBulk first = makeJob(jobId, 3);
    first.maxWaitingTokens = 500;
    AcceptBulk second = makeJob(JobId{"j2"}, 3);
    second.maxWaitingTokens = 500;
    BOOST_TEST((bench.run(&BulkTable::accept, first).code == ResultCode::Ok));
    BOOST_TEST((bench.run(&BulkTable::accept, second).code == ResultCode::QuotaExceeded));
    BOOST_TEST((bench.run(&BulkTable::accept, first).code == ResultCode::Ok));
    bench.record(0, BulkItemPhase::Completed, "");
    BOOST_TEST((bench.run(&BulkTable::accept, second).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(AnEndedJobTakesNoResultsAndKeepsThoseListed)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 2));
    bench.record(0, BulkItemPhase::Completed, "zero");
    BOOST_TEST((bench.run(&BulkTable::end, EndBulk{jobId, noon}).code == ResultCode::Ok));
    BOOST_TEST((bench.run(&BulkTable::end, EndBulk{jobId, noon}).code == ResultCode::Ok));
    bench.record(1, BulkItemPhase::Completed, "one");
    BOOST_TEST(bench.table.page({.id = jobId}).results.size() == 1U);
    BOOST_TEST(!bench.table.body({.id = jobId, .item = "i1"}).found);
}

BOOST_AUTO_TEST_CASE(ProgressGrowsOnlyBehindWhatIsSaved)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 1));
    const auto save = [&bench](std::uint64_t from, std::uint64_t count, const std::string &output) {
        MutationList changes;
        bench.table.saveProgress(SaveBulkProgress{{{jobId, 0, from, count, count, output}}, noon},
                                 changes);
        bench.write(changes);
    };
    save(0, 2, "a\nb");
    save(2, 3, "\nc");
    save(2, 4, "\nc\nd");
    const auto saved = bench.table.progress(jobId, 0);
    BOOST_REQUIRE(saved.has_value());
    BOOST_TEST(saved->output == "a\nb\nc");
    BOOST_TEST(saved->count == 3U);
    const PlainReply wrong = bench.record(0, BulkItemPhase::Completed, "\ne", 4);
    BOOST_TEST((wrong.code == ResultCode::MalformedRequest));
    BOOST_TEST(bench.table.page({.id = jobId}).results.empty());
    bench.record(0, BulkItemPhase::Completed, "\nd", 3);
    BOOST_TEST(bench.table.page({.id = jobId}).results.at(0).output == "a\nb\nc\nd");
    BOOST_TEST(!bench.table.progress(jobId, 0).has_value());
    save(0, 1, "late");
    BOOST_TEST(!bench.table.progress(jobId, 0).has_value());
}

BOOST_AUTO_TEST_CASE(BodiesComeBackByteForByte)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 2));
    const BulkBody body = bench.table.body({.id = jobId, .item = "i1"});
    BOOST_TEST(body.found);
    BOOST_TEST(body.body == std::string("\0\xff", 2));
    BOOST_TEST(!bench.table.body({.id = jobId, .item = "i9"}).found);
}

BOOST_AUTO_TEST_CASE(OnlyJobsWithoutOpenItemsExpireAndLeaveNothing)
{
    Bench bench;
    bench.run(&BulkTable::accept, makeJob(jobId, 1));
    MutationList changes;
    bench.table.expire(noon + Milliseconds(120001), changes);
    BOOST_TEST(changes.empty());
    bench.record(0, BulkItemPhase::Completed, "zero");
    bench.table.expire(noon + Milliseconds(120001), changes);
    bench.write(changes);
    BOOST_TEST(!bench.table.page({.id = jobId}).found);
    int left = 0;
    bench.memory.stateStore().scan("bulk", [&left](std::string_view, std::string_view) {
        ++left;
        return true;
    });
    BOOST_TEST(left == 0);
}

BOOST_AUTO_TEST_SUITE_END()
