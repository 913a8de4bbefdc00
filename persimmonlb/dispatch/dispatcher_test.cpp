#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/dispatch/dispatcher.h"
#include "persimmonlb/http/testing/fakesending.h"

namespace persimmonlb
{

namespace
{

const ServiceName service{"lettering-lm"};
const Owner self{HostId{"entry-1"}, 7};

struct SentItem {
    std::string address;
    HttpRequest request;
    HttpExchangeHooks hooks;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    [[nodiscard]] std::string id() const
    {
        return std::string(request.headers.find("Persimmonlb-Request-Id"));
    }
    void answer(std::uint16_t status, const std::string &body) const
    {
        hooks.head(HttpResponseHead{status, {}});
        hooks.chunk(body);
        hooks.end(HttpExchangeEnd{SendState::Sent, ResultCode::Ok, ""});
    }
};

LeasedItem makeItem(const std::string &job, std::uint32_t index, bool idempotent = true)
{
    return LeasedItem{.job = JobId{job},
                      .index = index,
                      .attempt = 1,
                      .caller = CallerName{"market"},
                      .customId = std::to_string(index),
                      .idempotent = idempotent,
                      .body = "{\"n\":" + std::to_string(index) + "}",
                      .due = WallTime(Milliseconds(0))};
}

/// A dispatcher in virtual time over fakes of the control group and one server.
struct Bench {
    MonotonicTime now{};
    bool mayStart = true;
    std::uint32_t capacity = 4;
    bool ownsServer = true;
    std::vector<SentItem> sent;
    std::vector<LeaseItems> leases;
    std::vector<std::function<void(Outcome<LeaseReply>)>> leaseAnswers;
    std::vector<CompleteItems> completions;
    std::vector<std::function<void(Outcome<CompleteReply>)>> completeAnswers;
    std::vector<std::string> lostFingerprints;
    std::map<std::string, Suspicion> suspicions;
    std::vector<std::function<void(Outcome<Done>)>> permitAnswers;
    std::vector<PermitEnd> permitEnds;
    Dispatcher dispatcher{options(), clock(), hooks()};

    static DispatcherOptions options()
    {
        DispatcherOptions result;
        result.self = self;
        return result;
    }
    Clock clock()
    {
        return Clock{[this] { return now; },
                     [] {
                         return WallTime(Milliseconds(1000));
                     }};
    }
    DispatcherHooks hooks()
    {
        DispatcherHooks result;
        result.services = [] {
            return std::vector<ServiceName>{service};
        };
        result.policy = [](const ServiceName &) {
            return [](const BatchLoad &load) {
                return load.capacity;
            };
        };
        result.kind = [](const ServiceName &) {
            return ServiceKind::Engine;
        };
        result.servers = [this](const ServiceName &) {
            std::vector<DispatchServer> servers;
            if (ownsServer) {
                servers.push_back({ServerId{"s1"}, "10.0.0.1:80", {capacity, 0, 0}});
            }
            return servers;
        };
        result.mayStart = [this] {
            return mayStart;
        };
        result.suspicion = [this](const std::string &print) {
            const auto known = suspicions.find(print);
            return known == suspicions.end() ? Suspicion::None : known->second;
        };
        result.acquirePermit = [this](const std::string &, const ServerId &, auto done) {
            permitAnswers.push_back(std::move(done));
            return permitAnswers.size();
        };
        result.releasePermit = [this](std::uint64_t, PermitEnd end) {
            permitEnds.push_back(end);
        };
        result.lease = [this](const LeaseItems &request, auto done) {
            leases.push_back(request);
            leaseAnswers.push_back(std::move(done));
        };
        result.complete = [this](const CompleteItems &command, auto done) {
            completions.push_back(command);
            completeAnswers.push_back(std::move(done));
        };
        result.send = [this](const std::string &address, HttpRequest request, Milliseconds,
                             HttpExchangeHooks exchange) -> std::unique_ptr<HttpExchange> {
            sent.push_back(SentItem{address, std::move(request), std::move(exchange)});
            return std::make_unique<testing::FakeExchange>(
                [alive = sent.back().alive] { *alive = false; });
        };
        result.inFlightChanged = [](const ServerId &, int) {
        };
        result.serverLost = [this](const ServerId &, const std::vector<std::string> &prints) {
            lostFingerprints.insert(lostFingerprints.end(), prints.begin(), prints.end());
        };
        return result;
    }

    void tick()
    {
        now += Milliseconds(1000);
        dispatcher.tick();
    }
    /// Leases these items and starts what fits.
    void give(std::vector<LeasedItem> items)
    {
        dispatcher.noteWork({service});
        tick();
        BOOST_REQUIRE(!leaseAnswers.empty());
        leaseAnswers.back()(LeaseReply{std::move(items), 0});
        tick();
    }
    [[nodiscard]] std::vector<ItemOutcome> recorded() const
    {
        std::vector<ItemOutcome> all;
        for (const CompleteItems &completion : completions) {
            all.insert(all.end(), completion.outcomes.begin(), completion.outcomes.end());
        }
        return all;
    }
};

struct EndCase {
    std::string name;
    std::uint16_t status; ///< 0: no head arrived.
    bool notRunHeader;
    HttpExchangeEnd end;
    std::optional<ItemOutcomeKind> recorded; ///< Nothing: the item waits here again.
};

std::ostream &operator<<(std::ostream &out, const EndCase &row)
{
    return out << row.name;
}

const HttpExchangeEnd whole{SendState::Sent, ResultCode::Ok, ""};
const std::vector<EndCase> endCases = {
    {"answered", 200, false, whole, ItemOutcomeKind::Succeeded},
    {"bad item", 400, false, whole, ItemOutcomeKind::Rejected},
    {"server fault", 500, false, whole, ItemOutcomeKind::Failed},
    {"busy after admission", 429, false, whole, ItemOutcomeKind::Failed},
    {"refused before admission", 503, true, whole, std::nullopt},
    {"not connected",
     0,
     false,
     {SendState::NothingSent, ResultCode::BackendConnectFailed, ""},
     std::nullopt},
    {"broken before head",
     0,
     false,
     {SendState::Sent, ResultCode::BackendFailed, "reset"},
     ItemOutcomeKind::Failed},
    {"cut in the body",
     200,
     false,
     {SendState::Sent, ResultCode::StreamBroken, "cut"},
     ItemOutcomeKind::Failed},
};

} // namespace

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(startsNoMoreThanThePolicyAllows)
{
    Bench bench;
    bench.give(
        {makeItem("j", 0), makeItem("j", 1), makeItem("j", 2), makeItem("j", 3), makeItem("j", 4)});
    BOOST_TEST(bench.sent.size() == 4U);
    bench.sent[0].answer(200, "ok");
    bench.tick();
    BOOST_TEST(bench.sent.size() == 5U);
}

BOOST_DATA_TEST_CASE(eachEndOfAnAttemptIsRecordedTruly, endCases, row)
{
    Bench bench;
    bench.capacity = 1;
    bench.give({makeItem("j", 0)});
    BOOST_REQUIRE(bench.sent.size() == 1U);
    if (row.status != 0) {
        HttpResponseHead head{row.status, {}};
        if (row.notRunHeader) {
            head.headers.fields = {{"Persimmonlb-Not-Run", "true"}};
        }
        bench.sent[0].hooks.head(head);
    }
    bench.sent[0].hooks.end(row.end);
    bench.tick();
    const auto recorded = bench.recorded();
    if (!row.recorded) {
        BOOST_TEST(recorded.empty());
        BOOST_TEST(bench.sent.size() == 2U);
        return;
    }
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST((recorded[0].kind == *row.recorded));
}

BOOST_AUTO_TEST_CASE(yieldCancelsTheNewestIdempotentItemsAndRunsThemAgain)
{
    Bench bench;
    bench.give({makeItem("j", 0), makeItem("j", 1, false), makeItem("j", 2, false)});
    BOOST_TEST(bench.dispatcher.yield(ServerId{"s1"}, 3) == 1U);
    BOOST_TEST(!*bench.sent[0].alive);
    BOOST_TEST(*bench.sent[1].alive);
    BOOST_TEST(*bench.sent[2].alive);
    bench.tick();
    BOOST_REQUIRE(bench.sent.size() == 4U);
    BOOST_TEST(bench.sent[3].id() == "j/0/1");
    BOOST_TEST(bench.recorded().empty());
}

BOOST_AUTO_TEST_CASE(nothingOfACancelledJobStartsAndNothingIsRecorded)
{
    Bench bench;
    bench.capacity = 1;
    bench.give({makeItem("j", 0), makeItem("j", 1), makeItem("k", 0)});
    bench.dispatcher.cancelJobs({JobId{"j"}});
    BOOST_TEST(!*bench.sent[0].alive);
    bench.tick();
    BOOST_REQUIRE(bench.sent.size() == 2U);
    BOOST_TEST(bench.sent[1].id() == "k/0/1");
    BOOST_TEST(bench.recorded().empty());
}

BOOST_AUTO_TEST_CASE(nothingStartsWhileThisHostIsNotInForce)
{
    Bench bench;
    bench.capacity = 1;
    bench.give({makeItem("j", 0), makeItem("j", 1)});
    bench.mayStart = false;
    bench.sent[0].answer(200, "ok");
    bench.tick();
    BOOST_TEST(bench.sent.size() == 1U);
    BOOST_TEST(bench.recorded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aLostLeaseAnswerIsAskedForUnderTheSameSequence)
{
    Bench bench;
    bench.dispatcher.noteWork({service});
    bench.tick();
    BOOST_REQUIRE(bench.leases.size() == 1U);
    bench.leaseAnswers[0](makeError(ResultCode::NoQuorum, "lost"));
    bench.tick();
    BOOST_REQUIRE(bench.leases.size() == 2U);
    BOOST_TEST(bench.leases[0].sequence == bench.leases[1].sequence);
}

BOOST_AUTO_TEST_CASE(outcomesWhoseRecordingFailedAreRecordedAgain)
{
    Bench bench;
    bench.give({makeItem("j", 0)});
    bench.sent[0].answer(200, "ok");
    bench.tick();
    BOOST_REQUIRE(bench.completions.size() == 1U);
    bench.completeAnswers[0](makeError(ResultCode::NoQuorum, "lost"));
    bench.tick();
    BOOST_REQUIRE(bench.completions.size() == 2U);
    BOOST_TEST((bench.completions[0].outcomes == bench.completions[1].outcomes));
}

BOOST_AUTO_TEST_CASE(drainGivesWaitingItemsBackAndKeepsRunningOnes)
{
    Bench bench;
    bench.capacity = 1;
    bench.give({makeItem("j", 0), makeItem("j", 1)});
    bench.dispatcher.setDraining(true);
    bench.tick();
    BOOST_TEST(*bench.sent[0].alive);
    const auto recorded = bench.recorded();
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST((recorded[0].kind == ItemOutcomeKind::NotRun));
    BOOST_TEST(bench.dispatcher.held() == 2U);
}

BOOST_AUTO_TEST_CASE(waitingItemsGoBackWhenAnotherHostOwnsTheServers)
{
    Bench bench;
    bench.capacity = 1;
    bench.give({makeItem("j", 0), makeItem("j", 1)});
    bench.ownsServer = false;
    bench.tick();
    bench.tick();
    const auto recorded = bench.recorded();
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST(recorded[0].index == 1U);
    BOOST_TEST((recorded[0].kind == ItemOutcomeKind::NotRun));
    BOOST_TEST(*bench.sent[0].alive);
}

BOOST_AUTO_TEST_CASE(waitingItemsThatCannotStartForLongGoBack)
{
    Bench bench;
    bench.capacity = 1;
    bench.give({makeItem("j", 0), makeItem("j", 1)});
    for (int i = 0; i < 4; ++i) {
        bench.tick();
    }
    BOOST_TEST(bench.recorded().empty());
    bench.tick();
    bench.tick();
    BOOST_TEST(bench.recorded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aConvictedItemEndsWithoutBeingSent)
{
    Bench bench;
    bench.give({makeItem("j", 0)});
    bench.sent[0].hooks.end({SendState::Sent, ResultCode::BackendFailed, "reset"});
    BOOST_REQUIRE(bench.lostFingerprints.size() == 1U);
    bench.suspicions[bench.lostFingerprints[0]] = Suspicion::Convicted;
    bench.tick();
    bench.completeAnswers.back()(CompleteReply{1, 0});
    bench.give({makeItem("j", 0)});
    bench.tick();
    BOOST_TEST(bench.sent.size() == 1U);
    BOOST_TEST((bench.recorded().back().kind == ItemOutcomeKind::Rejected));
}

BOOST_AUTO_TEST_CASE(aSuspectRunsOnlyWithAPermitAndItsEndIsTold)
{
    Bench bench;
    const LeasedItem item = makeItem("j", 0);
    bench.suspicions[fingerprintOf(service, item.body)] = Suspicion::Suspect;
    bench.give({item, makeItem("j", 1)});
    BOOST_REQUIRE(bench.permitAnswers.size() == 1U);
    BOOST_REQUIRE(bench.sent.size() == 1U);
    BOOST_TEST(bench.sent[0].id() == "j/1/1");
    bench.permitAnswers[0](Done{});
    BOOST_REQUIRE(bench.sent.size() == 2U);
    bench.sent[1].hooks.end({SendState::Sent, ResultCode::BackendFailed, "reset"});
    BOOST_REQUIRE(bench.permitEnds.size() == 1U);
    BOOST_TEST((bench.permitEnds[0] == PermitEnd::Lost));
}

BOOST_AUTO_TEST_CASE(aSuspectWithoutAPermitWaitsAndAConvictedOneEnds)
{
    Bench bench;
    const LeasedItem item = makeItem("j", 0);
    bench.suspicions[fingerprintOf(service, item.body)] = Suspicion::Suspect;
    bench.give({item});
    bench.permitAnswers[0](makeError(ResultCode::Overloaded, "another holds it"));
    bench.tick();
    BOOST_REQUIRE(bench.permitAnswers.size() == 2U);
    bench.permitAnswers[1](makeError(ResultCode::Quarantined, "convicted"));
    bench.tick();
    BOOST_TEST(bench.sent.empty());
    const auto recorded = bench.recorded();
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST((recorded[0].kind == ItemOutcomeKind::Rejected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
