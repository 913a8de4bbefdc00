#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/bulk/bulkrunner.h"
#include "persimmonlb/bulk/testing/fakebulkstate.h"
#include "persimmonlb/http/testing/fakesending.h"

namespace persimmonlb::testing
{

inline const ServiceName engine{"lm"};
inline const WallTime noon{Milliseconds(1'796'299'200'000)};

struct SentRequest : FakeSending {
    std::optional<std::uint64_t> resumeAfter; ///< Id of the event after which the server resumes.
    bool isEnded = false; ///< For tests that end what is open.
};

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

inline std::string eventsUpTo(int last)
{
    std::string bytes;
    for (int id = 1; id <= last; ++id) {
        bytes += event(id);
    }
    return bytes;
}

struct BulkRunnerFixtureOptions {
    int servers = 1; ///< "s1" and so on.
    SlotCapacity capacity{2, 0}; ///< Of each.
    double batchReserve = 0;
};

/// A runner with one backend server of two slots. Commands are applied at once.
struct BulkRunnerFixture {
    explicit BulkRunnerFixture(BulkRunnerFixtureOptions options = {})
        : options(options)
    {
        std::vector<FleetServer> servers;
        for (int number = 1; number <= options.servers; ++number) {
            servers.push_back(server(number));
        }
        broker.setServers(servers, [&options](const ServiceName &) { return options.capacity; });
    }

    [[nodiscard]] FleetServer server(int number = 1) const
    {
        FleetServer server;
        server.id = ServerId{"s" + std::to_string(number)};
        server.bornMs = 1;
        server.service = engine;
        server.address = server.id.value + ":80";
        server.slots = options.capacity.slots;
        return server;
    }

    void accept(const std::string &id, int items, int dueAfterMs = 18000, std::uint64_t tokens = 9)
    {
        AcceptBulk command{.id = JobId{id},
                           .route = "r",
                           .host = "a.example",
                           .items = {},
                           .maxAttempts = 2,
                           .dueAfter = Milliseconds(dueAfterMs),
                           .abandonAfter = Milliseconds(60000),
                           .keepFor = Milliseconds(120000),
                           .at = wall};
        for (int i = 0; i < items; ++i) {
            command.items.push_back({.id = id + std::to_string(i),
                                     .path = "/x",
                                     .headers = {},
                                     .body = "b",
                                     .tokens = tokens});
        }
        state.apply(command);
    }
    void advance(int ms)
    {
        now += Milliseconds(ms);
        wall += Milliseconds(ms);
        runner.tick();
        broker.tick();
    }
    SentRequest &sentRequest(std::size_t number)
    {
        return *sentRequests.at(number);
    }
    void answer(std::size_t number, std::uint16_t status, const std::string &bytes)
    {
        const auto request = sentRequests.at(number);
        request->hooks.head(HttpResponseHead{status, {}});
        request->hooks.chunk(bytes);
    }
    void end(std::size_t number, ResultCode code)
    {
        const auto request = sentRequests.at(number);
        request->hooks.end(HttpExchangeEnd{SendState::Sent, code, "test"});
    }
    /// The server refuses the request.
    void refuse(std::size_t number)
    {
        const auto request = sentRequests.at(number);
        request->hooks.head(HttpResponseHead{503, {}});
        request->hooks.end(HttpExchangeEnd{SendState::Sent, ResultCode::Ok, ""});
    }
    /// No HTTP request can be made of the item.
    void rejectAsUnsendable(std::size_t number)
    {
        const auto request = sentRequests.at(number);
        request->hooks.end(
            HttpExchangeEnd{SendState::NothingSent, ResultCode::MalformedRequest, "target"});
    }
    std::vector<BulkResult> results(const std::string &id) const
    {
        return state.table().page({.id = JobId{id}}).results;
    }

    BulkRunnerFixtureOptions options;
    MonotonicTime now;
    WallTime wall = noon;
    FakeBulkState state;
    std::shared_ptr<const RouteTable> routes = batchRoutes(engine);
    std::vector<std::shared_ptr<SentRequest>> sentRequests;
    Metrics metrics;
    std::uint64_t clockReads = 0;
    Clock clock{.monotonic =
                    [this] {
                        ++clockReads;
                        return now;
                    },
                .wall =
                    [this] {
                        ++clockReads;
                        return wall;
                    }};
    SlotBroker broker{
        SlotBrokerOptions{.availabilityZone = {}, .batchReserve = options.batchReserve}, clock,
        seededRandom(1),
        SlotBrokerHooks{.grant = [](const HostId &, const SlotGrant &) {},
                        .refuse = [](const HostId &, const SlotRefusal &) {},
                        .yieldBatch
                        = [this](const ServiceName &service) { return runner.yield(service); },
                        .batchMayStart =
                            [this](const ServiceName &service) {
                                runner.startItems(service);
                            }}};
    CrashLedger crashes{CrashLedgerOptions{}, clock};
    BulkRunner runner{
        BulkRunnerOptions{},
        clock,
        broker,
        crashes,
        metrics,
        BulkRunnerHooks{
            .table = [this]() -> const BulkTable * { return &state.table(); },
            .routes = [this] { return routes; },
            .propose =
                [this](const Command &command, const std::function<void(Outcome<Reply>)> &done) {
                    state.apply(command);
                    done(Reply(PlainReply{}));
                },
            .itemRequest =
                [](const std::string &, const BulkItemSpec &item) {
                    HttpRequest request;
                    request.target = item.id;
                    return request;
                },
            .codec
            = {.encode =
                   [this](const HttpRequest &request, const RelayAttempt &attempt) {
                       resumeAfter = attempt.lastEventId;
                       return request;
                   },
               .classify =
                   [](const std::string &, const HttpResponseHead &head) {
                       if (head.status == 503) {
                           return ResponseClass::NotRun;
                       }
                       return head.status == 200 ? ResponseClass::Success : ResponseClass::Failure;
                   },
               .reportsLeaving
               = [](const HttpResponseHead &head) { return head.headers.contains("Leaving"); },
               .encodeError = nullptr},
            .send = [this](const std::string &, HttpRequest request, Milliseconds,
                           HttpExchangeHooks hooks) -> std::unique_ptr<HttpExchange> {
                auto made = std::make_shared<SentRequest>();
                made->request = std::move(request);
                made->resumeAfter = resumeAfter;
                made->hooks = std::move(hooks);
                sentRequests.push_back(made);
                return std::make_unique<FakeExchange>([made] { made->closed = true; });
            },
            .reportServerLeaving =
                [this](const ServerLeaving &report) {
                    leaving.push_back(report);
                }}};
    std::vector<ServerLeaving> leaving;
    std::optional<std::uint64_t> resumeAfter;
};

} // namespace persimmonlb::testing
