#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

struct RunVerdictReporterOptions {
    /// An aborted run is reported to each new leader until a list names it, or for this long.
    Milliseconds reportLifetime{10000};
    /// Responses to parts are remembered this long, as a part may become a suspect after them.
    Milliseconds responseLifetime{10000};
    std::size_t maxParts = 4096; ///< Parts whose responses are remembered.
    std::size_t maxReports = 1024; ///< Aborted runs that no list names yet.
};

/// Reports to the leader how the runs of an entry host ended: each aborted run, and responses to
/// suspects, also those that came before this host learnt of the suspicion. Reports are kept while
/// the leader is unreachable and repeated to its successor. Not thread-safe.
class RunVerdictReporter
{
public:
    /// `send` sends to the current leader; it returns false if the verdict was certainly not sent.
    RunVerdictReporter(RunVerdictReporterOptions options, Clock clock,
                       const CrashSuspectCache &suspects,
                       std::function<bool(const RunVerdict &verdict)> send);

    /// Takes the result of a run, of age 0.
    void record(const RunVerdict &verdict);
    /// Call when another host, or the same one in another term, is the leader.
    void leaderChanged();
    /// Sends what is due. Call about every 20 ms.
    void tick();

private:
    struct Aborted {
        RunVerdict verdict;
        MonotonicTime at;
        bool sent = false;
    };
    struct Response {
        ServerProcess process;
        MonotonicTime at;
        std::optional<MonotonicTime> reportedAt; ///< `at` of the response that was reported last.
    };

    void recordResponse(const RunVerdict &verdict);
    void forgetOldResponses();
    /// Returns true unless the response is due and could not be sent.
    bool reportResponse(std::uint64_t part, Response &response);
    void sendAborted();
    [[nodiscard]] bool isListed(const RunVerdict &verdict) const;
    [[nodiscard]] RunVerdict aged(RunVerdict verdict, MonotonicTime at) const;

    RunVerdictReporterOptions options_;
    Clock clock_;
    const CrashSuspectCache &suspects_;
    std::function<bool(const RunVerdict &)> send_;
    std::vector<Aborted> aborted_;
    std::unordered_map<std::uint64_t, Response> responses_; ///< By part.
    std::pair<std::uint64_t, std::uint64_t> seenList_; ///< Position of the list.
    bool responsesDue_ = false; ///< A response to a suspect may not have been reported.
};

} // namespace persimmonlb
