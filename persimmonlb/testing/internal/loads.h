#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/testing/arrivals.h"
#include "persimmonlb/testing/classreport.h"
#include "persimmonlb/testing/experiment.h"
#include "persimmonlb/testing/internal/entrycaller.h"

namespace persimmonlb
{

/// When a phase starts, when it is measured, and when its arrivals end.
struct PhaseWindow {
    MonotonicTime start;
    MonotonicTime measureFrom;
    MonotonicTime end;

    [[nodiscard]] bool measures(MonotonicTime time) const
    {
        return time >= measureFrom && time < end;
    }
    bool operator==(const PhaseWindow &) const = default;
};

/// Calls `fire` at each time of a Poisson process. Later than planned when the tool is busy;
/// `fire` gets the planned time, so that latencies count from there.
class ArrivalLoop
{
public:
    ArrivalLoop(boost::asio::io_context &context, PoissonArrivals arrivals, PhaseWindow window,
                std::function<void(MonotonicTime planned)> fire);

    void start();
    [[nodiscard]] double worstLagMs() const;

private:
    void arm();

    PoissonArrivals arrivals_;
    PhaseWindow window_;
    std::function<void(MonotonicTime)> fire_;
    boost::asio::steady_timer timer_;
    MonotonicTime next_;
    Microseconds worstLag_{0};
};

/// Chat requests of people who wait.
class OnlineLoad
{
public:
    /// All references must outlive it.
    OnlineLoad(EntryCaller &caller, const OnlineMix &mix, PhaseWindow window, RandomSource random,
               ClassReport &report);

    void fire(MonotonicTime planned);

private:
    struct Request;

    void take(Request &request, const std::string &piece);
    void finish(const Request &request, const CallEnd &end);

    EntryCaller &caller_;
    const OnlineMix &mix_;
    PhaseWindow window_;
    RandomSource random_;
    ClassReport &report_;
};

/// Calls of a plain service, some of which may run at most once.
class PlainLoad
{
public:
    PlainLoad(EntryCaller &caller, const PlainMix &mix, PhaseWindow window, RandomSource random,
              ClassReport &report);

    void fire(MonotonicTime planned);

private:
    EntryCaller &caller_;
    const PlainMix &mix_;
    PhaseWindow window_;
    RandomSource random_;
    ClassReport &report_;
    std::string keyPrefix_;
    std::uint64_t lastNumber_ = 0;
};

/// One batch job that is submitted at the start of a phase, followed, cancelled at its end, and
/// whose results are read and checked.
class BatchLoad
{
public:
    BatchLoad(boost::asio::io_context &context, EntryCaller &caller, const BatchMix &mix,
              PhaseWindow window, RandomSource random, BatchReport &report);

    void start();
    /// Cancels what has not ended and reads the results.
    void stop();
    [[nodiscard]] bool finished() const;

private:
    void submitted(const CallEnd &end);
    void poll();
    void progressed(const CallEnd &end);
    void readResults();
    void checkResults(const std::string &lines);

    boost::asio::steady_timer timer_;
    EntryCaller &caller_;
    const BatchMix &mix_;
    PhaseWindow window_;
    RandomSource random_;
    BatchReport &report_;
    std::string lines_;
    std::vector<std::uint64_t> answerKeys_;
    std::vector<std::uint32_t> tokens_;
    std::uint64_t tokensPerItem_ = 0;
    std::uint64_t succeededAtMeasure_ = 0;
    bool measuring_ = false;
    bool stopping_ = false;
    bool finished_ = false;
};

/// Counts a call that brought no answer: refused, or broken without a word.
void countFailure(ClassReport &report, const CallEnd &end);

} // namespace persimmonlb
