#include "persimmonlb/crashes/runverdictreporter.h"

#include <algorithm>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

RunVerdictReporter::RunVerdictReporter(RunVerdictReporterOptions options, Clock clock,
                                       const CrashSuspectCache &suspects,
                                       std::function<bool(const RunVerdict &verdict)> send)
    : options_(options)
    , clock_(std::move(clock))
    , suspects_(suspects)
    , send_(std::move(send))
{
}

void RunVerdictReporter::record(const RunVerdict &verdict)
{
    if (!verdict.broken) {
        recordResponse(verdict);
        return;
    }
    if (aborted_.size() >= options_.maxReports) {
        LogLine(LogLevel::Warning, "run_verdict_not_told")
            .add("server", aborted_.front().verdict.server.value)
            .add("why", "too many verdicts wait for a leader")
            .write();
        aborted_.erase(aborted_.begin());
    }
    aborted_.push_back({.verdict = verdict, .at = clock_.monotonic()});
    sendAborted();
}

void RunVerdictReporter::recordResponse(const RunVerdict &verdict)
{
    if (verdict.fingerprint != 0 && suspects_.isSuspect(verdict.fingerprint)) {
        RunVerdict ofRequest = verdict;
        ofRequest.parts.clear();
        send_(ofRequest);
    }
    for (const std::uint64_t part : verdict.parts) {
        Response &response = responses_[part];
        response.process = {verdict.server, verdict.bornMs};
        response.at = clock_.monotonic();
        responsesDue_ = !reportResponse(part, response) || responsesDue_;
    }
    if (responses_.size() > options_.maxParts) {
        forgetOldResponses();
    }
}

void RunVerdictReporter::forgetOldResponses()
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(responses_, [&](const auto &entry) {
        return now - entry.second.at > options_.responseLifetime;
    });
    if (responses_.size() > options_.maxParts) {
        responses_.clear();
    }
}

bool RunVerdictReporter::reportResponse(std::uint64_t part, Response &response)
{
    const bool isOld = clock_.monotonic() - response.at > options_.responseLifetime;
    if (isOld || response.reportedAt == response.at || !suspects_.isSuspect(part)) {
        return true;
    }
    const RunVerdict verdict{.fingerprint = 0,
                             .server = response.process.server,
                             .broken = false,
                             .bornMs = response.process.bornMs,
                             .parts = {part}};
    if (!send_(aged(verdict, response.at))) {
        return false;
    }
    response.reportedAt = response.at;
    return true;
}

RunVerdict RunVerdictReporter::aged(RunVerdict verdict, MonotonicTime at) const
{
    const auto age = std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - at);
    verdict.ageMs = static_cast<std::uint64_t>(age.count());
    return verdict;
}

void RunVerdictReporter::sendAborted()
{
    for (Aborted &aborted : aborted_) {
        if (!aborted.sent) {
            aborted.sent = send_(aged(aborted.verdict, aborted.at));
        }
    }
}

bool RunVerdictReporter::isListed(const RunVerdict &verdict) const
{
    const CrashSuspect *suspect = suspects_.find(verdict.fingerprint);
    const ServerProcess process{verdict.server, verdict.bornMs};
    return suspect != nullptr
        && std::ranges::find(suspect->processes, process) != suspect->processes.end();
}

void RunVerdictReporter::leaderChanged()
{
    for (Aborted &aborted : aborted_) {
        aborted.sent = false;
    }
    for (auto &[part, response] : responses_) {
        response.reportedAt.reset();
    }
    responsesDue_ = true;
    sendAborted();
}

void RunVerdictReporter::tick()
{
    const MonotonicTime now = clock_.monotonic();
    const bool isNewList = suspects_.position() != seenList_;
    seenList_ = suspects_.position();
    std::erase_if(aborted_, [&](const Aborted &aborted) {
        return now - aborted.at > options_.reportLifetime
            || (isNewList && aborted.sent && isListed(aborted.verdict));
    });
    sendAborted();
    if (!isNewList && !responsesDue_) {
        return;
    }
    responsesDue_ = false;
    for (auto &[part, response] : responses_) {
        responsesDue_ = !reportResponse(part, response) || responsesDue_;
    }
}

} // namespace persimmonlb
