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

struct SentRequest {
    std::string address;
    HttpRequest request;
    HttpExchangeHooks hooks;
    std::shared_ptr<bool> alive
        = std::make_shared<bool>(true); ///< False once the dispatcher has destroyed the exchange.

    [[nodiscard]] std::string requestId() const
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

/// A dispatcher in virtual time with fakes for the control group and for one server.
struct Fixture {
    MonotonicTime now{};
    bool mayStart = true;
    std::uint32_t capacity = 4;
    bool ownsServer = true;
    std::vector<SentRequest> sentRequests;
    std::vector<LeaseItems> leases;
    std::vector<std::function<void(Outcome<LeaseReply>)>> leaseCallbacks;
    std::vector<CompleteItems> completions;
    std::vector<std::function<void(Outcome<CompleteReply>)>> completeCallbacks;
    std::vector<std::string> lostFingerprints;
    std::map<std::string, Suspicion> suspicions;
    std::vector<std::function<void(Outcome<Done>)>> permitCallbacks;
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
        result.suspicion = [this](const std::string &fingerprint) {
            const auto position = suspicions.find(fingerprint);
            return position == suspicions.end() ? Suspicion::None : position->second;
        };
        result.acquirePermit = [this](const std::string &, const ServerId &, auto done) {
            permitCallbacks.push_back(std::move(done));
            return permitCallbacks.size();
        };
        result.releasePermit = [this](std::uint64_t, PermitEnd end) {
            permitEnds.push_back(end);
        };
        result.lease = [this](const LeaseItems &request, auto done) {
            leases.push_back(request);
            leaseCallbacks.push_back(std::move(done));
        };
        result.complete = [this](const CompleteItems &command, auto done) {
            completions.push_back(command);
            completeCallbacks.push_back(std::move(done));
        };
        result.send = [this](const std::string &address, HttpRequest request, Milliseconds,
                             HttpExchangeHooks exchange) -> std::unique_ptr<HttpExchange> {
            sentRequests.push_back(SentRequest{address, std::move(request), std::move(exchange)});
            return std::make_unique<testing::FakeExchange>(
                [alive = sentRequests.back().alive] { *alive = false; });
        };
        result.inFlightChanged = [](const ServerId &, int) {
        };
        result.serverLost = [this](const ServerId &, const std::vector<std::string> &fingerprints) {
            lostFingerprints.insert(lostFingerprints.end(), fingerprints.begin(),
                                    fingerprints.end());
        };
        return result;
    }

    void tick()
    {
        now += Milliseconds(1000);
        dispatcher.tick();
    }
    /// Answers a lease request with `items` and ticks, which starts as many as the policy allows.
    void leaseAndStart(std::vector<LeasedItem> items)
    {
        dispatcher.notifyPendingWork({service});
        tick();
        BOOST_REQUIRE(!leaseCallbacks.empty());
        leaseCallbacks.back()(LeaseReply{std::move(items), 0});
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

struct ExchangeEndCase {
    std::string name;
    std::uint16_t status; ///< 0: no response head was received.
    bool notRunHeader;
    HttpExchangeEnd end;
    std::optional<ItemOutcomeKind> recorded; ///< Empty: the item is requeued.
};

std::ostream &operator<<(std::ostream &out, const ExchangeEndCase &row)
{
    return out << row.name;
}

const HttpExchangeEnd completeExchange{SendState::Sent, ResultCode::Ok, ""};
const std::vector<ExchangeEndCase> exchangeEndCases = {
    {"answered", 200, false, completeExchange, ItemOutcomeKind::Succeeded},
    {"bad item", 400, false, completeExchange, ItemOutcomeKind::Rejected},
    {"server error", 500, false, completeExchange, ItemOutcomeKind::Failed},
    {"busy after admission", 429, false, completeExchange, ItemOutcomeKind::Failed},
    {"refused before admission", 503, true, completeExchange, std::nullopt},
    {"connection failed",
     0,
     false,
     {SendState::NothingSent, ResultCode::BackendConnectFailed, ""},
     std::nullopt},
    {"connection broken before the head",
     0,
     false,
     {SendState::Sent, ResultCode::BackendFailed, "reset"},
     ItemOutcomeKind::Failed},
    {"connection broken in the body",
     200,
     false,
     {SendState::Sent, ResultCode::StreamBroken, "cut"},
     ItemOutcomeKind::Failed},
};

} // namespace

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(startsNoMoreItemsThanPolicyAllows)
{
    Fixture fixture;
    fixture.leaseAndStart(
        {makeItem("j", 0), makeItem("j", 1), makeItem("j", 2), makeItem("j", 3), makeItem("j", 4)});
    BOOST_TEST(fixture.sentRequests.size() == 4U);
    fixture.sentRequests[0].answer(200, "ok");
    fixture.tick();
    BOOST_TEST(fixture.sentRequests.size() == 5U);
}

BOOST_DATA_TEST_CASE(recordsOutcomeMatchingEndOfExchange, exchangeEndCases, row)
{
    Fixture fixture;
    fixture.capacity = 1;
    fixture.leaseAndStart({makeItem("j", 0)});
    BOOST_REQUIRE(fixture.sentRequests.size() == 1U);
    if (row.status != 0) {
        HttpResponseHead head{row.status, {}};
        if (row.notRunHeader) {
            head.headers.fields = {{"Persimmonlb-Not-Run", "true"}};
        }
        fixture.sentRequests[0].hooks.head(head);
    }
    fixture.sentRequests[0].hooks.end(row.end);
    fixture.tick();
    const auto recorded = fixture.recorded();
    if (!row.recorded) {
        BOOST_TEST(recorded.empty());
        BOOST_TEST(fixture.sentRequests.size() == 2U);
        return;
    }
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST((recorded[0].kind == *row.recorded));
}

BOOST_AUTO_TEST_CASE(cancelsAndRestartsOnlyIdempotentItemsOnYield)
{
    Fixture fixture;
    fixture.leaseAndStart({makeItem("j", 0), makeItem("j", 1, false), makeItem("j", 2, false)});
    BOOST_TEST(fixture.dispatcher.yield(ServerId{"s1"}, 3) == 1U);
    BOOST_TEST(!*fixture.sentRequests[0].alive);
    BOOST_TEST(*fixture.sentRequests[1].alive);
    BOOST_TEST(*fixture.sentRequests[2].alive);
    fixture.tick();
    BOOST_REQUIRE(fixture.sentRequests.size() == 4U);
    BOOST_TEST(fixture.sentRequests[3].requestId() == "j/0/1");
    BOOST_TEST(fixture.recorded().empty());
}

BOOST_AUTO_TEST_CASE(stopsItemsOfCancelledJobWithoutRecordingThem)
{
    Fixture fixture;
    fixture.capacity = 1;
    fixture.leaseAndStart({makeItem("j", 0), makeItem("j", 1), makeItem("k", 0)});
    fixture.dispatcher.cancelJobs({JobId{"j"}});
    BOOST_TEST(!*fixture.sentRequests[0].alive);
    fixture.tick();
    BOOST_REQUIRE(fixture.sentRequests.size() == 2U);
    BOOST_TEST(fixture.sentRequests[1].requestId() == "k/0/1");
    BOOST_TEST(fixture.recorded().empty());
}

BOOST_AUTO_TEST_CASE(startsNoItemWhileHostIsNotInForce)
{
    Fixture fixture;
    fixture.capacity = 1;
    fixture.leaseAndStart({makeItem("j", 0), makeItem("j", 1)});
    fixture.mayStart = false;
    fixture.sentRequests[0].answer(200, "ok");
    fixture.tick();
    BOOST_TEST(fixture.sentRequests.size() == 1U);
    BOOST_TEST(fixture.recorded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(repeatsFailedLeaseRequestWithSameSequence)
{
    Fixture fixture;
    fixture.dispatcher.notifyPendingWork({service});
    fixture.tick();
    BOOST_REQUIRE(fixture.leases.size() == 1U);
    fixture.leaseCallbacks[0](makeError(ResultCode::NoQuorum, "lost"));
    fixture.tick();
    BOOST_REQUIRE(fixture.leases.size() == 2U);
    BOOST_TEST(fixture.leases[0].sequence == fixture.leases[1].sequence);
}

BOOST_AUTO_TEST_CASE(repeatsOutcomesAfterRecordingFailed)
{
    Fixture fixture;
    fixture.leaseAndStart({makeItem("j", 0)});
    fixture.sentRequests[0].answer(200, "ok");
    fixture.tick();
    BOOST_REQUIRE(fixture.completions.size() == 1U);
    fixture.completeCallbacks[0](makeError(ResultCode::NoQuorum, "lost"));
    fixture.tick();
    BOOST_REQUIRE(fixture.completions.size() == 2U);
    BOOST_TEST((fixture.completions[0].outcomes == fixture.completions[1].outcomes));
}

BOOST_AUTO_TEST_CASE(returnsWaitingItemsAndKeepsRunningOnesOnDrain)
{
    Fixture fixture;
    fixture.capacity = 1;
    fixture.leaseAndStart({makeItem("j", 0), makeItem("j", 1)});
    fixture.dispatcher.setDraining(true);
    fixture.tick();
    BOOST_TEST(*fixture.sentRequests[0].alive);
    const auto recorded = fixture.recorded();
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST((recorded[0].kind == ItemOutcomeKind::NotRun));
    BOOST_TEST(fixture.dispatcher.heldItems() == 2U);
}

BOOST_AUTO_TEST_CASE(returnsWaitingItemsWhenAnotherHostOwnsServers)
{
    Fixture fixture;
    fixture.capacity = 1;
    fixture.leaseAndStart({makeItem("j", 0), makeItem("j", 1)});
    fixture.ownsServer = false;
    fixture.tick();
    fixture.tick();
    const auto recorded = fixture.recorded();
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST(recorded[0].index == 1U);
    BOOST_TEST((recorded[0].kind == ItemOutcomeKind::NotRun));
    BOOST_TEST(*fixture.sentRequests[0].alive);
}

BOOST_AUTO_TEST_CASE(returnsItemsThatWaitedLongerThanMaxWait)
{
    Fixture fixture;
    fixture.capacity = 1;
    fixture.leaseAndStart({makeItem("j", 0), makeItem("j", 1)});
    for (int i = 0; i < 4; ++i) {
        fixture.tick();
    }
    BOOST_TEST(fixture.recorded().empty());
    fixture.tick();
    fixture.tick();
    BOOST_TEST(fixture.recorded().size() == 1U);
}

BOOST_AUTO_TEST_CASE(rejectsQuarantinedItemWithoutSendingIt)
{
    Fixture fixture;
    fixture.leaseAndStart({makeItem("j", 0)});
    fixture.sentRequests[0].hooks.end({SendState::Sent, ResultCode::BackendFailed, "reset"});
    BOOST_REQUIRE(fixture.lostFingerprints.size() == 1U);
    fixture.suspicions[fixture.lostFingerprints[0]] = Suspicion::Quarantined;
    fixture.tick();
    fixture.completeCallbacks.back()(CompleteReply{1, 0});
    fixture.leaseAndStart({makeItem("j", 0)});
    fixture.tick();
    BOOST_TEST(fixture.sentRequests.size() == 1U);
    BOOST_TEST((fixture.recorded().back().kind == ItemOutcomeKind::Rejected));
}

BOOST_AUTO_TEST_CASE(sendsSuspectOnlyWithPermitAndReportsBrokenConnection)
{
    Fixture fixture;
    const LeasedItem item = makeItem("j", 0);
    fixture.suspicions[fingerprintOf(service, item.body)] = Suspicion::Suspect;
    fixture.leaseAndStart({item, makeItem("j", 1)});
    BOOST_REQUIRE(fixture.permitCallbacks.size() == 1U);
    BOOST_REQUIRE(fixture.sentRequests.size() == 1U);
    BOOST_TEST(fixture.sentRequests[0].requestId() == "j/1/1");
    fixture.permitCallbacks[0](Done{});
    BOOST_REQUIRE(fixture.sentRequests.size() == 2U);
    fixture.sentRequests[1].hooks.end({SendState::Sent, ResultCode::BackendFailed, "reset"});
    BOOST_REQUIRE(fixture.permitEnds.size() == 1U);
    BOOST_TEST((fixture.permitEnds[0] == PermitEnd::Lost));
}

BOOST_AUTO_TEST_CASE(requeuesSuspectWithoutPermitAndRejectsQuarantinedOne)
{
    Fixture fixture;
    const LeasedItem item = makeItem("j", 0);
    fixture.suspicions[fingerprintOf(service, item.body)] = Suspicion::Suspect;
    fixture.leaseAndStart({item});
    fixture.permitCallbacks[0](makeError(ResultCode::Overloaded, "another host holds the permit"));
    fixture.tick();
    BOOST_REQUIRE(fixture.permitCallbacks.size() == 2U);
    fixture.permitCallbacks[1](makeError(ResultCode::Quarantined, "convicted"));
    fixture.tick();
    BOOST_TEST(fixture.sentRequests.empty());
    const auto recorded = fixture.recorded();
    BOOST_REQUIRE(recorded.size() == 1U);
    BOOST_TEST((recorded[0].kind == ItemOutcomeKind::Rejected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
