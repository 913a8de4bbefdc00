#include "persimmonlb/fleetnode/engineinspector.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

EngineInspector::EngineInspector(EngineInspectorOptions options, Clock clock, Metrics &metrics,
                                 EngineInspectorHooks hooks)
    : options_(options)
    , clock_(std::move(clock))
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

void EngineInspector::begin()
{
    next_ = clock_.monotonic();
    until_ = next_ + options_.period;
}

void EngineInspector::end()
{
    until_ = MonotonicTime();
    calls_.clear();
    finished_.clear();
    orphans_.clear();
    stopped_.clear();
    stopping_ = 0;
}

void EngineInspector::tick()
{
    for (const std::uint64_t call : finished_) {
        calls_.erase(call);
    }
    finished_.clear();
    const MonotonicTime now = clock_.monotonic();
    if (now >= until_) {
        return;
    }
    if (now >= next_) {
        next_ = now + options_.interval;
        for (const InspectedEngine &engine : hooks_.engines()) {
            inspect(engine);
        }
    }
    const std::size_t lanes = options_.stopsAtOnce - std::min(options_.stopsAtOnce, stopping_);
    for (std::size_t lane = 0; lane < lanes; ++lane) {
        stopNext();
    }
}

void EngineInspector::ask(const InspectedEngine &engine, HttpRequest request,
                          std::function<void(std::uint16_t, const std::string &)> answered)
{
    const std::uint64_t call = nextCall_++;
    const auto body = std::make_shared<std::string>();
    const auto status = std::make_shared<std::uint16_t>(0);
    HttpExchangeHooks hooks;
    hooks.head = [this, status, engine](const HttpResponseHead &head) {
        *status = head.status;
        if (hooks_.codec.saysLeaving(head)) {
            hooks_.serverLeaves({engine.id, engine.bornMs});
        }
    };
    const auto ended = std::make_shared<bool>(false);
    const auto finish = [this, call, ended, answered = std::move(answered)](
                            std::uint16_t result, const std::string &answer) {
        if (!std::exchange(*ended, true)) {
            finished_.push_back(call);
            answered(result, answer);
        }
    };
    hooks.chunk = [this, body, ended, finish](const std::string &chunk) {
        if (*ended) {
            return;
        }
        if (body->size() + chunk.size() > options_.maxAnswerBytes) {
            // The exchange is let go of at the next tick, and with it the connection.
            *body = std::string();
            finish(0, {});
            return;
        }
        *body += chunk;
    };
    hooks.end = [body, status, finish](const HttpExchangeEnd &end) {
        finish(end.code == ResultCode::Ok ? *status : 0, *body);
    };
    calls_[call]
        = hooks_.send(engine.address, std::move(request), options_.timeout, std::move(hooks));
}

void EngineInspector::inspect(const InspectedEngine &engine)
{
    ask(engine, hooks_.codec.loadRequest(),
        [this, engine](std::uint16_t, const std::string &body) { loadArrived(engine, body); });
}

void EngineInspector::loadArrived(const InspectedEngine &engine, std::string_view body)
{
    const auto load = hooks_.codec.parseLoad(body);
    if (!load) {
        LogLine(LogLevel::Warning, "engine_load_unreadable").add("server", engine.id.value).write();
        return;
    }
    hooks_.noteLoad(engine.id, load->requests);
    if (!engine.stopsRuns) {
        return;
    }
    std::erase_if(orphans_,
                  [&engine](const Orphan &known) { return known.engine.id == engine.id; });
    for (const std::string &run : hooks_.orphansOf(engine.id, load->runs)) {
        if (!stopped_.contains(run)) {
            orphans_.push_back({engine, run});
        }
    }
}

std::string EngineInspector::addressBeside(const std::string &address)
{
    if (!hasRoom_.empty() && hasRoom_ != address) {
        return std::exchange(hasRoom_, {});
    }
    const std::vector<InspectedEngine> engines = hooks_.engines();
    for (std::size_t tried = 0; tried < engines.size(); ++tried) {
        const InspectedEngine &engine = engines[nextOther_++ % engines.size()];
        if (engine.stopsRuns && engine.address != address) {
            return engine.address;
        }
    }
    return {};
}

void EngineInspector::stopNext()
{
    if (orphans_.empty()) {
        return;
    }
    const Orphan orphan = orphans_.front();
    const std::string other = addressBeside(orphan.engine.address);
    if (other.empty()) {
        return;
    }
    orphans_.pop_front();
    ++stopping_;
    ask(orphan.engine, hooks_.codec.stopRequest(orphan.run, other),
        [this, orphan, other](std::uint16_t status, const std::string &body) {
            stopAnswered(orphan, other, status, body);
        });
}

void EngineInspector::stopAnswered(const Orphan &orphan, const std::string &other,
                                   std::uint16_t status, const std::string &body)
{
    --stopping_;
    auto release = hooks_.codec.releaseRequest(body);
    if (!release) {
        // No room there, or the run has ended by itself: the next load tells.
        metrics_.count("persimmonlb_orphan_stops_failed_total",
                       {{"status", std::to_string(status)}});
        return;
    }
    LogLine(LogLevel::Info, "orphan_stopped")
        .add("server", orphan.engine.id.value)
        .add("run", orphan.run)
        .add("moved_to", other)
        .write();
    metrics_.count("persimmonlb_orphans_stopped_total", {});
    stopped_.insert(orphan.run);
    ++stopping_;
    ask(orphan.engine, std::move(*release),
        [this, orphan, other](std::uint16_t, const std::string &) {
            --stopping_;
            hasRoom_ = other;
            hooks_.orphanStopped(orphan.engine.id);
            stopNext();
        });
}

} // namespace persimmonlb
