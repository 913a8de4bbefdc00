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
#include "persimmonlb/routing/systemlock.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"

namespace persimmonlb
{

/// The fingerprint of a request: equal for equal service and body.
std::string fingerprintOf(const ServiceName &service, std::string_view body);

enum class Suspicion : std::uint8_t {
    None,
    Suspect, ///< Was in flight on a server that was lost; runs under a permit only.
    Convicted, ///< Two servers were lost with it; never run.
};

/// What became of a server whose connections broke.
enum class LossVerdict : std::uint8_t {
    ServerLives, ///< It answers as before: only the connection was lost.
    Reported, ///< It is lost, and the log names the requests as suspects.
    NotReported, ///< It is lost, and the log could not be reached.
};

/// How the run of a suspect ended.
enum class PermitEnd : std::uint8_t {
    NotRun, ///< Nothing was sent, or the end says nothing of the server.
    Survived, ///< The server outlived the whole run: the suspicion ends.
    Lost, ///< The server was lost again: the request is convicted.
};

struct SuspectsOptions {
    Owner self;
    Milliseconds convictionPeriod{3600000};
    Milliseconds lockRetryInterval{100}; ///< Between two tries for the right to run a suspect.
    Milliseconds localMemory{60000}; ///< Own reports count as suspicion this long.
    Milliseconds gatherInterval{10}; ///< Broken connections of one server are gathered this long.
    Milliseconds settleInterval{60}; ///< For the reports of other hosts to reach the log.
};

struct SuspectsHooks {
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    std::function<void(Milliseconds, std::function<void()>)> after;
    /// Reads the replicated entry state afresh. Empty: not read.
    std::function<void(std::function<void(Outcome<EntryStateAnswer>)>)> fetchState;
    /// Asks a server for GET /state. Empty: a broken connection counts as a lost server.
    std::function<void(const ServerId &, std::function<void(Outcome<ServerAnnouncement>)>)> probe;
};

/// Requests that may crash backend servers: which are suspects, which are convicted, and the right
/// to run a suspect.
///
/// Example:
///   suspects.serverLost(server, incarnation, {print}, [&](LossVerdict verdict) { ... });
///   if (suspects.suspicion(print) == Suspicion::Suspect) {
///       permit = suspects.acquire(print, server, incarnation, deadline, [&](Outcome<Done> may) {
///           ... run it, then suspects.release(permit, PermitEnd::Survived);
///       });
///   }
///
/// In the whole system a suspect runs at most once at a time, and no two suspects run on one server
/// at a time. So a server that is lost with a suspect convicts that one alone. Not thread-safe;
/// must outlive its timers.
class Suspects
{
public:
    Suspects(SuspectsOptions options, Clock clock, SuspectsHooks hooks);

    /// Takes the replicated convictions and suspects.
    void setState(const EntryStateAnswer &state);
    [[nodiscard]] Suspicion suspicion(const std::string &fingerprint) const;

    /// Connections of a server broke with these requests of this host in flight. `done` is called
    /// once it is known whether the server was lost, and the report is in the log if so.
    void serverLost(const ServerId &server, std::uint64_t incarnation,
                    const std::vector<std::string> &fingerprints,
                    std::function<void(LossVerdict)> done);

    /// A server could not be reached: suspicions of other hosts are read before new work starts.
    void serverUnreachable();
    /// Calls `fn` once the suspicions of servers lost until now are known; at once when they are.
    void whenSettled(std::function<void()> fn);

    /// Asks for the right to run a suspect on one start of a server. `done`: Ok, Quarantined, or
    /// why it cannot be had before the deadline.
    std::uint64_t acquire(const std::string &fingerprint, const ServerId &server,
                          std::uint64_t incarnation, MonotonicTime deadline,
                          std::function<void(Outcome<Done>)> done);
    /// Gives the right back, or stops asking for it; then `done` is not called any more.
    void release(std::uint64_t permit, PermitEnd end);

    /// Permits held or asked for.
    [[nodiscard]] std::size_t permits() const;

private:
    using ServerStart = std::pair<ServerId, std::uint64_t>;
    struct Loss {
        std::set<std::string> fingerprints;
        std::vector<std::function<void(LossVerdict)>> done;
    };
    struct Permit {
        std::string fingerprint;
        ServerStart server;
        MonotonicTime deadline;
        std::uint64_t requestLock = 0;
        std::uint64_t serverLock = 0;
        std::function<void(Outcome<Done>)> done;
    };

    void investigate(const ServerStart &server);
    void report(const ServerStart &server);
    void finishLoss(const ServerStart &server, LossVerdict verdict);
    [[nodiscard]] std::vector<std::string> blamed(const ServerStart &server,
                                                  const Loss &loss) const;
    void takeLocks(std::uint64_t permit);
    void takeRequestLock(std::uint64_t permit, const Outcome<Done> &held);
    void takeServerLock(std::uint64_t permit, const Outcome<Done> &held);
    void endPermit(std::uint64_t permit, Outcome<Done> outcome);
    void proposeUntilDone(const Command &command, std::uint32_t triesLeft);
    void settle();
    [[nodiscard]] bool isConvicted(const std::string &fingerprint) const;

    SuspectsOptions options_;
    Clock clock_;
    SuspectsHooks hooks_;
    SystemLock locks_;
    EntryStateAnswer state_;
    std::set<std::string> stateSuspects_;
    std::map<std::string, WallTime> stateConvictions_;
    std::map<std::string, MonotonicTime> reported_; ///< By this host, and until when it counts.
    std::map<std::string, MonotonicTime> cleared_; ///< Survived a run; until the state follows.
    std::map<std::string, MonotonicTime> convicted_; ///< By this host, and until when.
    std::map<ServerStart, Loss> losses_;
    std::map<std::uint64_t, Permit> permits_;
    std::uint64_t nextPermit_ = 1;
    bool settling_ = false;
    std::vector<std::function<void()>> unsettled_;
};

} // namespace persimmonlb
