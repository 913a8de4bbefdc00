#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/http/client.h"

namespace persimmonlb
{

/// What an engine says of itself; some hundred milliseconds old.
struct EngineLoad {
    std::uint32_t requests = 0; ///< That run or wait there, whoever sent them.
    std::vector<std::string> runs; ///< Ids of those that run.

    bool operator==(const EngineLoad &) const = default;
};

struct InspectedEngine {
    ServerId id;
    std::uint64_t bornMs = 0; ///< Which start of the server.
    std::string address;
    bool stopsRuns = false; ///< Ends a run by its id when it is asked to.

    bool operator==(const InspectedEngine &) const = default;
};

struct EngineInspectorOptions {
    /// From the beginning of a leader on, for as long as the longest runs last.
    Milliseconds period{7000};
    /// Engines say what they did some hundred milliseconds ago.
    Milliseconds interval{300};
    Milliseconds timeout{500};
    /// A longer answer of an engine is none.
    std::size_t maxAnswerBytes = 256UL * 1024;
    /// Stops that are asked for at once. Each needs a free slot somewhere for some milliseconds,
    /// and while engines are full there are few.
    std::size_t stopsAtOnce = 4;
};

/// How a platform speaks to engines about their runs.
struct EngineCodec {
    std::function<HttpRequest()> loadRequest;
    std::function<std::optional<EngineLoad>(std::string_view body)> parseLoad;
    /// Ends a run by moving it to the engine at `other`, if that has a free slot.
    std::function<HttpRequest(const std::string &run, const std::string &other)> stopRequest;
    /// Frees what a stopped run left behind, by the answer to its stop; nothing when it left
    /// nothing.
    std::function<std::optional<HttpRequest>(std::string_view body)> releaseRequest;
    /// The engine that wrote this head takes no new work: it is about to end.
    std::function<bool(const HttpResponseHead &head)> saysLeaving
        = [](const HttpResponseHead & /*head*/) {
              return false;
          };
};

struct EngineInspectorHooks {
    std::function<std::vector<InspectedEngine>()> engines;
    EngineCodec codec;
    HttpSend send;
    std::function<void(const ServerId &engine, std::uint32_t requests)> noteLoad;
    /// Of these runs at the engine, those that nobody waits for.
    std::function<std::vector<std::string>(const ServerId &engine,
                                           const std::vector<std::string> &runs)>
        orphansOf;
    std::function<void(const ServerId &engine)> orphanStopped;
    /// An engine said in an answer that it leaves.
    std::function<void(const ServerLeaving &leaving)> serverLeaves;
};

/// Finds out, when a host begins to lead, what engines still do for the leader before.
///
/// A host that loses its power closes no connection, so engines go on with its bulk runs to their
/// ends. Until then these take slots that the new leader would count as free. Such runs are stopped
/// where the engine can do that, and counted where it cannot. Not thread-safe.
class EngineInspector
{
public:
    EngineInspector(EngineInspectorOptions options, Clock clock, Metrics &metrics,
                    EngineInspectorHooks hooks);
    EngineInspector(const EngineInspector &) = delete;
    EngineInspector &operator=(const EngineInspector &) = delete;

    void begin();
    void end();
    /// Call each 20 ms or so.
    void tick();

private:
    struct Orphan {
        InspectedEngine engine;
        std::string run;
    };

    void inspect(const InspectedEngine &engine);
    void loadArrived(const InspectedEngine &engine, std::string_view body);
    /// Asks for the next stop, if there is an orphan and another engine.
    void stopNext();
    void stopAnswered(const Orphan &orphan, const std::string &other, std::uint16_t status,
                      const std::string &body);
    [[nodiscard]] std::string addressBeside(const std::string &address);
    /// Sends a request and hands over its answer; status 0 when there was none.
    void ask(const InspectedEngine &engine, HttpRequest request,
             std::function<void(std::uint16_t status, const std::string &body)> answered);

    EngineInspectorOptions options_;
    Clock clock_;
    Metrics &metrics_;
    EngineInspectorHooks hooks_;
    MonotonicTime until_; ///< Past while it asks nothing.
    MonotonicTime next_;
    std::deque<Orphan> orphans_; ///< That wait to be stopped.
    std::set<std::string> stopped_; ///< Runs; what engines say of them is old.
    std::size_t stopping_ = 0;
    std::string hasRoom_; ///< Address of an engine that took a run just now, or empty.
    std::size_t nextOther_ = 0;
    std::uint64_t nextCall_ = 1;
    std::map<std::uint64_t, std::unique_ptr<HttpExchange>> calls_;
    std::vector<std::uint64_t> finished_; ///< Calls to let go of outside of their hooks.
};

} // namespace persimmonlb
