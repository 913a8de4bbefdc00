#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/http/message.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/sheet/sheet.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// What the HTTP handlers need of the rest of an entry host.
struct ApiDeps {
    Clock clock;
    std::function<void(Milliseconds, std::function<void()>)> after;
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    std::function<void(const Query &, std::function<void(Outcome<Answer>)>)> query;
    std::function<std::shared_ptr<const Sheet>()> sheet;
    /// The error that new work is refused with, or nothing while this host is in force.
    std::function<std::optional<Error>()> admission;
    /// Entry hosts with lease times and confirmed versions, fresh from the leader.
    std::function<void(std::function<void(Outcome<std::vector<EntryHostInfo>>)>)> refreshHosts;
    /// Addresses of other entry hosts, for refusals.
    std::function<std::vector<std::string>()> otherHosts;
    /// Notes a refusal for the audit trail.
    std::function<void(const std::string &who, const std::string &subject, const Error &)> refused;
};

using ResponderPtr = std::shared_ptr<HttpResponder>;

/// Sends the error body of INTERFACE.md.
void respondError(const ApiDeps &deps, const ResponderPtr &responder, const Error &error);

/// Sends a JSON text.
void respondJson(const ResponderPtr &responder, std::uint16_t status, std::string json);

/// Milliseconds since 1970 UTC.
inline std::int64_t toMillis(WallTime time)
{
    return time.time_since_epoch().count();
}

} // namespace persimmonlb
