#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"

namespace persimmonlb
{

/// The fingerprint of a request: equal for equal service and body.
std::string fingerprintOf(const ServiceName &service, std::string_view body);

enum class Suspicion : std::uint8_t {
    None,
    Suspect, ///< Was in flight on a server that was lost.
    Convicted, ///< Two servers were lost with it; never run.
};

struct SuspectsOptions {
    Owner self;
    Milliseconds convictionPeriod{3600000};
    Milliseconds retryInterval{100}; ///< Between two tries for the right to run a suspect.
    Milliseconds localMemory{60000}; ///< Own reports count as suspicion this long.
};

struct SuspectsHooks {
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    std::function<void(Milliseconds, std::function<void()>)> after;
};

/// Requests that may crash backend servers: which are suspects, which are convicted, and the right
/// to run a suspect, which one request in the whole system holds per fingerprint and per server.
///
/// Not thread-safe.
class Suspects
{
public:
    using Permit = std::function<void(Outcome<Done>)>;

    Suspects(SuspectsOptions options, Clock clock, SuspectsHooks hooks);

    /// Takes the replicated convictions and suspects.
    void setState(const EntryStateAnswer &state);
    [[nodiscard]] Suspicion suspicion(const std::string &fingerprint) const;

    /// A server was lost with these requests of this host in flight. `done` is called once the
    /// report is in the log, or could not be brought there.
    void serverLost(const ServerId &server, std::uint64_t incarnation,
                    const std::vector<std::string> &fingerprints,
                    std::function<void(Outcome<Done>)> done);

    /// Asks for the right to run a suspect on a server. `done`: Ok, or Quarantined, NoQuorum or
    /// InProgressElsewhere when it cannot be had before the deadline.
    std::uint64_t acquire(const std::string &fingerprint, const ServerId &server,
                          MonotonicTime deadline, Permit done);
    /// Gives the right back, or stops asking for it.
    void release(std::uint64_t permit);

private:
    SuspectsOptions options_;
    Clock clock_;
    SuspectsHooks hooks_;
};

} // namespace persimmonlb
