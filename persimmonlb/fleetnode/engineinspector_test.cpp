#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleetnode/engineinspector.h"
#include "persimmonlb/http/testing/fakesending.h"

using namespace persimmonlb;
using persimmonlb::testing::FakeSending;
using persimmonlb::testing::recordInto;

namespace
{

const ServerId e1{"e1"};
const ServerId e2{"e2"};

/// Two engines; calls are told apart by their targets.
struct Bench {
    explicit Bench(bool stopsRuns = true)
        : engines{{e1, 1, "e1:80", stopsRuns}, {e2, 1, "e2:80", stopsRuns}}
    {
        inspector.begin();
        pass(0);
    }

    void pass(int ms)
    {
        now += Milliseconds(ms);
        inspector.tick();
    }
    /// Calls whose target begins so, answered or not.
    std::vector<std::shared_ptr<FakeSending>> sent(const std::string &target) const
    {
        std::vector<std::shared_ptr<FakeSending>> found;
        for (const auto &sending : sendings) {
            if (sending->request.target.starts_with(target)) {
                found.push_back(sending);
            }
        }
        return found;
    }
    static void answer(FakeSending &sending, std::uint16_t status, const std::string &body)
    {
        const HttpExchangeHooks hooks = sending.hooks;
        hooks.head(HttpResponseHead{status, {}});
        hooks.chunk(body);
        hooks.end(HttpExchangeEnd{SendState::Sent, ResultCode::Ok, {}});
    }
    /// Lets the last load of an engine name these runs.
    void tellRuns(const std::string &address, const std::vector<std::string> &runs)
    {
        const auto loads = sent("load");
        for (auto load = loads.rbegin(); load != loads.rend(); ++load) {
            if ((*load)->address == address) {
                told = EngineLoad{static_cast<std::uint32_t>(runs.size()), runs};
                answer(**load, 200, "load");
                return;
            }
        }
    }

    MonotonicTime now{std::chrono::hours(1)};
    std::vector<InspectedEngine> engines;
    std::vector<std::shared_ptr<FakeSending>> sendings;
    EngineLoad told;
    std::map<ServerId, std::uint32_t> noted;
    std::vector<ServerId> stopped;
    std::vector<ServerLeaving> leaving;
    Metrics metrics;
    EngineInspector inspector{
        EngineInspectorOptions{},
        Clock{.monotonic = [this] { return now; },
              .wall =
                  [] {
                      return WallTime();
                  }},
        metrics,
        EngineInspectorHooks{
            .engines = [this] { return engines; },
            .codec = {.loadRequest =
                          [] {
                              HttpRequest request;
                              request.target = "load";
                              return request;
                          },
                      .parseLoad = [this](std::string_view body) -> std::optional<EngineLoad> {
                          return body == "load" ? std::optional(told) : std::nullopt;
                      },
                      .stopRequest =
                          [](const std::string &run, const std::string &other) {
                              HttpRequest request;
                              request.target = "stop " + run + " to " + other;
                              return request;
                          },
                      .releaseRequest = [](std::string_view body) -> std::optional<HttpRequest> {
                          if (body.empty()) {
                              return std::nullopt;
                          }
                          HttpRequest request;
                          request.target = "release " + std::string(body);
                          return request;
                      },
                      .saysLeaving =
                          [](const HttpResponseHead &head) {
                              return head.headers.contains("Leaving");
                          }},
            .send = recordInto(sendings),
            .noteLoad
            = [this](const ServerId &engine, std::uint32_t requests) { noted[engine] = requests; },
            .orphansOf =
                [](const ServerId &, const std::vector<std::string> &runs) {
                    std::vector<std::string> orphans;
                    for (const std::string &run : runs) {
                        if (run.starts_with("orphan")) {
                            orphans.push_back(run);
                        }
                    }
                    return orphans;
                },
            .orphanStopped = [this](const ServerId &engine) { stopped.push_back(engine); },
            .serverLeaves =
                [this](const ServerLeaving &told) {
                    leaving.push_back(told);
                }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(EngineInspectorTest)

BOOST_AUTO_TEST_CASE(EnginesAreAskedForAsLongAsTheLongestRunsLast)
{
    Bench bench;
    BOOST_TEST(bench.sent("load").size() == 2U);
    bench.pass(100);
    BOOST_TEST(bench.sent("load").size() == 2U);
    bench.pass(300);
    BOOST_TEST(bench.sent("load").size() == 4U);
    bench.pass(7000);
    BOOST_TEST(bench.sent("load").size() == 4U);
}

BOOST_AUTO_TEST_CASE(AnAnswerOfAnEngineWithoutEndIsClosed)
{
    Bench bench;
    const auto asked = bench.sendings.at(0);
    asked->hooks.head(HttpResponseHead{200, {}});
    const std::string piece(64UL * 1024, 'x');
    for (int i = 0; i < 100; ++i) {
        asked->hooks.chunk(piece);
    }
    bench.pass(20);
    BOOST_TEST(asked->closed);
    BOOST_TEST(bench.noted.empty());
    bench.pass(400);
    BOOST_TEST(bench.sent("load").size() == 4U);
}

BOOST_AUTO_TEST_CASE(AnOrphanIsMovedAwayAndItsCopyFreed)
{
    Bench bench;
    bench.tellRuns("e1:80", {"ours", "orphan-1"});
    BOOST_TEST(bench.noted[e1] == 2U);
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sent("stop").size(), 1U);
    BOOST_TEST(bench.sent("stop")[0]->address == "e1:80");
    BOOST_TEST(bench.sent("stop")[0]->request.target == "stop orphan-1 to e2:80");
    Bench::answer(*bench.sent("stop")[0], 200, "h1");
    BOOST_REQUIRE_EQUAL(bench.sent("release h1").size(), 1U);
    BOOST_TEST(bench.sent("release h1")[0]->address == "e1:80");
    // The slot at the other engine is taken until the copy is freed.
    BOOST_TEST(bench.stopped.empty());
    Bench::answer(*bench.sent("release h1")[0], 200, "");
    BOOST_TEST((bench.stopped == std::vector<ServerId>{e1}));
}

BOOST_AUTO_TEST_CASE(AnEngineThatTookOneRunTakesTheNextOneAtOnce)
{
    Bench bench;
    bench.tellRuns("e1:80",
                   {"orphan-1", "orphan-2", "orphan-3", "orphan-4", "orphan-5", "orphan-6"});
    bench.pass(20);
    BOOST_TEST(bench.sent("stop").size() == EngineInspectorOptions{}.stopsAtOnce);
    Bench::answer(*bench.sent("stop")[0], 200, "h1");
    Bench::answer(*bench.sent("release h1")[0], 200, "");
    BOOST_TEST(bench.sent("stop").size() == EngineInspectorOptions{}.stopsAtOnce + 1);
}

BOOST_AUTO_TEST_CASE(WithoutRoomTheNextLoadBringsTheOrphanBack)
{
    Bench bench;
    bench.tellRuns("e1:80", {"orphan-1"});
    bench.pass(20);
    Bench::answer(*bench.sent("stop")[0], 503, "");
    BOOST_TEST(bench.stopped.empty());
    bench.pass(20);
    BOOST_TEST(bench.sent("stop").size() == 1U);
    bench.pass(300);
    bench.tellRuns("e1:80", {"orphan-1"});
    bench.pass(20);
    BOOST_TEST(bench.sent("stop").size() == 2U);
}

BOOST_AUTO_TEST_CASE(AnOldLoadThatStillNamesAStoppedRunStopsNothing)
{
    Bench bench;
    bench.tellRuns("e1:80", {"orphan-1"});
    bench.pass(20);
    Bench::answer(*bench.sent("stop")[0], 200, "h1");
    Bench::answer(*bench.sent("release h1")[0], 200, "");
    bench.pass(300);
    bench.tellRuns("e1:80", {"orphan-1"});
    bench.pass(20);
    BOOST_TEST(bench.sent("stop").size() == 1U);
}

BOOST_AUTO_TEST_CASE(EnginesThatStopNothingAreOnlyCounted)
{
    Bench bench(false);
    bench.tellRuns("e1:80", {"orphan-1"});
    bench.pass(20);
    BOOST_TEST(bench.noted[e1] == 1U);
    BOOST_TEST(bench.sent("stop").empty());
}

BOOST_AUTO_TEST_CASE(AnEngineThatLeavesSaysSoInItsLoadToo)
{
    Bench bench;
    HttpResponseHead head{200, {}};
    head.headers.fields.push_back({"Leaving", "1"});
    bench.sent("load").at(0)->hooks.head(head);
    BOOST_REQUIRE_EQUAL(bench.leaving.size(), 1U);
    BOOST_TEST((bench.leaving[0] == ServerLeaving{e1, 1}));
}

BOOST_AUTO_TEST_CASE(AHostThatLeadsNoMoreAsksNothing)
{
    Bench bench;
    bench.tellRuns("e1:80", {"orphan-1"});
    bench.inspector.end();
    bench.pass(1000);
    BOOST_TEST(bench.sent("load").size() == 2U);
    BOOST_TEST(bench.sent("stop").empty());
    BOOST_TEST(bench.sendings[0]->closed);
}

BOOST_AUTO_TEST_SUITE_END()
