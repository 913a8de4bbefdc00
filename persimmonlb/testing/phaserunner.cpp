#include "persimmonlb/testing/internal/phaserunner.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/testing/internal/loads.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

constexpr Milliseconds drainLimit{40000};
constexpr Milliseconds probeDeadline{2000};
constexpr Milliseconds slice{20};
/// Time to make the lines of a batch job before the phase starts.
constexpr Milliseconds preparation{1000};

struct PrefixCounts {
    std::uint64_t prompt = 0;
    std::uint64_t cached = 0;
};

/// Runs the context until `done` or for `limit`.
template <typename Condition>
void runUntil(boost::asio::io_context &context, Milliseconds limit, Condition done)
{
    const MonotonicTime end = BootClock::now() + limit;
    while (!done() && BootClock::now() < end) {
        context.restart();
        context.run_for(slice);
    }
}

PrefixCounts readPrefixCounts(boost::asio::io_context &context, HttpClient &client,
                              const std::vector<std::string> &engines)
{
    PrefixCounts counts;
    std::size_t open = engines.size();
    std::vector<std::unique_ptr<HttpExchange>> exchanges;
    for (const std::string &engine : engines) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/_runs";
        auto body = std::make_shared<std::string>();
        HttpExchangeHooks hooks;
        hooks.head = [](const HttpResponseHead &) {
        };
        hooks.chunk = [body](const std::string &piece) {
            *body += piece;
        };
        hooks.end = [&counts, &open, body](const HttpExchangeEnd &) {
            const Json json = Json::parse(*body, nullptr, false);
            if (json.is_object()) {
                counts.prompt += json.value("prompt_tokens", std::uint64_t{0});
                counts.cached += json.value("cached_tokens", std::uint64_t{0});
            }
            --open;
        };
        exchanges.push_back(client.start(engine, request, probeDeadline, std::move(hooks)));
    }
    runUntil(context, 2 * probeDeadline, [&] { return open == 0; });
    return counts;
}

/// User and system time that a process has used.
double cpuSecondsOf(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return 0;
    }
    std::istringstream fields(text.substr(nameEnd + 1));
    constexpr int fieldsBeforeTimes = 11;
    std::string skipped;
    for (int i = 0; i < fieldsBeforeTimes; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double cpuSecondsOf(const std::vector<int> &pids)
{
    double seconds = 0;
    for (const int pid : pids) {
        seconds += cpuSecondsOf(pid);
    }
    return seconds;
}

/// The loads of one phase.
class PhaseLoads
{
public:
    PhaseLoads(boost::asio::io_context &context, EntryCaller &caller, const Phase &phase,
               PhaseWindow window, std::uint64_t seed, PhaseReport &report)
        : killTimer_(context)
    {
        // Every phase sees the same arrivals, so that two phases can be compared; the contents
        // differ, so that no phase finds the prompts of another in a prefix cache.
        const std::uint64_t arrivals = combineHash(seed, 1);
        const std::uint64_t contents = combineHash(seed, stableHash(phase.name));
        const auto random = [](std::uint64_t load, std::uint64_t use) {
            return seededRandom(combineHash(use, load));
        };
        if (phase.online) {
            online_.emplace(caller, *phase.online, window, random(1, contents), report.online);
            loops_.push_back(std::make_unique<ArrivalLoop>(
                context, PoissonArrivals(phase.online->rate, random(1, arrivals)), window,
                [this](MonotonicTime planned) { online_->fire(planned); }));
        }
        if (phase.plain) {
            plain_.emplace(caller, *phase.plain, window, random(2, contents), report.plain);
            loops_.push_back(std::make_unique<ArrivalLoop>(
                context, PoissonArrivals(phase.plain->rate, random(2, arrivals)), window,
                [this](MonotonicTime planned) { plain_->fire(planned); }));
        }
        if (phase.batch) {
            batch_.emplace(context, caller, *phase.batch, window, random(3, contents),
                           report.batch);
        }
    }

    void start()
    {
        if (batch_) {
            batch_->start();
        }
        for (const auto &loop : loops_) {
            loop->start();
        }
    }

    /// Ends the process `pid` as a crash would, `after` the start.
    void loseServer(int pid, Milliseconds after)
    {
        killTimer_.expires_after(after);
        killTimer_.async_wait([pid](const boost::system::error_code &error) {
            if (!error) {
                kill(pid, SIGKILL);
            }
        });
    }

    void stop()
    {
        if (batch_) {
            batch_->stop();
        }
    }

    [[nodiscard]] bool finished() const
    {
        return !batch_ || batch_->finished();
    }

    [[nodiscard]] double worstLagMs() const
    {
        double worst = 0;
        for (const auto &loop : loops_) {
            worst = std::max(worst, loop->worstLagMs());
        }
        return worst;
    }

private:
    std::optional<OnlineLoad> online_;
    std::optional<PlainLoad> plain_;
    std::optional<BatchLoad> batch_;
    std::vector<std::unique_ptr<ArrivalLoop>> loops_;
    boost::asio::steady_timer killTimer_;
};

} // namespace

void runPhase(boost::asio::io_context &context, HttpClient &client, EntryCaller &caller,
              const ProbeOptions &probes, const Phase &phase, std::uint64_t seed,
              PhaseReport &report)
{
    report.name = phase.name;
    report.against = phase.against;
    report.capacity = phase.capacity;
    report.measuredSeconds = std::chrono::duration<double>(phase.length - phase.warmup).count();
    const PrefixCounts before = readPrefixCounts(context, client, probes.engines);
    const MonotonicTime start = BootClock::now() + preparation;
    const PhaseWindow window{start, start + phase.warmup, start + phase.length};
    PhaseLoads loads(context, caller, phase, window, seed, report);
    runUntil(context, preparation, [&] { return BootClock::now() >= window.start; });
    loads.start();
    if (phase.loseServerAfter && probes.killPid > 0) {
        loads.loseServer(probes.killPid, *phase.loseServerAfter);
    }
    runUntil(context, phase.warmup, [&] { return BootClock::now() >= window.measureFrom; });
    const double cpuBefore = cpuSecondsOf(probes.daemonPids);
    runUntil(context, phase.length, [&] { return BootClock::now() >= window.end; });
    report.daemonCpuSeconds = cpuSecondsOf(probes.daemonPids) - cpuBefore;
    loads.stop();
    runUntil(context, drainLimit, [&] { return loads.finished() && caller.open() == 0; });
    report.online.unanswered = phase.online ? caller.open() : 0;
    report.plain.unanswered = phase.online ? 0 : caller.open();
    caller.abandon();
    report.worstScheduleLagMs = loads.worstLagMs();
    const PrefixCounts after = readPrefixCounts(context, client, probes.engines);
    // An engine that was lost took its counts along; then there is no share to tell.
    const bool complete = after.prompt >= before.prompt && after.cached >= before.cached;
    report.promptTokens = complete ? after.prompt - before.prompt : 0;
    report.cachedTokens = complete ? after.cached - before.cached : 0;
}

} // namespace persimmonlb
