#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/membership/server.h"
#include "persimmonlb/routing/distributedlock.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"

namespace persimmonlb
{

/// Returns the fingerprint of a request; equal for equal service and body.
std::string fingerprintOf(const ServiceName &service, std::string_view body);

enum class Suspicion : std::uint8_t {
    None,
    Suspect, ///< Was in flight on a server that was lost; needs a permit to run.
    Quarantined, ///< Two servers were lost while running it; must not run.
};

/// Result of the check of a server whose connections broke.
enum class LossVerdict : std::uint8_t {
    ServerAlive, ///< Still the same process: only the connection was lost.
    Reported, ///< Lost; the replicated log lists the requests as suspects.
    NotReported, ///< Lost; the report to the replicated log failed.
};

/// How the run of a suspect ended.
enum class PermitEnd : std::uint8_t {
    NotRun, ///< Nothing was sent, or the result does not show whether the request is safe.
    Survived, ///< The server was alive after the whole run: the suspicion ends.
    Lost, ///< A server was lost again: the request is quarantined.
};

struct SuspectsOptions {
    Owner self;
    Milliseconds quarantinePeriod{3600000};
    Milliseconds lockRetryInterval{100}; ///< Between two attempts to get a permit.
    /// How long a request that this host reported stays a suspect here.
    Milliseconds localReportLifetime{60000};
    Milliseconds gatherInterval{10}; ///< Broken connections of one server are collected this long.
    Milliseconds refreshDelay{60}; ///< Time for the reports of other hosts to reach the log.
};

struct SuspectsHooks {
    /// Proposes a command to the replicated log and calls back with the reply.
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    /// Calls the function after the delay.
    std::function<void(Milliseconds, std::function<void()>)> after;
    /// Reads the current replicated entry state. If empty, the state is not read.
    std::function<void(std::function<void(Outcome<EntryStateAnswer>)>)> fetchState;
    /// Sends GET /state to a server. If empty, a broken connection counts as a lost server.
    std::function<void(const ServerId &, std::function<void(Outcome<ServerAnnouncement>)>)> probe;
};

/// Tracks requests that may crash backend servers: which ones are suspects, which ones are
/// quarantined, and the permits to run suspects.
///
/// Example:
///   suspects.serverLost(server, incarnation, {fingerprint}, [&](LossVerdict verdict) { ... });
///   if (suspects.suspicion(fingerprint) == Suspicion::Suspect) {
///       permit = suspects.acquire(fingerprint, server, incarnation, deadline, onPermit);
///       // Once onPermit got Ok: run the request, then
///       suspects.release(permit, PermitEnd::Survived);
///   }
///
/// In the whole system, a suspect runs at most once at a time, and at most one suspect runs on a
/// server at a time. So when a server is lost while it runs a suspect, only this suspect is
/// quarantined. Not thread-safe; must outlive the timers that it starts.
class Suspects
{
public:
    Suspects(SuspectsOptions options, Clock clock, SuspectsHooks hooks);

    /// Applies the replicated quarantines and suspects. Ignores a version older than the current
    /// one.
    void setState(const EntryStateAnswer &state);
    /// Returns whether a request is a suspect or quarantined.
    [[nodiscard]] Suspicion suspicion(const std::string &fingerprint) const;

    /// Checks a server whose connections broke with these requests of this host in flight. Calls
    /// `done` once it is known that the server is alive, or once the report of its loss is in the
    /// replicated log or has failed.
    void serverLost(const ServerId &server, std::uint64_t incarnation,
                    const std::vector<std::string> &fingerprints,
                    std::function<void(LossVerdict)> done);

    /// Reads the replicated state after `refreshDelay`. Call it when a server cannot be reached:
    /// other hosts may have reported suspects, which must be known before new work starts.
    void refreshState();
    /// Calls `fn` once the pending read of refreshState() has ended; immediately if there is none.
    void whenRefreshed(std::function<void()> fn);

    /// Requests a permit to run a suspect on the given incarnation of a server, and returns the id
    /// of the permit. Calls `done` with Ok, with Quarantined, or with the reason why the permit
    /// could not be granted before the deadline; never before it returns.
    std::uint64_t acquire(const std::string &fingerprint, const ServerId &server,
                          std::uint64_t incarnation, MonotonicTime deadline,
                          std::function<void(Outcome<Done>)> done);
    /// Releases the permit, or stops requesting it; `done` is not called after this.
    void release(std::uint64_t permit, PermitEnd end);

    /// Returns the number of permits that are held or requested.
    [[nodiscard]] std::size_t permits() const;

private:
    /// A server and its incarnation.
    using ServerProcess = std::pair<ServerId, std::uint64_t>;
    struct Loss {
        std::set<std::string> fingerprints;
        std::vector<std::function<void(LossVerdict)>> done;
    };
    struct Permit {
        std::string fingerprint;
        ServerProcess server;
        MonotonicTime deadline;
        std::uint64_t requestLock = 0;
        std::uint64_t serverLock = 0;
        std::function<void(Outcome<Done>)> done;
    };

    void probeServer(const ServerProcess &server);
    void reportLoss(const ServerProcess &server);
    void finishLoss(const ServerProcess &server, LossVerdict verdict);
    /// Returns only the suspect that held the permit for the server, if one did; otherwise all.
    [[nodiscard]] std::vector<std::string> fingerprintsToReport(const ServerProcess &server,
                                                                const Loss &loss) const;
    void acquireRequestLock(std::uint64_t permit);
    void handleRequestLock(std::uint64_t permit, const Outcome<Done> &acquired);
    void handleServerLock(std::uint64_t permit, const Outcome<Done> &acquired);
    void failPermit(std::uint64_t permit, Outcome<Done> outcome);
    void proposeWithRetries(const Command &command, std::uint32_t attemptsLeft);
    void finishRefresh();
    [[nodiscard]] bool isQuarantined(const std::string &fingerprint) const;

    SuspectsOptions options_;
    Clock clock_;
    SuspectsHooks hooks_;
    DistributedLock locks_;
    EntryStateAnswer state_;
    std::set<std::string> replicatedSuspects_;
    std::map<std::string, WallTime> replicatedQuarantines_;
    /// Fingerprints that this host reported, with the time until which the report counts.
    std::map<std::string, MonotonicTime> locallyReported_;
    /// Fingerprints that survived a run on this host, with the time until which they are not
    /// treated as suspects although the replicated state may still list them.
    std::map<std::string, MonotonicTime> locallyCleared_;
    /// Fingerprints that this host quarantined, with the end of the quarantine.
    std::map<std::string, MonotonicTime> locallyQuarantined_;
    std::map<ServerProcess, Loss> losses_;
    std::map<std::uint64_t, Permit> permits_;
    std::uint64_t nextPermit_ = 1;
    bool isRefreshing_ = false;
    std::vector<std::function<void()>> refreshWaiters_;
};

} // namespace persimmonlb
