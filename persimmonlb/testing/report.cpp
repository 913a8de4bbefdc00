#include "persimmonlb/testing/report.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace persimmonlb
{

using Json = nlohmann::ordered_json;

namespace
{

constexpr double p99 = 0.99;

double rounded(double value)
{
    constexpr double thousand = 1000;
    return std::round(value * thousand) / thousand;
}

double quotient(double dividend, double divisor)
{
    return divisor > 0 ? dividend / divisor : 0;
}

double quotientP99(const LatencyHistogram &one, const LatencyHistogram &other)
{
    return quotient(one.quantileMs(p99), other.quantileMs(p99));
}

double perSecond(std::uint64_t count, const PhaseReport &phase)
{
    return quotient(static_cast<double>(count), phase.measuredSeconds);
}

Json toJson(const LatencyHistogram &latency)
{
    constexpr double p50 = 0.5;
    constexpr double p90 = 0.9;
    constexpr double p999 = 0.999;
    return Json{{"count", latency.count()},
                {"p50", rounded(latency.quantileMs(p50))},
                {"p90", rounded(latency.quantileMs(p90))},
                {"p99", rounded(latency.quantileMs(p99))},
                {"p999", rounded(latency.quantileMs(p999))},
                {"max", rounded(latency.maximumMs())}};
}

Json toJson(const ClassReport &report, const PhaseReport &phase)
{
    Json json{{"offered", report.offered},
              {"answered", report.answered},
              {"wrong", report.wrong},
              {"short", report.shortAnswers},
              {"broken", report.broken},
              {"unanswered", report.unanswered},
              {"refused", report.refused},
              {"retried_elsewhere", report.retried},
              {"answered_per_second", rounded(perSecond(report.answered, phase))},
              {"tokens_per_second", rounded(perSecond(report.tokens, phase))},
              {"first_token_ms", toJson(report.firstToken)},
              {"between_tokens_ms", toJson(report.betweenTokens)},
              {"total_ms", toJson(report.total)}};
    if (!report.firstFault.empty()) {
        json["first_fault"] = report.firstFault;
    }
    return json;
}

Json toJson(const BatchReport &report, const PhaseReport &phase)
{
    return Json{{"job", report.job},
                {"refusal", report.refusal},
                {"items", report.items},
                {"succeeded", report.succeeded},
                {"failed", report.failed},
                {"cancelled", report.cancelled},
                {"wrong", report.wrong},
                {"missing", report.missing},
                {"items_per_second", rounded(perSecond(report.succeededWhileMeasured, phase))},
                {"tokens_per_second", rounded(perSecond(report.tokensWhileMeasured, phase))}};
}

Json toJson(const PhaseRatios &ratios)
{
    return Json{{"first_token_p99", rounded(ratios.firstTokenP99)},
                {"between_tokens_p99", rounded(ratios.betweenTokensP99)},
                {"total_p99", rounded(ratios.totalP99)},
                {"plain_total_p99", rounded(ratios.plainTotalP99)},
                {"batch_of_idle", rounded(ratios.batchOfIdle)}};
}

Json toJson(const PhaseReport &phase)
{
    Json json{{"name", phase.name},
              {"measured_seconds", rounded(phase.measuredSeconds)},
              {"worst_schedule_lag_ms", rounded(phase.worstScheduleLagMs)}};
    if (phase.online.offered > 0) {
        json["online"] = toJson(phase.online, phase);
    }
    if (phase.plain.offered > 0) {
        json["plain"] = toJson(phase.plain, phase);
    }
    if (phase.batch.items > 0) {
        json["batch"] = toJson(phase.batch, phase);
    }
    if (phase.promptTokens > 0) {
        json["prefix_hit_share"] = rounded(quotient(static_cast<double>(phase.cachedTokens),
                                                    static_cast<double>(phase.promptTokens)));
    }
    if (phase.daemonCpuSeconds > 0) {
        const auto answered = static_cast<double>(phase.online.answered + phase.plain.answered);
        json["daemon_cpu_seconds"] = rounded(phase.daemonCpuSeconds);
        json["answers_per_cpu_second"] = rounded(quotient(answered, phase.daemonCpuSeconds));
    }
    return json;
}

const PhaseReport *findPhase(const std::vector<const PhaseReport *> &phases,
                             const std::string &name)
{
    const auto found = std::find_if(phases.begin(), phases.end(),
                                    [&](const PhaseReport *phase) { return phase->name == name; });
    return found == phases.end() ? nullptr : *found;
}

} // namespace

PhaseRatios ratiosOf(const PhaseReport &phase, const PhaseReport *against,
                     const PhaseReport *capacity)
{
    PhaseRatios ratios;
    if (against != nullptr) {
        ratios.firstTokenP99 = quotientP99(phase.online.firstToken, against->online.firstToken);
        ratios.betweenTokensP99
            = quotientP99(phase.online.betweenTokens, against->online.betweenTokens);
        ratios.totalP99 = quotientP99(phase.online.total, against->online.total);
        ratios.plainTotalP99 = quotientP99(phase.plain.total, against->plain.total);
    }
    if (capacity != nullptr) {
        const double idle = perSecond(capacity->batch.tokensWhileMeasured, *capacity)
            - perSecond(phase.online.tokens, phase);
        ratios.batchOfIdle = quotient(perSecond(phase.batch.tokensWhileMeasured, phase), idle);
    }
    return ratios;
}

std::string formatReport(const RunLabels &labels, const std::vector<const PhaseReport *> &phases)
{
    Json json{{"label", labels.label}, {"baseline", labels.baseline}, {"seed", labels.seed},
              {"hosts", labels.hosts}, {"direct", labels.direct},     {"phases", Json::array()}};
    for (const PhaseReport *phase : phases) {
        Json row = toJson(*phase);
        const PhaseReport *against = findPhase(phases, phase->against);
        const PhaseReport *capacity = findPhase(phases, phase->capacity);
        if (against != nullptr || capacity != nullptr) {
            row["ratios"] = toJson(ratiosOf(*phase, against, capacity));
            row["ratios"]["against"] = phase->against;
            row["ratios"]["capacity"] = phase->capacity;
        }
        json["phases"].push_back(row);
    }
    constexpr int indent = 2;
    return json.dump(indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace persimmonlb
