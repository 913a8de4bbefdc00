#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "persimmonlb/testing/answercheck.h"
#include "persimmonlb/testing/latency.h"

namespace persimmonlb
{

/// What became of the requests of one class in one phase. Only requests that arrived after the
/// warm-up count, but for `wrong` and `shortAnswers`, which count always.
struct ClassReport {
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0;
    std::uint64_t shortAnswers = 0; ///< Ended early without saying so.
    std::uint64_t broken = 0; ///< The connection broke, or the deadline passed without an answer.
    std::uint64_t unanswered = 0; ///< Still open when the tool gave up waiting.
    std::uint64_t retried = 0; ///< Went to another entry host, as surely not run.
    std::uint64_t tokens = 0; ///< Received within the measured time.
    std::map<std::string, std::uint64_t> refused; ///< By result code, or HTTP status.
    std::string firstFault; ///< Of the first wrong answer.
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    LatencyHistogram total;
};

/// What became of the batch job of one phase.
struct BatchReport {
    std::string job;
    std::string refusal; ///< Why it was not accepted.
    std::uint64_t items = 0;
    std::uint64_t succeededWhileMeasured = 0;
    std::uint64_t tokensWhileMeasured = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t wrong = 0; ///< Results with another item's text, doubled, or of no item.
    std::uint64_t missing = 0; ///< Items without a result although the job has ended.

    bool operator==(const BatchReport &) const = default;
};

/// Everything measured in one phase.
struct PhaseReport {
    std::string name;
    std::string against;
    std::string capacity;
    double measuredSeconds = 0;
    double worstScheduleLagMs = 0; ///< How late the tool itself sent a request.
    ClassReport online;
    ClassReport plain;
    BatchReport batch;
    std::uint64_t promptTokens = 0; ///< Seen by the engines.
    std::uint64_t cachedTokens = 0; ///< Of these, found in a prefix cache.
    double daemonCpuSeconds = 0;
};

} // namespace persimmonlb
